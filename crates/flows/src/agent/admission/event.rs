//! What the admission decided, for the packet thread to execute and for operators.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::packet::FlowKey;

/// Why a request was delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeliveryReason {
    /// The target had a free place.
    PlaceFree,
    /// The request waited for as long as it may.
    BoundExpired,
    /// No free place was expected within the time that the request may wait.
    BoundTooShort,
    /// The limits of waiting requests or held packets were reached.
    QueueFull,
    /// The flow ended, or its client reset it.
    FlowEnded,
    /// The agent is stopping.
    AgentStops,
}

/// A request that was delivered after it had waited, or because it could not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDelivery {
    /// The request's flow.
    pub flow: FlowKey,
    /// Why it is delivered now.
    pub reason: DeliveryReason,
    /// How long it waited.
    pub waited: Duration,
    /// The priority of its route.
    pub priority: u8,
    /// Requests that the target has not answered, without this one.
    pub in_service: u16,
    /// The learned capacity of the target.
    pub full: u16,
    /// How many waiting requests were before it when it arrived.
    pub ahead: u16,
}

/// Why an offer was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OfferRefusal {
    /// The flow's request could not start within the time that it may wait.
    Busy,
    /// The flow's request could not be answered before its objective.
    TooLate,
    /// The target holds as many flows as it can.
    FlowLimit,
}

/// An offer that was passed on, or reset by the last candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedOffer {
    /// The offered flow.
    pub flow: FlowKey,
    /// Why it was not accepted.
    pub refusal: OfferRefusal,
    /// Whether it was passed on to another candidate.
    pub passed_on: bool,
    /// Requests that the target has not answered.
    pub in_service: u16,
    /// Requests that wait at the agent.
    pub waiting: u16,
    /// Flows that are about to open.
    pub openings: u16,
    /// The learned capacity of the target.
    pub full: u16,
    /// Flows that the target holds or was offered.
    pub flows: u32,
    /// How many it can hold.
    pub max_flows: Option<NonZeroU32>,
}

/// A decision of the admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// The held packets of the flow are to be delivered now, in their order and before any other
    /// packet of the flow.
    Released(RequestDelivery),
    /// A request was delivered in excess of the target's capacity, without waiting.
    Excess(RequestDelivery),
    /// An offer was not accepted.
    OfferRefused(RefusedOffer),
    /// The learned capacity changed by more than a third since the last such event.
    CapacityChanged {
        /// The capacity before.
        from: u16,
        /// The capacity now.
        to: u16,
    },
}
