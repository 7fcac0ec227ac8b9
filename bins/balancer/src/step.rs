//! What is done with one packet.

use std::fmt::Display;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::PacketEnds;
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RoutingTable};
use lovagelatch_wire::{ForwardHeader, open_forward, seal_forward};

use crate::count::PacketOutcome;
use crate::forward::ForwardPath;
use crate::ingress::PacketOrigin;
use crate::notice::{DecisionLog, PlacedNotice};
use crate::refused::ReturnedDatagram;
use lovagelatch_network::SendBatch;

/// In a frame's `hops`: another agent was asked before the one that gets it.
const ASKED_ANOTHER: u8 = 1;

/// What one packet needs, borrowed for a batch.
pub(crate) struct PacketStep<'a> {
    pub(crate) path: &'a ForwardPath,
    pub(crate) router: &'a FlowRouter,
    pub(crate) keys: &'a FleetKeys,
    pub(crate) table: &'a RoutingTable,
    pub(crate) sending: &'a mut SendBatch,
    pub(crate) log: &'a mut DecisionLog,
    pub(crate) now: Instant,
}

impl PacketStep<'_> {
    pub(crate) fn forward(&mut self, origin: PacketOrigin, datagram: &[u8]) -> PacketOutcome {
        let packet = match PacketView::read(datagram, origin.service_address, self.keys) {
            Ok(packet) => packet,
            Err(fault) => return self.refuse(PacketOutcome::from(&fault), Some(origin), &fault),
        };
        let decision = self.router.route(&packet, self.table);
        let outcome = PacketOutcome::from(&decision);
        match decision {
            RouteDecision::Forward { agent, service } => {
                self.push(origin, datagram, agent, service, 0);
            }
            RouteDecision::NewFlow { agent, service, .. }
            | RouteDecision::Reset { agent, service, .. } => {
                self.push(origin, datagram, agent, service, 0);
                self.log_placed(&decision, origin, &packet, service);
            }
            RouteDecision::Refuse { reason } => {
                return self.refuse(outcome, Some(origin), &reason);
            }
        }
        outcome
    }

    /// A frame of ours that came back whole: its tag is right, so nobody made it up. The agent
    /// that is asked for the reset must not look at its own view first, which may hold the agent
    /// that ended to be there: as with a packet that was handed on already.
    pub(crate) fn return_packet(
        &mut self,
        returned: &ReturnedDatagram<'_>,
    ) -> Option<PacketOutcome> {
        let (header, datagram) = open_forward(returned.bytes, self.keys).ok()?;
        if header.hops >= ASKED_ANOTHER {
            return None;
        }
        let origin = PacketOrigin {
            caller: header.caller,
            service_address: header.service_address,
        };
        let packet = PacketView::read(datagram, origin.service_address, self.keys).ok()?;
        let from = AgentAddress(returned.destination);
        let decision = self.router.route_returned(&packet, from, self.table)?;
        match decision {
            RouteDecision::Reset { agent, service, .. } => {
                self.push(origin, datagram, agent, service, ASKED_ANOTHER);
                self.log_placed(&decision, origin, &packet, service);
                Some(PacketOutcome::Returned)
            }
            RouteDecision::Refuse { reason } => {
                let outcome = PacketOutcome::from(&decision);
                Some(self.refuse(outcome, Some(origin), &reason))
            }
            RouteDecision::Forward { .. } | RouteDecision::NewFlow { .. } => None,
        }
    }

    fn push(
        &mut self,
        origin: PacketOrigin,
        datagram: &[u8],
        agent: AgentAddress,
        service: ServiceId,
        hops: u8,
    ) {
        let header = ForwardHeader {
            caller: origin.caller,
            service_address: origin.service_address,
            service,
            revision: self.table.revision(),
            hops,
        };
        let ends = PacketEnds {
            source: self.path.control.0,
            destination: agent.0,
        };
        let path = self.path.path;
        let hop = to_ipv4(path.next_hop(agent.0)).unwrap_or(agent.0);
        let keys = self.keys;
        // The batch has room: it is as long as the one received.
        self.sending.push(hop, |out| {
            path.start_datagram(&ends, out);
            seal_forward(&header, datagram, keys, out);
        });
    }

    pub(crate) fn refuse(
        &mut self,
        outcome: PacketOutcome,
        origin: Option<PacketOrigin>,
        reason: &impl Display,
    ) -> PacketOutcome {
        self.log.refused(outcome, origin, reason, self.now);
        outcome
    }

    fn log_placed(
        &mut self,
        decision: &RouteDecision,
        origin: PacketOrigin,
        packet: &PacketView<'_>,
        service: ServiceId,
    ) {
        let name = self.table.service_name(service);
        let notice = PlacedNotice {
            decision,
            origin,
            service: name.map_or("", |name| name.as_str()),
            flow_key: packet.flow_key,
            revision: self.table.revision().0,
        };
        self.log.placed(&notice, self.now);
    }
}

fn to_ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
