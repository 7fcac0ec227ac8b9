//! The packet thread: frames to the target, the target's packets to callers.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use lovagelatch_adapter::{PacketSender, clear_returned, decode_packet, encode_reset, write_tag};
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_fleet::ProcessClock;
use lovagelatch_flows::{
    AgentStep, DelegatedSearch, DropReason, FlowAgent, FlowPacket, FlowUpdate, PacketFrame,
    PeerFrame, SearchResult, ZoneNotice, is_relayable, read_frame, write_frame,
};
use lovagelatch_network::{BUFFER_BYTES, ReceiveBatch, SendBatch, wait_readable};
use lovagelatch_telemetry::EventOutcome;
use parking_lot::Mutex;

use super::count::{PacketCounts, PacketMetrics, PacketOutcome};
use super::notice::DecisionLog;

/// How often balancers that send here are told the load.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How often silent flows are forgotten.
const TEND_INTERVAL: Duration = Duration::from_secs(1);

/// What the packet thread shares with the rest of the process.
pub(crate) struct PacketState {
    /// One lock for all flows: a single thread carries the packets of a single target, and an
    /// operator's question is rare.
    pub(crate) agent: Mutex<FlowAgent>,
    pub(crate) clock: ProcessClock,
    /// Packets carried so far, by which a stop sees that nothing moves any more.
    pub(crate) carried: AtomicU64,
    pub(crate) ended: AtomicBool,
}

/// The sockets of the packet path.
pub(crate) struct PacketSockets {
    /// Frames of other processes.
    pub(crate) frames: UdpSocket,
    /// The target's packets.
    pub(crate) outbound: UdpSocket,
    /// To the target; connected, so that the system tells when nobody listens there.
    pub(crate) target: UdpSocket,
    pub(crate) target_address: SocketAddrV4,
    /// The port at which every caller takes packets.
    pub(crate) client_port: u16,
    /// Where this agent takes frames.
    pub(crate) own: AgentAddress,
}

/// One packet thread.
pub(crate) struct PacketThread {
    state: Arc<PacketState>,
    sockets: PacketSockets,
    receiving: ReceiveBatch,
    /// To the target.
    inward: SendBatch,
    /// To callers and other processes.
    outward: SendBatch,
    counts: PacketCounts,
    metrics: PacketMetrics,
    log: DecisionLog,
    idle: Duration,
    next_report: Moment,
    next_tend: Moment,
}

impl PacketThread {
    /// `idle` is how long a silent flow is remembered.
    pub(crate) fn new(
        state: Arc<PacketState>,
        sockets: PacketSockets,
        metrics: PacketMetrics,
        log: DecisionLog,
        idle: Duration,
    ) -> Self {
        Self {
            state,
            sockets,
            receiving: ReceiveBatch::new(),
            inward: SendBatch::new(),
            outward: SendBatch::new(),
            counts: metrics.packets.clone(),
            metrics,
            log,
            idle,
            next_report: Moment::ZERO,
            next_tend: Moment::ZERO,
        }
    }

