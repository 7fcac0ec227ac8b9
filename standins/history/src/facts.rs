//! What the test driver did in a run.

/// Time for which a target may still receive new work after its first notice to leave.
pub const LEAVING_GRACE_MS: f64 = 3_000.0;

/// The first notice that a target is leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLeaving {
    /// Name of the target.
    pub target: String,
    /// Time of the notice, in milliseconds since the Unix epoch.
    pub time_ms: f64,
}

/// What the test driver did. Points in time are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunFacts {
    /// Time at which callers started.
    pub started_ms: f64,
    /// Time at which callers stopped.
    pub ended_ms: f64,
    /// Time of the first unplanned fault, if there was one.
    pub unplanned_since_ms: Option<f64>,
    /// Targets that were told to leave, with the times.
    pub leaving: Vec<TargetLeaving>,
    /// Time that a published configuration took to be in force in all processes, in milliseconds.
    pub config_in_force_ms: Option<f64>,
}

impl RunFacts {
    /// Returns the time at which the test first told a target to leave.
    #[must_use]
    pub fn leaving_ms(&self, target: &str) -> Option<f64> {
        let notices = self.leaving.iter().filter(|notice| notice.target == target);
        notices.map(|notice| notice.time_ms).reduce(f64::min)
    }
}
