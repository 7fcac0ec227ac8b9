//! Positions in the history of the users' store.

use serde::{Deserialize, Serialize};

/// The number of times that the store has come back from a copy; 0 if the store does not say.
///
/// A copy may lack the newest changes. The store then gives their revisions out again, so revisions
/// of different eras cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// Bits of a table revision that hold the store's revision, enough for ten thousand years of 300,000
/// changes a day. The others hold the lowest bits of the era.
const REVISION_BITS: u32 = 40;

const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A point in the history of the store, ordered by era and then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era of the store.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position from what the store says. The era is reduced to the bits that a table
    /// revision has for it: only its changes matter, whatever number it started from.
    #[must_use]
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self::from_table_revision(Self { era, revision }.to_table_revision())
    }

    /// Returns the position as the revision of a table, in the same order: one number, since a
    /// table holds one for each row.
    #[must_use]
    pub fn to_table_revision(self) -> u64 {
        let era = self.era.0 & MAX_ERA;
        (era << REVISION_BITS) | self.revision.min(MAX_REVISION)
    }

    /// Returns the position that a table revision stands for.
    #[must_use]
    pub fn from_table_revision(revision: u64) -> Self {
        Self {
            era: StoreEra(revision >> REVISION_BITS),
            revision: revision & MAX_REVISION,
        }
    }
}
