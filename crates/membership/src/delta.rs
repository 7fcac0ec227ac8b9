//! Table rows, deltas between two states of a table, and helpers over sorted rows.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use thiserror::Error;

/// Fixed keys of the row hash, because every process must compute the same digest.
const ROW_HASH_KEYS: (u64, u64) = (0x7461_626c, 0x726f_7773);

/// A row of a table with a [`TableIndex`](crate::TableIndex).
pub trait TableRow: Serialize + Clone + PartialEq {
    /// Key that identifies the row within its table.
    type Key: Ord + Clone;

    /// Returns the key of the row.
    fn key(&self) -> Self::Key;
}

/// Identifies a state of a table; small enough to be sent every second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TableHead<R = u64> {
    /// Revision of the table; 0 before any is known.
    pub revision: R,
    /// Wrapping sum of the row hashes.
    pub digest: u64,
}

impl<R: PartialEq> TableHead<R> {
    /// Returns whether the two states have the same revision and different content.
    #[must_use]
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.revision == other.revision && self.digest != other.digest
    }
}

/// The changes after one revision of a table, or the whole table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta<K, V, R = u64> {
    /// Revision that the delta applies to; `None` for the whole table.
    pub from: Option<R>,
    /// State after the delta is applied.
    pub to: TableHead<R>,
    /// Oldest revision after which all removals are known.
    pub floor: R,
    /// New and changed rows with the revisions of their last change.
    pub changed: Vec<(R, V)>,
    /// Keys of removed rows with the revisions of their removal.
    pub removed: Vec<(R, K)>,
}

impl<K, V, R: PartialEq> TableDelta<K, V, R> {
    /// Appends a part of the same delta; a part of another delta replaces the parts collected so
    /// far.
    pub(crate) fn append(&mut self, part: Self) {
        if self.to == part.to && self.from == part.from {
            self.changed.extend(part.changed);
            self.removed.extend(part.removed);
        } else {
            *self = part;
        }
    }
}

/// Change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange<V> {
    /// Row before the change; `None` if it is new.
    pub old: Option<V>,
    /// Row after the change; `None` if it was removed.
    pub new: Option<V>,
}

/// Why a delta was refused. The table is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TableError<R = u64> {
    /// It leads to a revision that is not higher than the one held.
    #[error("revision {offered} is not higher than revision {held} held")]
    NotNewer {
        /// Revision that the delta leads to.
        offered: R,
        /// Revision held.
        held: R,
    },
    /// It starts at a revision after the one held.
    #[error("delta starts at revision {from}, after revision {held} held")]
    Gap {
        /// Revision at which the delta starts.
        from: R,
        /// Revision held.
        held: R,
    },
    /// The digest of the result differs from the one in the delta.
    #[error("digest mismatch after delta to revision {revision}")]
    WrongDigest {
        /// Revision that the delta leads to.
        revision: R,
    },
}

/// Makes every key occur once. A key that is both changed and removed counts as changed.
pub(crate) fn without_duplicates<K: Ord + Clone, V: TableRow<Key = K>, R>(
    mut delta: TableDelta<K, V, R>,
) -> TableDelta<K, V, R> {
    delta.changed.sort_by_key(|(_, row)| row.key());
    delta.changed.dedup_by(|a, b| a.1.key() == b.1.key());
    delta.removed.sort_by(|a, b| a.1.cmp(&b.1));
    delta.removed.dedup_by(|a, b| a.1 == b.1);
    let changed = &delta.changed;
    delta.removed.retain(|(_, key)| {
        let found = changed.binary_search_by(|(_, row)| row.key().cmp(key));
        found.is_err()
    });
    delta
}

/// Returns the row changes that a delta without duplicates makes.
pub(crate) fn planned_changes<K: Ord + Clone, V: TableRow<Key = K>, R>(
    rows: &[V],
    delta: &TableDelta<K, V, R>,
) -> Vec<RowChange<V>> {
    let mut changes = Vec::with_capacity(delta.changed.len() + delta.removed.len());
    for (_, row) in &delta.changed {
        let old = find(rows, &row.key()).ok().map(|at| rows[at].clone());
        changes.push(RowChange {
            old,
            new: Some(row.clone()),
        });
    }
    for (_, key) in &delta.removed {
        if let Ok(at) = find(rows, key) {
            changes.push(RowChange {
                old: Some(rows[at].clone()),
                new: None,
            });
        }
    }
    changes
}

/// Returns the differences between two sorted tables.
pub(crate) fn diff_rows<V: TableRow>(old: &[V], new: &[V]) -> Vec<RowChange<V>> {
    let mut changes = Vec::new();
    let mut old = old.iter().peekable();
    let removal = |row: &V| RowChange {
        old: Some(row.clone()),
        new: None,
    };
    for row in new {
        let key = row.key();
        while let Some(before) = old.next_if(|candidate| candidate.key() < key) {
            changes.push(removal(before));
        }
        let before = old.next_if(|candidate| candidate.key() == key);
        if before != Some(row) {
            changes.push(RowChange {
                old: before.cloned(),
                new: Some(row.clone()),
            });
        }
    }
    changes.extend(old.map(removal));
    changes
}

pub(crate) fn find<V: TableRow>(rows: &[V], key: &V::Key) -> Result<usize, usize> {
    rows.binary_search_by(|row| row.key().cmp(key))
}

pub(crate) fn row_hash<V: Serialize>(row: &V) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(ROW_HASH_KEYS.0, ROW_HASH_KEYS.1);
    let bytes = postcard::to_stdvec(row).unwrap_or_default();
    hasher.write(&bytes);
    hasher.finish()
}
