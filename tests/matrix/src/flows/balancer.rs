//! A balancer: reads a datagram, decides, seals a forward frame.

use std::net::SocketAddrV4;

use lovagelatch_domain::AgentAddress;
use lovagelatch_keys::FleetKeys;
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RouteRefusal, RoutingTable};
use lovagelatch_wire::{ForwardHeader, seal_forward};

use super::FlowMechanisms;
use super::truth::{CLAIMS_ADDRESS, FleetTruth};

pub(crate) struct FlowBalancer {
    pub(crate) keys: FleetKeys,
    pub(crate) table: RoutingTable,
    /// It does not hear of changes.
    pub(crate) stale: bool,
    pub(crate) paused: bool,
    /// What came while it was paused.
    pub(crate) held_back: Vec<(SocketAddrV4, Vec<u8>)>,
    pub(crate) cut_off: bool,
    pub(crate) cut_from: Option<AgentAddress>,
}

impl FlowBalancer {
    pub(crate) fn new(keys: FleetKeys, truth: &FleetTruth) -> Self {
        Self {
            keys,
            table: truth.table(),
            stale: false,
            paused: false,
            held_back: Vec::new(),
            cut_off: false,
            cut_from: None,
        }
    }

    /// Where a caller's datagram goes, and the frame.
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
        if self.cut_off || self.cut_from == Some(agent) {
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
