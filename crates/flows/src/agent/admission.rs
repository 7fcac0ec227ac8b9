//! Admission and order of requests and new flows where the operator states a latency objective.
//!
//! A request that finds the target full waits at the agent if it is expected to start in time, and
//! is otherwise delivered at once: only the target may refuse a request on an open flow, and it does
//! so truthfully. Each place that becomes free is given to the waiting request that is next in
//! order.

mod capacity;
mod class_table;
mod event;
mod queue;
mod service;

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::ServiceEstimate;
use smallvec::SmallVec;

use self::capacity::CapacityEstimate;
use self::class_table::{ClassTable, RouteClass, RouteKey};
pub use self::event::{
    AdmissionEvent, DeliveryReason, OfferRefusal, RefusedOffer, RequestDelivery,
};
pub use self::queue::AdmissionOrder;
use self::queue::{RequestQueue, WaitingRequest};
use self::service::{DeliveredRequest, DeliveredRequests};
use crate::frame::RequestClass;
use crate::packet::FlowKey;

/// The longest time for which a request is held: clients retransmit after 200 ms.
const MAX_HOLD: Duration = Duration::from_millis(150);

/// The part of the latency objective for which a request is held at most.
const HOLD_DIVISOR: u32 = 4;

/// By how much earlier a held request is released than it has to be: the packet thread waits in
/// whole milliseconds, rounded up.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Assumed mean service time before the first answers.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);

/// A request that is answered out of order within this fraction of a service time was rejected.
const REJECTION_FRACTION: f64 = 0.25;

/// An offer is passed on if the target has this many times its slots of requests, of which half
/// wait. Another candidate may be idle.
const BUSY_FACTOR: u16 = 2;

/// The weight of a flow that is about to open in the expected wait of an offer: some of these flows
/// open at another target, or not at all.
const OPENING_WEIGHT: f64 = 0.5;

/// Whether a request is delivered now. A delivered request is identified by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestAdmission {
    Delivered(u64),
    Held,
}

/// The requests of one target; see the module documentation.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    classes: ClassTable,
    capacity: CapacityEstimate,
    delivered: DeliveredRequests,
    queue: RequestQueue,
    /// Service time of the requests of all routes.
    service_time: ServiceEstimate,
    /// The capacity in the last [`AdmissionEvent::CapacityChanged`].
    reported_full: u16,
    events: Vec<AdmissionEvent>,
}

impl Admission {
    pub(super) fn new() -> Self {
        Self {
            classes: ClassTable::default(),
            capacity: CapacityEstimate::new(1),
            delivered: DeliveredRequests::default(),
            queue: RequestQueue::default(),
            service_time: ServiceEstimate::new(INITIAL_SERVICE_TIME),
            reported_full: 0,
            events: Vec::new(),
        }
    }

    pub(super) fn set_initial_capacity(&mut self, slots: u16, capacity: u16) {
        self.capacity.set_slots(slots);
        self.capacity.set_initial(capacity);
    }

    pub(super) fn set_order(&mut self, order: AdmissionOrder) {
        self.queue.set_order(order);
    }

    /// Records the class that an offer names, for a target that runs `slots` requests at once.
    pub(super) fn learn(&mut self, address: SocketAddrV4, class: &RequestClass, slots: u16) {
        self.classes.learn(address, class);
        self.capacity.set_slots(slots);
    }

    /// Returns whether no class is known, so that nothing is held.
    pub(super) fn is_unused(&self) -> bool {
        self.classes.is_empty()
    }

    pub(super) fn class(&self, address: &SocketAddrV4) -> Option<&RequestClass> {
        self.classes.get(address).map(|route| &route.class)
    }

    pub(super) fn in_service(&self) -> u16 {
        self.delivered.len()
    }

    pub(super) fn waiting(&self) -> u16 {
        self.queue.len()
    }

    pub(super) fn full(&self) -> u16 {
        self.capacity.full()
    }

    pub(super) fn next_deadline(&self) -> Option<Moment> {
        self.queue.next_deadline()
    }

    pub(super) fn push_event(&mut self, event: AdmissionEvent) {
        self.events.push(event);
    }

    pub(super) fn swap_events(&mut self, events: &mut Vec<AdmissionEvent>) {
        std::mem::swap(&mut self.events, events);
    }

