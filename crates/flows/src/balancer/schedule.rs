//! Timers of searches.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lovagelatch_domain::Moment;

use crate::packet::FlowKey;

/// Limit on entries: enough for one timer for each of 16,384 concurrent searches. A search without
/// a timer continues with its client's next packet.
const MAX_ENTRIES: usize = 16_384;

/// Searches ordered by the due time of their next step. A search that ended earlier stays until
/// then.
#[derive(Debug, Default)]
pub(super) struct SearchSchedule {
    entries: BinaryHeap<Reverse<(Moment, FlowKey)>>,
}

impl SearchSchedule {
    pub(super) fn push(&mut self, flow: FlowKey, due: Moment) {
        if self.entries.len() < MAX_ENTRIES {
            self.entries.push(Reverse((due, flow)));
        }
    }

    /// Removes and returns a search whose step is due.
    pub(super) fn pop_due(&mut self, now: Moment) -> Option<FlowKey> {
        let &Reverse((due, flow)) = self.entries.peek()?;
        (due <= now).then(|| {
            self.entries.pop();
            flow
        })
    }

    pub(super) fn next_due(&self) -> Option<Moment> {
        self.entries.peek().map(|Reverse((due, _))| *due)
    }
}
