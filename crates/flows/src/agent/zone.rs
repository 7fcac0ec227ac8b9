//! Whether the target's own zone is evacuated.
//!
//! Load pattern: the operator evacuates a zone while flows come at their usual rate. Balancers learn of it
//! one after the other, and one that is cut off from the others does not; its offers still come. The agent
//! has the last word for its own target, by the newest word that any balancer brought it.

use std::time::Duration;

use crate::frame::ZoneNotice;

/// The newest word about the zone. Invariant: `revision` never falls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneStanding {
    /// The store's revision up to which it holds; 0 before any word.
    pub(super) revision: u64,
    pub(super) evacuated: bool,
}

impl ZoneStanding {
    /// Takes a balancer's word; how old it is when it changes whether the zone is evacuated.
    pub(super) fn take(&mut self, notice: &ZoneNotice) -> Option<Duration> {
        if notice.revision <= self.revision {
            return None;
        }
        self.revision = notice.revision;
        let changed = std::mem::replace(&mut self.evacuated, notice.evacuated) != notice.evacuated;
        changed.then_some(notice.age)
    }

    /// Whether an offer may be taken whose sender knew the zones up to `revision` and took this one not to
    /// be evacuated. A later word than the one that is held ends an evacuation. While no word was ever heard, an
    /// offer that vouches for nothing is not taken.
    pub(super) fn admits(&mut self, revision: u64) -> bool {
        if revision > self.revision {
            *self = Self {
                revision,
                evacuated: false,
            };
        }
        self.revision > 0 && !self.evacuated
    }
}
