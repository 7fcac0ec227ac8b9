//! The requests that wait at the agent.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::{DequeueOrder, DequeuedRequest, FairQueue};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::class_table::RouteKey;
use crate::packet::FlowKey;

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 256;

/// Maximum size of all held packets in bytes.
const MAX_HELD_BYTES: usize = 512 * 1_024;

/// A route's queue is a standing queue once it has been non-empty for this long. Bursts at a load
/// below the capacity are over sooner.
const STANDING_AFTER: Duration = Duration::from_millis(500);

/// In which order waiting requests are delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AdmissionOrder {
    /// In the order of arrival, whatever their routes.
    Arrival,
    /// The one with the earliest latency objective first, whatever their routes.
    EarliestObjective,
    /// Routes share the slot time by priority; the oldest request of a route first.
    #[default]
    Priority,
    /// As [`Priority`](Self::Priority), but with the newest request first in a standing queue.
    PriorityNewestFirst,
}

/// A request whose packets are held.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) flow: FlowKey,
    pub(super) route: RouteKey,
    pub(super) arrived: Moment,
    /// When it is delivered at the latest.
    pub(super) deliver_by: Moment,
    /// Until when it should be answered.
    pub(super) objective: Moment,
    /// How many waiting requests were before it.
    pub(super) ahead: u16,
}

/// The waiting requests of all routes.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestQueue {
    order: AdmissionOrder,
    fair: FairQueue<RouteKey, WaitingRequest>,
    /// Size of the held packets of each flow. Invariant: one entry for each waiting request.
    held: HashMap<FlowKey, usize>,
    /// Invariant: the sum of `held`.
    held_bytes: usize,
}

impl RequestQueue {
    pub(super) fn set_order(&mut self, order: AdmissionOrder) {
        self.order = order;
    }

    pub(super) fn len(&self) -> u16 {
        u16::try_from(self.fair.len()).unwrap_or(u16::MAX)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.fair.is_empty()
    }

    /// Returns whether one more request with a first packet of `bytes` can wait.
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.fair.len() < MAX_WAITING && self.held_bytes + bytes <= MAX_HELD_BYTES
    }

    /// Counts one more packet of a waiting request. Returns whether it can be held.
    pub(super) fn extend(&mut self, flow: &FlowKey, bytes: usize) -> bool {
        if self.held_bytes + bytes > MAX_HELD_BYTES {
            return false;
        }
        let Some(held) = self.held.get_mut(flow) else {
            return false;
        };
        *held += bytes;
        self.held_bytes += bytes;
        true
    }

    pub(super) fn push(&mut self, request: WaitingRequest, bytes: usize, now: Moment) {
        self.held.insert(request.flow, bytes);
        self.held_bytes += bytes;
        self.fair.push(request.route, request, now);
    }

    /// Takes the request that is next in order. `quantum` is the mean service time in seconds.
    pub(super) fn pop(
        &mut self,
        quantum: f64,
        now: Moment,
    ) -> Option<DequeuedRequest<RouteKey, WaitingRequest>> {
        let next = match self.order {
            AdmissionOrder::Arrival => self.fair.pop_least(quantum, |request| request.arrived),
            AdmissionOrder::EarliestObjective => {
                self.fair.pop_least(quantum, |request| request.objective)
            }
            AdmissionOrder::Priority => self.fair.pop(quantum),
            AdmissionOrder::PriorityNewestFirst => self
                .fair
                .pop_with(quantum, |since| order_in_queue(since, now)),
        }?;
        self.forget(&next.waiting.flow);
        Some(next)
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) -> Option<WaitingRequest> {
        self.take(|request| request.flow == *flow).pop()
    }

    /// Removes the requests that may not wait any longer, oldest first.
    pub(super) fn take_expired(&mut self, now: Moment) -> SmallVec<[WaitingRequest; 4]> {
        if self.next_deadline().is_none_or(|deadline| now < deadline) {
            return SmallVec::new();
        }
        self.take(|request| request.deliver_by <= now)
    }

    pub(super) fn take_all(&mut self) -> SmallVec<[WaitingRequest; 4]> {
        self.take(|_| true)
    }

    /// Returns when the next request may not wait any longer.
    pub(super) fn next_deadline(&self) -> Option<Moment> {
        self.fair.iter().map(|request| request.deliver_by).min()
    }

    /// Returns how many waiting requests are delivered before a new one of this route with the
    /// given objective.
    pub(super) fn ahead_of(&self, route: &RouteKey, objective: Moment, now: Moment) -> u16 {
        let ahead = match self.order {
            AdmissionOrder::Arrival => self.fair.len(),
            AdmissionOrder::EarliestObjective => {
                let earlier = |request: &&WaitingRequest| request.objective <= objective;
                self.fair.iter().filter(earlier).count()
            }
            AdmissionOrder::Priority => self.fair.queued_ahead_of(route),
            AdmissionOrder::PriorityNewestFirst => {
                let since = self.fair.backlogged_since(route);
                match since.map(|since| order_in_queue(since, now)) {
                    Some(DequeueOrder::NewestFirst) => 0,
                    _ => self.fair.queued_ahead_of(route),
                }
            }
        };
        u16::try_from(ahead).unwrap_or(u16::MAX)
    }

    /// Charges a request that is delivered without waiting, or no longer waits.
    pub(super) fn charge(&mut self, route: RouteKey, quantum: f64) {
        self.fair.start_immediately(route, quantum);
    }

    /// Corrects the charge of a request that held a slot for `took`.
    pub(super) fn settle(&mut self, route: &RouteKey, charge: f64, took: Duration, quantum: f64) {
        self.fair.settle(route, charge, took, quantum);
    }

    fn take(&mut self, which: impl Fn(&WaitingRequest) -> bool) -> SmallVec<[WaitingRequest; 4]> {
        let mut taken = SmallVec::<[WaitingRequest; 4]>::new();
        self.fair.retain(|request| {
            let keep = !which(request);
            if !keep {
                taken.push(*request);
            }
            keep
        });
        for request in &taken {
            self.forget(&request.flow);
        }
        taken.sort_by_key(|request| request.arrived);
        taken
    }

    fn forget(&mut self, flow: &FlowKey) {
        let bytes = self.held.remove(flow).unwrap_or_default();
        self.held_bytes -= bytes;
    }
}

fn order_in_queue(since: Moment, now: Moment) -> DequeueOrder {
    if now.since(since) > STANDING_AFTER {
        DequeueOrder::NewestFirst
    } else {
        DequeueOrder::OldestFirst
    }
}
