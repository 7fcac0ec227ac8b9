//! A fake target, which accepts flows, runs requests and returns packets of flows that it does not
//! hold.

use std::collections::HashMap;

use lovagelatch_domain::ServiceId;
use lovagelatch_flows::{FlowKey, FlowPacket, PacketFlags};

use super::history::TargetStart;
use super::network::Packet;

/// Time that a request takes.
pub(crate) const WORK_TIME_MS: u64 = 25;

const RESPONSE_BYTES: u16 = 400;

#[derive(Clone, Debug)]
struct TargetFlow {
    initial_sequence: u32,
    open: bool,
    /// Requests that ran or are running, with whether the response is ready.
    requests: HashMap<u64, bool>,
    /// Requests in the order of their responses, which gives the sequence number of each.
    answered: Vec<u64>,
    closed: bool,
}

impl TargetFlow {
    fn response(&self, flow: FlowKey, request: u64) -> Packet {
        let answered = self.answered.iter().position(|known| *known == request);
        let offset = u32::try_from(answered.unwrap_or_default()).unwrap_or_default();
        let offset = offset * u32::from(RESPONSE_BYTES);
        let head = FlowPacket {
            flow,
            flags: PacketFlags {
                ack: true,
                ..PacketFlags::default()
            },
            sequence: self.initial_sequence.wrapping_add(1 + offset),
            acknowledged: 0,
            data_bytes: RESPONSE_BYTES,
            tag: 0,
        };
        Packet {
            head,
            request: Some(request),
        }
    }
}

/// How a target handles a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TargetAction {
    /// Sends a packet.
    Send(Packet),
    /// Starts to run a request; the response follows later.
    Run(u64),
    /// Does nothing.
    Ignore,
}

/// The change of a flow's state that a packet caused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FlowProgress {
    pub(crate) accepted: bool,
    pub(crate) opened: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) start: TargetStart,
    pub(crate) service: ServiceId,
    pub(crate) running: bool,
    pub(crate) leaving: bool,
    pub(crate) full: bool,
    flows: HashMap<FlowKey, TargetFlow>,
}

impl Target {
    pub(crate) fn new(start: TargetStart, service: ServiceId) -> Self {
        Self {
            start,
            service,
            running: true,
            leaving: false,
            full: false,
            flows: HashMap::new(),
        }
    }

    pub(crate) fn holds(&self, flow: &FlowKey) -> bool {
        self.running && self.flows.get(flow).is_some_and(|held| held.open)
    }

    /// The acknowledgement number that a packet needs to open its flow at this target.
    pub(crate) fn expected_acknowledgement(&self, head: &FlowPacket) -> Option<u32> {
        let held = self.flows.get(&head.flow)?;
        Some(held.initial_sequence.wrapping_add(1))
    }

    /// Handles a packet; `initial_sequence` is used for a new flow.
    pub(crate) fn handle_packet(
        &mut self,
        packet: &Packet,
        initial_sequence: u32,
    ) -> (TargetAction, FlowProgress) {
        let head = &packet.head;
        if head.opens() {
            return self.handle_opening(packet, initial_sequence);
        }
        let Some(flow) = self.flows.get_mut(&head.flow) else {
            return (
                TargetAction::Send(returned(packet)),
                FlowProgress::default(),
            );
        };
        let mut progress = FlowProgress::default();
        if !flow.open {
            if head.acknowledged != flow.initial_sequence.wrapping_add(1) {
                return (TargetAction::Send(returned(packet)), progress);
            }
            flow.open = true;
            progress.opened = true;
        }
        let Some(request) = packet.request else {
            return (TargetAction::Ignore, progress);
        };
        if flow.closed {
            return (TargetAction::Send(reset(head)), progress);
        }
        match flow.requests.get(&request) {
            None => {
                flow.requests.insert(request, false);
                (TargetAction::Run(request), progress)
            }
            Some(false) => (TargetAction::Ignore, progress),
            Some(true) => (
                TargetAction::Send(flow.response(head.flow, request)),
                progress,
            ),
        }
    }

    fn handle_opening(
        &mut self,
        packet: &Packet,
        initial_sequence: u32,
    ) -> (TargetAction, FlowProgress) {
        let flow = packet.head.flow;
        let known = self.flows.get(&flow).filter(|held| !held.closed);
        if known.is_none() && self.full {
            return (
                TargetAction::Send(returned(packet)),
                FlowProgress::default(),
            );
        }
        let accepted = known.is_none();
        let initial_sequence = known.map_or(initial_sequence, |held| held.initial_sequence);
        if accepted {
            let held = TargetFlow {
                initial_sequence,
                open: false,
                requests: HashMap::new(),
                answered: Vec::new(),
                closed: false,
            };
            self.flows.insert(flow, held);
        }
        let head = FlowPacket {
            flow,
            flags: PacketFlags {
                syn: true,
                ack: true,
                ..PacketFlags::default()
            },
            sequence: initial_sequence,
            acknowledged: packet.head.sequence.wrapping_add(1),
            data_bytes: 0,
            tag: 0,
        };
        let progress = FlowProgress {
            accepted,
            opened: false,
        };
        (
            TargetAction::Send(Packet {
                head,
                request: None,
            }),
            progress,
        )
    }

    /// Completes a request and returns the response; a leaving target closes the flow with it.
    pub(crate) fn finish(&mut self, flow: &FlowKey, request: u64) -> Option<Packet> {
        let leaving = self.leaving;
        let held = self.flows.get_mut(flow).filter(|_| self.running)?;
        held.requests.insert(request, true);
        held.answered.push(request);
        let mut packet = held.response(*flow, request);
        if leaving {
            held.closed = true;
            packet.head.flags.fin = true;
        }
        Some(packet)
    }

    /// Restarts the target after a crash, without its flows.
    pub(crate) fn restart(&mut self, start: TargetStart) {
        *self = Self::new(start, self.service);
    }
}

fn returned(packet: &Packet) -> Packet {
    let mut back = *packet;
    back.head.flags.returned = true;
    back
}

fn reset(head: &FlowPacket) -> Packet {
    let head = FlowPacket {
        flags: PacketFlags {
            rst: true,
            ..PacketFlags::default()
        },
        sequence: head.acknowledged,
        data_bytes: 0,
        tag: 0,
        ..*head
    };
    Packet {
        head,
        request: None,
    }
}
