//! The packet thread: delivers frames to the target and sends the target's packets to callers.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use lovagelatch_adapter::{PacketSender, clear_returned, decode_packet, encode_reset, write_tag};
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_fleet::ProcessClock;
use lovagelatch_flows::{
    AdmissionEvent, AgentStep, DelegatedSearch, DropReason, FlowAgent, FlowKey, FlowPacket,
    FlowUpdate, PacketFrame, PeerFrame, SearchResult, ZoneNotice, is_relayable, read_frame,
    write_frame,
};
use lovagelatch_network::{BUFFER_BYTES, ReceiveBatch, SendBatch, wait_readable};
use lovagelatch_telemetry::EventOutcome;
use parking_lot::Mutex;

use super::decision_log::DecisionLog;
use super::held_packets::HeldPackets;
use super::metrics::{PacketCounts, PacketMetrics, PacketOutcome};

/// How often the load is reported to the balancers that send packets here.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How often idle flows are expired.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// State shared between the packet thread and the rest of the process.
pub(crate) struct PacketState {
    /// A single lock for all flows is enough: one thread processes the packets of the one target,
    /// and operators' queries are rare.
    pub(crate) agent: Mutex<FlowAgent>,
    pub(crate) clock: ProcessClock,
    /// Datagrams received so far; logged when the agent stops.
    pub(crate) received: AtomicU64,
    /// Set to make the packet thread exit.
    pub(crate) shutdown: AtomicBool,
    /// Set when the packet thread has delivered what it held and exits.
    pub(crate) ended: AtomicBool,
}

/// The sockets of the packet path.
pub(crate) struct PacketSockets {
    /// Frames from and to other processes; packets to callers are sent here too.
    pub(crate) frames: UdpSocket,
    /// Packets from the target.
    pub(crate) outbound: UdpSocket,
    /// Packets to the target. Connected, so that the kernel reports when nothing listens there.
    pub(crate) target: UdpSocket,
    pub(crate) target_address: SocketAddrV4,
    /// The port on which every caller receives packets.
    pub(crate) client_port: u16,
    /// The address at which this agent receives frames.
    pub(crate) own_address: AgentAddress,
}

/// The state of the packet thread.
pub(crate) struct PacketThread {
    state: Arc<PacketState>,
    sockets: PacketSockets,
    receiving: ReceiveBatch,
    /// Packets to the target.
    inbound: SendBatch,
    /// Packets and frames to callers and other processes.
    outbound: SendBatch,
    held: HeldPackets,
    /// Decisions that are being executed; empty otherwise.
    events: Vec<AdmissionEvent>,
    counts: PacketCounts,
    metrics: PacketMetrics,
    log: DecisionLog,
    idle: Duration,
    next_report: Moment,
    next_expiry: Moment,
}

