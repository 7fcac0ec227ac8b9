//! An agent: the arrival decision, and as much of a QUIC endpoint as the promises need.

use std::collections::{BTreeSet, HashMap};

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, TOKEN_BYTES};
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowAdmission, FlowRouter, PacketView, RoutingTable,
};
use lovagelatch_wire::{ForwardHeader, open_forward, seal_forward};

use super::FlowMechanisms;
use super::caller::{CallerDatagram, FIRST_FLIGHT};
use super::truth::FleetTruth;
use crate::history::AgentStart;

/// What a reset is recognized by: the key's first bytes and the connection ID.
pub(crate) type ResetMark = ([u8; 8], [u8; TOKEN_BYTES]);

/// What an agent sends to a caller.
#[derive(Clone, Debug)]
pub(crate) enum AgentReply {
    /// It has these packets; a connection ID to use from now on, with its reset mark.
    Answer {
        holder: AgentStart,
        has: u32,
        token: [u8; TOKEN_BYTES],
        mark: ResetMark,
    },
    /// A stateless reset.
    Reset(ResetMark),
}

/// What became of a frame.
pub(crate) enum Arrival {
    Dropped,
    HandedOn(AgentAddress, Vec<u8>),
    /// It reached the endpoint.
    Taken {
        datagram: CallerDatagram,
        /// Whether it was taken for a packet of a flow that this agent holds.
        open: bool,
        issued: bool,
        reply: Option<AgentReply>,
    },
    Reset(CallerDatagram, AgentReply),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Opening {
    Here,
    Peer(AgentAddress),
}

pub(crate) struct FlowAgent {
    pub(crate) start: AgentStart,
    pub(crate) service: ServiceId,
    pub(crate) keys: FleetKeys,
    pub(crate) view: FleetTruth,
    table: RoutingTable,
    pub(crate) running: bool,
    pub(crate) paused: bool,
    pub(crate) held_back: Vec<Vec<u8>>,
    pub(crate) leaving: bool,
    openings: HashMap<Vec<u8>, Opening>,
    /// Packets that came, by flow.
    flows: HashMap<u64, BTreeSet<u32>>,
    /// The flow of each connection ID.
    serials: HashMap<u64, u64>,
    next_serial: u64,
}

impl FlowAgent {
    pub(crate) fn new(
        start: AgentStart,
        service: ServiceId,
        keys: FleetKeys,
        view: &FleetTruth,
    ) -> Self {
        Self {
            start,
            service,
            keys,
            view: view.clone(),
            table: table_of(view),
            running: true,
            paused: false,
            held_back: Vec::new(),
            leaving: false,
            openings: HashMap::new(),
            flows: HashMap::new(),
            serials: HashMap::new(),
            // Starts at one address share no connection ID.
            next_serial: start.start << 32,
        }
    }

    pub(crate) fn take_view(&mut self, view: &FleetTruth) {
        self.view = view.clone();
        self.table = table_of(view);
    }

    /// Takes a forward frame.
    pub(crate) fn receive(&mut self, frame: &[u8], mechanisms: FlowMechanisms) -> Arrival {
        let Ok((header, datagram)) = open_forward(frame, &self.keys) else {
            return Arrival::Dropped;
        };
        let Ok(packet) = PacketView::read(datagram, header.service_address, &self.keys) else {
            return Arrival::Dropped;
        };
        let Some(parsed) = CallerDatagram::parse(datagram) else {
            return Arrival::Dropped;
        };
        let decision = self.decide(&header, packet, mechanisms);
        match decision {
            ArrivalDecision::Accept => self.take(parsed, packet, mechanisms),
            ArrivalDecision::Reset => self.reset(parsed, packet.flow_key, mechanisms),
            ArrivalDecision::Forward { agent } => {
                let header = ForwardHeader {
                    hops: header.hops + 1,
                    ..header
                };
                let mut frame = Vec::new();
                seal_forward(&header, datagram, &self.keys, &mut frame);
                Arrival::HandedOn(agent, frame)
            }
            ArrivalDecision::Refuse { .. } if mechanisms.service_check => Arrival::Dropped,
            ArrivalDecision::Refuse { .. } => self.take(parsed, packet, mechanisms),
        }
    }

