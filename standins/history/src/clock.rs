//! The clock of all histories. All processes run on one machine and share its wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time in milliseconds since the Unix epoch, with a fraction for microseconds.
#[must_use]
pub fn unix_millis() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}
