//! A table index with the revision at which each row last changed.
//!
//! At full size, a whole configuration or instance list is larger than what a node may send in many
//! minutes. Each row therefore carries the revision at which it changed (or a later one, if the
//! holder skipped revisions), so a holder can answer "what changed after revision N" for any N
//! without a log of past changes. A superfluous row in the answer is harmless. A missing row is
//! possible: a holder that skipped the revisions in which a row was added and removed cannot report
//! its removal. The receiver detects this by a digest mismatch and requests the whole table.
//!
//! ```text
//! rows    a  b  c  d          digest = sum of the row hashes, so a change of one
//! stamps  3  7  3  5          row updates it without reading the others
//! removed (e, 6)   floor 2    removals up to the floor are forgotten: requests
//!                             from below it get the whole table
//! ```

use std::collections::BTreeMap;

use crate::delta::{
    RowChange, TableDelta, TableError, TableHead, TableRow, diff_rows, find, planned_changes,
    row_hash, without_duplicates,
};
use crate::stamps::{Revision, RowStamps};

/// Removals that are kept before the oldest are forgotten.
const MAX_REMOVED_ROWS: usize = 4096;

/// Above this number of changes, the table is rebuilt in one pass.
const BULK_CHANGES: usize = 32;

/// The revisions of a table's rows. The owner holds the rows themselves, sorted by key.
#[derive(Clone, Debug)]
pub struct TableIndex<K, R = u64> {
    head: TableHead<R>,
    /// Invariant: one for each row, in the same order.
    stamps: RowStamps,
    /// Invariant: sorted by revision.
    removed: Vec<(R, K)>,
    floor: R,
}

impl<K, R: Default> Default for TableIndex<K, R> {
    fn default() -> Self {
        Self {
            head: TableHead::default(),
            stamps: RowStamps::default(),
            removed: Vec::new(),
            floor: R::default(),
        }
    }
}

impl<K: Ord + Clone, R: Revision> TableIndex<K, R> {
    /// Returns the revision and digest of the table.
    #[must_use]
    pub fn head(&self) -> TableHead<R> {
        self.head
    }

