//! A simulated balancer: parses a datagram, makes the routing decision, seals a forward frame.

use std::net::SocketAddrV4;

use lovagelatch_domain::AgentAddress;
use lovagelatch_keys::FleetKeys;
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RouteRefusal, RoutingTable};
use lovagelatch_wire::{ForwardHeader, seal_forward};

use super::FlowMechanisms;
use super::fleet::{CLAIMS_ADDRESS, FleetState};

pub(crate) struct FlowBalancer {
    pub(crate) keys: FleetKeys,
    pub(crate) table: RoutingTable,
    /// Whether view updates are withheld from it.
    pub(crate) stale: bool,
    pub(crate) paused: bool,
    /// Datagrams that arrived while it was paused, with their sources.
    pub(crate) pending_datagrams: Vec<(SocketAddrV4, Vec<u8>)>,
    pub(crate) isolated: bool,
    pub(crate) unreachable_agent: Option<AgentAddress>,
}

impl FlowBalancer {
    pub(crate) fn new(keys: FleetKeys, fleet: &FleetState) -> Self {
        Self {
            keys,
            table: fleet.table(),
            stale: false,
            paused: false,
            pending_datagrams: Vec::new(),
            isolated: false,
            unreachable_agent: None,
        }
    }

    /// Returns the agent to which a caller's datagram is forwarded, and the frame; `None` if it is
    /// dropped.
    pub(crate) fn forward(
        &self,
        caller: SocketAddrV4,
        datagram: &[u8],
        mechanisms: FlowMechanisms,
    ) -> Option<(AgentAddress, Vec<u8>)> {
        let mut packet = PacketView::read(datagram, CLAIMS_ADDRESS, &self.keys).ok()?;
        if !mechanisms.tokens {
            packet.token = None;
        }
        let decision = FlowRouter::new().route(&packet, &self.table);
        let (agent, service) = match decision {
            RouteDecision::Forward { agent, service }
            | RouteDecision::NewFlow { agent, service, .. }
            | RouteDecision::Reset { agent, service, .. } => (agent, service),
            RouteDecision::Refuse {
                reason: RouteRefusal::WrongService { flow, .. },
            } if !mechanisms.service_check => (packet.token?.agent, flow),
            RouteDecision::Refuse { .. } => return None,
        };
        if self.isolated || self.unreachable_agent == Some(agent) {
            return None;
        }
        let header = ForwardHeader {
            caller,
            service_address: CLAIMS_ADDRESS,
            service,
            revision: self.table.revision(),
            hops: 0,
        };
        let mut frame = Vec::new();
        seal_forward(&header, datagram, &self.keys, &mut frame);
        Some((agent, frame))
    }
}
