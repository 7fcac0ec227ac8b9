//! The revisions of a table, and one for each of its rows.

use std::fmt::{Debug, Display};

use lovagelatch_domain::{StoreEra, StorePosition};

/// The revision of a table. Its upper half rarely differs between the rows of a table, which
/// [`RowStamps`] relies on to store them in half of the memory.
pub trait Revision: Copy + Ord + Default + Debug + Display {
    /// Returns the upper and the lower half.
    fn split(self) -> (u64, u64);

    /// Returns the revision with these halves.
    fn join(upper: u64, lower: u64) -> Self;
}

impl Revision for u64 {
    fn split(self) -> (u64, u64) {
        (0, self)
    }

    fn join(_upper: u64, lower: u64) -> Self {
        lower
    }
}

impl Revision for StorePosition {
    fn split(self) -> (u64, u64) {
        (self.era.0, self.revision)
    }

    fn join(upper: u64, lower: u64) -> Self {
        Self::new(StoreEra(upper), lower)
    }
}

/// The revisions of a table's rows, in the order of the rows.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowStamps {
    lower: Vec<u64>,
    /// The upper halves of all rows. Invariant: empty if all are `common`.
    upper: Vec<u64>,
    /// The upper half of all rows if `upper` is empty.
    common: u64,
}

impl RowStamps {
    pub(crate) fn with_capacity(count: usize) -> Self {
        Self {
            lower: Vec::with_capacity(count),
            ..Self::default()
        }
    }

    pub(crate) fn iter<R: Revision>(&self) -> impl Iterator<Item = R> {
        let upper = self.upper.iter().copied();
        let upper = upper.chain(std::iter::repeat(self.common));
        let halves = upper.zip(&self.lower);
        halves.map(|(upper, &lower)| R::join(upper, lower))
    }

    pub(crate) fn reserve(&mut self, count: usize) {
        self.lower.reserve(count);
    }

    pub(crate) fn push<R: Revision>(&mut self, stamp: R) {
        self.insert(self.lower.len(), stamp);
    }

    pub(crate) fn insert<R: Revision>(&mut self, position: usize, stamp: R) {
        let (upper, lower) = stamp.split();
        if self.lower.is_empty() {
            self.upper.clear();
            self.common = upper;
        }
        self.separate(upper);
        if !self.upper.is_empty() {
            self.upper.insert(position, upper);
        }
        self.lower.insert(position, lower);
    }

    pub(crate) fn set<R: Revision>(&mut self, position: usize, stamp: R) {
        let (upper, lower) = stamp.split();
        self.separate(upper);
        self.lower[position] = lower;
        if let Some(known) = self.upper.get_mut(position) {
            *known = upper;
        }
    }

    pub(crate) fn remove(&mut self, position: usize) {
        self.lower.remove(position);
        if !self.upper.is_empty() {
            self.upper.remove(position);
        }
    }

    /// Stores the upper halves row by row if `upper` differs from those of all rows.
    fn separate(&mut self, upper: u64) {
        if self.upper.is_empty() && upper != self.common {
            self.upper = vec![self.common; self.lower.len()];
        }
    }
}
