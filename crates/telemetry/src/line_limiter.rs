//! Rate limiting of log lines of one kind.
//!
//! Anyone can send invalid packets at line rate. One line for each would fill the log with
//! refusals and cost more than the packets themselves. So a limited number of lines is written
//! per second, and the next line reports how many were suppressed. Counters still count
//! everything.

use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// Limits the lines of one kind in each window of one second.
#[derive(Clone, Debug)]
pub struct LineLimiter {
    limit_per_second: u32,
    window_start: Option<Instant>,
    written: u32,
    suppressed: u64,
}

impl LineLimiter {
    /// Creates a limiter that admits `limit_per_second` lines per second.
    #[must_use]
    pub fn new(limit_per_second: u32) -> Self {
        Self {
            limit_per_second,
            window_start: None,
            written: 0,
            suppressed: 0,
        }
    }

    /// Returns `None` if the line must be suppressed, else the number of lines suppressed since
    /// the last admitted one.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let expired = |start: Instant| now.duration_since(start) >= WINDOW;
        if self.window_start.is_none_or(expired) {
            (self.window_start, self.written) = (Some(now), 0);
        }
        if self.written >= self.limit_per_second {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
