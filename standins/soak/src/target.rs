//! A backend server for opaque packets.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lovagelatch_adapter::{HEADER_BYTES, PacketSender, decode_packet};
use lovagelatch_adapter_standin::{encode_packet, mark_returned};
use lovagelatch_flows::{FlowKey, FlowPacket, PacketFlags};

use crate::addresses::{APP_PORT, OUTBOUND_PORT};
use crate::capacity::{RequestAdmission, TargetCapacity};
use crate::check::SoakLog;
use crate::event::{SoakEvent, StartNumber};
use crate::load::{IDLE_TIMEOUT, TargetProfile};
use crate::segment::{RequestSegment, SEGMENT_COUNT};

/// Time for which the target waits for a packet before it checks for completed requests.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(3);

/// Interval at which idle flows are discarded.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// The request runs or waits.
    Accepted,
    Answered,
    Rejected,
}

#[derive(Debug)]
struct TargetFlow {
    /// Initial sequence number of the target.
    number: u32,
    open: bool,
    /// Whether the target has closed the flow, because it is leaving.
    closed: bool,
    requests: HashMap<u64, RequestState>,
    /// Number of the request that is incomplete, and the packets of it that have arrived.
    parts: (u64, [bool; SEGMENT_COUNT as usize]),
    accepted: Instant,
    last_active: Instant,
}

/// Values through which other threads control a running target.
#[derive(Debug)]
pub(crate) struct TargetControl {
    pub(crate) shutdown: AtomicBool,
    pub(crate) leaving: AtomicBool,
    /// Factor by which requests that start now take longer.
    pub(crate) slow_factor: AtomicU32,
}

impl Default for TargetControl {
    fn default() -> Self {
        Self {
            shutdown: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            slow_factor: AtomicU32::new(1),
        }
    }
}

/// A running target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) start: StartNumber,
    pub(crate) control: Arc<TargetControl>,
    thread: Option<JoinHandle<()>>,
}

/// Services that each service address was routed to so far. The fleet updates it when it publishes
/// routes.
pub(crate) type AllowedRoutes = Arc<Mutex<HashMap<SocketAddrV4, Vec<u8>>>>;

impl Target {
    pub(crate) fn spawn(
        ip: Ipv4Addr,
        start: StartNumber,
        service: u8,
        profile: TargetProfile,
        allowed: AllowedRoutes,
        log: Arc<SoakLog>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind((ip, APP_PORT))?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        let control = Arc::new(TargetControl::default());
        let mut server = TargetServer {
            socket,
            outbound: SocketAddrV4::new(ip, OUTBOUND_PORT),
            start,
            service,
            allowed,
            log,
            control: Arc::clone(&control),
            flows: HashMap::new(),
            profile,
            capacity: TargetCapacity::new(profile),
            next_idle_check: Instant::now() + IDLE_CHECK_INTERVAL,
        };
        let thread = std::thread::spawn(move || server.run());
        Ok(Self {
            start,
            control,
            thread: Some(thread),
        })
    }

    /// Ends the target at once, as a crash does. Its address is free afterwards.
    pub(crate) fn shut_down(&mut self) {
        self.control.shutdown.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic ends the target as well.
            let _ended = thread.join();
        }
    }
}

struct TargetServer {
    socket: UdpSocket,
    outbound: SocketAddrV4,
    start: StartNumber,
    service: u8,
    allowed: AllowedRoutes,
    log: Arc<SoakLog>,
    control: Arc<TargetControl>,
    flows: HashMap<FlowKey, TargetFlow>,
    profile: TargetProfile,
    capacity: TargetCapacity,
    next_idle_check: Instant,
}

