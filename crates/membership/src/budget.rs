//! How many bytes a process may still send for control.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// Bytes that IP and UDP put before a datagram, counted as sent.
pub const PACKET_OVERHEAD_BYTES: usize = 28;

/// Why bytes are sent, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SendUrgency {
    /// Heads after a change, and pulls: a configuration spreads by them.
    Change,
    /// Heartbeats.
    Heartbeat,
    /// The regular heads.
    Regular,
}

/// A token bucket over sent bytes.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    rate: f64,
    burst: f64,
    /// May fall below zero, by half a burst, for the most urgent; the others then wait.
    tokens: f64,
    filled: Moment,
}

impl SendBudget {
    /// A full bucket of `burst` bytes that refills with `rate` bytes a second.
    #[must_use]
    pub fn new(rate: u32, burst: u32, now: Moment) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            filled: now,
        }
    }

    /// Takes `bytes`, unless that would leave too little for what is more urgent.
    pub fn try_spend(&mut self, bytes: usize, urgency: SendUrgency, now: Moment) -> bool {
        self.refill(now.since(self.filled));
        self.filled = self.filled.max(now);
        #[allow(clippy::cast_precision_loss)]
        let left = self.tokens - bytes as f64;
        let floor = match urgency {
            SendUrgency::Change => -self.burst / 2.0,
            SendUrgency::Heartbeat => 0.0,
            SendUrgency::Regular => self.burst / 4.0,
        };
        if left < floor {
            return false;
        }
        self.tokens = left;
        true
    }

    /// Whether only the most urgent may still send.
    pub fn is_exhausted(&mut self, now: Moment) -> bool {
        !self.try_spend(0, SendUrgency::Heartbeat, now)
    }

    /// Takes `bytes` that are sent in any case; less urgent sends wait for them.
    pub fn spend(&mut self, bytes: usize, now: Moment) {
        if !self.try_spend(bytes, SendUrgency::Change, now) {
            self.tokens = -self.burst / 2.0;
        }
    }

    fn refill(&mut self, elapsed: Duration) {
        let tokens = self.tokens + self.rate * elapsed.as_secs_f64();
        self.tokens = tokens.min(self.burst);
    }
}
