//! Decides what happens to a caller's packet: applies the routing library to this agent's view,
//! its load and the handshakes in progress.

use std::sync::Arc;

use lovagelatch_domain::{GateReport, Moment};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowAdmission, FlowRouter, PacketView, RoutingTable,
};
use lovagelatch_wire::ForwardHeader;

use crate::agent::Agent;
use crate::packet::handshake::{HandshakeRoute, HandshakeTable};

/// The multiple of the service's mean load above which an agent forwards new flows to peers.
const OVER_SHARE_FACTOR: f64 = 1.25;

/// Routes arriving packets.
pub(crate) struct ArrivalRouter {
    table: RoutingTable,
    /// The view that `table` was built from.
    view: Arc<FleetView>,
    handshakes: HandshakeTable,
}

impl ArrivalRouter {
    pub(crate) fn new() -> Self {
        Self {
            table: RoutingTable::default(),
            view: Arc::default(),
            handshakes: HandshakeTable::default(),
        }
    }

    /// Decides what happens to one packet.
    pub(crate) fn decide(
        &mut self,
        agent: &Agent,
        header: &ForwardHeader,
        packet: PacketView<'_>,
    ) -> ArrivalDecision {
        self.refresh(agent);
        let now = agent.clock.now();
        let is_opening = packet.token.is_none();
        let recorded = match is_opening {
            true => self.handshakes.find(packet.flow_key, now),
            false => None,
        };
        if let Some(HandshakeRoute::Peer(peer)) = recorded {
            return ArrivalDecision::Forward { agent: peer };
        }
        let admission = match recorded {
            Some(_) => FlowAdmission::HandshakeStarted,
            None => current_admission(agent),
        };
        let arrival = ArrivalPacket {
            packet,
            service: header.service,
            revision: header.revision,
            hops: header.hops,
            admission,
        };
        let own_address = agent.address();
        let flows = FlowRouter::with_keys(&agent.keys.load());
        let decision = flows.route_arrival(&arrival, own_address, agent.service, &self.table);
        let decision = self.check_holder(agent, is_opening, decision);
        if is_opening && recorded.is_none() {
            self.record(packet.flow_key, decision, now);
        }
        decision
    }

    /// Replaces forwarding a packet of a peer's flow by a reset if the peer is gone.
    ///
    /// The packet arrived here because a balancer considers the peer gone. If this agent's view
    /// agrees (the peer is suspected or not listed), a reset informs the caller immediately;
    /// forwarded, the packet would be lost and the caller's flow stay silent until its idle
    /// timeout. If the views differ, the peer may be alive, and a reset would break a working flow.
    fn check_holder(
        &self,
        agent: &Agent,
        is_opening: bool,
        decision: ArrivalDecision,
    ) -> ArrivalDecision {
        let ArrivalDecision::Forward { agent: holder } = decision else {
            return decision;
        };
        let targets = self.view.targets(agent.service);
        let listed = targets.iter().find(|target| target.agent == holder);
        let may_be_alive =
            listed.is_some_and(|target| target.standing != TargetStanding::Suspected);
        if is_opening || may_be_alive {
            decision
        } else {
            ArrivalDecision::Reset
        }
    }

    fn record(&mut self, key: &[u8], decision: ArrivalDecision, now: Moment) {
        match decision {
            ArrivalDecision::Accept => self.handshakes.record(key, HandshakeRoute::Local, now),
            ArrivalDecision::Forward { agent } => {
                self.handshakes
                    .record(key, HandshakeRoute::Peer(agent), now);
            }
            _ => {}
        }
    }

    fn refresh(&mut self, agent: &Agent) {
        let view = agent.fleet.view();
        if !Arc::ptr_eq(&view, &self.view) {
            self.table = RoutingTable::from_view_for(&[agent.service], &view, &self.table);
            self.view = view;
        }
    }
}

/// Whether the agent accepts new flows, from its state and its load relative to its peers.
fn current_admission(agent: &Agent) -> FlowAdmission {
    if agent.drain.is_leaving() {
        return FlowAdmission::Leaving;
    }
    let local = agent.gate.report();
    let peers = agent.fleet.peer_reports();
    let loads = peers.iter().map(|peer| request_load(&peer.report));
    if local.in_use >= local.slots && is_over_share(request_load(&local), loads) {
        return FlowAdmission::OverShare;
    }
    FlowAdmission::Accepting
}

/// Requests in progress or queued, per slot.
fn request_load(report: &GateReport) -> f64 {
    let requests = f64::from(report.in_use) + f64::from(report.queued);
    requests / f64::from(report.slots.max(1))
}

fn is_over_share(local: f64, peers: impl Iterator<Item = f64>) -> bool {
    let (sum, count) = peers.fold((local, 1.0), |(sum, count), load| (sum + load, count + 1.0));
    local > OVER_SHARE_FACTOR * sum / count
}
