//! Positions in the history of the users' store.

use std::fmt::{self, Display, Formatter};

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

/// A point in the history of the store, ordered by era and then by revision. Tables that follow the
/// store have one as their revision.
///
/// It is encoded as one number with the era in the upper half, which for the first era is the
/// revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "PositionNumber", from = "PositionNumber")]
pub struct StorePosition {
    /// The era of the store.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position from what the store says.
    #[must_use]
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether this is a position that a store can be at; the default is none.
    #[must_use]
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

impl From<u64> for StorePosition {
    /// Returns a position in the first era.
    fn from(revision: u64) -> Self {
        Self::new(StoreEra::default(), revision)
    }
}

/// An encoded [`StorePosition`].
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct PositionNumber(u128);

impl From<StorePosition> for PositionNumber {
    fn from(position: StorePosition) -> Self {
        Self((u128::from(position.era.0) << u64::BITS) | u128::from(position.revision))
    }
}

impl From<PositionNumber> for StorePosition {
    #[allow(clippy::cast_possible_truncation)]
    fn from(PositionNumber(number): PositionNumber) -> Self {
        Self::new(StoreEra((number >> u64::BITS) as u64), number as u64)
    }
}

impl Display for StorePosition {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{} of era {}", self.revision, self.era.0)
    }
}
