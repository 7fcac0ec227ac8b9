//! Routing and sending of one packet.

use std::fmt::Display;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Instant;

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::PacketEnds;
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RoutingTable};
use lovagelatch_wire::{ForwardHeader, open_forward, seal_forward};

use crate::decision_log::{DecisionLog, FlowPlacement};
use crate::error_queue::ReturnedDatagram;
use crate::forward::ForwardPath;
use crate::ingress::PacketOrigin;
use crate::metrics::PacketOutcome;
use lovagelatch_network::SendBatch;

/// Value of `hops` in a frame that was sent to another agent before.
const REROUTED_HOPS: u8 = 1;

/// Processes the packets of one batch with the keys and the routing table loaded for it.
pub(crate) struct PacketProcessor<'a> {
    pub(crate) path: &'a ForwardPath,
    pub(crate) router: &'a FlowRouter,
    pub(crate) keys: &'a FleetKeys,
    pub(crate) table: &'a RoutingTable,
    pub(crate) sending: &'a mut SendBatch,
    pub(crate) log: &'a mut DecisionLog,
    pub(crate) now: Instant,
}

impl PacketProcessor<'_> {
    pub(crate) fn forward(&mut self, origin: PacketOrigin, datagram: &[u8]) -> PacketOutcome {
        let packet = match PacketView::read(datagram, origin.service_address, self.keys) {
            Ok(packet) => packet,
            Err(error) => return self.refuse(PacketOutcome::from(&error), Some(origin), &error),
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
                self.log_placement(&decision, origin, &packet, service);
            }
            RouteDecision::Refuse { reason } => {
                return self.refuse(outcome, Some(origin), &reason);
            }
        }
        outcome
    }

    /// Sends a frame that was returned in full to another agent, which resets the flow. The valid
    /// tag proves that the frame is genuine. `hops` tells the agent to skip its own view, in which
    /// the ended agent may still be alive, as for a packet that an agent has already forwarded.
    pub(crate) fn reroute(&mut self, returned: &ReturnedDatagram<'_>) -> Option<PacketOutcome> {
        let (header, datagram) = open_forward(returned.bytes, self.keys).ok()?;
        if header.hops >= REROUTED_HOPS {
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
                self.push(origin, datagram, agent, service, REROUTED_HOPS);
                self.log_placement(&decision, origin, &packet, service);
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
        // Cannot overflow: the send batch is as large as the receive batch.
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

    fn log_placement(
        &mut self,
        decision: &RouteDecision,
        origin: PacketOrigin,
        packet: &PacketView<'_>,
        service: ServiceId,
    ) {
        let name = self.table.service_name(service);
        let placement = FlowPlacement {
            decision,
            origin,
            service: name.map_or("", |name| name.as_str()),
            flow_key: packet.flow_key,
            revision: self.table.revision().0,
        };
        self.log.placed(&placement, self.now);
    }
}

fn to_ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
