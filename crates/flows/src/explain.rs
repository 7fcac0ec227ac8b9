//! Explains to operators what a process knows about one flow.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use serde::Serialize;

use crate::balancer::{FlowBalancer, possible_holders};
use crate::packet::FlowKey;
use crate::ring::{FlowStanding, FlowTarget};
use crate::view::{FlowView, ViewCoverage};

/// A target that may hold a flow, or where the flow may be placed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// The address of the agent beside the target.
    pub agent: AgentAddress,
    /// Whether the target accepts new flows: its [`FlowStanding`] in lower case.
    pub standing: &'static str,
    /// Whether the store lists the target.
    pub listed: bool,
    /// Whether the target is in the balancer's zone.
    pub near: bool,
    /// Whether the target's zone is evacuated, so that it gets no new flows.
    pub evacuated: bool,
    /// How many requests the target runs concurrently.
    pub slots: u16,
    /// Requests in progress according to its last load report; `None` before the first report.
    pub in_progress: Option<u16>,
    /// The age of that report, in milliseconds.
    pub load_age_ms: Option<u64>,
    /// Whether this balancer avoids the target for new flows, based on what it has observed.
    pub suspected: bool,
}

/// What a balancer knows about one flow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowExplanation {
    /// The version of the active configuration, as numbered by the operator.
    pub version: u64,
    /// The name of the flow's route; `None` if no route has its service address.
    pub route: Option<String>,
    /// The service that a new flow with this key is sent to.
    pub service: Option<String>,
    /// The agent that holds the flow according to this balancer; `None` if it would have to search
    /// for the flow.
    pub agent: Option<AgentAddress>,
    /// Whether the view includes every live target, so that a search without a result proves the
    /// flow lost; otherwise the reason for doubt.
    pub coverage: ViewCoverage,
    /// How many agents would be queried if none of the candidates held the flow.
    pub holders: usize,
    /// The targets that are queried for the flow, nearest on the ring first. A new flow may be
    /// placed at the first ten of them.
    pub candidates: Vec<CandidateExplanation>,
}

impl FlowBalancer {
    /// Returns what this balancer knows about a flow, including its candidates.
    #[must_use]
    pub fn explain(&self, flow: &FlowKey, view: &FlowView, now: Moment) -> FlowExplanation {
        let route = view.route(flow);
        let service = route.and_then(|route| route.service_for(flow.point()));
        let ring = service.and_then(|service| view.service(service));
        let candidates = ring.map(|ring| ring.candidates(flow.point()));
        let candidates = candidates.into_iter().flatten();
        FlowExplanation {
            version: view.version.0,
            route: route.map(|route| route.name.clone()),
            service: service.map(|service| view.service_name(service).to_owned()),
            agent: self.agent_of(flow),
            coverage: view.coverage,
            holders: possible_holders(view, now).len(),
            candidates: candidates
                .map(|target| self.explain_candidate(target, view, now))
                .collect(),
        }
    }

    fn explain_candidate(
        &self,
        target: &FlowTarget,
        view: &FlowView,
        now: Moment,
    ) -> CandidateExplanation {
        let loads = self.loads();
        let load = loads.load(target.agent);
        let load = load.filter(|load| load.last_heard > Moment::ZERO);
        CandidateExplanation {
            agent: target.agent,
            standing: standing_name(target.standing),
            listed: target.listed,
            near: view.zones.is_near(target.zone),
            evacuated: view.zones.is_evacuated(target.zone),
            slots: target.slots,
            in_progress: load.map(|load| load.report.in_progress),
            load_age_ms: load.map(|load| millis(now.since(load.last_heard))),
            suspected: loads.is_suspected(target.agent, now),
        }
    }
}

/// What an agent knows about one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FlowStatus {
    /// The state of the flow at the target.
    pub state: &'static str,
    /// The balancer that sent the flow's last packet; `None` if only packets from the target were
    /// seen.
    pub balancer: Option<AgentAddress>,
    /// Time since the flow's last packet, in milliseconds.
    pub silent_ms: u64,
    /// How long the target has owed a response, in milliseconds; `None` if no response is pending.
    pub waiting_ms: Option<u64>,
    /// Where the flow's request is, for routes with a class: `none`, `opening` (about to come),
    /// `held` (waits at the agent) or `delivered`.
    pub request: &'static str,
}

fn standing_name(standing: FlowStanding) -> &'static str {
    match standing {
        FlowStanding::Serving => "serving",
        FlowStanding::Lapsed => "lapsed",
        FlowStanding::Unreadable => "unreadable",
        FlowStanding::Leaving => "leaving",
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
