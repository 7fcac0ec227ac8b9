//! The routing decision for a forwarded packet at the agent that received it.
//!
//! A balancer may act on a stale view. The agent decides again with its own view and with local
//! knowledge: which flows it holds and whether it accepts new ones. A packet is forwarded to at
//! most one further agent, so it cannot loop.

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::FlowToken;

use crate::packet::PacketView;
use crate::ring::ServiceRing;
use crate::router::{FlowRouter, RouteRefusal};
use crate::table::RoutingTable;

/// How many times agents may forward a packet.
const MAX_HOPS: u8 = 1;

/// Whether the agent accepts the flow of a packet without a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowAdmission {
    /// The agent has already started a handshake with this flow key.
    HandshakeStarted,
    /// The flow is unknown and the agent accepts new flows.
    Accepting,
    /// The flow is unknown and the agent is over its fair share, so it prefers not to accept it.
    OverShare,
    /// The flow is unknown and the agent is leaving, so it accepts no new flows.
    Leaving,
}

/// A forwarded packet as received by an agent.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalPacket<'a> {
    /// The caller's packet.
    pub packet: PacketView<'a>,
    /// The service of the destination address in the sender's view.
    pub service: ServiceId,
    /// The configuration revision of the sender's view.
    pub revision: ConfigRevision,
    /// How many agents have already forwarded the packet.
    pub hops: u8,
    /// Whether this agent accepts the flow, if the packet has no token.
    pub admission: FlowAdmission,
}

/// What an agent does with a forwarded packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Pass the packet to the local endpoint: it belongs to a local flow or opens one.
    Accept,
    /// Pass the packet to the local endpoint, which does not know the flow and answers with a
    /// stateless reset, because the agent that held the flow is gone.
    Reset,
    /// Forward the packet to another agent and increment its hop count.
    Forward {
        /// The agent to forward to.
        agent: AgentAddress,
    },
    /// Drop the packet.
    Refuse {
        /// Why the packet is dropped.
        reason: RouteRefusal,
    },
}

impl FlowRouter {
    /// Decides what the agent at address `own`, which serves `own_service`, does with a forwarded
    /// packet.
    #[must_use]
    pub fn route_arrival(
        &self,
        arrival: &ArrivalPacket<'_>,
        own: AgentAddress,
        own_service: ServiceId,
        table: &RoutingTable,
    ) -> ArrivalDecision {
        if let Some(reason) = refusal_reason(arrival, own_service, table) {
            return ArrivalDecision::Refuse { reason };
        }
        match arrival.packet.token {
            Some(token) if token.agent == own => ArrivalDecision::Accept,
            Some(token) => route_open_flow(token, arrival, table),
            None => self.accept_or_forward(arrival, own, table.ring_of(own_service)),
        }
    }

    /// Accepts a new flow, or forwards it to the next agent in rendezvous order when this agent is
    /// over its share or leaving. A flow whose handshake has started here is always accepted;
    /// otherwise the rest of its handshake would go to another agent.
    fn accept_or_forward(
        &self,
        arrival: &ArrivalPacket<'_>,
        own: AgentAddress,
        ring: Option<&ServiceRing>,
    ) -> ArrivalDecision {
        let accepts = matches!(
            arrival.admission,
            FlowAdmission::HandshakeStarted | FlowAdmission::Accepting
        );
        if accepts || arrival.hops >= MAX_HOPS {
            return ArrivalDecision::Accept;
        }
        let key = self.hash(arrival.packet.flow_key);
        let order = ring.map(|ring| ring.ranked(key, 2)).unwrap_or_default();
        let other = order.into_iter().find(|agent| *agent != own);
        other.map_or(ArrivalDecision::Accept, |agent| ArrivalDecision::Forward {
            agent,
        })
    }
}

/// Decides about a packet of a flow that another agent holds.
///
/// A balancer that was paused may consider an agent gone whose successor at the same address has
/// opened flows since. A reset from here would break flows whose agent runs. A reset therefore
/// requires that the views of the balancer and of this agent agree; otherwise the packet is
/// forwarded to the agent that its token names.
fn route_open_flow(
    token: FlowToken,
    arrival: &ArrivalPacket<'_>,
    table: &RoutingTable,
) -> ArrivalDecision {
    let gone = table.is_gone(token.agent, token.service)
        || table.is_reassigned(token.agent, token.service);
    if gone || arrival.hops >= MAX_HOPS {
        ArrivalDecision::Reset
    } else {
        ArrivalDecision::Forward { agent: token.agent }
    }
}

fn refusal_reason(
    arrival: &ArrivalPacket<'_>,
    own_service: ServiceId,
    table: &RoutingTable,
) -> Option<RouteRefusal> {
    let address = arrival.service;
    if let Some(token) = arrival.packet.token {
        // The token determines the flow's service, even if its address now belongs to another.
        let flow = token.service;
        return (flow != own_service).then_some(RouteRefusal::WrongService { flow, address });
    }
    if address != own_service {
        let flow = address;
        return Some(RouteRefusal::WrongService { flow, address });
    }
    // The sender placed the flow with an older view; the address has since moved to another
    // service.
    let address = table.service_at(arrival.packet.service_address)?;
    let moved = arrival.revision <= table.revision() && address != own_service;
    let flow = arrival.service;
    moved.then_some(RouteRefusal::WrongService { flow, address })
}
