//! Why a new flow goes where it goes, by this instance's view.

use std::net::SocketAddrV4;

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RoutingTable};
use serde::{Deserialize, Serialize};

/// The most candidates that are listed.
const MAX_CANDIDATES: usize = 16;

/// One target that a new flow may go to, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCandidate {
    /// The platform's number for the target.
    pub target: u32,
    /// Its agent.
    pub agent: AgentAddress,
    /// Its availability zone.
    pub zone: String,
    /// Its slots, by which it is weighted.
    pub slots: u16,
    /// What the view holds of it.
    pub standing: TargetStanding,
}

/// The decision for a new flow with its inputs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowExplanation {
    /// Where the caller sends.
    pub address: SocketAddrV4,
    /// The service that the address leads to.
    pub service: Option<String>,
    /// The agency that the address belongs to.
    pub agency: Option<String>,
    /// The revision of the view that decides.
    pub config_revision: ConfigRevision,
    /// Where the flow may go, best first when a flow key was given.
    pub candidates: Vec<FlowCandidate>,
    /// The rule that decided.
    pub reason: String,
}

impl FlowExplanation {
    /// Explains a flow to `address` as `router` decides; without a flow key, only the candidates
    /// are listed.
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
            Some(flow_key) => explanation.decide(view, flow_key, router),
            None => explanation.list(view),
        }
        explanation
    }

    fn decide(&mut self, view: &FleetView, flow_key: &[u8], router: &FlowRouter) {
        let service = view.service_at(self.address);
        let table = RoutingTable::from_view_for(service.as_slice(), view, &RoutingTable::default());
        let packet = PacketView {
            service_address: self.address,
            flow_key,
            token: None,
        };
        let order = router.ranked_agents(&packet, &table, MAX_CANDIDATES);
        self.candidates = order
            .iter()
            .filter_map(|&agent| candidate(view, service?, agent))
            .collect();
        self.reason = match router.route(&packet, &table) {
            RouteDecision::NewFlow { standing, .. } => {
                format!(
                    "rendezvous hashing over {} targets, by slots",
                    standing_word(standing)
                )
            }
            RouteDecision::Refuse { reason } => reason.to_string(),
            RouteDecision::Forward { .. } | RouteDecision::Reset { .. } => String::new(),
        };
    }

    fn list(&mut self, view: &FleetView) {
        let Some(service) = view.service_at(self.address) else {
            self.reason = "no service has this address".to_owned();
            return;
        };
        let targets = view.targets(service).iter().take(MAX_CANDIDATES);
        self.candidates = targets
            .filter_map(|target| candidate(view, service, target.agent))
            .collect();
        self.reason = "give a flow key to see the order for one flow".to_owned();
    }
}

const fn standing_word(standing: TargetStanding) -> &'static str {
    match standing {
        TargetStanding::Live => "live",
        TargetStanding::Suspected => "suspected (none is live)",
        TargetStanding::Leaving => "leaving (no other is left)",
    }
}

fn candidate(view: &FleetView, service: ServiceId, agent: AgentAddress) -> Option<FlowCandidate> {
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
