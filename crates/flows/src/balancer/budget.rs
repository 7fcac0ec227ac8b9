//! How much a balancer may send to find flows that it does not know.

use lovagelatch_domain::Moment;

/// The part of a balancer's link that searches may fill. Without a bound they filled a link of
/// 11 Mbit/s after a power loss: answers came late, so that searches and offers were repeated, and the
/// balancer was late for ten seconds.
const LINK_SHARE: f64 = 1.0 / 7.0;

/// Bytes a second for searches at most, whatever the link: a seventh of 11 Mbit/s. Balancers with a
/// twenty-fifth of a core kept up with so much after a loss of power; more was not tried there.
const MAX_BYTE_RATE: f64 = 200_000.0;

/// The part of the budget that only errands may use. While there is more, a balancer asks a
/// flow's candidates itself, which needs no other agent to be well.
const ERRAND_SHARE: f64 = 0.5;

/// The part of what a second brings that one search may take. One that needs more would hold up all
/// others, and its answers would come when its client has given up.
const SEARCH_SHARE: f64 = 0.5;

/// A budget of bytes that saves up what a second brings.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchBudget {
    /// Bytes a second, and the most that is saved up.
    rate: f64,
    left: f64,
    filled: Moment,
}

impl SearchBudget {
    /// The budget of a balancer that may have any link.
    pub(super) fn new() -> Self {
        Self::with_rate(MAX_BYTE_RATE)
    }

    /// The budget of a balancer behind a link of so many bytes a second.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn with_link(link_bytes: u64) -> Self {
        Self::with_rate(link_bytes as f64 * LINK_SHARE)
    }

    fn with_rate(rate: f64) -> Self {
        let rate = rate.min(MAX_BYTE_RATE);
        Self {
            rate,
            left: rate,
            filled: Moment::ZERO,
        }
    }

    /// Whether one search may ever send `bytes`.
    pub(super) fn allows(&self, bytes: usize) -> bool {
        cost(bytes) <= self.rate * SEARCH_SHARE
    }

    /// Takes `bytes` out for asking directly, if enough is left for errands.
    pub(super) fn spend_directly(&mut self, bytes: usize, now: Moment) -> bool {
        self.fill(now);
        let enough = self.left - cost(bytes) >= self.rate * ERRAND_SHARE;
        if enough {
            self.left -= cost(bytes);
        }
        enough
    }

    /// Takes `bytes` out whether they are there or not.
    pub(super) fn charge(&mut self, bytes: usize, now: Moment) {
        self.fill(now);
        self.left = (self.left - cost(bytes)).max(0.0);
    }

    /// Whether `bytes` are there.
    pub(super) fn has(&mut self, bytes: usize, now: Moment) -> bool {
        self.fill(now);
        self.left >= cost(bytes)
    }

    fn fill(&mut self, now: Moment) {
        let filled = now.since(self.filled).as_secs_f64() * self.rate;
        self.left = (self.left + filled).min(self.rate);
        self.filled = now;
    }
}

#[allow(clippy::cast_precision_loss)]
fn cost(bytes: usize) -> f64 {
    bytes as f64
}
