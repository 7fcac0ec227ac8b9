//! A bound on log lines of one kind.
//!
//! What goes wrong without a bound: anybody can send garbage as fast as the network carries it,
//! and a line for each would fill the log and cost more than the packets. It shows as a log of
//! nothing but refusals. So a bounded number of lines is written a second, and the next line
//! says how many were left out; the counters always hold everything.

use std::time::{Duration, Instant};

const PERIOD: Duration = Duration::from_secs(1);

/// Counts lines in periods of one second.
#[derive(Clone, Debug)]
pub struct LineBudget {
    limit: u32,
    started: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl LineBudget {
    /// A budget of `limit` lines a second.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            started: None,
            written: 0,
            left_out: 0,
        }
    }

    /// `None` when no line may be written now, else how many were left out before it.
    pub fn spend(&mut self, now: Instant) -> Option<u64> {
        let expired = |started: Instant| now.duration_since(started) >= PERIOD;
        if self.started.is_none_or(expired) {
            (self.started, self.written) = (Some(now), 0);
        }
        if self.written >= self.limit {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
