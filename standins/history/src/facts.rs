//! What the test itself did in a run.

/// How long after the first notice of its leaving a target may still be given new work.
pub const LEAVING_GRACE_MS: f64 = 3_000.0;

/// The first notice that a target is leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLeaving {
    /// The target.
    pub target: String,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: f64,
}

/// What the test itself did, and when, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunFacts {
    /// When callers began.
    pub started_ms: f64,
    /// When callers stopped.
    pub ended_ms: f64,
    /// The first unplanned fault, if there was one.
    pub unplanned_since_ms: Option<f64>,
    /// Targets that were told to leave.
    pub leaving: Vec<TargetLeaving>,
    /// How long a published configuration took to be in force everywhere.
    pub config_in_force_ms: Option<f64>,
}

impl RunFacts {
    /// When a target was first told to leave.
    #[must_use]
    pub fn left_ms(&self, target: &str) -> Option<f64> {
        let told = self.leaving.iter().filter(|told| told.target == target);
        told.map(|told| told.time_ms).reduce(f64::min)
    }
}
