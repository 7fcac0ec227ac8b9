//! Clients, which send their requests on long flows or on one flow for each request.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lovagelatch_adapter::{HEADER_BYTES, PacketSender, decode_packet};
use lovagelatch_adapter_standin::encode_packet;
use lovagelatch_flows::{FlowKey, FlowPacket, PacketFlags};

use crate::addresses::PACKETS_PORT;
use crate::check::SoakLog;
use crate::event::SoakEvent;
use crate::load::RushControl;
use crate::router::Router;
use crate::segment::{RequestSegment, SEGMENT_BYTES, SEGMENT_COUNT};
use crate::target::{rejection_check, response_check};

/// Times at which a flow's first packet is retransmitted, from its first transmission.
const OPENING_RETRANSMITS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Timeout for opening a flow.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Timeout of a request, including its retries.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay before a request's packet is retransmitted for the first time; doubles each time.
const RETRANSMIT_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of attempts of a request after the first.
const MAX_RETRIES: u32 = 2;

/// Pause between two requests of a client that is active only in rushes.
const RUSH_PAUSE: Duration = Duration::from_millis(10);

/// Pause of such a client after a request that failed. A client that tries again at once after each
/// refusal sends thousands of openings a second.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which such a client checks whether a rush has started.
const RUSH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Duration from which a request counts as slow: several times the longest that one takes without
/// overload, including the retransmission of a lost packet.
const SLOW_REQUEST: Duration = Duration::from_millis(1_000);

/// Sequence number of a flow's first data byte.
const FIRST_SEQUENCE: u32 = 1_000;

/// Maximum distance of a reset's sequence number from the expected one.
const RESET_WINDOW: u32 = 76_800;

/// Age after which a flow is replaced.
const MAX_FLOW_AGE: Duration = Duration::from_secs(40);

/// Parameters of a client.
#[derive(Clone, Debug)]
pub(crate) struct ClientPlan {
    pub(crate) ip: Ipv4Addr,
    pub(crate) number: u16,
    /// Index of the route that its requests take.
    pub(crate) route: u8,
    pub(crate) service_address: SocketAddrV4,
    /// Whether its requests may run more than once.
    pub(crate) idempotent: bool,
    /// Whether it sends many requests on one flow.
    pub(crate) long_flows: bool,
    /// Whether its requests are [`RequestSegment`]s, and it tells targets when it ends a flow.
    pub(crate) hard_load: bool,
    /// Pause between two requests of a client that is not active in rushes only.
    pub(crate) request_pause: Duration,
    /// Set for a client that sends requests only during rushes on its route.
    pub(crate) rush: Option<RushControl>,
}

impl ClientPlan {
    fn is_active(&self) -> bool {
        let rush = self.rush.as_ref();
        rush.is_none_or(|rush| rush.is_active(self.route.into()))
    }

    fn pause(&self, served: bool) -> Duration {
        match self.rush {
            Some(_) if served => RUSH_PAUSE,
            Some(_) => FAILURE_PAUSE,
            None => self.request_pause,
        }
    }
}

/// Outcome of an attempt.
enum AttemptOutcome {
    Served,
    /// The target reported that the request did not run.
    Rejected,
    /// The flow ended, or could not be opened.
    FlowEnded {
        opened: bool,
    },
    TimedOut,
}

struct Client {
    plan: ClientPlan,
    socket: UdpSocket,
    router: Router,
    log: Arc<SoakLog>,
    port: u16,
    /// The open flow's initial sequence number at its target, and the time at which it opened.
    open: Option<(u32, Instant)>,
    /// Data bytes sent on the flow so far, which advance the sequence number.
    sent_bytes: u32,
}

