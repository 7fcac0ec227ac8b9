//! The queue of one agency.

use std::collections::VecDeque;

use lovagelatch_domain::{AgencyName, AttemptId, Moment};

/// Bound of a queue's deficit in either direction, in mean requests.
const MAX_DEFICIT_QUANTA: f64 = 32.0;

/// A request waiting for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingRequest {
    pub(crate) attempt: AttemptId,
    /// Latest start of the request. Invariant: not after its deadline.
    pub(crate) start_by: Moment,
}

/// The queued requests of one agency and its account of slot time.
#[derive(Clone, Debug)]
pub(crate) struct AgencyQueue {
    pub(crate) agency: Option<AgencyName>,
    pub(crate) waiting: VecDeque<WaitingRequest>,
    /// Since when the queue has been non-empty; meaningless while it is empty.
    pub(crate) backlogged_since: Moment,
    /// Requests of this agency that hold a slot.
    pub(crate) running: u32,
    /// Slot time that the agency may still use in its turn, in seconds; negative while the agency
    /// has used more than its share.
    deficit: f64,
}

impl AgencyQueue {
    pub(crate) fn new(agency: Option<AgencyName>) -> Self {
        Self {
            agency,
            waiting: VecDeque::new(),
            backlogged_since: Moment::ZERO,
            running: 0,
            deficit: 0.0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    pub(crate) fn add_quantum(&mut self, quantum: f64) {
        self.deficit = (self.deficit + quantum).min(quantum * MAX_DEFICIT_QUANTA);
    }

    pub(crate) fn can_afford(&self, charge: f64) -> bool {
        self.deficit >= charge
    }

    pub(crate) fn spend(&mut self, charge: f64, quantum: f64) {
        self.deficit = (self.deficit - charge).max(-quantum * MAX_DEFICIT_QUANTA);
    }

    /// Discards unused credit but keeps a debt. Called when the queue is empty.
    pub(crate) fn drop_credit(&mut self) {
        self.deficit = self.deficit.min(0.0);
    }
}
