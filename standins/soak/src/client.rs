//! Clients: long flows with requests, and a flow for each request.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lovagelatch_adapter::{HEADER_BYTES, PacketSender, decode_packet};
use lovagelatch_adapter_standin::encode_packet;
use lovagelatch_flows::{FlowKey, FlowPacket, PacketFlags};

use crate::addresses::PACKETS;
use crate::check::{SoakEvent, SoakLog};
use crate::router::Router;
use crate::target::seal;

/// When copies of a first packet are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When a flow that did not open is given up.
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

/// When a request is given up.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// The first wait before a request's packet is sent again; doubles each time.
const REPEAT: Duration = Duration::from_millis(200);

/// Tries of a request beside the first.
const RETRIES: u32 = 2;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// How far from the expected number a reset may be.
const RESET_WINDOW: u32 = 76_800;

/// The longest that a flow is used.
const FLOW_SPAN: Duration = Duration::from_secs(40);

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientPlan {
    pub(crate) ip: Ipv4Addr,
    pub(crate) number: u8,
    pub(crate) service_address: SocketAddrV4,
    /// Whether its requests may be run again.
    pub(crate) idempotent: bool,
    /// Whether it keeps a flow open for many requests.
    pub(crate) long_flows: bool,
}

/// How an attempt ended.
enum AttemptEnd {
    Served,
    /// The flow ended; whether it had opened.
    FlowEnded {
        opened: bool,
    },
    TimeOver,
}

struct Client {
    plan: ClientPlan,
    socket: UdpSocket,
    router: Router,
    log: Arc<SoakLog>,
    port: u16,
    /// The open flow's number at its target, and since when it is open.
    open: Option<(u32, Instant)>,
    sent: u32,
}

/// Starts a client that asks until `ended`.
pub(crate) fn begin_client(
    plan: ClientPlan,
    router: Router,
    log: Arc<SoakLog>,
    ended: Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind((plan.ip, PACKETS))?;
    let mut client = Client {
        plan,
        socket,
        router,
        log,
        port: 1_024,
        open: None,
        sent: 0,
    };
    Ok(std::thread::spawn(move || {
        let first = u64::from(client.plan.number) * 1_000_000 + u64::from(!plan.idempotent);
        for request in (first..).step_by(2) {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            client.ask(request);
            std::thread::sleep(PAUSE);
        }
    }))
}

impl Client {
    fn flow(&self) -> FlowKey {
        FlowKey {
            client: SocketAddrV4::new(self.plan.ip, self.port),
            service_address: self.plan.service_address,
        }
    }

    /// Makes one request with its retries.
    fn ask(&mut self, request: u64) {
        let until = Instant::now() + DEADLINE;
        let old = self
            .open
            .is_some_and(|(_, since)| since.elapsed() > FLOW_SPAN);
        if !self.plan.long_flows || old {
            self.open = None;
        }
        for _ in 0..=RETRIES {
            match self.attempt(request, until) {
                AttemptEnd::Served => return,
                AttemptEnd::TimeOver => break,
                AttemptEnd::FlowEnded { opened } => {
                    self.open = None;
                    if opened && !self.plan.idempotent {
                        break;
                    }
                }
            }
        }
        self.open = None;
        self.log.note(SoakEvent::Failed(request));
    }

    fn attempt(&mut self, request: u64, until: Instant) -> AttemptEnd {
        if self.open.is_none() && !self.open_flow(until) {
            if Instant::now() >= until {
                return AttemptEnd::TimeOver;
            }
            return AttemptEnd::FlowEnded { opened: false };
        }
        let Some((number, _)) = self.open else {
            return AttemptEnd::FlowEnded { opened: false };
        };
        self.sent += 8;
        let since = Instant::now();
        let mut wait = REPEAT;
        loop {
            let balancer = self.send_request(request, number);
            let next = (Instant::now() + wait).min(until);
            wait *= 2;
            while let Some((packet, data)) = self.receive(next) {
                if let Some(end) = self.take(&packet, &data, request, number) {
                    return end;
                }
            }
            if Instant::now() >= until {
                if let (Some(balancer), Some(_)) = (balancer, self.open) {
                    self.log.note(SoakEvent::Silent {
                        flow: self.flow(),
                        since,
                        balancer: *balancer.ip(),
                    });
                }
                return AttemptEnd::TimeOver;
            }
        }
    }

