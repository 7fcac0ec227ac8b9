//! Deficit round robin over the agencies, counted in slot time.
//!
//! Each agency with waiting requests gets the same slot time in turn, whatever the number and
//! size of its requests. A request's size is unknown beforehand, so it is charged one quantum (the
//! mean of all) at its start and the difference at its end.
//!
//! ```text
//!   agency a  [x x x x x x x x x]  --+
//!   agency b  [x]                  --+-- in turn, one quantum of slot time each --> slots
//!   no agency [x x]                --+
//! ```

use std::time::Duration;

use lovagelatch_domain::{AgencyName, AttemptId, Moment};

use crate::class::{AgencyClass, WaitingRequest};

/// A request taken from the queue, with the account it was charged to.
#[derive(Clone, Debug)]
pub(crate) struct TakenRequest {
    pub(crate) waiting: WaitingRequest,
    pub(crate) agency: Option<AgencyName>,
    /// In seconds of slot time.
    pub(crate) charge: f64,
}

/// The waiting requests of one gate.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Every agency with a request that waits or runs, in turn order.
    classes: Vec<AgencyClass>,
    /// Whose turn it is. Invariant: below `classes.len()`, or 0.
    turn: usize,
    /// Whether the class whose turn it is has got its quantum.
    granted: bool,
    /// Invariant: the sum of all classes' waiting requests.
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
        self.classes.iter().any(|class| {
            class
                .waiting
                .iter()
                .any(|waiting| waiting.attempt == attempt)
        })
    }

    pub(crate) fn backlog(&self, agency: Option<&AgencyName>) -> usize {
        self.find(agency)
            .map_or(0, |index| self.classes[index].waiting.len())
    }

    /// Since when some request of this agency waits without a break.
    pub(crate) fn waits_since(&self, agency: Option<&AgencyName>) -> Option<Moment> {
        let class = &self.classes[self.find(agency)?];
        (!class.waiting.is_empty()).then_some(class.waits_since)
    }

    /// How many agencies would wait if this one did.
    pub(crate) fn rivals_and_self(&self, agency: Option<&AgencyName>) -> usize {
        1 + self
            .classes
            .iter()
            .filter(|class| class.agency.as_ref() != agency && !class.waiting.is_empty())
            .count()
    }

    /// How many requests are served before a new one of this agency.
    pub(crate) fn ahead_of(&self, agency: Option<&AgencyName>) -> usize {
        let own = self.backlog(agency);
        let others = self
            .classes
            .iter()
            .filter(|class| class.agency.as_ref() != agency);
        own + others
            .map(|class| class.waiting.len().min(own + 1))
            .sum::<usize>()
    }

    pub(crate) fn earliest_start_by(&self) -> Option<Moment> {
        self.classes
            .iter()
            .flat_map(|class| class.waiting.iter())
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
        let class = &mut self.classes[index];
        if class.waiting.is_empty() {
            class.waits_since = now;
        }
        class.waiting.push_back(waiting);
        self.waiting += 1;
    }

    /// Takes the request whose turn it is. `quantum` is the mean service time in seconds.
    pub(crate) fn pop(&mut self, quantum: f64) -> Option<TakenRequest> {
        if self.waiting == 0 {
            return None;
        }
        // Ends: each pass over the classes grants one quantum, and debts and charges are bounded.
        loop {
            let class = &mut self.classes[self.turn];
            if class.waiting.is_empty() {
                class.drop_savings();
                self.next_turn();
                continue;
            }
            if !self.granted {
                class.grant(quantum);
                self.granted = true;
            }
            if !class.can_afford(quantum) {
                self.next_turn();
                continue;
            }
            let waiting = class.waiting.pop_front()?;
            class.spend(quantum, quantum);
            class.running += 1;
            self.waiting -= 1;
            return Some(TakenRequest {
                waiting,
                agency: class.agency.clone(),
                charge: quantum,
            });
        }
    }

    /// Charges a request that starts without waiting.
    pub(crate) fn start_at_once(&mut self, agency: Option<AgencyName>, quantum: f64) {
        let index = self.find_or_add(agency);
        let class = &mut self.classes[index];
        class.spend(quantum, quantum);
        class.running += 1;
    }

    /// Settles the account of a request that gave its slot back after `took`.
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
        let class = &mut self.classes[index];
        class.running = class.running.saturating_sub(1);
        class.spend(took.as_secs_f64() - charge, quantum);
        self.drop_if_idle(index);
    }

    pub(crate) fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let mut removed = false;
        self.retain(|waiting| {
            let keep = waiting.attempt != attempt;
            removed |= !keep;
            keep
        });
        removed
    }

    /// Keeps the waiting requests that `keep` accepts, each class in its order.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&WaitingRequest) -> bool) {
        for index in (0..self.classes.len()).rev() {
            self.classes[index].waiting.retain(|waiting| keep(waiting));
            self.drop_if_idle(index);
        }
        self.waiting = self.classes.iter().map(|class| class.waiting.len()).sum();
    }

    fn next_turn(&mut self) {
        self.turn = (self.turn + 1) % self.classes.len();
        self.granted = false;
    }

    fn find(&self, agency: Option<&AgencyName>) -> Option<usize> {
        self.classes
            .iter()
            .position(|class| class.agency.as_ref() == agency)
    }

    fn find_or_add(&mut self, agency: Option<AgencyName>) -> usize {
        if let Some(index) = self.find(agency.as_ref()) {
            return index;
        }
        self.classes.push(AgencyClass::new(agency));
        self.classes.len() - 1
    }

    fn drop_if_idle(&mut self, index: usize) {
        if !self.classes[index].is_idle() {
            return;
        }
        self.classes.remove(index);
        if index < self.turn {
            self.turn -= 1;
        } else if index == self.turn {
            self.granted = false;
        }
        if self.turn >= self.classes.len() {
            self.turn = 0;
        }
    }
}
