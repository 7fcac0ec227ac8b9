//! Rate limit for log lines, so that a flood of refusals does not flood the log.

use std::time::Duration;

use lovagelatch_domain::Moment;

const WINDOW: Duration = Duration::from_secs(1);

/// Allows at most `limit` lines a second. Suppressed events are still counted in the metrics.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    limit: u32,
    used: u32,
    window_start: Moment,
}

impl LogLimiter {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit,
            used: 0,
            window_start: Moment::ZERO,
        }
    }

    /// Whether a line may be written now. Each call counts as one line.
    pub(crate) fn allows(&mut self, now: Moment) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.limit
    }
}
