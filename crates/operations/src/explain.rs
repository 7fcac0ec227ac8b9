//! Explains the placement of a new flow according to this instance's view.

use std::net::SocketAddrV4;

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RoutingTable};
use serde::{Deserialize, Serialize};

/// Maximum number of candidates in an explanation.
const MAX_CANDIDATES: usize = 16;

/// A target that a new flow may be placed at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCandidate {
    /// The platform's identifier of the target.
    pub target: u32,
    /// The control address of its agent.
    pub agent: AgentAddress,
    /// Its availability zone.
    pub zone: String,
    /// Its slots, which are its weight in rendezvous hashing.
    pub slots: u16,
    /// Whether the view has it as live, suspected or leaving.
    pub standing: TargetStanding,
}

/// The placement decision for a new flow and its inputs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowExplanation {
    /// The service address that the caller sends to.
    pub address: SocketAddrV4,
    /// The service with this address; `None` for an unknown address.
    pub service: Option<String>,
    /// The agency that the address belongs to, if any.
    pub agency: Option<String>,
    /// The configuration revision of the view.
    pub config_revision: ConfigRevision,
    /// The possible targets; the best first if a flow key was given.
    pub candidates: Vec<FlowCandidate>,
    /// The rule that decided, as text for operators.
    pub reason: String,
}

impl FlowExplanation {
    /// Explains how `router` places a flow to `address`. Without a flow key, only lists the
    /// candidates.
    #[must_use]
    pub fn new(
        view: &FleetView,
        address: SocketAddrV4,
        flow_key: Option<&[u8]>,
        router: &FlowRouter,
    ) -> Self {
        let service = view.service_at(address);
        let entry = service.and_then(|service| view.text().service_by_id(service));
        let mut explanation = Self {
            address,
            service: entry.map(|entry| entry.name.to_string()),
            agency: view.agency_at(address).map(ToString::to_string),
            config_revision: view.revision(),
            candidates: Vec::new(),
            reason: String::new(),
        };
        match flow_key {
            Some(flow_key) => explanation.rank_candidates(view, flow_key, router),
            None => explanation.list_candidates(view),
        }
        explanation
    }

    fn rank_candidates(&mut self, view: &FleetView, flow_key: &[u8], router: &FlowRouter) {
        let service = view.service_at(self.address);
        let table = RoutingTable::from_view_for(service.as_slice(), view, &RoutingTable::default());
        let packet = PacketView {
            service_address: self.address,
            flow_key,
            token: None,
        };
        let ranked = router.ranked_agents(&packet, &table, MAX_CANDIDATES);
        self.candidates = ranked
            .iter()
            .filter_map(|&agent| find_candidate(view, service?, agent))
            .collect();
        self.reason = match router.route(&packet, &table) {
            RouteDecision::NewFlow { standing, .. } => {
                format!(
                    "rendezvous hashing over {} targets, by slots",
                    standing_label(standing)
                )
            }
            RouteDecision::Refuse { reason } => reason.to_string(),
            RouteDecision::Forward { .. } | RouteDecision::Reset { .. } => String::new(),
        };
    }

    fn list_candidates(&mut self, view: &FleetView) {
        let Some(service) = view.service_at(self.address) else {
            self.reason = "no service has this address".to_owned();
            return;
        };
        let targets = view.targets(service).iter().take(MAX_CANDIDATES);
        self.candidates = targets
            .filter_map(|target| find_candidate(view, service, target.agent))
            .collect();
        self.reason = "give a flow key to see the order for one flow".to_owned();
    }
}

const fn standing_label(standing: TargetStanding) -> &'static str {
    match standing {
        TargetStanding::Live => "live",
        TargetStanding::Suspected => "suspected (none is live)",
        TargetStanding::Leaving => "leaving (no other is left)",
    }
}

fn find_candidate(
    view: &FleetView,
    service: ServiceId,
    agent: AgentAddress,
) -> Option<FlowCandidate> {
    let mut targets = view.targets(service).iter();
    let target = targets.find(|target| target.agent == agent)?;
    Some(FlowCandidate {
        target: target.id.0,
        agent,
        zone: target.zone.to_string(),
        slots: target.slots,
        standing: target.standing,
    })
}
