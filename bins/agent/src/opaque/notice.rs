//! Decision lines of the packet path, bounded in rate.

use std::time::Instant;

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    FlowPacket, FlowUpdate, LoadReport, PacketFrame, SearchResult, ZoneNotice,
};
use lovagelatch_telemetry::{DecisionKind, LineBudget, Logger, info, warn};

/// Lines about flows a second, of each kind. An agent of today's users sees about 20 new flows a
/// second.
const FLOW_LINES: u32 = 100;

/// Lines a second about packets that found nobody, and about searches: anybody can send what leads
/// to them.
const REFUSED_LINES: u32 = 20;

/// Writes the packet thread's decision lines.
pub(crate) struct DecisionLog {
    log: Logger,
    located: LineBudget,
    passed: LineBudget,
    refused: LineBudget,
    searched: LineBudget,
}

impl DecisionLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            located: LineBudget::new(FLOW_LINES),
            passed: LineBudget::new(FLOW_LINES),
            refused: LineBudget::new(REFUSED_LINES),
            searched: LineBudget::new(REFUSED_LINES),
        }
    }

    pub(crate) fn located(&mut self, note: &FlowUpdate) {
        let Some(left_out) = self.located.spend(Instant::now()) else {
            return;
        };
        info!(self.log, "flow located";
            "decision" => DecisionKind::FlowLocated,
            "client" => note.flow.client.to_string(),
            "address" => note.flow.service_address.to_string(),
            "event" => format!("{:?}", note.event).to_lowercase(),
            "in_progress" => note.load.in_progress,
            "flows" => note.load.flows,
            "left_out" => left_out);
    }

    /// Writes what came of a search for a balancer.
    pub(crate) fn searched(&mut self, word: &SearchResult) {
        let Some(left_out) = self.searched.spend(Instant::now()) else {
            return;
        };
        info!(self.log, "flow searched";
            "decision" => DecisionKind::FlowSearched,
            "client" => word.flow.client.to_string(),
            "address" => word.flow.service_address.to_string(),
            "silent" => word.silent.len(),
            "left_out" => left_out);
    }

    pub(crate) fn passed(&mut self, packet: &FlowPacket, to: AgentAddress, frame: &PacketFrame) {
        let Some(left_out) = self.passed.spend(Instant::now()) else {
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

    /// Writes that the target's zone is evacuated, or no longer; at most one line a change of the store's.
    pub(crate) fn zone(&self, notice: &ZoneNotice) {
        let message = if notice.evacuated {
            "zone evacuated: the target gets no new flows"
        } else {
            "zone takes new flows again"
        };
        info!(self.log, "{message}";
            "decision" => DecisionKind::ZoneChanged,
            "revision" => notice.revision,
            "age_ms" => notice.age.as_secs_f64() * 1_000.0);
    }

    /// Writes that a packet went nowhere, with what the agent takes its target to be able to do.
    pub(crate) fn refused(
        &mut self,
        packet: &FlowPacket,
        outcome: &'static str,
        load: &LoadReport,
    ) {
        let Some(left_out) = self.refused.spend(Instant::now()) else {
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
            "zones_revision" => load.zones_revision,
            "cold_room" => load.room,
            "left_out" => left_out);
    }
}