impl TargetServer {
    fn run(&mut self) {
        let mut buffer = [0; 2_048];
        while !self.control.shutdown.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.handle_packet(&buffer[..length]);
            }
            self.complete_requests();
            self.discard_idle_flows();
        }
        self.log.record(SoakEvent::TargetEnded(self.start));
    }

    fn handle_packet(&mut self, bytes: &[u8]) {
        let Ok(packet) = decode_packet(bytes, PacketSender::Client) else {
            return;
        };
        if packet.opens() {
            self.handle_opening(&packet);
            return;
        }
        let target = self.start;
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            self.return_packet(bytes);
            return;
        };
        if !flow.open {
            if packet.acknowledged != flow.number.wrapping_add(1) {
                self.return_packet(bytes);
                return;
            }
            flow.open = true;
            let flow = packet.flow;
            self.log.record(SoakEvent::Opened { flow, target });
        }
        flow.last_active = Instant::now();
        self.log.record(SoakEvent::PacketReached(packet.flow));
        let data = &bytes[HEADER_BYTES..];
        if packet.flags.fin && self.profile.segments {
            self.end_flow(packet.flow);
        } else if self.profile.segments {
            self.handle_segment(&packet, data);
        } else if let Some(request) = data.first_chunk() {
            self.handle_request(&packet, u64::from_le_bytes(*request));
        }
    }

    /// Answers a client that ends a flow, and forgets the flow.
    fn end_flow(&mut self, flow: FlowKey) {
        let Some(state) = self.flows.remove(&flow) else {
            return;
        };
        let flags = PacketFlags {
            ack: true,
            fin: true,
            ..PacketFlags::default()
        };
        self.send(flow, flags, state.number.wrapping_add(1), &[]);
    }

    /// Handles one packet of a request, and the request once all of its packets have arrived.
    fn handle_segment(&mut self, packet: &FlowPacket, data: &[u8]) {
        let (flow, target) = (packet.flow, self.start);
        if data.is_empty() {
            return;
        }
        let Some(segment) = RequestSegment::decode(data, &flow, packet.sequence) else {
            self.log.record(SoakEvent::DataChanged { flow, target });
            return;
        };
        self.log.record(SoakEvent::SegmentReached {
            flow,
            target,
            balancer: segment.balancer,
            sent: self.log.start() + segment.sent,
        });
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        if state.parts.0 != segment.request {
            state.parts = (segment.request, [false; SEGMENT_COUNT as usize]);
        }
        state.parts.1[usize::from(segment.part)] = true;
        if state.parts.1.iter().all(|arrived| *arrived) {
            self.handle_request(packet, segment.request);
        }
    }

    /// Returns whether the target holds as many open flows as it can. Flows that are not open yet
    /// do not count: their clients may have opened them elsewhere.
    fn holds_max_flows(&self) -> bool {
        let held = |flow: &&TargetFlow| flow.open && !flow.closed;
        self.profile.max_flows < usize::MAX
            && self.flows.values().filter(held).count() >= self.profile.max_flows
    }

    /// Resets a flow that the target cannot hold.
    fn refuse_flow(&self, flow: FlowKey) {
        let held = self.flows.values().filter(|flow| flow.open && !flow.closed);
        let target = self.start;
        if let Some(oldest) = held.map(|flow| flow.accepted).min() {
            self.log.record(SoakEvent::OverLimit {
                flow,
                target,
                oldest,
            });
        }
        self.send_reset(flow, 0);
    }

    fn discard_idle_flows(&mut self) {
        let now = Instant::now();
        if !self.profile.segments || now < self.next_idle_check {
            return;
        }
        self.next_idle_check = now + IDLE_CHECK_INTERVAL;
        self.flows
            .retain(|_, flow| now.saturating_duration_since(flow.last_active) < IDLE_TIMEOUT);
        if self.holds_max_flows() || self.capacity.is_full() {
            self.log.record(SoakEvent::TargetFull(self.start));
        }
    }

    fn handle_opening(&mut self, packet: &FlowPacket) {
        let (flow, target) = (packet.flow, self.start);
        let known = self.flows.get(&flow).filter(|known| !known.closed);
        let number = known.map_or_else(rand::random, |known| known.number);
        let is_new = known.is_none();
        if is_new && self.holds_max_flows() {
            self.log.record(SoakEvent::TargetFull(target));
            self.refuse_flow(flow);
            return;
        }
        if is_new {
            let services = self.allowed.lock().expect("routes");
            let services = services.get(&flow.service_address);
            let allowed = services.is_some_and(|services| services.contains(&self.service));
            self.log.record(SoakEvent::Accepted {
                flow,
                target,
                allowed,
            });
            let new = TargetFlow {
                number,
                open: false,
                closed: false,
                requests: HashMap::new(),
                parts: (0, [false; SEGMENT_COUNT as usize]),
                accepted: Instant::now(),
                last_active: Instant::now(),
            };
            self.flows.insert(flow, new);
        }
        let flags = PacketFlags {
            syn: true,
            ack: true,
            ..PacketFlags::default()
        };
        self.send(flow, flags, number, &[]);
    }

    fn handle_request(&mut self, packet: &FlowPacket, request: u64) {
        let flow = packet.flow;
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        if state.closed && !state.requests.contains_key(&request) {
            self.send_reset(flow, packet.acknowledged);
            return;
        }
        match state.requests.get(&request) {
            None => {
                let factor = self.control.slow_factor.load(Ordering::Relaxed);
                let admission = self.capacity.admit((flow, request), factor, Instant::now());
                let accepted = admission != RequestAdmission::Rejected;
                let known = if accepted {
                    RequestState::Accepted
                } else {
                    RequestState::Rejected
                };
                state.requests.insert(request, known);
                match admission {
                    RequestAdmission::Started => self.log.record(SoakEvent::Ran { request, flow }),
                    RequestAdmission::Queued => {}
                    RequestAdmission::Rejected => self.reject(flow, request),
                }
            }
            Some(RequestState::Answered) => self.respond(flow, request, true),
            Some(RequestState::Rejected) => self.respond(flow, request, false),
            Some(RequestState::Accepted) => {}
        }
    }

    fn reject(&self, flow: FlowKey, request: u64) {
        self.log.record(SoakEvent::Rejected(request));
        self.log.record(SoakEvent::TargetFull(self.start));
        self.respond(flow, request, false);
    }

    /// Sends the responses of requests that are complete, and starts waiting ones.
    fn complete_requests(&mut self) {
        let now = Instant::now();
        for (flow, request) in self.capacity.take_complete(now) {
            let leaving = self.control.leaving.load(Ordering::Relaxed);
            if let Some(state) = self.flows.get_mut(&flow) {
                state.requests.insert(request, RequestState::Answered);
                state.closed |= leaving;
            }
            self.respond(flow, request, true);
        }
        let factor = self.control.slow_factor.load(Ordering::Relaxed);
        while let Some((flow, request)) = self.capacity.start_next(factor, now) {
            self.log.record(SoakEvent::Ran { request, flow });
        }
    }

    /// Sends the response of a request that ran, or the error that a request did not run.
    fn respond(&self, flow: FlowKey, request: u64, ran: bool) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let flags = PacketFlags {
            ack: true,
            fin: state.closed,
            ..PacketFlags::default()
        };
        let check = if ran {
            response_check(request)
        } else {
            rejection_check(request)
        };
        let data = [request.to_le_bytes(), check.to_le_bytes()].concat();
        self.send(flow, flags, state.number.wrapping_add(1), &data);
    }

    fn send(&self, flow: FlowKey, flags: PacketFlags, sequence: u32, data: &[u8]) {
        let packet = FlowPacket {
            flow,
            flags,
            sequence,
            acknowledged: 0,
            data_bytes: u16::try_from(data.len()).unwrap_or(u16::MAX),
            tag: 0,
        };
        let bytes = encode_packet(&packet, PacketSender::Target, data);
        self.send_bytes(&bytes);
    }

    fn send_reset(&self, flow: FlowKey, sequence: u32) {
        let flags = PacketFlags {
            rst: true,
            ..PacketFlags::default()
        };
        self.send(flow, flags, sequence, &[]);
    }

    fn return_packet(&self, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        mark_returned(&mut bytes);
        self.send_bytes(&bytes);
    }

    fn send_bytes(&self, bytes: &[u8]) {
        // Lost if the agent is down, as on a real machine.
        let _sent = self.socket.send_to(bytes, self.outbound);
    }
}

/// Returns the check value that a complete response carries after the request number.
pub(crate) fn response_check(request: u64) -> u64 {
    request.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x7365_616c
}

/// Returns the check value of the error that a request did not run.
pub(crate) fn rejection_check(request: u64) -> u64 {
    !response_check(request)
}
