//! Limits what a balancer sends to find flows that it does not know.

use lovagelatch_domain::Moment;

/// The share of a balancer's link that searches may use. Without a limit, searches saturated a link
/// of 11 Mbit/s after a power loss: answers came late, so searches and offers were repeated, and
/// the balancer was late for ten seconds.
const LINK_SHARE: f64 = 1.0 / 7.0;

/// Limit in bytes per second whatever the link: a seventh of 11 Mbit/s. Balancers with a
/// twenty-fifth of a core sustained this rate after a power loss.
const MAX_BYTE_RATE: f64 = 200_000.0;

/// The share of the budget that is reserved for delegated searches. While more is available, a
/// balancer queries a flow's candidates directly, which does not depend on another agent.
const DELEGATED_SHARE: f64 = 0.5;

/// The largest share of one second's budget that a single search may use. A larger search would
/// hold up all others, and its answers would arrive after its client has given up.
const SEARCH_SHARE: f64 = 0.5;

/// A token bucket of bytes that holds at most one second's worth.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchBudget {
    /// Bytes per second; also the capacity.
    rate: f64,
    available: f64,
    refilled_at: Moment,
}

impl SearchBudget {
    /// Creates the budget of a balancer whose link speed is unknown.
    pub(super) fn new() -> Self {
        Self::with_rate(MAX_BYTE_RATE)
    }

    /// Creates the budget of a balancer behind a link of `link_bytes` bytes per second.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn with_link(link_bytes: u64) -> Self {
        Self::with_rate(link_bytes as f64 * LINK_SHARE)
    }

    fn with_rate(rate: f64) -> Self {
        let rate = rate.min(MAX_BYTE_RATE);
        Self {
            rate,
            available: rate,
            refilled_at: Moment::ZERO,
        }
    }

    /// Returns whether a single search may ever send `bytes`.
    pub(super) fn permits(&self, bytes: usize) -> bool {
        cost(bytes) <= self.rate * SEARCH_SHARE
    }

    /// Spends `bytes` on direct queries, if the share reserved for delegated searches stays
    /// untouched.
    pub(super) fn try_spend_direct(&mut self, bytes: usize, now: Moment) -> bool {
        self.refill(now);
        let enough = self.available - cost(bytes) >= self.rate * DELEGATED_SHARE;
        if enough {
            self.available -= cost(bytes);
        }
        enough
    }

    /// Spends `bytes` even if fewer are available.
    pub(super) fn charge(&mut self, bytes: usize, now: Moment) {
        self.refill(now);
        self.available = (self.available - cost(bytes)).max(0.0);
    }

    /// Returns whether `bytes` are available now.
    pub(super) fn has_available(&mut self, bytes: usize, now: Moment) -> bool {
        self.refill(now);
        self.available >= cost(bytes)
    }

    fn refill(&mut self, now: Moment) {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.available = (self.available + refill).min(self.rate);
        self.refilled_at = now;
    }
}

#[allow(clippy::cast_precision_loss)]
fn cost(bytes: usize) -> f64 {
    bytes as f64
}