    /// The decision, with what the binary adds to it: its memory of openings, and its own view
    /// of a holder that a balancer takes for gone.
    fn decide(
        &mut self,
        header: &ForwardHeader,
        packet: PacketView<'_>,
        mechanisms: FlowMechanisms,
    ) -> ArrivalDecision {
        let opening = self.openings.get(packet.flow_key).copied();
        if let (None, Some(Opening::Peer(agent))) = (packet.token, opening) {
            return ArrivalDecision::Forward { agent };
        }
        let admission = match opening {
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
        let own = self.start.agent;
        let decision = FlowRouter::new().route_arrival(&arrival, own, self.service, &self.table);
        let ArrivalDecision::Forward { agent } = decision else {
            if packet.token.is_none() && decision == ArrivalDecision::Accept {
                self.openings
                    .insert(packet.flow_key.to_vec(), Opening::Here);
            }
            return decision;
        };
        if packet.token.is_none() {
            self.openings
                .insert(packet.flow_key.to_vec(), Opening::Peer(agent));
            return decision;
        }
        let confirmed = !self.view.lives(agent, self.service);
        if confirmed || !mechanisms.two_views {
            return ArrivalDecision::Reset;
        }
        decision
    }

    fn take(
        &mut self,
        datagram: CallerDatagram,
        packet: PacketView<'_>,
        mechanisms: FlowMechanisms,
    ) -> Arrival {
        let flow = datagram.flow;
        let held = packet.token.and_then(|token| {
            let own = token.agent == self.start.agent;
            self.serials.get(&token.serial).filter(|_| own)
        });
        if packet.token.is_some() && held.is_none() {
            return self.reset(datagram, packet.flow_key, mechanisms);
        }
        let open = held.is_some();
        let has = self.flows.entry(flow).or_default();
        has.insert(datagram.number);
        let opened = FIRST_FLIGHT.clone().all(|number| has.contains(&number));
        let issued = opened && !open;
        let reply = opened.then(|| self.answer(flow, datagram.number));
        Arrival::Taken {
            datagram,
            open,
            issued,
            reply,
        }
    }

    /// Every answer brings a connection ID of the current key generation.
    fn answer(&mut self, flow: u64, has: u32) -> AgentReply {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.serials.insert(serial, flow);
        let token = FlowToken {
            agent: self.start.agent,
            service: self.service,
            serial,
        };
        let token = token.seal(&self.keys);
        AgentReply::Answer {
            holder: self.start,
            has,
            token,
            mark: (reset_key(&self.keys, token[0]), token),
        }
    }

    fn reset(&self, datagram: CallerDatagram, id: &[u8], mechanisms: FlowMechanisms) -> Arrival {
        let Ok(id) = <[u8; TOKEN_BYTES]>::try_from(id) else {
            return Arrival::Dropped;
        };
        let generation = match mechanisms.generation_of_reset {
            true => id[0],
            false => self.keys.current_generation().0,
        };
        let mark = (reset_key(&self.keys, generation), id);
        Arrival::Reset(datagram, AgentReply::Reset(mark))
    }
}

/// Agents keep no record of who is gone: they judge by their view alone.
fn table_of(view: &FleetTruth) -> RoutingTable {
    view.table().with_gone([])
}

fn reset_key(keys: &FleetKeys, generation: u8) -> [u8; 8] {
    let key = keys.reset_key_for(KeyGeneration(generation));
    let mut start = [0; 8];
    if let Some(key) = key {
        start.copy_from_slice(&key[..8]);
    }
    start
}
