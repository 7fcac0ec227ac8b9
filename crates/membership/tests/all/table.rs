//! Tables that are exchanged as deltas.

use lovagelatch_membership::{TableIndex, TableRow};
use quickcheck::quickcheck;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TestRow {
    key: u8,
    value: u8,
}

impl TableRow for TestRow {
    type Key = u8;

    fn key(&self) -> u8 {
        self.key
    }
}

#[derive(Default)]
struct Holder {
    index: TableIndex<u8>,
    rows: Vec<TestRow>,
}

impl Holder {
    fn publish(&mut self, content: &[(u8, u8)], revision: u64) {
        let mut next: Vec<TestRow> = content
            .iter()
            .map(|&(key, value)| TestRow { key, value })
            .collect();
        next.sort_by_key(|row| row.key);
        next.dedup_by_key(|row| row.key);
        let delta = self.index.delta_to(&self.rows, next, revision);
        self.index.apply(&mut self.rows, delta).unwrap();
    }

    fn pull_from(&mut self, other: &Self) -> bool {
        let held = self.index.head().revision;
        let delta = other.index.delta_since(&other.rows, held);
        self.index.apply(&mut self.rows, delta).is_ok()
    }
}

quickcheck! {
    /// Holders end with the same rows, whichever revisions they skip and whichever holder they pull
    /// from.
    fn holders_that_skip_revisions_agree(contents: Vec<Vec<(u8, u8)>>, skips: Vec<u8>) -> bool {
        let mut source = Holder::default();
        let mut holders: [Holder; 3] = Default::default();
        for (revision, content) in (1..).zip(&contents) {
            source.publish(content, revision);
            let skip = skips.get(usize::try_from(revision).unwrap_or(0) % skips.len().max(1));
            let number = usize::from(skip.copied().unwrap_or(0)) % 4;
            if number < 3 {
                holders[number].pull_from(&source);
            }
            if number == 1 {
                let (first, rest) = holders.split_at_mut(1);
                rest[1].pull_from(&first[0]);
            }
        }
        // Pull in order: the first from the source, the second from the first, the third from the
        // second.
        let (first, rest) = holders.split_at_mut(1);
        first[0].pull_from(&source);
        rest[0].pull_from(&first[0]);
        let (second, third) = rest.split_at_mut(1);
        third[0].pull_from(&second[0]);
        holders.iter().all(|holder| {
            holder.rows == source.rows && holder.index.head() == source.index.head()
        })
    }
}

#[test]
fn removed_row_that_comes_back_is_kept() {
    for many in [1, 100] {
        let rows: Vec<(u8, u8)> = (0..many).map(|key| (key, 1)).collect();
        let mut source = Holder::default();
        source.publish(&rows, 1);
        let mut reader = Holder::default();
        assert!(reader.pull_from(&source));
        source.publish(&[], 2);
        source.publish(&rows, 3);
        assert!(reader.pull_from(&source), "{many} rows");
        assert_eq!(reader.rows, source.rows);
    }
}
