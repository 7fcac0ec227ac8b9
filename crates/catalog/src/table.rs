//! Changes of one catalog table, as the store reports them.

use std::sync::Arc;

use lovagelatch_domain::StorePosition;
use lovagelatch_membership::{RowChange, TableError, TableIndex, TableRow};

/// Row changes that a watch reported: the last event of each row.
pub(crate) struct TableUpdate<V: TableRow> {
    written: Vec<(StorePosition, V)>,
    removed: Vec<(StorePosition, V::Key)>,
    /// The newest revision among them; 0 if there are none.
    last_revision: StorePosition,
}

impl<V: TableRow> Default for TableUpdate<V> {
    fn default() -> Self {
        Self {
            written: Vec::new(),
            removed: Vec::new(),
            last_revision: StorePosition::default(),
        }
    }
}

impl<V: TableRow> TableUpdate<V> {
    pub(crate) fn write(&mut self, row: V, revision: StorePosition) {
        self.discard(&row.key());
        self.written.push((revision, row));
        self.last_revision = self.last_revision.max(revision);
    }

    pub(crate) fn remove(&mut self, key: V::Key, revision: StorePosition) {
        self.discard(&key);
        self.removed.push((revision, key));
        self.last_revision = self.last_revision.max(revision);
    }

    fn discard(&mut self, key: &V::Key) {
        self.removed.retain(|(_, known)| known != key);
        self.written.retain(|(_, row)| row.key() != *key);
    }

    /// Applies the changes. Returns `None` if none is newer than the table.
    pub(crate) fn apply(
        self,
        index: &mut TableIndex<V::Key, StorePosition>,
        rows: &mut Arc<Vec<V>>,
    ) -> Option<Result<Vec<RowChange<V>>, TableError<StorePosition>>> {
        if self.last_revision <= index.head().revision {
            return None;
        }
        let rows = Arc::make_mut(rows);
        let delta = index.delta_of(rows, self.written, self.removed, self.last_revision);
        Some(index.apply(rows, delta))
    }
}

/// Replaces the rows of a table by those of a store list; rows that the list lacks are removed.
pub(crate) fn replace_rows<V: TableRow>(
    index: &mut TableIndex<V::Key, StorePosition>,
    rows: &mut Arc<Vec<V>>,
    mut next: Vec<V>,
    revision: StorePosition,
) -> Result<Vec<RowChange<V>>, TableError<StorePosition>> {
    next.sort_by_key(TableRow::key);
    next.dedup_by(|a, b| a.key() == b.key());
    let rows = Arc::make_mut(rows);
    let delta = index.delta_to(rows, next, revision);
    index.apply(rows, delta)
}
