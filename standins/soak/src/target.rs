//! A backend server for opaque packets.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lovagelatch_adapter::{HEADER_BYTES, PacketSender, decode_packet};
use lovagelatch_adapter_standin::{encode_packet, mark_returned};
use lovagelatch_flows::{FlowKey, FlowPacket, PacketFlags};

use crate::addresses::{APP_PORT, OUTBOUND_PORT};
use crate::check::{SoakEvent, SoakLog, StartNumber};

/// Time that a request runs.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Time for which the target waits for a packet before it checks for completed requests.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(3);

#[derive(Debug)]
struct TargetFlow {
    /// Initial sequence number of the target.
    number: u32,
    open: bool,
    /// Whether the target has closed the flow, because it is leaving.
    closed: bool,
    /// Completion times of requests; `None` after the response was sent.
    requests: HashMap<u64, Option<Instant>>,
}

/// Flags through which other threads control a running target.
#[derive(Debug, Default)]
pub(crate) struct TargetControl {
    pub(crate) shutdown: AtomicBool,
    pub(crate) leaving: AtomicBool,
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
}

impl TargetServer {
    fn run(&mut self) {
        let mut buffer = [0; 2_048];
        while !self.control.shutdown.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.handle_packet(&buffer[..length]);
            }
            self.complete_requests();
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
        self.log.record(SoakEvent::PacketReached(packet.flow));
        self.handle_data(&packet, &bytes[HEADER_BYTES..]);
    }

    fn handle_opening(&mut self, packet: &FlowPacket) {
        let (flow, target) = (packet.flow, self.start);
        let known = self.flows.get(&flow).filter(|known| !known.closed);
        let number = known.map_or_else(rand::random, |known| known.number);
        if known.is_none() {
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

    fn handle_data(&mut self, packet: &FlowPacket, data: &[u8]) {
        let Some(request) = data.first_chunk().map(|bytes| u64::from_le_bytes(*bytes)) else {
            return;
        };
        let flow = packet.flow;
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        if state.closed && !state.requests.contains_key(&request) {
            let flags = PacketFlags {
                rst: true,
                ..PacketFlags::default()
            };
            self.send(flow, flags, packet.acknowledged, &[]);
            return;
        }
        match state.requests.get(&request) {
            None => {
                let done = Instant::now() + WORK_TIME;
                state.requests.insert(request, Some(done));
                self.log.record(SoakEvent::Ran { request, flow });
            }
            Some(None) => self.respond(flow, request),
            Some(Some(_)) => {}
        }
    }

    /// Sends the responses of requests that are complete.
    fn complete_requests(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        for (flow, state) in &mut self.flows {
            for (request, done) in &mut state.requests {
                if done.is_some_and(|done| done <= now) {
                    *done = None;
                    due.push((*flow, *request));
                }
            }
        }
        for (flow, request) in due {
            let leaving = self.control.leaving.load(Ordering::Relaxed);
            if let Some(state) = self.flows.get_mut(&flow).filter(|_| leaving) {
                state.closed = true;
            }
            self.respond(flow, request);
        }
    }

    fn respond(&self, flow: FlowKey, request: u64) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let flags = PacketFlags {
            ack: true,
            fin: state.closed,
            ..PacketFlags::default()
        };
        let check = response_check(request).to_le_bytes();
        let data = [request.to_le_bytes(), check].concat();
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
