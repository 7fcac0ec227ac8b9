//! How many requests the target holds before it rejects further ones.
//!
//! Requests that wait at the agent are served in an order that the agent chooses; those in the
//! target's own queue are not. So the agent normally gives the target twice its slots, which keeps
//! them busy. While there is more load than can wait, the excess is delivered and fills the target's
//! queue. Every place there then has to be given to the request that is next in order, so the limit
//! is what the target was seen to accept.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::SlotLimit;

/// Requests given to the target in normal operation, as a multiple of its slots.
const NORMAL_FACTOR: u16 = 2;

/// How long after the last delivery in excess of the capacity the target's queue is used in full.
const EXCESS_WINDOW: Duration = Duration::from_secs(1);

/// The learned capacity of the target; see the module documentation.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityEstimate {
    slots: u16,
    /// Reduced by rejections, and raised again over time to [`NORMAL_FACTOR`] times the slots.
    limit: SlotLimit,
    /// The largest number of requests that the target was seen to accept.
    accepted: u16,
    excess_until: Moment,
}

impl CapacityEstimate {
    pub(super) fn new(slots: u16) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: SlotLimit::new(slots.saturating_mul(NORMAL_FACTOR)),
            accepted: 0,
            excess_until: Moment::ZERO,
        }
    }

    pub(super) fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns how many requests the target should be given.
    pub(super) fn full(&self, now: Moment) -> u16 {
        let limit = self.limit.current().max(1);
        if now < self.excess_until {
            limit.max(self.accepted)
        } else {
            limit
        }
    }

    /// Sets the number of slots. A change discards what was learned.
    pub(super) fn set_slots(&mut self, slots: u16) {
        if slots > 0 && slots != self.slots {
            *self = Self::new(slots);
        }
    }

    /// Records that a request is delivered although the target counts as full.
    pub(super) fn record_excess(&mut self, now: Moment) {
        self.excess_until = now + EXCESS_WINDOW;
    }

    /// Records that the target began to work on a request that was delivered while `ahead` others
    /// were unanswered, so it holds one more than that.
    pub(super) fn record_started(&mut self, ahead: u16) {
        self.accepted = self.accepted.max(ahead.saturating_add(1));
    }

    /// Records that the target rejected a request that was delivered while `ahead` others were
    /// unanswered.
    pub(super) fn record_rejected(&mut self, ahead: u16, now: Moment) {
        self.accepted = self.accepted.min(ahead);
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
