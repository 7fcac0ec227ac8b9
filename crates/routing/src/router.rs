//! The decision for one packet at a balancer.

use std::hash::Hasher;

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken};
use lovagelatch_membership::TargetStanding;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use thiserror::Error;

use crate::packet::PacketView;
use crate::ring::ServiceRing;
use crate::table::RoutingTable;

/// Fixed keys of the hash of a flow key: every process must compute the same number.
const FLOW_KEYS: (u64, u64) = (0x0066_6c6f_7773, 0x6b65_7973);

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// It belongs to an open flow: forward it to the agent that its token names.
    Forward {
        /// The agent.
        agent: AgentAddress,
        /// The service that the flow was opened for.
        service: ServiceId,
    },
    /// It opens a flow: forward it to the agent chosen for it.
    NewFlow {
        /// The agent.
        agent: AgentAddress,
        /// The service that the address leads to.
        service: ServiceId,
        /// The standing of the targets that were chosen from.
        standing: TargetStanding,
    },
    /// It belongs to a flow whose agent is gone: forward it to another agent of the service,
    /// which shares the reset key and answers with a stateless reset, so that the caller opens
    /// a new flow at once instead of waiting for a timeout.
    Reset {
        /// The agent that answers.
        agent: AgentAddress,
        /// The service that the flow was opened for.
        service: ServiceId,
        /// The agent that is gone.
        gone: AgentAddress,
    },
    /// Drop it.
    Refuse {
        /// Why.
        reason: RouteRefusal,
    },
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RouteRefusal {
    /// The view knows no service at the address.
    #[error("no service at this address")]
    UnknownAddress,
    /// The flow was opened for another service than the address leads to, or than the agent at
    /// which the packet arrived serves.
    #[error("the flow belongs to another service than the address")]
    WrongService {
        /// The service that the flow was opened for.
        flow: ServiceId,
        /// The service that the address leads to.
        address: ServiceId,
    },
    /// The instance that held the flow has passed to another service: its packets must not reach
    /// that one.
    #[error("the agent that held the flow is listed for another service")]
    AgentElsewhere {
        /// The service that the flow was opened for.
        flow: ServiceId,
    },
    /// The view knows no target of the service.
    #[error("no target of the service")]
    NoTarget {
        /// The service.
        service: ServiceId,
    },
}

/// Decides where packets go.
#[derive(Clone, Copy, Debug)]
pub struct FlowRouter {
    keys: (u64, u64),
}

impl Default for FlowRouter {
    fn default() -> Self {
        Self::new()
    }
}

impl FlowRouter {
    /// A router that agrees with every other one made this way.
    #[must_use]
    pub fn new() -> Self {
        Self { keys: FLOW_KEYS }
    }

    /// Hashes flow keys with another seed; routers agree only when their seeds are equal.
    #[must_use]
    pub fn with_seed(mut self, seed: (u64, u64)) -> Self {
        self.keys = seed;
        self
    }

    /// A router that agrees with every other one that holds the same oldest valid key. A caller,
    /// who does not know the key, cannot choose connection IDs that lead to one agent.
    #[must_use]
    pub fn with_keys(keys: &FleetKeys) -> Self {
        Self::new().with_seed(keys.placement_seed())
    }

    /// Decides where a packet goes. Allocates nothing.
    #[must_use]
    pub fn route(&self, packet: &PacketView<'_>, table: &RoutingTable) -> RouteDecision {
        match packet.token {
            Some(token) => self.route_token(packet, token, table),
            None => self.place_flow(packet, table),
        }
    }

    /// The first `count` agents for a packet without a token, best first. The first is where
    /// `route` sends it; the second takes it when the first is over its fair share.
    #[must_use]
    pub fn rendezvous_order(
        &self,
        packet: &PacketView<'_>,
        table: &RoutingTable,
        count: usize,
    ) -> SmallVec<[AgentAddress; 4]> {
        let ring = table.ring_at(packet.service_address);
        let key = self.hash(packet.flow_key);
        ring.map_or_else(SmallVec::new, |ring| ring.order(key, count))
    }

    /// The token alone says which service the flow is for. What the address leads to now does
    /// not matter: it may have passed to another service while the flow stays open.
    fn route_token(
        &self,
        packet: &PacketView<'_>,
        token: FlowToken,
        table: &RoutingTable,
    ) -> RouteDecision {
        if table.is_gone(token.agent, token.service) {
            return self.reset(packet, token, table.ring_of(token.service));
        }
        if table.is_elsewhere(token.agent, token.service) {
            let reason = RouteRefusal::AgentElsewhere {
                flow: token.service,
            };
            return RouteDecision::Refuse { reason };
        }
        RouteDecision::Forward {
            agent: token.agent,
            service: token.service,
        }
    }

    /// Decides about a packet that this process had forwarded to the agent its token names, and
    /// whose copy came back since nobody listens there. `None` when its flow is not that
    /// agent's.
    ///
    /// The agent had ended when the packet came to its address, so whoever listens there later
    /// does not hold the flow. Nothing needs to be remembered, and no other packet is judged by
    /// it. Allocates nothing.
    #[must_use]
    pub fn return_packet(
        &self,
        packet: &PacketView<'_>,
        from: AgentAddress,
        table: &RoutingTable,
    ) -> Option<RouteDecision> {
        let token = packet.token.filter(|token| token.agent == from)?;
        let service = token.service;
        let key = self.hash(packet.flow_key);
        let order = table.ring_of(service).map(|ring| ring.order(key, 2));
        let other = order.into_iter().flatten().find(|agent| *agent != from);
        let refusal = RouteDecision::Refuse {
            reason: RouteRefusal::NoTarget { service },
        };
        Some(other.map_or(refusal, |agent| RouteDecision::Reset {
            agent,
            service,
            gone: from,
        }))
    }

    fn reset(
        &self,
        packet: &PacketView<'_>,
        token: FlowToken,
        ring: Option<&ServiceRing>,
    ) -> RouteDecision {
        let service = token.service;
        match ring.and_then(|ring| ring.pick(self.hash(packet.flow_key))) {
            Some(agent) => RouteDecision::Reset {
                agent,
                service,
                gone: token.agent,
            },
            None => RouteDecision::Refuse {
                reason: RouteRefusal::NoTarget { service },
            },
        }
    }

    fn place_flow(&self, packet: &PacketView<'_>, table: &RoutingTable) -> RouteDecision {
        let Some(ring) = table.ring_at(packet.service_address) else {
            let reason = RouteRefusal::UnknownAddress;
            return RouteDecision::Refuse { reason };
        };
        let service = ring.service();
        match ring.pick(self.hash(packet.flow_key)) {
            Some(agent) => RouteDecision::NewFlow {
                agent,
                service,
                standing: ring.standing(),
            },
            None => RouteDecision::Refuse {
                reason: RouteRefusal::NoTarget { service },
            },
        }
    }

    pub(crate) fn hash(&self, flow_key: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.keys.0, self.keys.1);
        hasher.write(flow_key);
        hasher.finish()
    }
}
