//! The routing decision for a packet at a balancer.

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

/// The default seed of the flow key hash. It is fixed because all processes must compute the same
/// hash.
const FLOW_HASH_SEED: (u64, u64) = (0x0066_6c6f_7773, 0x6b65_7973);

/// What a balancer does with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// The packet belongs to an open flow: forward it to the agent that its token names.
    Forward {
        /// The agent named by the token.
        agent: AgentAddress,
        /// The service that the flow was opened for.
        service: ServiceId,
    },
    /// The packet opens a flow: forward it to the agent chosen by rendezvous hashing.
    NewFlow {
        /// The chosen agent.
        agent: AgentAddress,
        /// The service at the destination address.
        service: ServiceId,
        /// The standing of the candidate targets.
        standing: TargetStanding,
    },
    /// The packet belongs to a flow whose agent is gone: forward it to another agent of the
    /// service. That agent shares the reset key and answers with a stateless reset, so the caller
    /// opens a new flow at once instead of waiting for a timeout.
    Reset {
        /// The agent that answers with the reset.
        agent: AgentAddress,
        /// The service that the flow was opened for.
        service: ServiceId,
        /// The agent that is gone.
        gone: AgentAddress,
    },
    /// Drop the packet.
    Refuse {
        /// Why the packet is dropped.
        reason: RouteRefusal,
    },
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RouteRefusal {
    /// The view has no service at the destination address.
    #[error("no service at this address")]
    UnknownAddress,
    /// The flow was opened for a service other than the one at the destination address or the one
    /// that the receiving agent serves.
    #[error("flow belongs to a service other than the one at its address")]
    WrongService {
        /// The service that the flow was opened for.
        flow: ServiceId,
        /// The service at the destination address.
        address: ServiceId,
    },
    /// The instance that held the flow has moved to another service, which must not receive the
    /// flow's packets.
    #[error("the agent that held the flow is listed for another service")]
    AgentReassigned {
        /// The service that the flow was opened for.
        flow: ServiceId,
    },
    /// The view has no target of the service.
    #[error("no target of the service")]
    NoTarget {
        /// The service without targets.
        service: ServiceId,
    },
}

/// Decides where packets are forwarded.
#[derive(Clone, Copy, Debug)]
pub struct FlowRouter {
    seed: (u64, u64),
}

impl Default for FlowRouter {
    fn default() -> Self {
        Self::new()
    }
}

impl FlowRouter {
    /// Creates a router with the default seed. All such routers agree on placement.
    #[must_use]
    pub fn new() -> Self {
        Self {
            seed: FLOW_HASH_SEED,
        }
    }

    /// Sets the seed of the flow key hash. Routers agree on placement only if their seeds are equal.
    #[must_use]
    pub fn with_seed(mut self, seed: (u64, u64)) -> Self {
        self.seed = seed;
        self
    }

    /// Creates a router whose seed is derived from the oldest valid key. Routers with the same
    /// oldest key agree on placement. Callers do not know the key, so they cannot choose connection
    /// IDs that all lead to one agent.
    #[must_use]
    pub fn with_keys(keys: &FleetKeys) -> Self {
        Self::new().with_seed(keys.placement_seed())
    }

    /// Decides where a packet is forwarded. Allocates nothing.
    #[must_use]
    pub fn route(&self, packet: &PacketView<'_>, table: &RoutingTable) -> RouteDecision {
        match packet.token {
            Some(token) => self.route_token(packet, token, table),
            None => self.place_flow(packet, table),
        }
    }

    /// Returns the best `count` agents for a packet without a token, best first. `route` chooses
    /// the first; the second accepts the flow when the first is over its fair share.
    #[must_use]
    pub fn ranked_agents(
        &self,
        packet: &PacketView<'_>,
        table: &RoutingTable,
        count: usize,
    ) -> SmallVec<[AgentAddress; 4]> {
        let ring = table.ring_at(packet.service_address);
        let key = self.hash(packet.flow_key);
        ring.map_or_else(SmallVec::new, |ring| ring.ranked(key, count))
    }

    /// The token alone determines the flow's service. The service at the destination address is
    /// ignored: the address may have moved to another service while the flow was open.
    fn route_token(
        &self,
        packet: &PacketView<'_>,
        token: FlowToken,
        table: &RoutingTable,
    ) -> RouteDecision {
        if table.is_gone(token.agent, token.service) {
            return self.reset(packet, token, table.ring_of(token.service));
        }
        if table.is_reassigned(token.agent, token.service) {
            let reason = RouteRefusal::AgentReassigned {
                flow: token.service,
            };
            return RouteDecision::Refuse { reason };
        }
        RouteDecision::Forward {
            agent: token.agent,
            service: token.service,
        }
    }

    /// Decides about a packet that this process forwarded to the agent named by its token and that
    /// was returned because no process listens there. Returns `None` when the flow does not belong
    /// to that agent.
    ///
    /// The agent had already ended when the packet reached its address, so a process that listens
    /// there later does not hold the flow. The decision needs no state and affects no other packet.
    /// Allocates nothing.
    #[must_use]
    pub fn route_returned(
        &self,
        packet: &PacketView<'_>,
        from: AgentAddress,
        table: &RoutingTable,
    ) -> Option<RouteDecision> {
        let token = packet.token.filter(|token| token.agent == from)?;
        let service = token.service;
        let key = self.hash(packet.flow_key);
        let order = table.ring_of(service).map(|ring| ring.ranked(key, 2));
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
        let mut hasher = SipHasher13::new_with_keys(self.seed.0, self.seed.1);
        hasher.write(flow_key);
        hasher.finish()
    }
}
