//! What to do with a caller's packet: the routing library's decision with this agent's view,
//! its load and its memory of opening flows.

use std::sync::Arc;

use lovagelatch_domain::{GateReport, Moment};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowAdmission, FlowRouter, PacketView, RoutingTable,
};
use lovagelatch_wire::ForwardHeader;

use crate::agent::Agent;
use crate::packet::opening::{OpeningPlace, OpeningTable};

/// How far above the mean load of the service an agent may be before it hands new flows on.
const SHARE_FACTOR: f64 = 1.25;

/// The decisions about arriving packets.
pub(crate) struct ArrivalRouter {
    table: RoutingTable,
    /// What `table` was made from.
    view: Arc<FleetView>,
    openings: OpeningTable,
}

impl ArrivalRouter {
    pub(crate) fn new() -> Self {
        Self {
            table: RoutingTable::default(),
            view: Arc::default(),
            openings: OpeningTable::default(),
        }
    }

    /// Decides about one packet.
    pub(crate) fn decide(
        &mut self,
        agent: &Agent,
        header: &ForwardHeader,
        packet: PacketView<'_>,
    ) -> ArrivalDecision {
        self.refresh(agent);
        let now = agent.clock.now();
        let opens = packet.token.is_none();
        let known = match opens {
            true => self.openings.find(packet.flow_key, now),
            false => None,
        };
        if let Some(OpeningPlace::Peer(peer)) = known {
            return ArrivalDecision::Forward { agent: peer };
        }
        let admission = match known {
            Some(_) => FlowAdmission::HandshakeStarted,
            None => holding_of(agent),
        };
        let arrival = ArrivalPacket {
            packet,
            service: header.service,
            revision: header.revision,
            hops: header.hops,
            admission,
        };
        let own = agent.address();
        let flows = FlowRouter::with_keys(&agent.keys.load());
        let decision = flows.route_arrival(&arrival, own, agent.service, &self.table);
        let decision = self.confirm(agent, opens, decision);
        if opens && known.is_none() {
            self.remember(packet.flow_key, decision, now);
        }
        decision
    }

    /// Whether a packet of a peer's flow is worth handing on.
    ///
    /// It came here because a balancer holds the peer to be gone. If this agent's own view says
    /// so too (suspected, or no longer listed), a reset tells the caller at once; handed on, the
    /// packet would vanish and the caller's flow stay silent until its idle timeout. If the
    /// views differ, the peer may live, and a reset would cut a flow that works.
    fn confirm(&self, agent: &Agent, opens: bool, decision: ArrivalDecision) -> ArrivalDecision {
        let ArrivalDecision::Forward { agent: holder } = decision else {
            return decision;
        };
        let targets = self.view.targets(agent.service);
        let listed = targets.iter().find(|target| target.agent == holder);
        let lives = listed.is_some_and(|target| target.standing != TargetStanding::Suspected);
        if opens || lives {
            decision
        } else {
            ArrivalDecision::Reset
        }
    }

    fn remember(&mut self, key: &[u8], decision: ArrivalDecision, now: Moment) {
        match decision {
            ArrivalDecision::Accept => self.openings.note(key, OpeningPlace::Here, now),
            ArrivalDecision::Forward { agent } => {
                self.openings.note(key, OpeningPlace::Peer(agent), now);
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

fn holding_of(agent: &Agent) -> FlowAdmission {
    if agent.drain.is_leaving() {
        return FlowAdmission::Leaving;
    }
    let own = agent.gate.report();
    let peers = agent.fleet.peer_reports();
    let loads = peers.iter().map(|peer| load_of(&peer.report));
    if own.in_use >= own.slots && is_over_share(load_of(&own), loads) {
        return FlowAdmission::OverShare;
    }
    FlowAdmission::Accepting
}

/// Requests under way for each slot.
fn load_of(report: &GateReport) -> f64 {
    let requests = f64::from(report.in_use) + f64::from(report.queued);
    requests / f64::from(report.slots.max(1))
}

fn is_over_share(own: f64, peers: impl Iterator<Item = f64>) -> bool {
    let (sum, count) = peers.fold((own, 1.0), |(sum, count), load| (sum + load, count + 1.0));
    own > SHARE_FACTOR * sum / count
}