/// Starts a client that sends requests until `shutdown` is set.
pub(crate) fn spawn_client(
    plan: ClientPlan,
    router: Router,
    log: Arc<SoakLog>,
    shutdown: Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind((plan.ip, PACKETS_PORT))?;
    let mut client = Client {
        plan,
        socket,
        router,
        log,
        port: 1_024,
        open: None,
        sent_bytes: 0,
    };
    Ok(std::thread::spawn(move || {
        let parity = u64::from(!client.plan.idempotent);
        let first = u64::from(client.plan.number) * 1_000_000 + parity;
        for request in (first..).step_by(2) {
            if shutdown.load(Ordering::Relaxed) {
                return;
            }
            if client.plan.is_active() {
                let served = client.run_request(request);
                client.pause(client.plan.pause(served));
            } else {
                client.end_flow();
                std::thread::sleep(RUSH_CHECK_INTERVAL);
            }
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

    /// Runs one request with its retries. Returns whether it was served.
    fn run_request(&mut self, request: u64) -> bool {
        let since = Instant::now();
        let until = since + REQUEST_TIMEOUT;
        let expired = self
            .open
            .is_some_and(|(_, since)| since.elapsed() > MAX_FLOW_AGE);
        if !self.plan.long_flows || expired {
            self.end_flow();
        }
        let served = self.run_attempts(request, until);
        if !served {
            self.end_flow();
            self.log.record(SoakEvent::Failed(request));
        }
        if self.plan.hard_load && (!served || since.elapsed() > SLOW_REQUEST) {
            self.log.record(SoakEvent::Slow { request, since });
        }
        served
    }

    /// Waits for `duration`. A reset of the idle flow is recorded when it arrives.
    fn pause(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while let Some((number, _)) = self.open {
            let Some((packet, data)) = self.receive(until) else {
                return;
            };
            // No request is waiting, so every response is a copy of an earlier one.
            if self
                .handle_packet(&packet, &data, u64::MAX, number)
                .is_some()
            {
                self.open = None;
            }
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    /// Returns whether one of the attempts was served.
    fn run_attempts(&mut self, request: u64, until: Instant) -> bool {
        for _ in 0..=MAX_RETRIES {
            match self.attempt(request, until) {
                AttemptOutcome::Served => return true,
                AttemptOutcome::TimedOut => return false,
                AttemptOutcome::Rejected => self.end_flow(),
                AttemptOutcome::FlowEnded { opened } => {
                    self.open = None;
                    if opened && !self.plan.idempotent {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Ends the open flow, if there is one. Without `--hard-load`, targets are not told.
    fn end_flow(&mut self) {
        let Some((number, _)) = self.open.take().filter(|_| self.plan.hard_load) else {
            return;
        };
        let flags = PacketFlags {
            ack: true,
            fin: true,
            ..PacketFlags::default()
        };
        let sequence = FIRST_SEQUENCE + self.sent_bytes;
        self.send(flags, sequence, number.wrapping_add(1), &[]);
    }

    fn attempt(&mut self, request: u64, until: Instant) -> AttemptOutcome {
        if self.open.is_none() && !self.open_flow(until) {
            if Instant::now() >= until {
                return AttemptOutcome::TimedOut;
            }
            return AttemptOutcome::FlowEnded { opened: false };
        }
        let Some((number, _)) = self.open else {
            return AttemptOutcome::FlowEnded { opened: false };
        };
        self.sent_bytes += if self.plan.hard_load {
            u32::from(SEGMENT_COUNT) * SEGMENT_BYTES
        } else {
            8
        };
        let since = Instant::now();
        let mut backoff = RETRANSMIT_BACKOFF;
        loop {
            let balancer = self.send_request(request, number);
            let next = (Instant::now() + backoff).min(until);
            backoff *= 2;
            while let Some((packet, data)) = self.receive(next) {
                if let Some(outcome) = self.handle_packet(&packet, &data, request, number) {
                    return outcome;
                }
            }
            if Instant::now() >= until {
                if let (Some(balancer), Some(_)) = (balancer, self.open) {
                    self.log.record(SoakEvent::Silent {
                        flow: self.flow(),
                        since,
                        balancer: *balancer.ip(),
                    });
                }
                return AttemptOutcome::TimedOut;
            }
        }
    }

    /// Handles a packet of the open flow. Returns the outcome of the attempt if the packet ends it.
    fn handle_packet(
        &mut self,
        packet: &FlowPacket,
        data: &[u8],
        request: u64,
        number: u32,
    ) -> Option<AttemptOutcome> {
        if packet.flags.rst {
            let near = packet
                .sequence
                .wrapping_sub(number)
                .wrapping_add(RESET_WINDOW);
            if near > 2 * RESET_WINDOW {
                return None;
            }
            self.log.record(SoakEvent::ResetOpen(self.flow()));
            return Some(AttemptOutcome::FlowEnded { opened: true });
        }
        let answered = read_number(data, 0)?;
        if packet.flags.fin {
            self.open = None;
        }
        if answered != request {
            // A delayed copy of an earlier response on this flow.
            return None;
        }
        let check = read_number(data, 8);
        if self.plan.hard_load && check == Some(rejection_check(request)) {
            return Some(AttemptOutcome::Rejected);
        }
        let own = check == Some(response_check(request));
        self.log.record(SoakEvent::Served { request, own });
        Some(AttemptOutcome::Served)
    }

    fn open_flow(&mut self, until: Instant) -> bool {
        self.port = self.port.checked_add(1).unwrap_or(1_024);
        self.sent_bytes = 0;
        let since = Instant::now();
        let mut balancer = None;
        let opened = self.send_openings(until, &mut balancer);
        if let Some(balancer) = balancer {
            self.log.record(SoakEvent::OpeningEnded {
                address: self.plan.service_address,
                balancer,
                since,
                opened,
            });
        }
        opened
    }

    /// Sends the copies of a flow's first packet until the flow opens or is refused. Sets
    /// `balancer` to the one that the last copy was sent to.
    fn send_openings(&mut self, until: Instant, balancer: &mut Option<Ipv4Addr>) -> bool {
        let start = Instant::now();
        for (copy, after) in (0..).zip([
            Duration::ZERO,
            OPENING_RETRANSMITS[0],
            OPENING_RETRANSMITS[1],
        ]) {
            debug_assert!(start.elapsed() + Duration::from_millis(50) >= after);
            *balancer = self.send_opening(copy).map(|to| *to.ip()).or(*balancer);
            let next = OPENING_RETRANSMITS
                .get(copy as usize)
                .copied()
                .unwrap_or(OPEN_TIMEOUT);
            while let Some((packet, _)) = self.receive((start + next).min(until)) {
                if packet.flags.rst {
                    self.log.record(SoakEvent::ResetBeforeOpen(self.flow()));
                    return false;
                }
                if packet.flags.syn {
                    self.open = Some((packet.sequence, Instant::now()));
                    return true;
                }
            }
            if Instant::now() >= until {
                // A copy sent now would precede its scheduled time, which no real client does.
                return false;
            }
        }
        false
    }

    /// Receives the next packet of the current flow. Returns `None` after `until`.
    fn receive(&self, until: Instant) -> Option<(FlowPacket, Vec<u8>)> {
        let mut buffer = [0; 2_048];
        loop {
            let timeout = until.checked_duration_since(Instant::now())?;
            let timeout = timeout.max(Duration::from_millis(1));
            // Fails only for a timeout of zero.
            let _set = self.socket.set_read_timeout(Some(timeout));
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

    fn send_opening(&self, copy: u32) -> Option<SocketAddrV4> {
        let flags = PacketFlags {
            syn: true,
            ..PacketFlags::default()
        };
        self.send(flags, FIRST_SEQUENCE, copy, &[])
    }

    /// Sends a request and returns the balancer that it was sent to.
    fn send_request(&self, request: u64, number: u32) -> Option<SocketAddrV4> {
        let flags = PacketFlags {
            ack: true,
            ..PacketFlags::default()
        };
        let (end, acknowledged) = (FIRST_SEQUENCE + self.sent_bytes, number.wrapping_add(1));
        if !self.plan.hard_load {
            return self.send(flags, end, acknowledged, &request.to_le_bytes());
        }
        let mut balancer = None;
        for part in 0..SEGMENT_COUNT {
            let flow = self.flow();
            balancer = self.router.choose(&flow);
            let segment = RequestSegment {
                request,
                part,
                sent: self.log.start().elapsed(),
                balancer: *balancer?.ip(),
            };
            let sequence = end - u32::from(SEGMENT_COUNT - part) * SEGMENT_BYTES;
            let data = segment.encode(&flow, sequence);
            self.send(flags, sequence, acknowledged, &data);
        }
        balancer
    }

    fn send(
        &self,
        flags: PacketFlags,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) -> Option<SocketAddrV4> {
        let packet = FlowPacket {
            flow: self.flow(),
            flags,
            sequence,
            acknowledged,
            data_bytes: u16::try_from(data.len()).unwrap_or(u16::MAX),
            tag: 0,
        };
        let balancer = self.router.choose(&packet.flow)?;
        let bytes = encode_packet(&packet, PacketSender::Client, data);
        // Lost if the balancer is down.
        let _sent = self.socket.send_to(&bytes, balancer);
        Some(balancer)
    }
}

fn read_number(data: &[u8], at: usize) -> Option<u64> {
    let bytes = data.get(at..at + 8)?;
    bytes.try_into().ok().map(u64::from_le_bytes)
}