    /// Returns the changes after `revision`, or the whole table if they are no longer known.
    #[must_use]
    pub fn delta_since<V: TableRow<Key = K>>(
        &self,
        rows: &[V],
        revision: R,
    ) -> TableDelta<K, V, R> {
        let full = revision < self.floor || revision == R::default();
        let after = if full { R::default() } else { revision };
        let stamped = self.stamps.iter::<R>().zip(rows);
        let changed = stamped.filter(|&(stamp, _)| full || stamp > after);
        let removed = self.removed.iter().filter(|(stamp, _)| *stamp > after);
        TableDelta {
            from: (!full).then_some(revision),
            to: self.head,
            floor: self.floor,
            changed: changed.map(|(stamp, row)| (stamp, row.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Returns the delta that turns `rows` into `next`, which is sorted by key without duplicates.
    #[must_use]
    pub fn delta_to<V: TableRow<Key = K>>(
        &self,
        rows: &[V],
        next: Vec<V>,
        revision: R,
    ) -> TableDelta<K, V, R> {
        let mut digest = self.head.digest;
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        let mut old = rows.iter().peekable();
        for row in next {
            let key = row.key();
            while let Some(gone) = old.next_if(|candidate| candidate.key() < key) {
                digest = digest.wrapping_sub(row_hash(gone));
                removed.push((revision, gone.key()));
            }
            let before = old.next_if(|candidate| candidate.key() == key);
            if before == Some(&row) {
                continue;
            }
            let before_hash = before.map_or(0, row_hash);
            digest = digest
                .wrapping_sub(before_hash)
                .wrapping_add(row_hash(&row));
            changed.push((revision, row));
        }
        for gone in old {
            digest = digest.wrapping_sub(row_hash(gone));
            removed.push((revision, gone.key()));
        }
        // Before the first table, earlier removals are unknown.
        let is_first = self.head.revision == R::default();
        TableDelta {
            from: (!is_first).then_some(self.head.revision),
            to: TableHead { revision, digest },
            floor: if is_first { revision } else { self.floor },
            changed,
            removed,
        }
    }

    /// Returns the delta that writes `changed` and removes `removed`, each key at most once in
    /// total. The cost depends only on the changed rows.
    #[must_use]
    pub fn delta_of<V: TableRow<Key = K>>(
        &self,
        rows: &[V],
        changed: Vec<(R, V)>,
        removed: Vec<(R, K)>,
        revision: R,
    ) -> TableDelta<K, V, R> {
        let held_hash = |key: &K| find(rows, key).map_or(0, |at| row_hash(&rows[at]));
        let mut digest = self.head.digest;
        for (_, row) in &changed {
            digest = digest
                .wrapping_sub(held_hash(&row.key()))
                .wrapping_add(row_hash(row));
        }
        for (_, key) in &removed {
            digest = digest.wrapping_sub(held_hash(key));
        }
        TableDelta {
            from: Some(self.head.revision),
            to: TableHead { revision, digest },
            floor: self.floor,
            changed,
            removed,
        }
    }

    /// Applies a delta to the rows and returns the row changes.
    ///
    /// # Errors
    ///
    /// Returns a [`TableError`] if the delta was refused; rows and index are then unchanged.
    pub fn apply<V: TableRow<Key = K>>(
        &mut self,
        rows: &mut Vec<V>,
        delta: TableDelta<K, V, R>,
    ) -> Result<Vec<RowChange<V>>, TableError<R>> {
        let held = self.head.revision;
        let revision = delta.to.revision;
        if revision <= held {
            return Err(TableError::NotNewer {
                offered: revision,
                held,
            });
        }
        self.apply_authoritative(rows, delta)
    }

    /// Applies a delta even if it leads to the revision already held. Only for answers of the
    /// platform itself.
    ///
    /// # Errors
    ///
    /// Returns a [`TableError`] if the delta was refused; rows and index are then unchanged.
    pub(crate) fn apply_authoritative<V: TableRow<Key = K>>(
        &mut self,
        rows: &mut Vec<V>,
        delta: TableDelta<K, V, R>,
    ) -> Result<Vec<RowChange<V>>, TableError<R>> {
        match delta.from {
            None => self.replace(rows, delta),
            Some(from) if from > self.head.revision => Err(TableError::Gap {
                from,
                held: self.head.revision,
            }),
            Some(_) => self.merge(rows, without_duplicates(delta)),
        }
    }

    fn replace<V: TableRow<Key = K>>(
        &mut self,
        rows: &mut Vec<V>,
        mut delta: TableDelta<K, V, R>,
    ) -> Result<Vec<RowChange<V>>, TableError<R>> {
        delta.changed.sort_by_key(|(_, row)| row.key());
        delta.changed.dedup_by(|a, b| a.1.key() == b.1.key());
        let mut stamps = RowStamps::with_capacity(delta.changed.len());
        let mut next = Vec::with_capacity(delta.changed.len());
        for (stamp, row) in delta.changed {
            stamps.push(stamp);
            next.push(row);
        }
        let digest = next
            .iter()
            .fold(0, |sum: u64, row| sum.wrapping_add(row_hash(row)));
        if digest != delta.to.digest {
            return Err(TableError::WrongDigest {
                revision: delta.to.revision,
            });
        }
        let changes = diff_rows(rows, &next);
        *rows = next;
        self.stamps = stamps;
        self.removed = delta.removed;
        self.removed.sort();
        self.floor = delta.floor;
        self.head = delta.to;
        Ok(changes)
    }

    fn merge<V: TableRow<Key = K>>(
        &mut self,
        rows: &mut Vec<V>,
        delta: TableDelta<K, V, R>,
    ) -> Result<Vec<RowChange<V>>, TableError<R>> {
        let changes = planned_changes(rows, &delta);
        let mut digest = self.head.digest;
        for change in &changes {
            digest = digest
                .wrapping_sub(change.old.as_ref().map_or(0, row_hash))
                .wrapping_add(change.new.as_ref().map_or(0, row_hash));
        }
        if digest != delta.to.digest {
            return Err(TableError::WrongDigest {
                revision: delta.to.revision,
            });
        }
        if changes.len() > BULK_CHANGES {
            self.rebuild(rows, delta.changed, delta.removed);
        } else {
            self.patch(rows, delta.changed, delta.removed);
        }
        self.head = delta.to;
        self.trim_removals();
        Ok(changes)
    }

    /// Applies a few changes in place.
    fn patch<V: TableRow<Key = K>>(
        &mut self,
        rows: &mut Vec<V>,
        changed: Vec<(R, V)>,
        removed: Vec<(R, K)>,
    ) {
        for (stamp, key) in removed {
            self.remove(rows, stamp, key);
        }
        for (stamp, row) in changed {
            self.put(rows, stamp, row);
        }
    }

    /// Applies many changes in one pass. In-place inserts would move all following rows each time,
    /// which takes seconds when a zone comes back.
    fn rebuild<V: TableRow<Key = K>>(
        &mut self,
        rows: &mut Vec<V>,
        changed: Vec<(R, V)>,
        removed: Vec<(R, K)>,
    ) {
        let mut next: BTreeMap<K, (R, Option<V>)> = BTreeMap::new();
        for (stamp, key) in removed {
            next.insert(key, (stamp, None));
        }
        for (stamp, row) in changed {
            next.insert(row.key(), (stamp, Some(row)));
        }
        self.removed.retain(|(_, key)| !next.contains_key(key));
        let old_stamps = std::mem::take(&mut self.stamps);
        let old_count = rows.len();
        let mut old = std::mem::take(rows)
            .into_iter()
            .zip(old_stamps.iter::<R>())
            .peekable();
        let kept = old_count + next.len();
        rows.reserve(kept);
        self.stamps.reserve(kept);
        for (key, (stamp, row)) in next {
            while let Some((row, stamp)) = old.next_if(|(row, _)| row.key() < key) {
                rows.push(row);
                self.stamps.push(stamp);
            }
            let _replaced = old.next_if(|(row, _)| row.key() == key);
            match row {
                Some(row) => {
                    rows.push(row);
                    self.stamps.push(stamp);
                }
                None => self.removed.push((stamp, key)),
            }
        }
        for (row, stamp) in old {
            rows.push(row);
            self.stamps.push(stamp);
        }
        self.removed.sort();
    }

    fn put<V: TableRow<Key = K>>(&mut self, rows: &mut Vec<V>, stamp: R, row: V) {
        let key = row.key();
        self.removed.retain(|(_, gone)| *gone != key);
        match find(rows, &key) {
            Ok(position) => {
                rows[position] = row;
                self.stamps.set(position, stamp);
            }
            Err(position) => {
                rows.insert(position, row);
                self.stamps.insert(position, stamp);
            }
        }
    }

    fn remove<V: TableRow<Key = K>>(&mut self, rows: &mut Vec<V>, stamp: R, key: K) {
        if let Ok(position) = find(rows, &key) {
            rows.remove(position);
            self.stamps.remove(position);
        }
        self.removed.retain(|(_, gone)| *gone != key);
        let entry = (stamp, key);
        if let Err(position) = self.removed.binary_search(&entry) {
            self.removed.insert(position, entry);
        }
    }

    fn trim_removals(&mut self) {
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_ROWS);
        for (stamp, _) in self.removed.drain(..excess) {
            self.floor = self.floor.max(stamp);
        }
    }
}
