//! The event list of a run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lovagelatch_domain::{AttemptId, GateReport, Moment, RefusalReason};
use std::time::Duration;

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The next request arrives.
    Arrival,
    /// An attempt reaches a gate.
    Reach { attempt: AttemptId, gate: usize },
    /// A server ends an attempt.
    End { attempt: AttemptId, gate: usize },
    /// A gate asked to be woken.
    Wake { gate: usize },
    /// The answer of a gate reaches the holder.
    Answer {
        attempt: AttemptId,
        gate: usize,
        report: GateReport,
    },
    /// The refusal of a gate reaches the holder.
    Refusal {
        attempt: AttemptId,
        gate: usize,
        reason: RefusalReason,
        retry_after: Duration,
    },
    /// A gate reports its load.
    Sample { gate: usize },
    /// A report reaches the peers.
    Report { gate: usize, report: GateReport },
    /// Target 0 starts cold or is warm.
    Condition { cold: bool },
    /// Target 0 leaves.
    Leave,
}

struct Entry {
    at: Moment,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events in order of time, then of their making.
#[derive(Default)]
pub(crate) struct EventList {
    heap: BinaryHeap<Reverse<Entry>>,
    made: u64,
}

impl EventList {
    pub(crate) fn push(&mut self, at: Moment, event: Event) {
        self.made += 1;
        let order = self.made;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Moment, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
