//! How many requests the target holds before it rejects further ones.
//!
//! The length of a target's queue is not published. It is learned from rejections: until the first
//! one, nothing waits at the agent, and the target queues requests as it would without one. From
//! then on, a place that becomes free is given to the waiting request that is next in order, and
//! requests in excess are rejected at once.

use lovagelatch_domain::Moment;
use lovagelatch_placement::SlotLimit;

/// Assumed capacity before the first rejection, as a multiple of the slots. More than the queues of
/// targets usually hold, so that a queue without a limit is not filled forever.
const INITIAL_FACTOR: u16 = 8;

/// The learned capacity of the target; see the module documentation.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityEstimate {
    slots: u16,
    /// Reduced by rejections, and raised again over time.
    limit: SlotLimit,
}

impl CapacityEstimate {
    pub(super) fn new(slots: u16) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: SlotLimit::new(slots.saturating_mul(INITIAL_FACTOR)),
        }
    }

    /// Sets the capacity that is assumed before the first rejection.
    pub(super) fn set_initial(&mut self, capacity: u16) {
        self.limit = SlotLimit::new(capacity);
    }

    pub(super) fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns how many requests the target should be given.
    pub(super) fn full(&self) -> u16 {
        self.limit.current().max(1)
    }

    /// Sets the number of slots. A change discards what was learned.
    pub(super) fn set_slots(&mut self, slots: u16) {
        if slots > 0 && slots != self.slots {
            *self = Self::new(slots);
        }
    }

    /// Records that the target rejected a request that was delivered while `ahead` others were
    /// unanswered.
    pub(super) fn record_rejected(&mut self, ahead: u16, now: Moment) {
        if ahead < self.limit.current() {
            self.limit.record_shed(ahead, now);
        }
    }

    pub(super) fn record_answered(&mut self, now: Moment) {
        self.limit.record_served(now);
    }

    pub(super) fn raise_if_due(&mut self, now: Moment) {
        self.limit.raise_if_due(now);
    }
}