    /// Decides about a request whose first packet has `bytes`; `None` if its route has no class. A
    /// request is never held if `may_hold` is false.
    pub(super) fn admit(
        &mut self,
        flow: FlowKey,
        bytes: usize,
        may_hold: bool,
        now: Moment,
    ) -> Option<RequestAdmission> {
        let route = self.classes.key(&flow.service_address)?;
        let known = *self.classes.get(&flow.service_address)?;
        if self.has_place() && self.queue.is_empty() {
            // Otherwise a correction that lets nothing wait would outlast the overload.
            self.classes.record_wait(&flow.service_address, true);
            return Some(RequestAdmission::Delivered(self.start(route, now)));
        }
        let objective = now + Duration::from_millis(known.class.aim_ms.into());
        let ahead = self.queue.ahead_of(&route, objective, now);
        let bound = self.bound(&known);
        let reason = if !may_hold {
            DeliveryReason::AgentStops
        } else if !self.queue.has_room(bytes) {
            DeliveryReason::QueueFull
        } else if self.expected_wait(ahead, 0).mul_f64(known.wait_factor) > bound {
            DeliveryReason::BoundTooShort
        } else {
            let request = WaitingRequest {
                flow,
                route,
                arrived: now,
                deliver_by: now + bound,
                objective,
                ahead,
            };
            self.queue.push(request, bytes, now);
            return Some(RequestAdmission::Held);
        };
        let delivery = self.delivery(flow, reason, Duration::ZERO, ahead);
        self.events.push(AdmissionEvent::Excess(delivery));
        Some(RequestAdmission::Delivered(self.start(route, now)))
    }

    /// Counts one more packet of a waiting request. Returns whether it can be held.
    pub(super) fn extend(&mut self, flow: &FlowKey, bytes: usize) -> bool {
        self.queue.extend(flow, bytes)
    }

    /// Releases the next waiting request if the target has a free place. Returns its flow and its
    /// number.
    pub(super) fn release_next(&mut self, now: Moment) -> Option<(FlowKey, u64)> {
        if self.queue.is_empty() || !self.has_place() {
            return None;
        }
        let next = self.queue.pop(self.service_time.mean(), now)?;
        self.classes.record_wait(&next.key.address, true);
        self.push_released(&next.waiting, DeliveryReason::PlaceFree, now);
        let slots = self.capacity.slots();
        let number = self.delivered.push(next.key, next.charge, slots, now);
        Some((next.waiting.flow, number))
    }

    /// Releases the requests that may not wait any longer, or all if `all` is set. Returns their
    /// flows, each with its number.
    pub(super) fn release_due(&mut self, all: bool, now: Moment) -> SmallVec<[(FlowKey, u64); 4]> {
        let (due, reason) = if all {
            (self.queue.take_all(), DeliveryReason::AgentStops)
        } else {
            (self.queue.take_expired(now), DeliveryReason::BoundExpired)
        };
        let mut released = SmallVec::new();
        for request in due {
            if reason == DeliveryReason::BoundExpired {
                self.classes.record_wait(&request.route.address, false);
            }
            self.push_released(&request, reason, now);
            released.push((request.flow, self.start(request.route, now)));
        }
        released
    }

    /// Releases a request that holds too many packets. Returns its number.
    pub(super) fn release_overfull(&mut self, flow: &FlowKey, now: Moment) -> Option<u64> {
        let request = self.queue.remove(flow)?;
        self.push_released(&request, DeliveryReason::QueueFull, now);
        Some(self.start(request.route, now))
    }

    /// Releases a request whose flow ended. It no longer counts.
    pub(super) fn release_ended(&mut self, flow: &FlowKey, now: Moment) {
        if let Some(request) = self.queue.remove(flow) {
            self.push_released(&request, DeliveryReason::FlowEnded, now);
        }
    }

    /// Records the first packet of an answer.
    pub(super) fn record_answer(&mut self, number: u64, now: Moment) {
        let Some(request) = self.delivered.remove(number) else {
            return;
        };
        if let Some(started) = request.started {
            let took = now.since(started);
            self.service_time.record(took);
            self.classes
                .record_service_time(&request.route.address, took);
            self.capacity.record_answered(now);
        } else if now.since(request.delivered) < self.rejection_time() {
            self.capacity.record_rejected(request.ahead, now);
        }
        self.settle(&request, now);
    }

