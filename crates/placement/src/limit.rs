//! Adaptive concurrency limit of the backend server, learned from its refusals.
//!
//! A server can accept fewer requests than its listed slots: it sheds them, or its process closes
//! every connection. Such requests end so fast that the gate always looks free and attracts more
//! and more load. So each refusal lowers the limit to the number of requests that the server did
//! accept, and the limit rises again over time, one slot at a time.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// Time from a reduction until the limit rises by one slot.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bound of that time, reached after repeated refusals.
const MAX_RAISE_INTERVAL: Duration = Duration::from_secs(8);

/// Consecutive losses, without an answer in between, that count as a refusal.
const LOSSES_PER_SHED: u32 = 3;

/// The limit of requests that the gate runs at once, at most its slots.
#[derive(Clone, Copy, Debug)]
pub struct SlotLimit {
    slots: u16,
    /// Invariant: at most `slots`.
    current: u16,
    raise_interval: Duration,
    next_raise: Moment,
    consecutive_losses: u32,
}

impl SlotLimit {
    /// Creates a limit of `slots` that has not been reduced.
    #[must_use]
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            current: slots,
            raise_interval: MIN_RAISE_INTERVAL,
            next_raise: Moment::ZERO,
            consecutive_losses: 0,
        }
    }

    /// Returns the number of requests that may run at once.
    #[must_use]
    pub fn current(&self) -> u16 {
        self.current
    }

    /// Records an answer. It shows that the server works, so the limit rises faster.
    pub fn record_served(&mut self, now: Moment) {
        self.consecutive_losses = 0;
        self.raise_interval = (self.raise_interval / 2).max(MIN_RAISE_INTERVAL);
        self.next_raise = self.next_raise.min(now + self.raise_interval);
    }

    /// Records that the server refused a request while `running` others ran.
    pub fn record_shed(&mut self, running: u16, now: Moment) {
        let reduced = running.min(self.current);
        if reduced == 0 {
            self.raise_interval = (self.raise_interval * 2).min(MAX_RAISE_INTERVAL);
        }
        self.current = reduced;
        self.next_raise = now + self.raise_interval;
    }

    /// Records that an answer was lost while `running` others ran.
    pub fn record_lost(&mut self, running: u16, now: Moment) {
        self.consecutive_losses += 1;
        if self.consecutive_losses >= LOSSES_PER_SHED {
            self.record_shed(running.min(self.current.saturating_sub(1)), now);
        }
    }

    /// Raises the limit by one slot if that is due.
    pub fn raise_if_due(&mut self, now: Moment) {
        if self.current < self.slots && now >= self.next_raise {
            self.current += 1;
            self.next_raise = now + self.raise_interval;
        }
    }

    /// Returns when the limit rises next; `None` while it is not reduced.
    #[must_use]
    pub fn next_raise(&self) -> Option<Moment> {
        (self.current < self.slots).then_some(self.next_raise)
    }
}
