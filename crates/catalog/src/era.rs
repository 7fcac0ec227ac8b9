//! How long the store has been in its era, as far as the fleet knows.
//!
//! A store that comes back from a copy starts a new era, and its list lacks live targets until they
//! have written their entries again. Balancers that knew the former era notice the return. Balancers
//! that have all started since know only that the era is not the first one, so they assume that it
//! began when one of them first read the store in it.

use lovagelatch_domain::{Moment, StoreEra};

use crate::reader::RECOVERY_WINDOW;

/// The latest era in which a balancer of the fleet read the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EraSighting {
    era: StoreEra,
    /// The end of [`RECOVERY_WINDOW`] after the first read. The read itself may have been before the
    /// origin of this process's clock.
    settles_at: Moment,
}

impl EraSighting {
    /// Records that this process read the store in `era`, or a catalog of it.
    pub(crate) fn record_read(&mut self, era: StoreEra, now: Moment) {
        self.record_settling(era, now + RECOVERY_WINDOW);
    }

    /// Records that, as another balancer knows, entries that a copy lacked are listed again in `era`
    /// from `settles_at` on.
    pub(crate) fn record_settling(&mut self, era: StoreEra, settles_at: Moment) {
        if era > self.era {
            *self = Self { era, settles_at };
        } else if era == self.era {
            self.settles_at = self.settles_at.min(settles_at);
        }
    }

    pub(crate) fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns from when on entries that a copy lacked are listed again; `None` in the first era.
    pub(crate) fn settles_at(&self) -> Option<Moment> {
        (self.era > StoreEra::default()).then_some(self.settles_at)
    }
}
