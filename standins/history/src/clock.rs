//! The clock of histories: one machine runs all processes, so the wall clock is shared.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch, with microseconds as the fraction.
#[must_use]
pub fn unix_millis() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}