    /// Carries packets until the state says to end.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        while !self.state.ended.load(Ordering::Relaxed) {
            let now = self.state.clock.now();
            let wait = self.next_wait(now);
            let sockets = [&self.sockets.outbound, &self.sockets.frames];
            let [outbound, frames] = wait_readable(sockets, wait)?;
            if outbound {
                self.take_target_packets()?;
            }
            if frames {
                self.take_frames()?;
            }
            self.flush();
            self.keep_up();
        }
        Ok(())
    }

    fn next_wait(&self, now: Moment) -> Duration {
        let report = self.next_report.since(now);
        let errand = self.state.agent.lock().next_search_deadline();
        errand.map_or(report, |due| report.min(due.since(now)))
    }

    fn take_target_packets(&mut self) -> io::Result<()> {
        let count = self.receiving.receive_some(&self.sockets.outbound)?;
        self.note_carried(count);
        let now = self.state.clock.now();
        for index in 0..count {
            let mut bytes = [0; BUFFER_BYTES];
            let length = self.receiving.datagram(index).copy_to(&mut bytes);
            let bytes = &mut bytes[..length];
            let Ok(packet) = decode_packet(bytes, PacketSender::Target) else {
                self.counts.add(PacketOutcome::Malformed);
                continue;
            };
            if packet.flags.returned {
                clear_returned(bytes);
            }
            let mut agent = self.state.agent.lock();
            let (step, note) = agent.handle_target_packet(&packet, now);
            let answered = agent.take_response_time();
            drop(agent);
            if let Some(after) = answered {
                let seconds = after.as_secs_f64();
                self.metrics.response_duration.record(seconds, &[]);
            }
            self.carry_out(step, &packet, bytes);
            self.send_note(note);
        }
        Ok(())
    }

    fn take_frames(&mut self) -> io::Result<()> {
        let count = self.receiving.receive_some(&self.sockets.frames)?;
        self.note_carried(count);
        let now = self.state.clock.now();
        for index in 0..count {
            let mut datagram = [0; BUFFER_BYTES];
            let length = self.receiving.datagram(index).copy_to(&mut datagram);
            self.take_frame(&mut datagram[..length], now);
        }
        Ok(())
    }

    fn take_frame(&mut self, datagram: &mut [u8], now: Moment) {
        let (frame, packet) = match read_frame(datagram) {
            Ok((PeerFrame::Probe { balancer }, _)) => return self.answer_probe(balancer, now),
            Ok((PeerFrame::Note(word), _)) => return self.take_word(&word),
            Ok((PeerFrame::Zone(notice), _)) => return self.take_zone(&notice, now),
            Ok((PeerFrame::Relay { to }, inner)) => return self.relay(to, inner),
            Ok((frame, packet)) => (frame, packet),
            Err(_) => return self.counts.add(PacketOutcome::BadFrame),
        };
        let start = datagram.len() - packet.len();
        let bytes = &mut datagram[start..];
        let Ok(packet) = decode_packet(bytes, PacketSender::Client) else {
            self.counts.add(PacketOutcome::Malformed);
            return;
        };
        match frame {
            PeerFrame::Packet(frame) => {
                let (step, note) = self.state.agent.lock().handle_frame(frame, &packet, now);
                self.carry_out(step, &packet, bytes);
                self.send_note(note);
            }
            PeerFrame::Errand(errand) => self.run_errand(&errand, &packet, bytes, now),
            _ => self.counts.add(PacketOutcome::BadFrame),
        }
    }

    fn answer_probe(&mut self, balancer: AgentAddress, now: Moment) {
        let report = self.state.agent.lock().handle_probe(balancer, now);
        self.tell(balancer, &PeerFrame::Load(report));
    }

    /// Hands a frame on to an agent that its balancer does not hear.
    fn relay(&mut self, to: AgentAddress, inner: &[u8]) {
        if !is_relayable(inner) {
            return self.counts.add(PacketOutcome::BadFrame);
        }
        self.counts.add(PacketOutcome::Relayed);
        self.push_outward(to.0, |out| copy_to(inner, out));
    }

    fn take_zone(&mut self, notice: &ZoneNotice, now: Moment) {
        if let Some(age) = self.state.agent.lock().handle_zone_notice(notice, now) {
            self.log.zone(notice);
            self.metrics.zone_delay.record(age.as_secs_f64(), &[]);
        }
    }

    /// Shows a packet to everybody that a balancer names.
    fn run_errand(
        &mut self,
        errand: &DelegatedSearch,
        packet: &FlowPacket,
        bytes: &mut [u8],
        now: Moment,
    ) {
        let step = self
            .state
            .agent
            .lock()
            .handle_delegated_search(errand, packet, now);
        self.counts.add(PacketOutcome::SearchedFor);
        for (to, frame) in step.remote {
            self.pass(to, frame, bytes);
        }
        self.carry_out(step.local, packet, bytes);
        self.send_note(step.update);
    }

    /// Takes another agent's word about a flow that this one looks for.
    fn take_word(&mut self, word: &FlowUpdate) {
        let end = self.state.agent.lock().handle_flow_update(word);
        self.end_errands(end);
    }

    fn end_errands(&mut self, ended: impl IntoIterator<Item = (AgentAddress, SearchResult)>) {
        for (balancer, word) in ended {
            self.log.searched(&word);
            self.tell(balancer, &PeerFrame::ErrandEnd(word));
        }
    }

    fn carry_out(&mut self, step: AgentStep, packet: &FlowPacket, bytes: &mut [u8]) {
        match step {
            AgentStep::Deliver { tag } => {
                let known = tag == 0;
                self.counts.add(if known {
                    PacketOutcome::Delivered
                } else {
                    PacketOutcome::Tried
                });
                write_tag(bytes, tag);
                self.deliver(bytes);
            }
            AgentStep::Forward { to, frame } => {
                self.counts.add(PacketOutcome::Passed);
                self.log.passed(packet, to, &frame);
                self.pass(to, frame, bytes);
            }
            AgentStep::Return { to } => {
                self.counts.add(PacketOutcome::Returned);
                let agent = self.sockets.own;
                let frame = PeerFrame::Unknown { agent };
                self.push_outward(to.0, |out| write_frame(&frame, bytes, out));
            }
            AgentStep::ToClient => {
                self.counts.add(PacketOutcome::ToClient);
                let to = self.client_address(packet);
                self.push_outward(to, |out| copy_to(bytes, out));
            }
            AgentStep::Reset => {
                self.count_refused(packet, PacketOutcome::Reset);
                let to = self.client_address(packet);
                let reset = encode_reset(&packet.flow, packet.acknowledged);
                self.push_outward(to, |out| copy_to(&reset, out));
            }
            AgentStep::Drop(reason) => self.count_refused(packet, outcome_of(reason)),
        }
    }

    fn count_refused(&mut self, packet: &FlowPacket, outcome: PacketOutcome) {
        self.counts.add(outcome);
        let now = self.state.clock.now();
        let load = self.state.agent.lock().status(now).load;
        self.log.refused(packet, outcome.as_str(), &load);
    }

    fn pass(&mut self, to: AgentAddress, frame: PacketFrame, bytes: &[u8]) {
        let frame = PeerFrame::Packet(frame);
        self.push_outward(to.0, |out| write_frame(&frame, bytes, out));
    }

    fn client_address(&self, packet: &FlowPacket) -> SocketAddrV4 {
        SocketAddrV4::new(*packet.flow.client.ip(), self.sockets.client_port)
    }

    fn send_note(&mut self, note: Option<(AgentAddress, FlowUpdate)>) {
        if let Some((to, note)) = note {
            self.log.located(&note);
            self.tell(to, &PeerFrame::Note(note));
        }
    }

    fn tell(&mut self, to: AgentAddress, frame: &PeerFrame) {
        self.push_outward(to.0, |out| write_frame(frame, &[], out));
    }

    /// Tells the load and forgets what is old, when it is time.
    fn keep_up(&mut self) {
        let now = self.state.clock.now();
        let ended = self.state.agent.lock().expired_searches(now);
        if !ended.is_empty() {
            self.end_errands(ended);
            self.flush();
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            let (listeners, report) = self.state.agent.lock().load_report(now);
            let frame = PeerFrame::Load(report);
            for listener in listeners {
                self.push_outward(listener.0, |out| write_frame(&frame, &[], out));
            }
            self.flush();
        }
        if now >= self.next_tend {
            self.next_tend = now + TEND_INTERVAL;
            self.state.agent.lock().expire_idle(self.idle, now);
        }
    }

    fn deliver(&mut self, bytes: &[u8]) {
        let to = self.sockets.target_address;
        if !self.inward.push(to, |out| copy_to(bytes, out)) {
            self.flush();
            self.inward.push(to, |out| copy_to(bytes, out));
        }
    }

    fn push_outward(&mut self, to: SocketAddrV4, write: impl Fn(&mut Vec<u8>)) {
        if !self.outward.push(to, &write) {
            self.flush();
            self.outward.push(to, &write);
        }
    }

    fn flush(&mut self) {
        let mut refused = 0;
        if !self.inward.is_empty() {
            refused += self.inward.send(&self.sockets.target);
            let answered = self.inward.take_answered();
            let now = self.state.clock.now();
            let mut agent = self.state.agent.lock();
            agent.record_sent(now);
            if answered {
                agent.handle_connection_refused(now);
            }
        }
        if !self.outward.is_empty() {
            refused += self.outward.send(&self.sockets.frames);
        }
        self.counts.add_many(PacketOutcome::NotSent, refused as u64);
    }

    fn note_carried(&self, count: usize) {
        self.state
            .carried
            .fetch_add(count as u64, Ordering::Relaxed);
    }
}

fn outcome_of(reason: DropReason) -> PacketOutcome {
    match reason {
        DropReason::NoHolder | DropReason::UnknownFlow | DropReason::FlowEnded => {
            PacketOutcome::Unheld
        }
        DropReason::ZoneEvacuated => PacketOutcome::HeldEvacuated,
        DropReason::ColdTarget => PacketOutcome::HeldCold,
    }
}

fn copy_to(bytes: &[u8], out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(bytes);
}
