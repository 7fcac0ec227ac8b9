//! Names of admission decisions in logs and metrics, and their counters.

use std::net::SocketAddrV4;

use lovagelatch_flows::{DeliveryReason, OfferRefusal, RefusedOffer, RequestDelivery};
use lovagelatch_telemetry::KeyValue;

use super::metrics::PacketMetrics;

/// Returns the value of the field and attribute `reason` of a request.
pub(crate) fn delivery_reason(reason: DeliveryReason) -> &'static str {
    match reason {
        DeliveryReason::PlaceFree => "place_free",
        DeliveryReason::BoundExpired => "bound_expired",
        DeliveryReason::BoundTooShort => "bound_too_short",
        DeliveryReason::QueueFull => "queue_full",
        DeliveryReason::FlowEnded => "flow_ended",
        DeliveryReason::AgentStops => "agent_stops",
    }
}

/// Returns the value of the field and attribute `reason` of an offer.
pub(crate) fn refusal_reason(refusal: OfferRefusal) -> &'static str {
    match refusal {
        OfferRefusal::Busy => "busy",
        OfferRefusal::TooLate => "too_late",
        OfferRefusal::FlowLimit => "flow_limit",
    }
}

/// Returns the value of the field and attribute `outcome` of an offer.
pub(crate) fn offer_outcome(offer: &RefusedOffer) -> &'static str {
    if offer.passed_on {
        "passed_on"
    } else {
        "reset"
    }
}

impl PacketMetrics {
    /// Records how long a request waited.
    pub(crate) fn record_wait(&self, delivery: &RequestDelivery) {
        let seconds = delivery.waited.as_secs_f64();
        self.request_wait
            .record(seconds, &delivery_attributes(delivery));
    }

    /// Counts a request that was delivered to a full target without waiting.
    pub(crate) fn count_excess(&self, delivery: &RequestDelivery) {
        self.excess_requests.add(1, &delivery_attributes(delivery));
    }

    /// Counts an offer that was not accepted.
    pub(crate) fn count_refused_offer(&self, offer: &RefusedOffer) {
        let attributes = [
            address(offer.flow.service_address),
            KeyValue::new("reason", refusal_reason(offer.refusal)),
            KeyValue::new("outcome", offer_outcome(offer)),
        ];
        self.refused_offers.add(1, &attributes);
    }
}

fn delivery_attributes(delivery: &RequestDelivery) -> [KeyValue; 2] {
    [
        address(delivery.flow.service_address),
        KeyValue::new("reason", delivery_reason(delivery.reason)),
    ]
}

/// Only routes with a class have these events, so the number of addresses is bounded.
fn address(address: SocketAddrV4) -> KeyValue {
    KeyValue::new("address", address.to_string())
}
