//! The event queue of a simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lovagelatch_domain::{AttemptId, GateReport, Moment, RefusalReason};
use std::time::Duration;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    /// The next request arrives.
    Arrival,
    /// An attempt reaches a gate.
    GateArrival { attempt: AttemptId, gate: usize },
    /// A server finishes an attempt.
    ServiceEnd { attempt: AttemptId, gate: usize },
    /// A wakeup that a gate requested is due.
    Wakeup { gate: usize },
    /// The response reaches the holder, with the report of the gate.
    Response {
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
    /// A gate samples its load for a report.
    LoadSample { gate: usize },
    /// A report reaches the peers.
    LoadReport { gate: usize, report: GateReport },
    /// Target 0 becomes cold, or warm again.
    ConditionChange { cold: bool },
    /// Target 0 starts to leave.
    Leave,
}

struct QueueEntry {
    at: Moment,
    order: u64,
    event: SimEvent,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A queue of events in order of time, then of insertion.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<QueueEntry>>,
    pushed: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Moment, event: SimEvent) {
        self.pushed += 1;
        let order = self.pushed;
        self.heap.push(Reverse(QueueEntry { at, order, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Moment, SimEvent)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
