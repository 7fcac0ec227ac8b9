//! The queue of one key, for example of one agency.

use std::collections::VecDeque;

use lovagelatch_domain::{AgencyName, AttemptId, Moment};

/// What a [`FairQueue`](crate::FairQueue) shares slot time between.
pub trait QueueKey: Clone + PartialEq {
    /// Returns its share relative to that of the other keys. Invariant: at least 1.
    fn weight(&self) -> f64 {
        1.0
    }
}

/// The agency of a request; `None` for requests of no agency, which share one queue.
pub(crate) type AgencyKey = Option<AgencyName>;

impl QueueKey for AgencyKey {}

/// Bound of a queue's deficit in either direction, in mean requests.
const MAX_DEFICIT_QUANTA: f64 = 32.0;

/// A request waiting for a slot of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingRequest {
    pub(crate) attempt: AttemptId,
    /// Latest start of the request. Invariant: not after its deadline.
    pub(crate) start_by: Moment,
}

/// The queued requests of one key and its account of slot time.
#[derive(Clone, Debug)]
pub(crate) struct KeyQueue<K, R> {
    pub(crate) key: K,
    pub(crate) waiting: VecDeque<R>,
    /// Since when the queue has been non-empty; meaningless while it is empty.
    pub(crate) backlogged_since: Moment,
    /// Requests of this key that hold a slot.
    pub(crate) running: u32,
    /// Slot time that the key may still use in its turn, in seconds; negative while the key
    /// has used more than its share.
    deficit: f64,
}

impl<K: QueueKey, R> KeyQueue<K, R> {
    pub(crate) fn new(key: K) -> Self {
        Self {
            key,
            waiting: VecDeque::new(),
            backlogged_since: Moment::ZERO,
            running: 0,
            deficit: 0.0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// Grants the slot time of one round.
    pub(crate) fn add_quantum(&mut self, quantum: f64) {
        let granted = quantum * self.key.weight();
        self.deficit = (self.deficit + granted).min(granted * MAX_DEFICIT_QUANTA);
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
