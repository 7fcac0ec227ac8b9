//! The send budget for control traffic.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// IP and UDP header bytes of a datagram, counted as sent.
pub const PACKET_OVERHEAD_BYTES: usize = 28;

/// Priority of a send, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendPriority {
    /// Heads after a change, and pulls: they spread configurations.
    Change,
    /// Heartbeats and probes.
    Heartbeat,
    /// Regular heads.
    Regular,
}

/// A token bucket over sent bytes.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    rate: f64,
    burst: f64,
    /// May go negative, down to minus half a burst, for the highest priority; other sends then
    /// wait.
    tokens: f64,
    filled: Moment,
}

impl SendBudget {
    /// Creates a full bucket of `burst` bytes that refills at `rate` bytes per second.
    #[must_use]
    pub fn new(rate: u32, burst: u32, now: Moment) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            filled: now,
        }
    }

    /// Takes `bytes` unless that would use the reserve for higher priorities; returns whether they
    /// were taken.
    pub fn try_spend(&mut self, bytes: usize, priority: SendPriority, now: Moment) -> bool {
        self.refill(now.since(self.filled));
        self.filled = self.filled.max(now);
        #[allow(clippy::cast_precision_loss)]
        let left = self.tokens - bytes as f64;
        let floor = match priority {
            SendPriority::Change => -self.burst / 2.0,
            SendPriority::Heartbeat => 0.0,
            SendPriority::Regular => self.burst / 4.0,
        };
        if left < floor {
            return false;
        }
        self.tokens = left;
        true
    }

    /// Returns whether only sends of the highest priority are still allowed.
    pub fn is_exhausted(&mut self, now: Moment) -> bool {
        !self.try_spend(0, SendPriority::Heartbeat, now)
    }

    /// Takes `bytes` that are sent in any case; sends of lower priority wait for the refill.
    pub fn spend(&mut self, bytes: usize, now: Moment) {
        if !self.try_spend(bytes, SendPriority::Change, now) {
            self.tokens = -self.burst / 2.0;
        }
    }

    fn refill(&mut self, elapsed: Duration) {
        let tokens = self.tokens + self.rate * elapsed.as_secs_f64();
        self.tokens = tokens.min(self.burst);
    }
}
