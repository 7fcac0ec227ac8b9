//! The decision for one forwarded packet at the agent it reached.
//!
//! A balancer may act on an old view. The agent looks once more, with its own view and with
//! what it alone knows: which flows it holds and whether it takes new ones. At most one
//! further agent is asked, so no packet circles.

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::FlowToken;

use crate::packet::PacketView;
use crate::ring::ServiceRing;
use crate::router::{FlowRouter, RouteRefusal};
use crate::table::RoutingTable;

/// How many agents a packet may pass after the first.
const MAX_HOPS: u8 = 1;

/// What the agent itself knows of the flow that a packet without a token belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowHolding {
    /// It has begun a handshake under this flow key already.
    Begun,
    /// It knows nothing of it and takes new flows.
    Open,
    /// It knows nothing of it and would rather not take it: over its fair share.
    OverShare,
    /// It knows nothing of it and takes no new flows: leaving.
    Leaving,
}

/// A forwarded packet as it arrived at an agent.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalPacket<'a> {
    /// The packet.
    pub packet: PacketView<'a>,
    /// The service that the sender gave for the address.
    pub service: ServiceId,
    /// The revision of the sender's view.
    pub revision: ConfigRevision,
    /// How many agents have handed it on already.
    pub hops: u8,
    /// What this agent holds of its flow.
    pub holding: FlowHolding,
}

/// What an agent does with a forwarded packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Give it to the own endpoint: of an own flow, or opening one.
    Accept,
    /// Give it to the own endpoint, which does not know the flow and answers with a stateless
    /// reset: the agent that held it is gone.
    Reset,
    /// Forward it to another agent, with one hop more.
    HandOn {
        /// That agent.
        agent: AgentAddress,
    },
    /// Drop it.
    Refuse {
        /// Why.
        reason: RouteRefusal,
    },
}

impl FlowRouter {
    /// Decides what the agent at `own`, which serves `own_service`, does with a packet.
    #[must_use]
    pub fn arrive(
        &self,
        arrival: &ArrivalPacket<'_>,
        own: AgentAddress,
        own_service: ServiceId,
        table: &RoutingTable,
    ) -> ArrivalDecision {
        if let Some(reason) = refusal(arrival, own_service, table) {
            return ArrivalDecision::Refuse { reason };
        }
        match arrival.packet.token {
            Some(token) if token.agent == own => ArrivalDecision::Accept,
            Some(token) => return_flow(token, arrival, table),
            None => self.take_flow(arrival, own, table.ring_of(own_service)),
        }
    }

    /// A new flow is handed to the next agent of its rendezvous order when this one is over its
    /// share or leaving. A flow that has begun here stays: the rest of its handshake would
    /// otherwise go elsewhere.
    fn take_flow(
        &self,
        arrival: &ArrivalPacket<'_>,
        own: AgentAddress,
        ring: Option<&ServiceRing>,
    ) -> ArrivalDecision {
        let stays = matches!(arrival.holding, FlowHolding::Begun | FlowHolding::Open);
        if stays || arrival.hops >= MAX_HOPS {
            return ArrivalDecision::Accept;
        }
        let key = self.hash(arrival.packet.flow_key);
        let order = ring.map(|ring| ring.order(key, 2)).unwrap_or_default();
        let other = order.into_iter().find(|agent| *agent != own);
        other.map_or(ArrivalDecision::Accept, |agent| ArrivalDecision::HandOn {
            agent,
        })
    }
}

/// A packet of a flow that another agent holds.
///
/// What goes wrong: a balancer that slept holds an agent to be gone whose successor at the same
/// address has opened flows since; a reset from here would cut them. It shows as resets of
/// flows whose agent runs. So a reset needs two views that agree: the balancer's and this
/// agent's; otherwise the packet goes to the agent its token names.
fn return_flow(
    token: FlowToken,
    arrival: &ArrivalPacket<'_>,
    table: &RoutingTable,
) -> ArrivalDecision {
    let gone =
        table.is_gone(token.agent, token.service) || table.is_elsewhere(token.agent, token.service);
    if gone || arrival.hops >= MAX_HOPS {
        ArrivalDecision::Reset
    } else {
        ArrivalDecision::HandOn { agent: token.agent }
    }
}

fn refusal(
    arrival: &ArrivalPacket<'_>,
    own_service: ServiceId,
    table: &RoutingTable,
) -> Option<RouteRefusal> {
    let address = arrival.service;
    if let Some(token) = arrival.packet.token {
        // The token says which service the flow is for, wherever its address leads by now.
        let flow = token.service;
        return (flow != own_service).then_some(RouteRefusal::WrongService { flow, address });
    }
    if address != own_service {
        let flow = address;
        return Some(RouteRefusal::WrongService { flow, address });
    }
    // The sender placed the flow by an older view, and the address has passed to another
    // service since.
    let address = table.service_at(arrival.packet.service_address)?;
    let moved = arrival.revision <= table.revision() && address != own_service;
    let flow = arrival.service;
    moved.then_some(RouteRefusal::WrongService { flow, address })
}
