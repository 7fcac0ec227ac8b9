//! Faults of one datagram on a link.

use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use crate::settings::FaultPlan;

/// Upper limit of the extra delay of a reordered datagram.
const MAX_REORDER_DELAY: Duration = Duration::from_millis(5);

/// The copies of one datagram that a link delivers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkOutcome {
    /// The delay of each copy; empty if the datagram is dropped.
    pub copies: SmallVec<[Duration; 2]>,
    /// Whether the first copy has an extra delay, so that later datagrams can overtake it.
    pub reordered: bool,
}

/// Draws the outcome of one datagram on a link with the given delay.
pub fn draw_outcome(plan: &FaultPlan, delay: Duration, rng: &mut impl Rng) -> LinkOutcome {
    let mut outcome = LinkOutcome::default();
    if draw_event(plan.drop, rng) {
        return outcome;
    }
    outcome.reordered = draw_event(plan.reorder, rng);
    let extra = if outcome.reordered {
        rng.random_range(Duration::ZERO..=MAX_REORDER_DELAY)
    } else {
        Duration::ZERO
    };
    outcome.copies.push(delay + extra);
    if draw_event(plan.duplicate, rng) {
        outcome.copies.push(delay);
    }
    outcome
}

/// Returns `true` with the given probability. Consumes no randomness for a share of 0, so that a
/// plan without faults does not advance `rng`.
fn draw_event(share: f64, rng: &mut impl Rng) -> bool {
    share > 0.0 && rng.random_bool(share.min(1.0))
}
