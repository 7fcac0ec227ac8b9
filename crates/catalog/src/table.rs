//! Changes of one table of the catalog, as the store tells them.

use std::sync::Arc;

use lovagelatch_membership::{RowChange, TableError, TableIndex, TableRow};

/// What a watch brought about the rows of a table: the last event of each.
pub(crate) struct TableNews<V: TableRow> {
    written: Vec<(u64, V)>,
    removed: Vec<(u64, V::Key)>,
    /// The newest revision of them; 0 when there are none.
    last: u64,
}

impl<V: TableRow> Default for TableNews<V> {
    fn default() -> Self {
        Self {
            written: Vec::new(),
            removed: Vec::new(),
            last: 0,
        }
    }
}

impl<V: TableRow> TableNews<V> {
    pub(crate) fn written(&mut self, row: V, revision: u64) {
        self.forget(&row.key());
        self.written.push((revision, row));
        self.last = self.last.max(revision);
    }

    pub(crate) fn removed(&mut self, key: V::Key, revision: u64) {
        self.forget(&key);
        self.removed.push((revision, key));
        self.last = self.last.max(revision);
    }

    fn forget(&mut self, key: &V::Key) {
        self.removed.retain(|(_, known)| known != key);
        self.written.retain(|(_, row)| row.key() != *key);
    }

    /// Applies the news; `None` where there is nothing newer than the table.
    pub(crate) fn apply(
        self,
        index: &mut TableIndex<V::Key>,
        rows: &mut Arc<Vec<V>>,
    ) -> Option<Result<Vec<RowChange<V>>, TableError>> {
        if self.last <= index.head().revision {
            return None;
        }
        let rows = Arc::make_mut(rows);
        let delta = index.delta_of(rows, self.written, self.removed, self.last);
        Some(index.apply(rows, delta))
    }
}

/// Makes a table what a list of the store holds; a row that the list lacks is gone.
pub(crate) fn replace_rows<V: TableRow>(
    index: &mut TableIndex<V::Key>,
    rows: &mut Arc<Vec<V>>,
    mut next: Vec<V>,
    revision: u64,
) -> Result<Vec<RowChange<V>>, TableError> {
    next.sort_by_key(TableRow::key);
    next.dedup_by(|a, b| a.key() == b.key());
    let rows = Arc::make_mut(rows);
    let delta = index.delta_to(rows, next, revision);
    index.apply(rows, delta)
}