impl PacketThread {
    /// `idle` is how long an idle flow is kept.
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
            inbound: SendBatch::new(),
            outbound: SendBatch::new(),
            held: HeldPackets::default(),
            events: Vec::new(),
            counts: metrics.packets.clone(),
            metrics,
            log,
            idle,
            next_report: Moment::ZERO,
            next_expiry: Moment::ZERO,
        }
    }

    /// Processes packets until [`PacketState::shutdown`] is set.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        while !self.state.shutdown.load(Ordering::Relaxed) {
            let now = self.state.clock.now();
            let timeout = self.next_timeout(now);
            let sockets = [&self.sockets.outbound, &self.sockets.frames];
            let [outbound, frames] = wait_readable(sockets, timeout)?;
            if outbound {
                self.receive_target_packets()?;
                // An answer may have freed a place for a held request, which is delivered before
                // the frames are read.
                self.flush();
            }
            if frames {
                self.receive_frames()?;
            }
            self.flush();
            self.run_periodic();
        }
        self.deliver_held();
        self.state.ended.store(true, Ordering::Relaxed);
        Ok(())
    }

    fn next_timeout(&self, now: Moment) -> Duration {
        let agent = self.state.agent.lock();
        let deadlines = [
            agent.next_search_deadline(),
            agent.next_admission_deadline(),
        ];
        let deadlines = deadlines.into_iter().flatten();
        let timeouts = deadlines.map(|deadline| deadline.since(now));
        timeouts.fold(self.next_report.since(now), Duration::min)
    }

    /// Delivers all held packets: the process exits.
    fn deliver_held(&mut self) {
        self.state.agent.lock().set_leaving();
        self.release_due(self.state.clock.now());
        self.flush();
    }

    /// Delivers the held packets that may not wait any longer.
    fn release_due(&mut self, now: Moment) {
        let mut agent = self.state.agent.lock();
        agent.advance_admission(now);
        agent.take_admission_events(&mut self.events);
        drop(agent);
        self.execute_admission();
    }

    /// Executes what the admission decided. Held packets of a flow are delivered before any later
    /// packet of the flow.
    fn execute_admission(&mut self) {
        if self.events.is_empty() {
            return;
        }
        let mut events = std::mem::take(&mut self.events);
        for event in events.drain(..) {
            match event {
                AdmissionEvent::Released(delivery) => {
                    for mut bytes in self.held.take(&delivery.flow) {
                        self.counts.add(PacketOutcome::Delivered);
                        write_tag(&mut bytes, 0);
                        self.deliver(&bytes);
                    }
                    self.metrics.record_wait(&delivery);
                    self.log.request_held(&delivery);
                }
                AdmissionEvent::Excess(delivery) => {
                    self.metrics.count_excess(&delivery);
                    self.log.request_held(&delivery);
                }
                AdmissionEvent::OfferRefused(offer) => {
                    self.metrics.count_refused_offer(&offer);
                    self.log.offer_refused(&offer);
                }
                AdmissionEvent::CapacityChanged { from, to } => self.log.capacity(from, to),
            }
        }
        // Keeps the allocation.
        self.events = events;
    }

    fn receive_target_packets(&mut self) -> io::Result<()> {
        let count = self.receiving.receive_available(&self.sockets.outbound)?;
        self.record_received(count);
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
            let (step, update) = agent.handle_target_packet(&packet, now);
            let response_time = agent.take_response_time();
            agent.take_admission_events(&mut self.events);
            drop(agent);
            self.execute_admission();
            if let Some(response_time) = response_time {
                let seconds = response_time.as_secs_f64();
                self.metrics.response_duration.record(seconds, &[]);
            }
            self.execute(step, &packet, bytes);
            self.send_update(update);
        }
        Ok(())
    }

    fn receive_frames(&mut self) -> io::Result<()> {
        let count = self.receiving.receive_available(&self.sockets.frames)?;
        self.record_received(count);
        let now = self.state.clock.now();
        for index in 0..count {
            let mut datagram = [0; BUFFER_BYTES];
            let length = self.receiving.datagram(index).copy_to(&mut datagram);
            self.handle_frame(&mut datagram[..length], now);
        }
        Ok(())
    }

    fn handle_frame(&mut self, datagram: &mut [u8], now: Moment) {
        let (frame, packet) = match read_frame(datagram) {
            Ok((PeerFrame::Probe { balancer }, _)) => return self.answer_probe(balancer, now),
            Ok((PeerFrame::Hello { balancer }, _)) => {
                return self.state.agent.lock().handle_hello(balancer, now);
            }
            Ok((PeerFrame::StopRecorded { .. }, _)) => {
                return self.state.agent.lock().handle_stop_recorded();
            }
            Ok((PeerFrame::Note(update), _)) => return self.handle_flow_update(&update),
            Ok((PeerFrame::Zone(notice), _)) => return self.handle_zone_notice(&notice, now),
            Ok((PeerFrame::Relay { to }, inner)) => return self.relay(to, inner),
            Ok((PeerFrame::Locate { flow, balancer }, _)) => {
                return self.answer_locate(flow, balancer, now);
            }
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
                let mut agent = self.state.agent.lock();
                let (step, update) = agent.handle_frame(frame, &packet, now);
                agent.take_admission_events(&mut self.events);
                drop(agent);
                self.execute_admission();
                self.execute(step, &packet, bytes);
                self.send_update(update);
            }
            PeerFrame::Errand(search) => {
                self.run_delegated_search(&search, &packet, bytes, now);
            }
            _ => self.counts.add(PacketOutcome::BadFrame),
        }
    }

    fn answer_probe(&mut self, balancer: AgentAddress, now: Moment) {
        let report = self.state.agent.lock().handle_probe(balancer, now);
        self.send_frame(balancer, &PeerFrame::Load(report));
    }

    fn answer_locate(&mut self, flow: FlowKey, balancer: AgentAddress, now: Moment) {
        let update = self.state.agent.lock().handle_locate(flow, balancer, now);
        self.send_update(update.map(|update| (balancer, update)));
    }

    /// Relays a frame to an agent from which the balancer gets no response.
    fn relay(&mut self, to: AgentAddress, inner: &[u8]) {
        if !is_relayable(inner) {
            return self.counts.add(PacketOutcome::BadFrame);
        }
        self.counts.add(PacketOutcome::Relayed);
        self.push_outbound(to.0, |out| copy_to(inner, out));
    }

    fn handle_zone_notice(&mut self, notice: &ZoneNotice, now: Moment) {
        if let Some(age) = self.state.agent.lock().handle_zone_notice(notice, now) {
            self.log.zone(notice);
            self.metrics.zone_delay.record(age.as_secs_f64(), &[]);
        }
    }

    /// Shows a packet to all agents that a balancer names in a delegated search.
    fn run_delegated_search(
        &mut self,
        search: &DelegatedSearch,
        packet: &FlowPacket,
        bytes: &mut [u8],
        now: Moment,
    ) {
        let mut agent = self.state.agent.lock();
        let step = agent.handle_delegated_search(search, packet, now);
        agent.take_admission_events(&mut self.events);
        drop(agent);
        self.execute_admission();
        self.counts.add(PacketOutcome::SearchedFor);
        for (to, frame) in step.remote {
            self.forward(to, frame, bytes);
        }
        self.execute(step.local, packet, bytes);
        self.send_update(step.update);
    }

    /// Handles another agent's update about a flow that this agent searches for.
    fn handle_flow_update(&mut self, update: &FlowUpdate) {
        let result = self.state.agent.lock().handle_flow_update(update);
        self.report_searches(result);
    }

    /// Reports the results of finished searches to the balancers that delegated them.
    fn report_searches(&mut self, results: impl IntoIterator<Item = (AgentAddress, SearchResult)>) {
        for (balancer, result) in results {
            self.log.searched(&result);
            self.send_frame(balancer, &PeerFrame::ErrandEnd(result));
        }
    }

    fn execute(&mut self, step: AgentStep, packet: &FlowPacket, bytes: &mut [u8]) {
        match step {
            AgentStep::Deliver { tag } => {
                // Tag 0: the target is known to hold the flow.
                let held_by_target = tag == 0;
                self.counts.add(if held_by_target {
                    PacketOutcome::Delivered
                } else {
                    PacketOutcome::Tried
                });
                write_tag(bytes, tag);
                self.deliver(bytes);
            }
            AgentStep::Hold => {
                self.counts.add(PacketOutcome::Held);
                self.held.push(packet.flow, bytes);
            }
            AgentStep::Forward { to, frame } => {
                self.counts.add(PacketOutcome::Passed);
                self.log.forwarded(packet, to, &frame);
                self.forward(to, frame, bytes);
            }
            AgentStep::Return { to } => {
                self.counts.add(PacketOutcome::Returned);
                let agent = self.sockets.own_address;
                let frame = PeerFrame::Unknown { agent };
                self.push_outbound(to.0, |out| write_frame(&frame, bytes, out));
            }
            AgentStep::ToClient => {
                self.counts.add(PacketOutcome::ToClient);
                let to = self.client_address(packet);
                self.push_outbound(to, |out| copy_to(bytes, out));
            }
            AgentStep::Reset => {
                self.count_refused(packet, PacketOutcome::Reset);
                let to = self.client_address(packet);
                let reset = encode_reset(&packet.flow, packet.acknowledged);
                self.push_outbound(to, |out| copy_to(&reset, out));
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

    fn forward(&mut self, to: AgentAddress, frame: PacketFrame, bytes: &[u8]) {
        let frame = PeerFrame::Packet(frame);
        self.push_outbound(to.0, |out| write_frame(&frame, bytes, out));
    }

    fn client_address(&self, packet: &FlowPacket) -> SocketAddrV4 {
        SocketAddrV4::new(*packet.flow.client.ip(), self.sockets.client_port)
    }

    fn send_update(&mut self, update: Option<(AgentAddress, FlowUpdate)>) {
        if let Some((to, update)) = update {
            self.log.located(&update);
            self.send_frame(to, &PeerFrame::Note(update));
        }
    }

    fn send_frame(&mut self, to: AgentAddress, frame: &PeerFrame) {
        self.push_outbound(to.0, |out| write_frame(frame, &[], out));
    }

    /// Releases held requests, ends expired searches, reports the load and expires idle flows, each when due.
    fn run_periodic(&mut self) {
        let now = self.state.clock.now();
        self.release_due(now);
        self.flush();
        let expired = self.state.agent.lock().expired_searches(now);
        if !expired.is_empty() {
            self.report_searches(expired);
            self.flush();
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            let (subscribers, report) = self.state.agent.lock().load_report(now);
            let frame = PeerFrame::Load(report);
            for subscriber in subscribers {
                self.push_outbound(subscriber.0, |out| write_frame(&frame, &[], out));
            }
            self.flush();
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.state.agent.lock().expire_idle(self.idle, now);
        }
    }

    fn deliver(&mut self, bytes: &[u8]) {
        let to = self.sockets.target_address;
        if !self.inbound.push(to, |out| copy_to(bytes, out)) {
            self.flush();
            self.inbound.push(to, |out| copy_to(bytes, out));
        }
    }

    fn push_outbound(&mut self, to: SocketAddrV4, write: impl Fn(&mut Vec<u8>)) {
        if !self.outbound.push(to, &write) {
            self.flush();
            self.outbound.push(to, &write);
        }
    }

    fn flush(&mut self) {
        let mut not_sent = 0;
        if !self.inbound.is_empty() {
            not_sent += self.inbound.send(&self.sockets.target);
            let port_closed = self.inbound.take_icmp_error();
            let now = self.state.clock.now();
            let mut agent = self.state.agent.lock();
            agent.record_sent(now);
            if port_closed {
                agent.handle_connection_refused(now);
            }
        }
        if !self.outbound.is_empty() {
            not_sent += self.outbound.send(&self.sockets.frames);
        }
        self.counts
            .add_many(PacketOutcome::NotSent, not_sent as u64);
    }

    fn record_received(&self, count: usize) {
        self.state
            .received
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
