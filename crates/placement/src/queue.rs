//! Deficit round robin over the agencies, measured in slot time.
//!
//! Each agency with queued requests gets the same slot time per round, regardless of the number and
//! size of its requests. The size of a request is not known in advance, so the request is charged
//! one quantum (the mean service time) when it starts, and the difference when it ends.
//!
//! ```text
//!   agency a  [x x x x x x x x x]  --+
//!   agency b  [x]                  --+-- in turn, one quantum of slot time each --> slots
//!   no agency [x x]                --+
//! ```

use std::time::Duration;

use lovagelatch_domain::{AgencyName, AttemptId, Moment};

use crate::agency_queue::{AgencyQueue, WaitingRequest};

/// A request taken from its queue, with the agency it was charged to.
#[derive(Clone, Debug)]
pub(crate) struct DequeuedRequest {
    pub(crate) waiting: WaitingRequest,
    pub(crate) agency: Option<AgencyName>,
    /// In seconds of slot time.
    pub(crate) charge: f64,
}

/// The queued requests of one gate.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// One queue for each agency with a queued or running request, in round robin order.
    queues: Vec<AgencyQueue>,
    /// Index of the queue that is served next. Invariant: below `queues.len()`, or 0.
    turn: usize,
    /// Whether that queue has received its quantum in this round.
    granted: bool,
    /// Invariant: the number of queued requests in all queues.
    waiting: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.queues.iter().any(|queue| {
            queue
                .waiting
                .iter()
                .any(|waiting| waiting.attempt == attempt)
        })
    }

    pub(crate) fn backlog(&self, agency: Option<&AgencyName>) -> usize {
        self.find(agency)
            .map_or(0, |index| self.queues[index].waiting.len())
    }

    /// Returns since when the agency's queue has been non-empty; `None` if it is empty.
    pub(crate) fn backlogged_since(&self, agency: Option<&AgencyName>) -> Option<Moment> {
        let queue = &self.queues[self.find(agency)?];
        (!queue.waiting.is_empty()).then_some(queue.backlogged_since)
    }

    /// Returns the number of agencies with queued requests, counting this one in any case.
    pub(crate) fn waiting_agencies_with(&self, agency: Option<&AgencyName>) -> usize {
        1 + self
            .queues
            .iter()
            .filter(|queue| queue.agency.as_ref() != agency && !queue.waiting.is_empty())
            .count()
    }

    /// Returns how many queued requests are served before a new one of this agency.
    pub(crate) fn queued_ahead_of(&self, agency: Option<&AgencyName>) -> usize {
        let own = self.backlog(agency);
        let others = self
            .queues
            .iter()
            .filter(|queue| queue.agency.as_ref() != agency);
        own + others
            .map(|queue| queue.waiting.len().min(own + 1))
            .sum::<usize>()
    }

    pub(crate) fn earliest_start_by(&self) -> Option<Moment> {
        self.queues
            .iter()
            .flat_map(|queue| queue.waiting.iter())
            .map(|waiting| waiting.start_by)
            .min()
    }

    pub(crate) fn push(
        &mut self,
        agency: Option<AgencyName>,
        waiting: WaitingRequest,
        now: Moment,
    ) {
        let index = self.find_or_add(agency);
        let queue = &mut self.queues[index];
        if queue.waiting.is_empty() {
            queue.backlogged_since = now;
        }
        queue.waiting.push_back(waiting);
        self.waiting += 1;
    }

    /// Takes the next request. `quantum` is the mean service time in seconds.
    pub(crate) fn pop(&mut self, quantum: f64) -> Option<DequeuedRequest> {
        if self.waiting == 0 {
            return None;
        }
        // The loop ends: each round grants every queue one quantum, and the deficits are bounded.
        loop {
            let queue = &mut self.queues[self.turn];
            if queue.waiting.is_empty() {
                queue.drop_credit();
                self.next_turn();
                continue;
            }
            if !self.granted {
                queue.add_quantum(quantum);
                self.granted = true;
            }
            if !queue.can_afford(quantum) {
                self.next_turn();
                continue;
            }
            let waiting = queue.waiting.pop_front()?;
            queue.spend(quantum, quantum);
            queue.running += 1;
            self.waiting -= 1;
            return Some(DequeuedRequest {
                waiting,
                agency: queue.agency.clone(),
                charge: quantum,
            });
        }
    }

    /// Charges a request that starts without being queued.
    pub(crate) fn start_immediately(&mut self, agency: Option<AgencyName>, quantum: f64) {
        let index = self.find_or_add(agency);
        let queue = &mut self.queues[index];
        queue.spend(quantum, quantum);
        queue.running += 1;
    }

    /// Corrects the charge of a request that held its slot for `took`.
    pub(crate) fn settle(
        &mut self,
        agency: Option<&AgencyName>,
        charge: f64,
        took: Duration,
        quantum: f64,
    ) {
        let Some(index) = self.find(agency) else {
            return;
        };
        let queue = &mut self.queues[index];
        queue.running = queue.running.saturating_sub(1);
        queue.spend(took.as_secs_f64() - charge, quantum);
        self.drop_if_idle(index);
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptId) -> bool {
        let mut removed = false;
        self.retain(|waiting| {
            let keep = waiting.attempt != attempt;
            removed |= !keep;
            keep
        });
        removed
    }

    /// Keeps the queued requests for which `keep` returns true, in their order.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&WaitingRequest) -> bool) {
        for index in (0..self.queues.len()).rev() {
            self.queues[index].waiting.retain(|waiting| keep(waiting));
            self.drop_if_idle(index);
        }
        self.waiting = self.queues.iter().map(|queue| queue.waiting.len()).sum();
    }

    fn next_turn(&mut self) {
        self.turn = (self.turn + 1) % self.queues.len();
        self.granted = false;
    }

    fn find(&self, agency: Option<&AgencyName>) -> Option<usize> {
        self.queues
            .iter()
            .position(|queue| queue.agency.as_ref() == agency)
    }

    fn find_or_add(&mut self, agency: Option<AgencyName>) -> usize {
        if let Some(index) = self.find(agency.as_ref()) {
            return index;
        }
        self.queues.push(AgencyQueue::new(agency));
        self.queues.len() - 1
    }

    fn drop_if_idle(&mut self, index: usize) {
        if !self.queues[index].is_idle() {
            return;
        }
        self.queues.remove(index);
        if index < self.turn {
            self.turn -= 1;
        } else if index == self.turn {
            self.granted = false;
        }
        if self.turn >= self.queues.len() {
            self.turn = 0;
        }
    }
}
