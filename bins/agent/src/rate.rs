//! Keeps a flood of refusals from becoming a flood of log lines.

use std::time::Duration;

use lovagelatch_domain::Moment;

const WINDOW: Duration = Duration::from_secs(1);

/// Allows so many lines a second; what is not logged is still counted in the metrics.
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

    /// Whether a line may be written now; counts it if so.
    pub(crate) fn allows(&mut self, now: Moment) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.limit
    }
}
