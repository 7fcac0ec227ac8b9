//! Rate-limited decision log of the packet path.

use std::num::NonZeroU32;
use std::time::Instant;

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    FlowPacket, FlowUpdate, LoadReport, PacketFrame, RefusedOffer, RequestDelivery, SearchResult,
    ZoneNotice,
};
use lovagelatch_telemetry::{DecisionKind, LineLimiter, Logger, info, warn};

use super::admission::{delivery_reason, offer_outcome, refusal_reason};

/// Limit for log lines about flows, for each kind of line. An agent of current users sees about 20
/// new flows a second.
const FLOW_LINES_PER_SECOND: u32 = 100;

/// Limit for log lines about refused packets and about searches. Anybody can trigger these lines.
const REFUSED_LINES_PER_SECOND: u32 = 20;

/// Limit for log lines about requests that wait and new flows that are not accepted, for each kind of
/// line. Under overload there are hundreds of such decisions a second, and the agent has little CPU
/// time.
const ADMISSION_LINES_PER_SECOND: u32 = 20;

/// Writes the packet thread's decision lines.
pub(crate) struct DecisionLog {
    log: Logger,
    located: LineLimiter,
    forwarded: LineLimiter,
    refused: LineLimiter,
    searched: LineLimiter,
    held: LineLimiter,
    refused_offers: LineLimiter,
    capacity: LineLimiter,
}

impl DecisionLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            located: LineLimiter::new(FLOW_LINES_PER_SECOND),
            forwarded: LineLimiter::new(FLOW_LINES_PER_SECOND),
            refused: LineLimiter::new(REFUSED_LINES_PER_SECOND),
            searched: LineLimiter::new(REFUSED_LINES_PER_SECOND),
            held: LineLimiter::new(ADMISSION_LINES_PER_SECOND),
            refused_offers: LineLimiter::new(ADMISSION_LINES_PER_SECOND),
            capacity: LineLimiter::new(ADMISSION_LINES_PER_SECOND),
        }
    }

    /// Logs what this agent reports to a balancer about a flow.
    pub(crate) fn located(&mut self, update: &FlowUpdate) {
        let Some(left_out) = self.located.admit(Instant::now()) else {
            return;
        };
        info!(self.log, "flow located";
            "decision" => DecisionKind::FlowLocated,
            "client" => update.flow.client.to_string(),
            "address" => update.flow.service_address.to_string(),
            "event" => format!("{:?}", update.event).to_lowercase(),
            "in_progress" => update.load.in_progress,
            "flows" => update.load.flows,
            "left_out" => left_out);
    }

    /// Logs the result of a delegated search.
    pub(crate) fn searched(&mut self, result: &SearchResult) {
        let Some(left_out) = self.searched.admit(Instant::now()) else {
            return;
        };
        info!(self.log, "flow searched";
            "decision" => DecisionKind::FlowSearched,
            "client" => result.flow.client.to_string(),
            "address" => result.flow.service_address.to_string(),
            "silent" => result.silent.len(),
            "left_out" => left_out);
    }

    /// Logs that a packet is forwarded to another agent.
    pub(crate) fn forwarded(&mut self, packet: &FlowPacket, to: AgentAddress, frame: &PacketFrame) {
        let Some(left_out) = self.forwarded.admit(Instant::now()) else {
            return;
        };
        info!(self.log, "packet passed on";
            "decision" => DecisionKind::FlowHandedOn,
            "client" => packet.flow.client.to_string(),
            "address" => packet.flow.service_address.to_string(),
            "agent" => to.to_string(),
            "left" => frame.rest.len(),
            "opens" => packet.opens(),
            "left_out" => left_out);
    }

    /// Logs that the target's zone is evacuated or no longer is. There is at most one line for each
    /// change in the store.
    pub(crate) fn zone(&self, notice: &ZoneNotice) {
        let message = if notice.evacuated {
            "zone evacuated: the target gets no new flows"
        } else {
            "zone takes new flows again"
        };
        info!(self.log, "{message}";
            "decision" => DecisionKind::ZoneChanged,
            "revision" => notice.revision.revision,
            "age_ms" => notice.age.as_secs_f64() * 1_000.0);
    }

    /// Logs that a request waited, or was delivered to a full target without waiting.
    pub(crate) fn request_held(&mut self, delivery: &RequestDelivery) {
        let Some(left_out) = self.held.admit(Instant::now()) else {
            return;
        };
        let message = if delivery.waited.is_zero() {
            "request delivered without waiting"
        } else {
            "request released"
        };
        info!(self.log, "{message}";
            "decision" => DecisionKind::RequestHeld,
            "client" => delivery.flow.client.to_string(),
            "address" => delivery.flow.service_address.to_string(),
            "reason" => delivery_reason(delivery.reason),
            "waited_ms" => delivery.waited.as_secs_f64() * 1_000.0,
            "priority" => delivery.priority,
            "in_service" => delivery.in_service,
            "full" => delivery.full,
            "ahead" => delivery.ahead,
            "left_out" => left_out);
    }

    /// Logs that a new flow was not accepted because of the target's load.
    pub(crate) fn offer_refused(&mut self, offer: &RefusedOffer) {
        let Some(left_out) = self.refused_offers.admit(Instant::now()) else {
            return;
        };
        info!(self.log, "offer not accepted";
            "decision" => DecisionKind::OfferRefused,
            "client" => offer.flow.client.to_string(),
            "address" => offer.flow.service_address.to_string(),
            "reason" => refusal_reason(offer.refusal),
            "outcome" => offer_outcome(offer),
            "in_service" => offer.in_service,
            "waiting" => offer.waiting,
            "openings" => offer.openings,
            "full" => offer.full,
            "flows" => offer.flows,
            "max_flows" => offer.max_flows.map(NonZeroU32::get),
            "left_out" => left_out);
    }

    /// Logs that the learned capacity of the target changed by more than a third.
    pub(crate) fn capacity(&mut self, from: u16, to: u16) {
        let Some(left_out) = self.capacity.admit(Instant::now()) else {
            return;
        };
        info!(self.log, "capacity estimate changed";
            "decision" => DecisionKind::CapacityChanged,
            "from" => from,
            "full" => to,
            "left_out" => left_out);
    }

    /// Logs that a packet was not delivered, with the target's last known load and state.
    pub(crate) fn refused(
        &mut self,
        packet: &FlowPacket,
        outcome: &'static str,
        load: &LoadReport,
    ) {
        let Some(left_out) = self.refused.admit(Instant::now()) else {
            return;
        };
        warn!(self.log, "flow refused";
            "decision" => DecisionKind::FlowRefused,
            "client" => packet.flow.client.to_string(),
            "address" => packet.flow.service_address.to_string(),
            "outcome" => outcome,
            "opens" => packet.opens(),
            "in_progress" => load.in_progress,
            "responsive" => load.responsive,
            "evacuated" => load.evacuated,
            "zones_revision" => load.zones_revision.revision,
            "cold_room" => load.room,
            "left_out" => left_out);
    }
}
