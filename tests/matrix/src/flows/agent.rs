//! A simulated agent: the arrival decision and a minimal QUIC endpoint.

use std::collections::{BTreeSet, HashMap};

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, TOKEN_BYTES};
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowAdmission, FlowRouter, PacketView, RoutingTable,
};
use lovagelatch_wire::{ForwardHeader, open_forward, seal_forward};

use super::FlowMechanisms;
use super::caller::{CallerDatagram, FIRST_FLIGHT};
use super::fleet::FleetState;
use crate::history::AgentStart;

/// Stands for a stateless reset token: the first bytes of the reset key, and the connection ID.
pub(crate) type ResetToken = ([u8; 8], [u8; TOKEN_BYTES]);

/// A datagram that an agent sends to a caller.
#[derive(Clone, Debug)]
pub(crate) enum AgentReply {
    /// Acknowledges a packet and issues a connection ID, to be used from now on, with its reset
    /// token.
    Ack {
        holder: AgentStart,
        number: u32,
        token: [u8; TOKEN_BYTES],
        reset_token: ResetToken,
    },
    /// A stateless reset.
    Reset(ResetToken),
}

/// The result of handling a forward frame.
pub(crate) enum ArrivalOutcome {
    Dropped,
    Forwarded(AgentAddress, Vec<u8>),
    /// The packet reached the endpoint of this agent.
    Accepted {
        datagram: CallerDatagram,
        /// Whether the packet was accepted as part of a flow that this agent holds.
        open: bool,
        issued: bool,
        reply: Option<AgentReply>,
    },
    Reset(CallerDatagram, AgentReply),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HandshakeRoute {
    Local,
    Peer(AgentAddress),
}

pub(crate) struct FlowAgent {
    pub(crate) start: AgentStart,
    pub(crate) service: ServiceId,
    pub(crate) keys: FleetKeys,
    pub(crate) view: FleetState,
    table: RoutingTable,
    pub(crate) running: bool,
    pub(crate) paused: bool,
    pub(crate) pending_frames: Vec<Vec<u8>>,
    pub(crate) leaving: bool,
    handshakes: HashMap<Vec<u8>, HandshakeRoute>,
    /// Numbers of the packets received, by flow.
    packets_by_flow: HashMap<u64, BTreeSet<u32>>,
    /// Flows by the serial of their connection IDs.
    flows_by_serial: HashMap<u64, u64>,
    next_serial: u64,
}

impl FlowAgent {
    pub(crate) fn new(
        start: AgentStart,
        service: ServiceId,
        keys: FleetKeys,
        view: &FleetState,
    ) -> Self {
        Self {
            start,
            service,
            keys,
            view: view.clone(),
            table: agent_table(view),
            running: true,
            paused: false,
            pending_frames: Vec::new(),
            leaving: false,
            handshakes: HashMap::new(),
            packets_by_flow: HashMap::new(),
            flows_by_serial: HashMap::new(),
            // Different starts at one address never issue the same connection ID.
            next_serial: start.start << 32,
        }
    }

    pub(crate) fn set_view(&mut self, view: &FleetState) {
        self.view = view.clone();
        self.table = agent_table(view);
    }

    /// Handles a forward frame of a balancer or another agent.
    pub(crate) fn handle_frame(
        &mut self,
        frame: &[u8],
        mechanisms: FlowMechanisms,
    ) -> ArrivalOutcome {
        let Ok((header, datagram)) = open_forward(frame, &self.keys) else {
            return ArrivalOutcome::Dropped;
        };
        let Ok(packet) = PacketView::read(datagram, header.service_address, &self.keys) else {
            return ArrivalOutcome::Dropped;
        };
        let Some(parsed) = CallerDatagram::parse(datagram) else {
            return ArrivalOutcome::Dropped;
        };
        let decision = self.decide(&header, packet, mechanisms);
        match decision {
            ArrivalDecision::Accept => self.accept(parsed, packet, mechanisms),
            ArrivalDecision::Reset => self.reset(parsed, packet.flow_key, mechanisms),
            ArrivalDecision::Forward { agent } => {
                let header = ForwardHeader {
                    hops: header.hops + 1,
                    ..header
                };
                let mut frame = Vec::new();
                seal_forward(&header, datagram, &self.keys, &mut frame);
                ArrivalOutcome::Forwarded(agent, frame)
            }
            ArrivalDecision::Refuse { .. } if mechanisms.service_check => ArrivalOutcome::Dropped,
            ArrivalDecision::Refuse { .. } => self.accept(parsed, packet, mechanisms),
        }
    }