    /// Takes a packet of the open flow; the end of the attempt, if it is that.
    fn take(
        &mut self,
        packet: &FlowPacket,
        data: &[u8],
        request: u64,
        number: u32,
    ) -> Option<AttemptEnd> {
        if packet.flags.rst {
            let near = packet
                .sequence
                .wrapping_sub(number)
                .wrapping_add(RESET_WINDOW);
            if near > 2 * RESET_WINDOW {
                return None;
            }
            self.log.note(SoakEvent::ResetOpen(self.flow()));
            return Some(AttemptEnd::FlowEnded { opened: true });
        }
        let answered = read_number(data, 0)?;
        if packet.flags.fin {
            self.open = None;
        }
        if answered != request {
            // A late copy of an earlier response on this flow.
            return None;
        }
        let own = read_number(data, 8) == Some(seal(request));
        self.log.note(SoakEvent::Served { request, own });
        Some(AttemptEnd::Served)
    }

    fn open_flow(&mut self, until: Instant) -> bool {
        self.port = self.port.checked_add(1).unwrap_or(1_024);
        self.sent = 0;
        let start = Instant::now();
        for (copy, after) in (0..).zip([Duration::ZERO, COPIES[0], COPIES[1]]) {
            debug_assert!(start.elapsed() + Duration::from_millis(50) >= after);
            self.send_opening(copy);
            let next = COPIES.get(copy as usize).copied().unwrap_or(OPEN_LIMIT);
            while let Some((packet, _)) = self.receive((start + next).min(until)) {
                if packet.flags.rst {
                    self.log.note(SoakEvent::ResetBefore(self.flow()));
                    return false;
                }
                if packet.flags.syn {
                    self.open = Some((packet.sequence, Instant::now()));
                    return true;
                }
            }
            if Instant::now() >= until {
                // No time for a copy: one sent now would be early, as no client's is.
                return false;
            }
        }
        false
    }

    /// A packet of the present flow, before `until`.
    fn receive(&self, until: Instant) -> Option<(FlowPacket, Vec<u8>)> {
        let mut buffer = [0; 2_048];
        loop {
            let left = until.checked_duration_since(Instant::now())?;
            let left = left.max(Duration::from_millis(1));
            // A timeout of at least a millisecond is always valid.
            let _set = self.socket.set_read_timeout(Some(left));
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let bytes = &buffer[..length];
            match decode_packet(bytes, PacketSender::Target) {
                Ok(packet) if packet.flow == self.flow() => {
                    return Some((packet, bytes[HEADER_BYTES..].to_vec()));
                }
                _ => {}
            }
        }
    }

    fn send_opening(&self, copy: u32) {
        let flags = PacketFlags {
            syn: true,
            ..PacketFlags::default()
        };
        self.send(flags, copy, &[]);
    }

    /// Sends a request; the balancer that it went to.
    fn send_request(&self, request: u64, number: u32) -> Option<SocketAddrV4> {
        let flags = PacketFlags {
            ack: true,
            ..PacketFlags::default()
        };
        self.send(flags, number.wrapping_add(1), &request.to_le_bytes())
    }

    fn send(&self, flags: PacketFlags, acknowledged: u32, data: &[u8]) -> Option<SocketAddrV4> {
        let packet = FlowPacket {
            flow: self.flow(),
            flags,
            sequence: 1_000 + self.sent,
            acknowledged,
            data_bytes: u16::try_from(data.len()).unwrap_or(u16::MAX),
            tag: 0,
        };
        let balancer = self.router.choose(&packet.flow)?;
        let bytes = encode_packet(&packet, PacketSender::Client, data);
        // A balancer that is down loses it.
        let _sent = self.socket.send_to(&bytes, balancer);
        Some(balancer)
    }
}

fn read_number(data: &[u8], at: usize) -> Option<u64> {
    let bytes = data.get(at..at + 8)?;
    bytes.try_into().ok().map(u64::from_le_bytes)
}
