//! A fake client, which opens flows, sends requests, retransmits packets and retries requests.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_flows::{FlowKey, FlowPacket, PacketFlags};

use super::network::Packet;

/// Delays after which copies of a first packet are sent.
const OPENING_COPY_DELAYS_MS: [u64; 2] = [200, 600];

/// Time after which the client gives up a flow that has not opened.
const OPEN_TIMEOUT_MS: u64 = 1_400;

/// Time after which the client gives up a request.
const REQUEST_TIMEOUT_MS: u64 = 3_000;

/// Time between a response and the next request.
const REQUEST_INTERVAL_MS: u64 = 150;

/// Number of responses after which a client makes a long pause.
const LONG_PAUSE_AFTER_RESPONSES: u64 = 20;

/// Duration of the long pause.
const LONG_PAUSE_MS: u64 = 4_500;

/// Number of retries of a request.
const MAX_RETRIES: u32 = 2;

/// Delay of the first retransmission of a request; it doubles with every retransmission.
const RETRANSMIT_DELAY_MS: u64 = 200;

/// Largest distance of an accepted reset from the expected sequence number.
const RESET_WINDOW: u32 = 76_800;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowPhase {
    None,
    Opening,
    /// Open; holds the target's initial sequence number.
    Open(u32),
}

/// A timer of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientTimer {
    /// Sends the next request.
    NextRequest,
    /// Sends a copy of the first packet: port of the flow, number of the copy.
    OpeningCopy(u16, u32),
    /// Gives up a flow that has not opened: port of the flow.
    OpenTimeout(u16),
    /// Retransmits a request that is still in flight: port of the flow, request, previous delay.
    Retransmit(u16, u64, u64),
    /// Gives up a request.
    RequestTimeout(u64),
}

/// An action of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientAction {
    Send(Packet),
    /// Sets a timer that fires after this many milliseconds.
    SetTimer(u64, ClientTimer),
    /// Reports that a request starts.
    RequestStarted(u64),
    Served(u64),
    Failed(u64),
    /// Reports that its flow reaches a step.
    StepReached(super::OpaqueStep),
}

#[derive(Clone, Debug)]
pub(crate) struct Client {
    number: u8,
    service_address: SocketAddrV4,
    /// Whether its requests are idempotent, so that they may be retried after a lost flow.
    pub(crate) idempotent: bool,
    port: u16,
    phase: FlowPhase,
    /// The request in flight.
    request: Option<u64>,
    /// Remaining retries of the request.
    retries: u32,
    bytes_sent: u32,
    pub(crate) served: u64,
    next_request: u64,
    max_requests: u64,
}

impl Client {
    pub(crate) fn new(
        number: u8,
        service_address: SocketAddrV4,
        idempotent: bool,
        max_requests: u64,
    ) -> Self {
        Self {
            number,
            service_address,
            idempotent,
            port: 1_000,
            phase: FlowPhase::None,
            request: None,
            retries: 0,
            bytes_sent: 0,
            served: 0,
            next_request: u64::from(number) * 100_000 + u64::from(!idempotent),
            max_requests,
        }
    }

