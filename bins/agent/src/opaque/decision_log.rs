//! Rate-limited decision log of the packet path.

use std::time::Instant;

use lovagelatch_domain::{AgentAddress, StorePosition};
use lovagelatch_flows::{
    FlowPacket, FlowUpdate, LoadReport, PacketFrame, SearchResult, ZoneNotice,
};
use lovagelatch_telemetry::{DecisionKind, LineLimiter, Logger, info, warn};

/// Limit for log lines about flows, for each kind of line. An agent of current users sees about 20
/// new flows a second.
const FLOW_LINES_PER_SECOND: u32 = 100;

/// Limit for log lines about refused packets and about searches. Anybody can trigger these lines.
const REFUSED_LINES_PER_SECOND: u32 = 20;

/// Writes the packet thread's decision lines.
pub(crate) struct DecisionLog {
    log: Logger,
    located: LineLimiter,
    forwarded: LineLimiter,
    refused: LineLimiter,
    searched: LineLimiter,
}

impl DecisionLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            located: LineLimiter::new(FLOW_LINES_PER_SECOND),
            forwarded: LineLimiter::new(FLOW_LINES_PER_SECOND),
            refused: LineLimiter::new(REFUSED_LINES_PER_SECOND),
            searched: LineLimiter::new(REFUSED_LINES_PER_SECOND),
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
            "revision" => StorePosition::from_table_revision(notice.revision).revision,
            "age_ms" => notice.age.as_secs_f64() * 1_000.0);
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
            "zones_revision" => StorePosition::from_table_revision(load.zones_revision).revision,
            "cold_room" => load.room,
            "left_out" => left_out);
    }
}
