//! Clocks. The agent reads the time for its decisions only here.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lovagelatch_domain::Moment;
use tokio::time::Instant;

/// Converts between Tokio's clock and the [`Moment`]s that the decision libraries use, which
/// count from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current time on the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        self.moment(Instant::now())
    }

    pub(crate) fn moment(&self, instant: Instant) -> Moment {
        let since = instant.saturating_duration_since(self.start);
        Moment::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    pub(crate) fn instant(&self, moment: Moment) -> Instant {
        self.start + Duration::from_micros(moment.as_micros())
    }
}

/// Whole seconds since the Unix epoch; used for the age of tickets.
pub(crate) fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_secs())
}
