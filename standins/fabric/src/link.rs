//! What happens to one datagram on its way.

use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use crate::settings::FaultPlan;

/// The longest time by which a reordered datagram is late.
const MAX_OVERTAKEN: Duration = Duration::from_millis(5);

/// When the copies of a datagram arrive, counted from now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkFate {
    /// One delay for each copy; none when the datagram is lost.
    pub copies: SmallVec<[Duration; 2]>,
    /// Whether a copy is late enough that others overtake it.
    pub reordered: bool,
}

/// Draws the fate of a datagram on a link with this delay.
pub fn decide_fate(plan: &FaultPlan, delay: Duration, rng: &mut impl Rng) -> LinkFate {
    let mut fate = LinkFate::default();
    if happens(plan.drop, rng) {
        return fate;
    }
    fate.reordered = happens(plan.reorder, rng);
    let extra = if fate.reordered {
        rng.random_range(Duration::ZERO..=MAX_OVERTAKEN)
    } else {
        Duration::ZERO
    };
    fate.copies.push(delay + extra);
    if happens(plan.duplicate, rng) {
        fate.copies.push(delay);
    }
    fate
}

/// Draws nothing for a share of 0, so that a quiet plan costs no randomness.
fn happens(share: f64, rng: &mut impl Rng) -> bool {
    share > 0.0 && rng.random_bool(share.min(1.0))
}