    fn flow(&self) -> FlowKey {
        FlowKey {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, self.number), self.port),
            service_address: self.service_address,
        }
    }

    pub(crate) fn owns(&self, flow: &FlowKey) -> bool {
        flow.client.ip().octets()[3] == self.number
    }

    /// Whether the flow is this client's current one and is open.
    pub(crate) fn has_open(&self, flow: &FlowKey) -> bool {
        *flow == self.flow() && matches!(self.phase, FlowPhase::Open(_))
    }

    pub(crate) fn start_request(&mut self) -> Vec<ClientAction> {
        if self.next_request / 2 % 50_000 >= self.max_requests {
            return Vec::new();
        }
        let request = self.next_request;
        self.next_request += 2;
        self.request = Some(request);
        self.retries = MAX_RETRIES;
        let deadline = ClientTimer::RequestTimeout(request);
        let mut actions = vec![
            ClientAction::RequestStarted(request),
            ClientAction::SetTimer(REQUEST_TIMEOUT_MS, deadline),
        ];
        actions.extend(self.send_request());
        actions
    }

    /// Sends the request on the open flow, or opens a flow first.
    fn send_request(&mut self) -> Vec<ClientAction> {
        match (self.request, self.phase) {
            (Some(request), FlowPhase::Open(initial_sequence)) => {
                self.bytes_sent += 100;
                let step = if self.served == 0 {
                    super::OpaqueStep::Request
                } else {
                    super::OpaqueStep::LaterRequest
                };
                let retransmit = ClientTimer::Retransmit(self.port, request, RETRANSMIT_DELAY_MS);
                vec![
                    ClientAction::StepReached(step),
                    ClientAction::Send(self.request_packet(request, initial_sequence)),
                    ClientAction::SetTimer(RETRANSMIT_DELAY_MS, retransmit),
                ]
            }
            (Some(_), _) => self.open(),
            (None, _) => Vec::new(),
        }
    }

    fn open(&mut self) -> Vec<ClientAction> {
        self.port += 1;
        self.phase = FlowPhase::Opening;
        self.bytes_sent = 0;
        let mut actions = vec![
            ClientAction::StepReached(super::OpaqueStep::Opening),
            ClientAction::Send(self.opening_packet(0)),
            ClientAction::SetTimer(OPEN_TIMEOUT_MS, ClientTimer::OpenTimeout(self.port)),
        ];
        for (copy, after) in (1..).zip(OPENING_COPY_DELAYS_MS) {
            actions.push(ClientAction::SetTimer(
                after,
                ClientTimer::OpeningCopy(self.port, copy),
            ));
        }
        actions
    }

    pub(crate) fn handle_timer(&mut self, timer: ClientTimer) -> Vec<ClientAction> {
        match timer {
            ClientTimer::NextRequest => self.start_request(),
            ClientTimer::OpeningCopy(port, copy) if self.is_opening(port) => {
                vec![ClientAction::Send(self.opening_packet(copy))]
            }
            ClientTimer::OpenTimeout(port) if self.is_opening(port) => self.flow_ended(false),
            ClientTimer::Retransmit(port, request, after) => self.retransmit(port, request, after),
            ClientTimer::RequestTimeout(request) if self.request == Some(request) => {
                self.request = None;
                self.phase = FlowPhase::None;
                vec![
                    ClientAction::Failed(request),
                    ClientAction::SetTimer(REQUEST_INTERVAL_MS, ClientTimer::NextRequest),
                ]
            }
            _ => Vec::new(),
        }
    }

    fn is_opening(&self, port: u16) -> bool {
        port == self.port && self.phase == FlowPhase::Opening
    }

    fn retransmit(&mut self, port: u16, request: u64, after: u64) -> Vec<ClientAction> {
        let FlowPhase::Open(initial_sequence) = self.phase else {
            return Vec::new();
        };
        if port != self.port || self.request != Some(request) {
            return Vec::new();
        }
        let next = after * 2;
        vec![
            ClientAction::Send(self.request_packet(request, initial_sequence)),
            ClientAction::SetTimer(next, ClientTimer::Retransmit(port, request, next)),
        ]
    }

    pub(crate) fn handle_packet(&mut self, packet: &Packet) -> Vec<ClientAction> {
        if packet.head.flow != self.flow() {
            return Vec::new();
        }
        if packet.head.flags.rst {
            return self.handle_reset(packet.head.sequence);
        }
        if packet.head.flags.syn {
            if self.phase != FlowPhase::Opening {
                return Vec::new();
            }
            self.phase = FlowPhase::Open(packet.head.sequence);
            let mut actions = vec![ClientAction::StepReached(super::OpaqueStep::OpeningReply)];
            actions.extend(self.send_request());
            return actions;
        }
        self.handle_response(packet)
    }

    fn handle_response(&mut self, packet: &Packet) -> Vec<ClientAction> {
        let FlowPhase::Open(initial_sequence) = self.phase else {
            return Vec::new();
        };
        let mut actions = vec![ClientAction::Send(self.acknowledgement(initial_sequence))];
        if packet.request.is_some() && packet.request == self.request {
            let request = self.request.take().unwrap_or_default();
            self.served += 1;
            actions.push(ClientAction::Served(request));
            actions.push(ClientAction::StepReached(super::OpaqueStep::Response));
            let is_long_pause = self.served == LONG_PAUSE_AFTER_RESPONSES;
            let pause = if is_long_pause {
                LONG_PAUSE_MS
            } else {
                REQUEST_INTERVAL_MS
            };
            if is_long_pause {
                actions.push(ClientAction::StepReached(super::OpaqueStep::LongPause));
            }
            actions.push(ClientAction::SetTimer(pause, ClientTimer::NextRequest));
        }
        if packet.head.flags.fin {
            self.phase = FlowPhase::None;
        }
        actions
    }

    pub(crate) fn handle_reset(&mut self, sequence: u32) -> Vec<ClientAction> {
        match self.phase {
            FlowPhase::None => Vec::new(),
            FlowPhase::Opening => self.flow_ended(false),
            FlowPhase::Open(expected) => {
                let offset = sequence.wrapping_sub(expected).wrapping_add(RESET_WINDOW);
                if offset <= 2 * RESET_WINDOW {
                    self.flow_ended(true)
                } else {
                    Vec::new()
                }
            }
        }
    }

    /// Handles the end of the flow; `opened` says whether it had been open.
    fn flow_ended(&mut self, opened: bool) -> Vec<ClientAction> {
        self.phase = FlowPhase::None;
        let Some(request) = self.request else {
            return Vec::new();
        };
        let may_retry = self.idempotent || !opened;
        if may_retry && self.retries > 0 {
            self.retries -= 1;
            return self.open();
        }
        self.request = None;
        vec![
            ClientAction::Failed(request),
            ClientAction::SetTimer(REQUEST_INTERVAL_MS, ClientTimer::NextRequest),
        ]
    }

    /// Whether the flow is this client's current one.
    pub(crate) fn is_current(&self, flow: &FlowKey) -> bool {
        *flow == self.flow()
    }

    fn opening_packet(&self, copy: u32) -> Packet {
        Self::opening_packet_for(self.flow(), copy)
    }

    /// Returns the first packet of a flow; `copy` is 0 for the original and distinguishes its
    /// copies.
    pub(crate) fn opening_packet_for(flow: FlowKey, copy: u32) -> Packet {
        let head = FlowPacket {
            flow,
            flags: PacketFlags {
                syn: true,
                ..PacketFlags::default()
            },
            sequence: 1_000,
            acknowledged: copy,
            data_bytes: 0,
            tag: 0,
        };
        Packet {
            head,
            request: None,
        }
    }

    fn request_packet(&self, request: u64, initial_sequence: u32) -> Packet {
        let mut packet = self.acknowledgement(initial_sequence);
        packet.head.sequence = 1_000 + self.bytes_sent;
        packet.head.data_bytes = 100;
        packet.request = Some(request);
        packet
    }

    fn acknowledgement(&self, initial_sequence: u32) -> Packet {
        let head = FlowPacket {
            flow: self.flow(),
            flags: PacketFlags {
                ack: true,
                ..PacketFlags::default()
            },
            sequence: 1_000 + self.bytes_sent,
            acknowledged: initial_sequence.wrapping_add(1),
            data_bytes: 0,
            tag: 0,
        };
        Packet {
            head,
            request: None,
        }
    }
}
