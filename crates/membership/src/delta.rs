//! Rows, what changed between two states of a table, and helpers over sorted rows.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use thiserror::Error;

/// Fixed keys of the row hash: every process must compute the same digest.
const ROW_HASH_KEYS: (u64, u64) = (0x7461_626c, 0x726f_7773);

/// A row of a [`TableIndex`](crate::TableIndex)'s table.
pub trait TableRow: Serialize + Clone + PartialEq {
    /// What identifies the row.
    type Key: Ord + Clone;

    /// The row's key.
    fn key(&self) -> Self::Key;
}

/// Which state of a table a process holds: small enough to travel every second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TableHead {
    /// The revision; 0 before any is known.
    pub revision: u64,
    /// The sum of the rows' hashes.
    pub digest: u64,
}

/// What changed after one revision of a table, or the whole of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta<K, V> {
    /// The state it starts from: `None` for the whole table.
    pub from: Option<u64>,
    /// The state it leads to.
    pub to: TableHead,
    /// The oldest revision after which removals are known.
    pub floor: u64,
    /// New and changed rows with their stamps.
    pub changed: Vec<(u64, V)>,
    /// Keys of removed rows with the revisions of their removal.
    pub removed: Vec<(u64, K)>,
}

impl<K, V> TableDelta<K, V> {
    /// Adds a part that was split off; a part of another delta replaces what was joined.
    pub(crate) fn join(&mut self, part: Self) {
        if self.to == part.to && self.from == part.from {
            self.changed.extend(part.changed);
            self.removed.extend(part.removed);
        } else {
            *self = part;
        }
    }
}

/// One row's change: before and after.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange<V> {
    /// The row before; `None` when it is new.
    pub old: Option<V>,
    /// The row after; `None` when it was removed.
    pub new: Option<V>,
}

/// Why a delta was not applied. The table is as before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// It leads to a revision that is not above the one held.
    #[error("revision {offered} is not above {held}")]
    NotNewer {
        /// The revision offered.
        offered: u64,
        /// The revision held.
        held: u64,
    },
    /// It starts after the revision held.
    #[error("delta from revision {from} does not fit revision {held}")]
    Gap {
        /// Where it starts.
        from: u64,
        /// The revision held.
        held: u64,
    },
    /// The result would not have the digest that it promises.
    #[error("delta to revision {revision} gives another digest")]
    WrongDigest {
        /// The revision it leads to.
        revision: u64,
    },
}

/// Makes each key occur once: a row that is there after the delta was not removed by it.
pub(crate) fn without_doubles<K: Ord + Clone, V: TableRow<Key = K>>(
    mut delta: TableDelta<K, V>,
) -> TableDelta<K, V> {
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

/// The changes that a delta without doubles brings.
pub(crate) fn plan<K: Ord + Clone, V: TableRow<Key = K>>(
    rows: &[V],
    delta: &TableDelta<K, V>,
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

/// The differences between two sorted tables.
pub(crate) fn compare<V: TableRow>(old: &[V], new: &[V]) -> Vec<RowChange<V>> {
    let mut changes = Vec::new();
    let mut old = old.iter().peekable();
    let gone = |row: &V| RowChange {
        old: Some(row.clone()),
        new: None,
    };
    for row in new {
        let key = row.key();
        while let Some(before) = old.next_if(|candidate| candidate.key() < key) {
            changes.push(gone(before));
        }
        let before = old.next_if(|candidate| candidate.key() == key);
        if before != Some(row) {
            changes.push(RowChange {
                old: before.cloned(),
                new: Some(row.clone()),
            });
        }
    }
    changes.extend(old.map(gone));
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
