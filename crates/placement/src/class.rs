//! The waiting requests of one agency.

use std::collections::VecDeque;

use lovagelatch_domain::{AgencyName, AttemptId, Moment};

/// The farthest a class may run into debt or savings, in mean requests.
const DEFICIT_BOUND: f64 = 32.0;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingRequest {
    pub(crate) attempt: AttemptId,
    /// It must start before this moment, which is not after its deadline.
    pub(crate) start_by: Moment,
}

/// One agency's queue and its account in slot time.
#[derive(Clone, Debug)]
pub(crate) struct AgencyClass {
    pub(crate) agency: Option<AgencyName>,
    pub(crate) waiting: VecDeque<WaitingRequest>,
    /// When the oldest unbroken time of waiting began; of no meaning while nothing waits.
    pub(crate) waits_since: Moment,
    /// Requests of this class that hold a slot.
    pub(crate) running: u32,
    /// Slot time the class may still take in its turn, in seconds.
    deficit: f64,
}

impl AgencyClass {
    pub(crate) fn new(agency: Option<AgencyName>) -> Self {
        Self {
            agency,
            waiting: VecDeque::new(),
            waits_since: Moment::ZERO,
            running: 0,
            deficit: 0.0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    pub(crate) fn grant(&mut self, quantum: f64) {
        self.deficit = (self.deficit + quantum).min(quantum * DEFICIT_BOUND);
    }

    pub(crate) fn can_afford(&self, charge: f64) -> bool {
        self.deficit >= charge
    }

    pub(crate) fn spend(&mut self, charge: f64, quantum: f64) {
        self.deficit = (self.deficit - charge).max(-quantum * DEFICIT_BOUND);
    }

    /// A class whose queue ran empty keeps its debt, not its savings.
    pub(crate) fn drop_savings(&mut self) {
        self.deficit = self.deficit.min(0.0);
    }
}