    /// Returns within which time an answer out of order is a rejection. A later one may be out of
    /// order because an older request is never answered.
    fn rejection_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.mean() * REJECTION_FRACTION)
    }

    /// Stops counting a request that gets no answer.
    pub(super) fn abandon(&mut self, number: u64, now: Moment) {
        if let Some(request) = self.delivered.remove(number) {
            self.settle(&request, now);
        }
    }

    /// Applies what is due by time alone to the delivered requests.
    pub(super) fn advance(&mut self, now: Moment) {
        self.capacity.raise_if_due(now);
        while let Some(request) = self.delivered.pop_timed_out(now) {
            self.settle(&request, now);
        }
        self.report_capacity();
    }

    /// Returns why a flow that is offered now cannot be served in time; `None` if it can, or if its
    /// route has no class. `openings` other flows are about to open.
    pub(super) fn offer_refusal(
        &self,
        address: &SocketAddrV4,
        openings: u16,
        is_last: bool,
        now: Moment,
    ) -> Option<OfferRefusal> {
        let route = self.classes.key(address)?;
        let known = self.classes.get(address)?;
        let objective = Duration::from_millis(known.class.aim_ms.into());
        let ahead = self.queue.ahead_of(&route, now + objective, now);
        let before = self.in_service() + self.waiting() + openings;
        if !is_last {
            let busy = before >= self.capacity.slots().saturating_mul(BUSY_FACTOR);
            return busy.then_some(OfferRefusal::Busy);
        }
        let wait = self
            .expected_wait(ahead, openings)
            .mul_f64(known.wait_factor);
        let is_rejected = !wait.is_zero() && wait > self.bound(known);
        let answered_after = wait + self.time_at_target(known, before);
        (is_rejected || answered_after > objective).then_some(OfferRefusal::TooLate)
    }

    fn has_place(&self) -> bool {
        self.in_service() < self.full()
    }

    /// Returns how long a request of the route may wait.
    fn bound(&self, route: &RouteClass) -> Duration {
        let objective = Duration::from_millis(route.class.aim_ms.into());
        let spare = objective.saturating_sub(self.time_at_target(route, self.full()));
        let bound = (objective / HOLD_DIVISOR).min(spare).min(MAX_HOLD);
        bound.saturating_sub(TIMER_RESOLUTION)
    }

    /// Returns the expected time from the delivery of a request to its answer, if the target has
    /// `ahead` others then.
    fn time_at_target(&self, route: &RouteClass, ahead: u16) -> Duration {
        let slots = self.capacity.slots();
        let queued = (ahead + 1).min(self.full()).saturating_sub(slots);
        let wait = f64::from(queued) / f64::from(slots) * self.service_time.mean();
        Duration::from_secs_f64(wait + route.service_time.mean())
    }

    /// Returns the expected time until the target has a place for a request behind `ahead` waiting
    /// ones and `openings` flows that are about to open.
    fn expected_wait(&self, ahead: u16, openings: u16) -> Duration {
        let before = f64::from(self.in_service()) + f64::from(ahead);
        let before = before + f64::from(openings) * OPENING_WEIGHT;
        let missing = (before + 1.0 - f64::from(self.full())).max(0.0);
        let interval = self.service_time.mean() / f64::from(self.capacity.slots());
        Duration::from_secs_f64(missing * interval)
    }

    fn start(&mut self, route: RouteKey, now: Moment) -> u64 {
        let charge = self.service_time.mean();
        self.queue.charge(route, charge);
        self.delivered
            .push(route, charge, self.capacity.slots(), now)
    }

    /// Settles the account of a request that is no longer in service, and starts the next one.
    fn settle(&mut self, request: &DeliveredRequest, now: Moment) {
        let took = request.started.map_or(Duration::ZERO, |at| now.since(at));
        let quantum = self.service_time.mean();
        self.queue
            .settle(&request.route, request.charge, took, quantum);
        self.delivered.start_next(self.capacity.slots(), now);
        self.report_capacity();
    }

    fn report_capacity(&mut self) {
        let (from, to) = (self.reported_full, self.full());
        if from.abs_diff(to) * 3 <= from {
            return;
        }
        self.reported_full = to;
        if from > 0 {
            self.events
                .push(AdmissionEvent::CapacityChanged { from, to });
        }
    }

    fn push_released(&mut self, request: &WaitingRequest, reason: DeliveryReason, now: Moment) {
        let waited = now.since(request.arrived);
        let delivery = self.delivery(request.flow, reason, waited, request.ahead);
        self.events.push(AdmissionEvent::Released(delivery));
    }

    fn delivery(
        &self,
        flow: FlowKey,
        reason: DeliveryReason,
        waited: Duration,
        ahead: u16,
    ) -> RequestDelivery {
        let class = self.class(&flow.service_address);
        RequestDelivery {
            flow,
            reason,
            waited,
            priority: class.map_or(u8::MAX, |class| class.priority),
            in_service: self.in_service(),
            full: self.full(),
            ahead,
        }
    }
}
