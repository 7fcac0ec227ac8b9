//! How much a balancer may send to find flows that it does not know.

use lovagelatch_domain::Moment;

/// Bytes a second for searches, and the most that is saved up. A seventh of the smallest link
/// known, 11 Mbit/s. Without it searches filled such a link after a power loss: answers came late,
/// so that searches and offers were repeated, and the balancer was late for ten seconds.
const BYTE_RATE: f64 = 200_000.0;

/// The part of the budget that only errands may use. While there is more, a balancer asks a
/// flow's candidates itself, which needs no other agent to be well.
const ERRAND_SHARE: f64 = 0.5;

/// A budget of bytes that fills up at [`BYTE_RATE`].
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchBudget {
    left: f64,
    filled: Moment,
}

impl SearchBudget {
    pub(super) fn new() -> Self {
        Self {
            left: BYTE_RATE,
            filled: Moment::ZERO,
        }
    }

    /// Takes `bytes` out for asking directly, if enough is left for errands.
    pub(super) fn spend_directly(&mut self, bytes: usize, now: Moment) -> bool {
        self.fill(now);
        let enough = self.left - cost(bytes) >= BYTE_RATE * ERRAND_SHARE;
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
        let filled = now.since(self.filled).as_secs_f64() * BYTE_RATE;
        self.left = (self.left + filled).min(BYTE_RATE);
        self.filled = now;
    }
}

#[allow(clippy::cast_precision_loss)]
fn cost(bytes: usize) -> f64 {
    bytes as f64
}
