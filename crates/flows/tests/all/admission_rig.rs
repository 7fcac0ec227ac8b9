//! An agent whose offers name a request class, for the tests of its admission.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, Moment};
use lovagelatch_flows::{
    AdmissionEvent, AgentStep, FlowAgent, FlowKey, FlowPacket, FramePurpose, PacketFlags,
    PacketFrame, RequestClass, RequestDelivery,
};

use crate::agent::{answer, frame, informed_agent};
use crate::support::{at, data, flow, opening};

/// The slots that the frames of these tests name.
pub(crate) const SLOTS: u16 = 3;

/// Requests that the agent of these tests gives its target before the first rejection.
pub(crate) const FULL: u16 = 6;

pub(crate) fn class(priority: u8, aim_ms: u32) -> RequestClass {
    RequestClass {
        version: ConfigRevision(7),
        priority,
        aim_ms,
        timeout_ms: aim_ms * 5,
        idempotent: true,
        max_flows: None,
    }
}

/// A flow to the address of another route.
pub(crate) fn other_route(number: u16) -> FlowKey {
    let service_address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8_080);
    FlowKey {
        service_address,
        ..flow(number)
    }
}

/// An agent, the bytes that its flows have sent, and what it released.
pub(crate) struct AdmissionRig {
    pub(crate) agent: FlowAgent,
    pub(crate) class: Option<RequestClass>,
    pub(crate) events: Vec<AdmissionEvent>,
    client_bytes: HashMap<FlowKey, u32>,
    target_bytes: HashMap<FlowKey, u32>,
}

impl AdmissionRig {
    pub(crate) fn new(class: Option<RequestClass>) -> Self {
        Self::with_agent(informed_agent().with_target_capacity(SLOTS, FULL), class)
    }

    pub(crate) fn with_agent(agent: FlowAgent, class: Option<RequestClass>) -> Self {
        Self {
            agent,
            class,
            events: Vec::new(),
            client_bytes: HashMap::new(),
            target_bytes: HashMap::new(),
        }
    }

    pub(crate) fn offer_frame(&self, rest: &[u8]) -> PacketFrame {
        PacketFrame {
            class: self.class.map(Box::new),
            ..frame(FramePurpose::Offer, rest)
        }
    }

    /// Offers a flow, with `rest` as further candidates.
    pub(crate) fn offer(&mut self, flow: FlowKey, rest: &[u8], now: Moment) -> AgentStep {
        let offer = self.offer_frame(rest);
        let (step, _) = self.agent.handle_frame(offer, &opening(flow), now);
        self.collect_events();
        step
    }

    /// Opens a flow without a request.
    pub(crate) fn open(&mut self, flow: FlowKey, now: Moment) {
        let step = self.offer(flow, &[], now);
        assert!(matches!(step, AgentStep::Deliver { .. }), "{step:?}");
        self.agent.handle_target_packet(&answer(flow), now);
        let confirmation = FlowPacket {
            data_bytes: 0,
            ..data(flow)
        };
        assert_eq!(
            self.client_packet(&confirmation, now),
            AgentStep::Deliver { tag: 0 }
        );
    }

    /// Sends a request of 100 bytes on an open flow.
    pub(crate) fn request(&mut self, flow: FlowKey, now: Moment) -> AgentStep {
        let packet = self.next_data(flow, 100);
        self.client_packet(&packet, now)
    }

    /// Opens the flows with these ports and sends a request on each. Returns how many were held.
    pub(crate) fn requests(&mut self, ports: std::ops::Range<u16>, now: Moment) -> usize {
        let held = ports.filter(|&port| {
            self.open(flow(port), now);
            self.request(flow(port), now) == AgentStep::Hold
        });
        held.count()
    }

    pub(crate) fn next_data(&mut self, flow: FlowKey, bytes: u16) -> FlowPacket {
        let sent = self.client_bytes.entry(flow).or_insert(0);
        let packet = FlowPacket {
            sequence: 1_001 + *sent,
            data_bytes: bytes,
            ..data(flow)
        };
        *sent += u32::from(bytes);
        packet
    }

    pub(crate) fn client_packet(&mut self, packet: &FlowPacket, now: Moment) -> AgentStep {
        let known = frame(FramePurpose::Known, &[]);
        let (step, _) = self.agent.handle_frame(known, packet, now);
        self.collect_events();
        step
    }

    /// The target answers the flow's request.
    pub(crate) fn respond(&mut self, flow: FlowKey, now: Moment) {
        let sent = self.target_bytes.entry(flow).or_insert(0);
        let packet = FlowPacket {
            sequence: 5_001 + *sent,
            ..data(flow)
        };
        *sent += u32::from(packet.data_bytes);
        self.target_packet(&packet, now);
    }

    pub(crate) fn target_packet(&mut self, packet: &FlowPacket, now: Moment) -> AgentStep {
        let (step, _) = self.agent.handle_target_packet(packet, now);
        self.collect_events();
        step
    }

    pub(crate) fn advance(&mut self, now: Moment) {
        self.agent.advance_admission(now);
        self.collect_events();
    }

    /// Takes the released requests since the last call.
    pub(crate) fn released(&mut self) -> Vec<RequestDelivery> {
        let events = std::mem::take(&mut self.events);
        let released = events.into_iter().filter_map(|event| match event {
            AdmissionEvent::Released(delivery) => Some(delivery),
            _ => None,
        });
        released.collect()
    }

    /// Takes the ports of the flows of released requests since the last call.
    pub(crate) fn released_ports(&mut self) -> Vec<u16> {
        let released = self.released();
        let ports = released.iter().map(|one| one.flow.client.port());
        ports.collect()
    }

    pub(crate) fn waiting(&mut self, now: Moment) -> u16 {
        self.agent.status(now).load.waiting
    }

    fn collect_events(&mut self) {
        let mut events = Vec::new();
        self.agent.take_admission_events(&mut events);
        self.events.append(&mut events);
    }
}

/// A class with a limit of flows.
pub(crate) fn limited_class(max_flows: u32) -> RequestClass {
    RequestClass {
        max_flows: NonZeroU32::new(max_flows),
        ..class(1, 400)
    }
}

/// A packet without data that ends the flow.
pub(crate) fn ending(flow: FlowKey, flags: PacketFlags) -> FlowPacket {
    FlowPacket {
        flags,
        data_bytes: 0,
        ..data(flow)
    }
}

/// Teaches the agent that a request takes `millis`, with requests that start at once.
pub(crate) fn learn_service_time(rig: &mut AdmissionRig, flow: FlowKey, millis: u64, start: u64) {
    rig.open(flow, at(start));
    for round in 0..40 {
        let sent = start + round * (millis + 1);
        rig.request(flow, at(sent));
        rig.respond(flow, at(sent + millis));
    }
}

pub(crate) const IDLE: Duration = Duration::from_secs(60);
