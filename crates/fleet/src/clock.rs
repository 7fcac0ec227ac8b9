//! The monotonic clock that a process passes to the decision libraries.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lovagelatch_domain::Moment;

/// Measures time since the start of the process. It keeps running while the process is paused, so
/// that a pause shows as a gap.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
    unix_start: Duration,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ProcessClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            unix_start: unix_start.unwrap_or_default(),
        }
    }

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::ZERO + self.start.elapsed()
    }

    /// Returns the Unix time at `Moment::ZERO`.
    pub(crate) fn unix_start(&self) -> Duration {
        self.unix_start
    }
}
