//! Tracks whether the target's zone is evacuated.
//!
//! When the operator evacuates a zone, balancers learn of it at different times, and one that is
//! cut off from the store and from the others does not learn of it at all, but still makes offers.
//! The agent therefore decides for its own target, by the newest notice that any balancer sent.

use lovagelatch_domain::StorePosition;
use std::time::Duration;

use crate::frame::ZoneNotice;

/// The newest known state of the zone. Invariant: `revision` never decreases.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneState {
    /// The store revision of this state; the default before the first notice.
    pub(super) revision: StorePosition,
    pub(super) evacuated: bool,
}

impl ZoneState {
    /// Applies a balancer's notice. Returns the age of the notice if it changed whether the zone is
    /// evacuated.
    pub(super) fn apply(&mut self, notice: &ZoneNotice) -> Option<Duration> {
        if notice.revision <= self.revision {
            return None;
        }
        self.revision = notice.revision;
        let changed = std::mem::replace(&mut self.evacuated, notice.evacuated) != notice.evacuated;
        changed.then_some(notice.age)
    }

    /// Returns whether an offer may be accepted whose sender knew the zones up to `revision` and
    /// considered this one not evacuated. A revision newer than the known one ends an evacuation.
    /// Before the first notice, an offer with revision 0 is not accepted.
    pub(super) fn admits_offer(&mut self, revision: StorePosition) -> bool {
        if revision > self.revision {
            *self = Self {
                revision,
                evacuated: false,
            };
        }
        self.revision.is_known() && !self.evacuated
    }
}
