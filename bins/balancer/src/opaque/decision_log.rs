//! Rate-limited log lines for decisions of the packet path.

use std::time::Instant;

use lovagelatch_flows::{
    DueOffer, FlowKey, FlowReset, FlowView, LossReason, PlacedFlow, RefusalReason, SearchCounts,
    SearchFrames,
};
use lovagelatch_telemetry::{DecisionKind, LineLimiter, Logger, info, warn};

/// Limit on lines about new flows. A balancer of current users sees about 20 new flows per second;
/// a line costs about as much as a packet.
const PLACED_LINES_PER_SECOND: u32 = 100;

/// Limit on lines about refused packets, which anyone can send.
const REFUSED_LINES_PER_SECOND: u32 = 20;

/// Limit on lines about searches. When a balancer starts, every flow is searched for.
const SEARCH_LINES_PER_SECOND: u32 = 20;

/// Writes the decision lines of the packet thread.
pub(crate) struct DecisionLog {
    log: Logger,
    placed: LineLimiter,
    refused: LineLimiter,
    searched: LineLimiter,
    lost: LineLimiter,
}

impl DecisionLog {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            placed: LineLimiter::new(PLACED_LINES_PER_SECOND),
            refused: LineLimiter::new(REFUSED_LINES_PER_SECOND),
            searched: LineLimiter::new(SEARCH_LINES_PER_SECOND),
            lost: LineLimiter::new(SEARCH_LINES_PER_SECOND),
        }
    }

    pub(crate) fn placed(&mut self, flow: &FlowKey, placed: &PlacedFlow, view: &FlowView) {
        let Some(left_out) = self.placed.admit(Instant::now()) else {
            return;
        };
        info!(self.log, "flow placed";
            "decision" => DecisionKind::FlowPlaced,
            "client" => flow.client.to_string(),
            "address" => flow.service_address.to_string(),
            "service" => view.service_name(placed.service).to_owned(),
            "agent" => placed.agent.to_string(),
            "score" => placed.score,
            "choices" => placed.choices,
            "load_age_ms" => placed.load_age.map(|age| age.as_secs_f64() * 1_000.0),
            "attempt" => placed.attempt,
            "version" => view.version.0,
            "left_out" => left_out);
    }

    pub(crate) fn offered_again(&mut self, offer: &DueOffer, view: &FlowView) {
        self.placed(&offer.flow, &offer.placed, view);
        let Some(left_out) = self.refused.admit(Instant::now()) else {
            return;
        };
        warn!(self.log, "offer not answered in time";
            "decision" => DecisionKind::FlowPlaced,
            "client" => offer.flow.client.to_string(),
            "address" => offer.flow.service_address.to_string(),
            "agent" => offer.silent.to_string(),
            "next" => offer.to.to_string(),
            "left_out" => left_out);
    }

    pub(crate) fn refused(&mut self, flow: &FlowKey, reason: RefusalReason, view: &FlowView) {
        let Some(left_out) = self.refused.admit(Instant::now()) else {
            return;
        };
        let reason = match reason {
            RefusalReason::NoRoute => "no route",
            RefusalReason::NoTarget => "no target",
            RefusalReason::Evacuated => "zone evacuated",
        };
        warn!(self.log, "flow refused";
            "decision" => DecisionKind::FlowRefused,
            "client" => flow.client.to_string(),
            "address" => flow.service_address.to_string(),
            "reason" => reason,
            "version" => view.version.0,
            "left_out" => left_out);
    }

    pub(crate) fn lost(&mut self, reset: &FlowReset, view: &FlowView) {
        let Some(left_out) = self.lost.admit(Instant::now()) else {
            return;
        };
        let reason = match reset.reason {
            LossReason::Unheld => "nobody holds it",
            LossReason::TargetGone => "target gone",
            LossReason::AgentSilent => "agent silent",
        };
        warn!(self.log, "flow lost";
            "decision" => DecisionKind::FlowRefused,
            "client" => reset.flow.client.to_string(),
            "address" => reset.flow.service_address.to_string(),
            "reason" => reason,
            "version" => view.version.0,
            "left_out" => left_out);
    }

    pub(crate) fn abandoned(&mut self, flow: &FlowKey, holders: usize, view: &FlowView) {
        let Some(left_out) = self.lost.admit(Instant::now()) else {
            return;
        };
        warn!(self.log, "search abandoned";
            "decision" => DecisionKind::FlowSearched,
            "client" => flow.client.to_string(),
            "address" => flow.service_address.to_string(),
            "reason" => "too many agents for one search",
            "agents" => holders,
            "version" => view.version.0,
            "left_out" => left_out);
    }

    pub(crate) fn searched(
        &mut self,
        flow: &FlowKey,
        frames: &SearchFrames,
        counts: SearchCounts,
        view: &FlowView,
    ) {
        let Some(left_out) = self.searched.admit(Instant::now()) else {
            return;
        };
        let agents: usize = frames.iter().map(|(_, frame)| frame.agent_count()).sum();
        info!(self.log, "flow searched";
            "decision" => DecisionKind::FlowSearched,
            "client" => flow.client.to_string(),
            "address" => flow.service_address.to_string(),
            "agents" => agents,
            "frames" => frames.len(),
            "in_flight" => counts.in_flight,
            "waiting" => counts.waiting,
            "suppressed" => counts.suppressed,
            "version" => view.version.0,
            "left_out" => left_out);
    }
}
