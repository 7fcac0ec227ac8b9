//! Rate-limited log lines for routing decisions.
//!
//! Anyone can send garbage at line rate. Without a limit, one line per packet would fill the log
//! with refusals and cost more than the packets themselves. Each thread therefore writes a bounded
//! number of lines per second, and the next line reports how many were left out. The counters
//! always include every packet.

use std::time::Instant;

use lovagelatch_routing::RouteDecision;
use lovagelatch_telemetry::{DecisionKind, LineLimiter, Logger, info, warn};

use crate::ingress::PacketOrigin;
use crate::metrics::PacketOutcome;

/// Limit per thread on lines about refused packets.
const REFUSAL_LINES_PER_SECOND: u32 = 20;

/// Limit per thread on lines about new flows: above the rate of new flows that a balancer is built
/// for, so that it takes effect only in a flood.
const FLOW_LINES_PER_SECOND: u32 = 5_000;

/// Writes the decision lines of one packet thread.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    log: Logger,
    flows: LineLimiter,
    refusals: LineLimiter,
}

impl DecisionLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            flows: LineLimiter::new(FLOW_LINES_PER_SECOND),
            refusals: LineLimiter::new(REFUSAL_LINES_PER_SECOND),
        }
    }

    /// Logs the placement of a new flow or a packet that leads to a reset. Packets of open flows
    /// are not logged.
    pub(crate) fn placed(&mut self, placement: &FlowPlacement<'_>, now: Instant) {
        let (agent, standing) = match placement.decision {
            RouteDecision::NewFlow {
                agent, standing, ..
            } => (agent, format!("{standing:?}").to_lowercase()),
            RouteDecision::Reset { agent, .. } => (agent, "gone".to_owned()),
            RouteDecision::Forward { .. } | RouteDecision::Refuse { .. } => return,
        };
        let Some(left_out) = self.flows.admit(now) else {
            return;
        };
        info!(self.log, "flow placed";
            "decision" => DecisionKind::FlowPlaced,
            "outcome" => PacketOutcome::from(placement.decision).as_str(),
            "caller" => placement.origin.caller.to_string(),
            "address" => placement.origin.service_address.to_string(),
            "service" => placement.service.to_owned(),
            "flow" => hex::encode(placement.flow_key),
            "agent" => agent.to_string(),
            "standing" => standing,
            "revision" => placement.revision,
            "left_out" => left_out);
    }

    /// Logs a refused packet.
    pub(crate) fn refused(
        &mut self,
        outcome: PacketOutcome,
        origin: Option<PacketOrigin>,
        reason: &dyn std::fmt::Display,
        now: Instant,
    ) {
        let Some(left_out) = self.refusals.admit(now) else {
            return;
        };
        let caller = origin.map_or_else(String::new, |origin| origin.caller.to_string());
        let address = origin.map_or_else(String::new, |origin| origin.service_address.to_string());
        warn!(self.log, "packet refused";
            "decision" => DecisionKind::FlowRefused,
            "outcome" => outcome.as_str(),
            "caller" => caller,
            "address" => address,
            "reason" => reason.to_string(),
            "left_out" => left_out);
    }
}

/// Contents of a "flow placed" line.
pub(crate) struct FlowPlacement<'a> {
    pub(crate) decision: &'a RouteDecision,
    pub(crate) origin: PacketOrigin,
    /// Name of the service; empty if the routing table does not know it.
    pub(crate) service: &'a str,
    pub(crate) flow_key: &'a [u8],
    pub(crate) revision: u64,
}