    /// Makes the arrival decision. Like the agent binary, consults the table of handshakes first
    /// and checks its own view before it resets a flow whose holder a balancer considers gone.
    fn decide(
        &mut self,
        header: &ForwardHeader,
        packet: PacketView<'_>,
        mechanisms: FlowMechanisms,
    ) -> ArrivalDecision {
        let route = self.handshakes.get(packet.flow_key).copied();
        if let (None, Some(HandshakeRoute::Peer(agent))) = (packet.token, route) {
            return ArrivalDecision::Forward { agent };
        }
        let admission = match route {
            Some(_) => FlowAdmission::HandshakeStarted,
            None if self.leaving => FlowAdmission::Leaving,
            None => FlowAdmission::Accepting,
        };
        let arrival = ArrivalPacket {
            packet,
            service: header.service,
            revision: header.revision,
            hops: header.hops,
            admission,
        };
        let own_address = self.start.agent;
        let decision =
            FlowRouter::new().route_arrival(&arrival, own_address, self.service, &self.table);
        let ArrivalDecision::Forward { agent } = decision else {
            if packet.token.is_none() && decision == ArrivalDecision::Accept {
                self.handshakes
                    .insert(packet.flow_key.to_vec(), HandshakeRoute::Local);
            }
            return decision;
        };
        if packet.token.is_none() {
            self.handshakes
                .insert(packet.flow_key.to_vec(), HandshakeRoute::Peer(agent));
            return decision;
        }
        let confirmed = !self.view.is_unsuspected_target(agent, self.service);
        if confirmed || !mechanisms.two_views {
            return ArrivalDecision::Reset;
        }
        decision
    }

    fn accept(
        &mut self,
        datagram: CallerDatagram,
        packet: PacketView<'_>,
        mechanisms: FlowMechanisms,
    ) -> ArrivalOutcome {
        let flow = datagram.flow;
        let known_flow = packet.token.and_then(|token| {
            let is_own = token.agent == self.start.agent;
            self.flows_by_serial.get(&token.serial).filter(|_| is_own)
        });
        if packet.token.is_some() && known_flow.is_none() {
            return self.reset(datagram, packet.flow_key, mechanisms);
        }
        let open = known_flow.is_some();
        let received = self.packets_by_flow.entry(flow).or_default();
        received.insert(datagram.number);
        let handshake_started = FIRST_FLIGHT
            .clone()
            .all(|number| received.contains(&number));
        let issued = handshake_started && !open;
        let reply = handshake_started.then(|| self.acknowledge(flow, datagram.number));
        ArrivalOutcome::Accepted {
            datagram,
            open,
            issued,
            reply,
        }
    }

    /// Acknowledges a packet; every reply issues a connection ID of the current key generation.
    fn acknowledge(&mut self, flow: u64, number: u32) -> AgentReply {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.flows_by_serial.insert(serial, flow);
        let token = FlowToken {
            agent: self.start.agent,
            service: self.service,
            serial,
        };
        let token = token.seal(&self.keys);
        AgentReply::Ack {
            holder: self.start,
            number,
            token,
            reset_token: (reset_key_prefix(&self.keys, token[0]), token),
        }
    }

    fn reset(
        &self,
        datagram: CallerDatagram,
        id: &[u8],
        mechanisms: FlowMechanisms,
    ) -> ArrivalOutcome {
        let Ok(id) = <[u8; TOKEN_BYTES]>::try_from(id) else {
            return ArrivalOutcome::Dropped;
        };
        let generation = match mechanisms.reset_generation {
            true => id[0],
            false => self.keys.current_generation().0,
        };
        let reset_token = (reset_key_prefix(&self.keys, generation), id);
        ArrivalOutcome::Reset(datagram, AgentReply::Reset(reset_token))
    }
}

/// Builds the routing table of an agent. Agents do not track absent agents; they rely on their
/// view alone.
fn agent_table(view: &FleetState) -> RoutingTable {
    view.table().with_gone([])
}

fn reset_key_prefix(keys: &FleetKeys, generation: u8) -> [u8; 8] {
    let key = keys.reset_key_for(KeyGeneration(generation));
    let mut prefix = [0; 8];
    if let Some(key) = key {
        prefix.copy_from_slice(&key[..8]);
    }
    prefix
}
