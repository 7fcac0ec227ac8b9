//! A backend server on opaque packets.

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

use crate::addresses::{APP, OUTBOUND};
use crate::check::{SoakEvent, SoakLog, TargetStart};

/// How long a request runs.
const WORK: Duration = Duration::from_millis(15);

/// How long the target waits for a packet before it looks at its timers.
const WAIT: Duration = Duration::from_millis(3);

#[derive(Debug)]
struct TargetFlow {
    number: u32,
    open: bool,
    closed: bool,
    /// Requests with the time at which each is done, or whose responses were sent.
    requests: HashMap<u64, Option<Instant>>,
}

/// What others may change about a running target.
#[derive(Debug, Default)]
pub(crate) struct TargetControl {
    pub(crate) ended: AtomicBool,
    pub(crate) leaving: AtomicBool,
}

/// A running target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) start: TargetStart,
    pub(crate) control: Arc<TargetControl>,
    thread: Option<JoinHandle<()>>,
}

/// Which services a route's address may reach: told by whoever changes routes.
pub(crate) type AllowedRoutes = Arc<Mutex<HashMap<SocketAddrV4, Vec<u8>>>>;

impl Target {
    pub(crate) fn begin(
        ip: Ipv4Addr,
        start: TargetStart,
        service: u8,
        allowed: AllowedRoutes,
        log: Arc<SoakLog>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind((ip, APP))?;
        socket.set_read_timeout(Some(WAIT))?;
        let control = Arc::new(TargetControl::default());
        let mut body = TargetBody {
            socket,
            outbound: SocketAddrV4::new(ip, OUTBOUND),
            start,
            service,
            allowed,
            log,
            control: Arc::clone(&control),
            flows: HashMap::new(),
        };
        let thread = std::thread::spawn(move || body.run());
        Ok(Self {
            start,
            control,
            thread: Some(thread),
        })
    }

    /// Ends at once, as a crash does; its address is free afterwards.
    pub(crate) fn end(&mut self) {
        self.control.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A target that panicked has ended too.
            let _ended = thread.join();
        }
    }
}

struct TargetBody {
    socket: UdpSocket,
    outbound: SocketAddrV4,
    start: TargetStart,
    service: u8,
    allowed: AllowedRoutes,
    log: Arc<SoakLog>,
    control: Arc<TargetControl>,
    flows: HashMap<FlowKey, TargetFlow>,
}

impl TargetBody {
    fn run(&mut self) {
        let mut buffer = [0; 2_048];
        while !self.control.ended.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.take(&buffer[..length]);
            }
            self.finish();
        }
        self.log.note(SoakEvent::Ended(self.start));
    }

    fn take(&mut self, bytes: &[u8]) {
        let Ok(packet) = decode_packet(bytes, PacketSender::Client) else {
            return;
        };
        if packet.opens() {
            self.take_opening(&packet);
            return;
        }
        let target = self.start;
        let Some(flow) = self.flows.get_mut(&packet.flow) else {
            self.send_back(bytes);
            return;
        };
        if !flow.open {
            if packet.acknowledged != flow.number.wrapping_add(1) {
                self.send_back(bytes);
                return;
            }
            flow.open = true;
            let flow = packet.flow;
            self.log.note(SoakEvent::Opened { flow, target });
        }
        self.log.note(SoakEvent::Reached(packet.flow));
        self.take_data(&packet, &bytes[HEADER_BYTES..]);
    }

    fn take_opening(&mut self, packet: &FlowPacket) {
        let (flow, target) = (packet.flow, self.start);
        let known = self.flows.get(&flow).filter(|held| !held.closed);
        let number = known.map_or_else(rand::random, |held| held.number);
        if known.is_none() {
            let services = self.allowed.lock().expect("routes");
            let services = services.get(&flow.service_address);
            let allowed = services.is_some_and(|services| services.contains(&self.service));
            self.log.note(SoakEvent::Accepted {
                flow,
                target,
                allowed,
            });
            let held = TargetFlow {
                number,
                open: false,
                closed: false,
                requests: HashMap::new(),
            };
            self.flows.insert(flow, held);
        }
        let flags = PacketFlags {
            syn: true,
            ack: true,
            ..PacketFlags::default()
        };
        self.send(flow, flags, number, &[]);
    }

    fn take_data(&mut self, packet: &FlowPacket, data: &[u8]) {
        let Some(request) = data.first_chunk().map(|bytes| u64::from_le_bytes(*bytes)) else {
            return;
        };
        let flow = packet.flow;
        let Some(held) = self.flows.get_mut(&flow) else {
            return;
        };
        if held.closed && !held.requests.contains_key(&request) {
            let flags = PacketFlags {
                rst: true,
                ..PacketFlags::default()
            };
            self.send(flow, flags, packet.acknowledged, &[]);
            return;
        }
        match held.requests.get(&request) {
            None => {
                let done = Instant::now() + WORK;
                held.requests.insert(request, Some(done));
                self.log.note(SoakEvent::Ran { request, flow });
            }
            Some(None) => self.respond(flow, request),
            Some(Some(_)) => {}
        }
    }

    /// Sends the responses whose work is done.
    fn finish(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        for (flow, held) in &mut self.flows {
            for (request, done) in &mut held.requests {
                if done.is_some_and(|done| done <= now) {
                    *done = None;
                    due.push((*flow, *request));
                }
            }
        }
        for (flow, request) in due {
            let leaving = self.control.leaving.load(Ordering::Relaxed);
            if let Some(held) = self.flows.get_mut(&flow).filter(|_| leaving) {
                held.closed = true;
            }
            self.respond(flow, request);
        }
    }

    fn respond(&self, flow: FlowKey, request: u64) {
        let Some(held) = self.flows.get(&flow) else {
            return;
        };
        let flags = PacketFlags {
            ack: true,
            fin: held.closed,
            ..PacketFlags::default()
        };
        let seal = seal(request).to_le_bytes();
        let data = [request.to_le_bytes(), seal].concat();
        self.send(flow, flags, held.number.wrapping_add(1), &data);
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
        self.emit(&bytes);
    }

    fn send_back(&self, bytes: &[u8]) {
        let mut bytes = bytes.to_vec();
        mark_returned(&mut bytes);
        self.emit(&bytes);
    }

    fn emit(&self, bytes: &[u8]) {
        // An agent that is down loses it, as on a real machine.
        let _sent = self.socket.send_to(bytes, self.outbound);
    }
}

/// What a whole response carries besides its request's number.
pub(crate) fn seal(request: u64) -> u64 {
    request.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x7365_616c
}
