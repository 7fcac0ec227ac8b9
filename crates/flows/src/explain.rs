//! What a process knows of one flow, for operators.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use serde::Serialize;

use crate::balancer::{FlowBalancer, possible_holders};
use crate::packet::FlowKey;
use crate::ring::{FlowStanding, FlowTarget};
use crate::view::{FlowView, ViewCoverage};

/// A target that a flow may be at, or be placed at.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidateOutlook {
    /// The agent beside it.
    pub agent: AgentAddress,
    /// Whether it may be given new flows.
    pub standing: &'static str,
    /// Whether the store lists it.
    pub listed: bool,
    /// Whether it is in the balancer's zone.
    pub near: bool,
    /// Whether its zone is evacuated, so that it gets no new flows.
    pub evacuated: bool,
    /// How many requests it runs at once.
    pub slots: u16,
    /// Requests in progress by its last report; `None` before any.
    pub in_progress: Option<u16>,
    /// How old that report is, in milliseconds.
    pub load_age_ms: Option<u64>,
    /// Whether it is passed over for new flows by what this balancer has seen of it.
    pub suspected: bool,
}

/// What a balancer knows of one flow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowOutlook {
    /// The operator's number for the configuration in force.
    pub version: u64,
    /// The route of its address; `None` where no route has it.
    pub route: Option<String>,
    /// The service that a new flow from there goes to.
    pub service: Option<String>,
    /// Where the flow is taken to be; `None` where this balancer would have to search for it.
    pub agent: Option<AgentAddress>,
    /// Whether the view holds every living target, so that a search that finds nobody is proof; if
    /// not, why.
    pub coverage: ViewCoverage,
    /// How many agents would be asked for it if its candidates did not hold it.
    pub holders: usize,
    /// Who is asked for it, nearest on the ring first; the first ten are those that it may be
    /// placed at.
    pub candidates: Vec<CandidateOutlook>,
}

impl FlowBalancer {
    /// What is known of a flow.
    #[must_use]
    pub fn explain(&self, flow: &FlowKey, view: &FlowView, now: Moment) -> FlowOutlook {
        let route = view.route(flow);
        let service = route.and_then(|route| route.service_for(flow.point()));
        let ring = service.and_then(|service| view.service(service));
        let candidates = ring.map(|ring| ring.candidates(flow.point()));
        let candidates = candidates.into_iter().flatten();
        FlowOutlook {
            version: view.version.0,
            route: route.map(|route| route.name.clone()),
            service: service.map(|service| view.service_name(service).to_owned()),
            agent: self.agent_of(flow),
            coverage: view.coverage,
            holders: possible_holders(view, now).len(),
            candidates: candidates
                .map(|target| self.candidate_outlook(target, view, now))
                .collect(),
        }
    }

    fn candidate_outlook(
        &self,
        target: &FlowTarget,
        view: &FlowView,
        now: Moment,
    ) -> CandidateOutlook {
        let loads = self.loads();
        let load = loads.load(target.agent);
        let load = load.filter(|load| load.last_heard > Moment::ZERO);
        CandidateOutlook {
            agent: target.agent,
            standing: standing_word(target.standing),
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

/// What an agent knows of one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldFlow {
    /// How far it has come at the target.
    pub state: &'static str,
    /// The balancer that sent its last packet; `None` where only the target's were seen.
    pub balancer: Option<AgentAddress>,
    /// How long ago its last packet came, in milliseconds.
    pub silent_ms: u64,
    /// For how long the target has owed an answer, in milliseconds; `None` when it owes none.
    pub waiting_ms: Option<u64>,
}

fn standing_word(standing: FlowStanding) -> &'static str {
    match standing {
        FlowStanding::Serving => "serving",
        FlowStanding::Lapsed => "lapsed",
        FlowStanding::Unreadable => "unreadable",
        FlowStanding::Leaving => "leaving",
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
