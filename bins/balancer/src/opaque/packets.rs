//! Packet thread: receives callers' packets and sends frames to agents.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_adapter::{PacketSender, decode_packet, encode_reset};
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_fleet::ProcessClock;
use lovagelatch_flows::{
    BalancerStep, DueSearch, FlowBalancer, FlowKey, FlowPacket, FlowReset, FlowView, FramePurpose,
    LoadReport, PacketFrame, PeerFrame, RefusalReason, SearchFrames, read_frame, write_frame,
    write_relay_frame,
};
use lovagelatch_network::{BATCH_DATAGRAMS, BUFFER_BYTES, ReceiveBatch, SendBatch, wait_readable};
use tokio::sync::watch;

use super::cycle::{CycleSteps, PacketCycle, ReadyInput};
use super::decision_log::DecisionLog;
use super::metrics::{PacketCounts, PacketMetrics, PacketOutcome};

/// Maximum wait for a packet, after which the thread checks whether to exit.
const IDLE_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait while packets are held until a configuration is known.
const HELD_POLL_TIMEOUT: Duration = Duration::from_millis(10);

/// Lifetime of a held packet. Clients give up opening a flow after 1.4 s; a flow that opens later
/// would cost its target a connection that no client uses.
const HELD_PACKET_TTL: Duration = Duration::from_millis(1_200);

/// Interval at which the thread checks for flows that were lost with their targets.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of packets held while no configuration is known: a few hundred clients send
/// several packets each.
const MAX_HELD_PACKETS: usize = 1_024;

/// State shared by the packet thread and the control tasks.
pub(crate) struct PacketState {
    pub(crate) balancer: FlowBalancer,
    pub(crate) view: ArcSwap<FlowView>,
    /// Number of callers' packets read so far. The drain ends when it no longer grows.
    pub(crate) received: AtomicU64,
    /// Whether the process is stopping: it keeps forwarding but is no longer ready.
    pub(crate) leaving: AtomicBool,
    /// Set to make the packet thread exit.
    pub(crate) shutdown: AtomicBool,
    pub(crate) clock: ProcessClock,
    /// The latest moment for which a search needs a view that has been compared with the store.
    pub(crate) verification: watch::Sender<Moment>,
}

/// The sockets of the packet path.
pub(crate) struct PacketSockets {
    /// Receives callers' packets.
    pub(crate) clients: UdpSocket,
    /// Exchanges frames with other processes and sends resets to callers.
    pub(crate) frames: UdpSocket,
    /// Port at which every caller receives packets.
    pub(crate) client_port: u16,
}

/// Processes the packets and frames of a balancer on one thread.
pub(crate) struct PacketThread {
    state: Arc<PacketState>,
    sockets: PacketSockets,
    receiving: ReceiveBatch,
    sending: SendBatch,
    counts: PacketCounts,
    metrics: PacketMetrics,
    log: DecisionLog,
    next_loss_check: Moment,
    /// The view of the current cycle.
    view: Arc<FlowView>,
    /// Packets received before a configuration was known, with their arrival times.
    held: Vec<(Moment, Vec<u8>)>,
}

impl PacketThread {
    pub(crate) fn new(
        state: Arc<PacketState>,
        sockets: PacketSockets,
        metrics: PacketMetrics,
        log: DecisionLog,
    ) -> Self {
        Self {
            state,
            sockets,
            receiving: ReceiveBatch::new(),
            sending: SendBatch::new(),
            counts: metrics.packets.clone(),
            metrics,
            log,
            next_loss_check: Moment::ZERO,
            view: Arc::default(),
            held: Vec::new(),
        }
    }

    /// Processes packets until `shutdown` is set.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut cycle = PacketCycle::default();
        while !self.state.shutdown.load(Ordering::Relaxed) {
            cycle.run(self)?;
        }
        Ok(())
    }

    fn next_timeout(&self) -> Duration {
        let due = self.state.balancer.next_due();
        let wait = due.map(|due| due.since(self.state.clock.now()));
        let limit = if self.held.is_empty() {
            IDLE_POLL_TIMEOUT
        } else {
            HELD_POLL_TIMEOUT
        };
        wait.map_or(limit, |wait| wait.min(limit))
    }

    fn handle_packet(&mut self, bytes: &[u8], view: &FlowView, now: Moment) {
        match decode_packet(bytes, PacketSender::Client) {
            Ok(packet) => {
                let step = self.state.balancer.handle_packet(&packet, bytes, view, now);
                self.execute(step, &packet, bytes, view);
            }
            Err(_) => self.counts.add(PacketOutcome::Malformed),
        }
    }

    fn handle_frame(&mut self, datagram: &[u8], view: &FlowView, now: Moment) {
        match read_frame(datagram) {
            Ok((PeerFrame::Note(update), _)) => {
                self.notify_zone(&update.load, view, now);
                let outcome = self.state.balancer.handle_flow_update(&update, now);
                if let Some(after) = outcome.answered_after {
                    self.metrics
                        .answer_duration
                        .record(after.as_secs_f64(), &[]);
                }
                if let Some(reset) = outcome.reset {
                    self.reset_lost(&reset, view);
                }
            }
            Ok((PeerFrame::Load(report), _)) => {
                self.notify_zone(&report, view, now);
                self.state.balancer.record_load(&report, now);
                self.confirm_stop(&report);
            }
            Ok((PeerFrame::ErrandEnd(result), _)) => {
                if let Some(reset) = self.state.balancer.handle_search_result(&result, now) {
                    self.reset_lost(&reset, view);
                }
            }
            Ok((PeerFrame::Unknown { agent }, bytes)) => {
                if let Ok(packet) = decode_packet(bytes, PacketSender::Client) {
                    let balancer = &self.state.balancer;
                    let step = balancer.handle_returned_packet(&packet, bytes, agent, view, now);
                    self.execute(step, &packet, bytes, view);
                }
            }
            Ok((
                PeerFrame::Packet(_)
                | PeerFrame::Errand(_)
                | PeerFrame::Zone(_)
                | PeerFrame::Relay { .. }
                | PeerFrame::Locate { .. }
                | PeerFrame::Hello { .. }
                | PeerFrame::StopRecorded { .. }
                | PeerFrame::Probe { .. },
                _,
            ))
            | Err(_) => {
                self.counts.add(PacketOutcome::BadFrame);
            }
        }
    }

    /// Notifies an agent whether its zone is evacuated, if its report shows stale zone state.
    fn notify_zone(&mut self, report: &LoadReport, view: &FlowView, now: Moment) {
        if let Some(notice) = self.state.balancer.zone_notice(report, view, now) {
            self.counts.add(PacketOutcome::ZoneTold);
            let frame = PeerFrame::Zone(notice);
            self.push(report.agent.0, |out| write_frame(&frame, &[], out));
        }
    }

    /// Confirms an agent's announcement once it was relayed, unless this balancer is stopping too: it
    /// may end before the others have received it.
    fn confirm_stop(&mut self, report: &LoadReport) {
        if self.state.leaving.load(Ordering::Relaxed) || !self.state.balancer.confirms_stop(report)
        {
            return;
        }
        let frame = PeerFrame::StopRecorded {
            balancer: self.state.balancer.own_address(),
        };
        self.push(report.agent.0, |out| write_frame(&frame, &[], out));
    }

    fn execute(&mut self, step: BalancerStep, packet: &FlowPacket, bytes: &[u8], view: &FlowView) {
        match step {
            BalancerStep::Send {
                to,
                frame,
                placed,
                relay,
            } => {
                if let Some(placed) = placed {
                    self.log.placed(&packet.flow, &placed, view);
                }
                self.counts.add(outcome_of(frame.purpose));
                if let Some(relay) = relay {
                    self.relay(relay, to, &frame, bytes);
                }
                self.send_frame(to, frame, bytes);
            }
            BalancerStep::Search(frames) => self.search(&packet.flow, frames, bytes, view),
            BalancerStep::Lost => {
                self.counts.add(PacketOutcome::ResetLost);
                self.send_reset(&packet.flow, packet.acknowledged);
            }
            BalancerStep::Reset(reason) => {
                self.counts.add(match reason {
                    RefusalReason::NoRoute => PacketOutcome::ResetNoRoute,
                    RefusalReason::NoTarget => PacketOutcome::ResetNoTarget,
                    RefusalReason::Evacuated => PacketOutcome::ResetEvacuated,
                });
                self.log.refused(&packet.flow, reason, view);
                self.send_reset(&packet.flow, packet.acknowledged);
            }
            BalancerStep::Hold => self.hold(bytes),
            BalancerStep::Drop => self.counts.add(PacketOutcome::Dropped),
        }
    }

    /// Holds a packet until a configuration is known. Otherwise a balancer that has just started
    /// would refuse flows of every route, and a client that is refused three times within
    /// milliseconds gives up its request.
    fn hold(&mut self, bytes: &[u8]) {
        let now = self.state.clock.now();
        self.held.retain(|(at, _)| now.since(*at) < HELD_PACKET_TTL);
        if self.held.len() < MAX_HELD_PACKETS {
            self.held.push((now, bytes.to_vec()));
        } else {
            self.counts.add(PacketOutcome::Dropped);
        }
    }

    fn release_held(&mut self, view: &FlowView) {
        if self.held.is_empty() || !view.is_known() {
            return;
        }
        let now = self.state.clock.now();
        for (at, bytes) in std::mem::take(&mut self.held) {
            if now.since(at) < HELD_PACKET_TTL {
                self.handle_packet(&bytes, view, now);
            }
        }
    }

    fn retry_offers(&mut self, view: &FlowView, now: Moment) {
        for offer in self.state.balancer.due_offers(view, now) {
            self.counts.add(PacketOutcome::OfferedAgain);
            self.log.offered_again(&offer, view);
            self.send_frame(offer.to, offer.frame, &offer.bytes);
        }
    }

    fn advance_searches(&mut self, view: &FlowView, now: Moment) {
        for due in self.state.balancer.due_searches(view, now) {
            match due {
                DueSearch::Query {
                    flow,
                    bytes,
                    frames,
                } => self.search(&flow, frames, &bytes, view),
                DueSearch::Lost(reset) => self.reset_lost(&reset, view),
                DueSearch::Abandoned { flow, holders } => {
                    self.counts.add(PacketOutcome::SearchAbandoned);
                    self.log.abandoned(&flow, holders, view);
                }
            }
        }
    }

    fn search(&mut self, flow: &FlowKey, frames: SearchFrames, bytes: &[u8], view: &FlowView) {
        if frames.is_empty() {
            return self.counts.add(PacketOutcome::SearchWaiting);
        }
        self.counts.add(PacketOutcome::Searched);
        let counts = self.state.balancer.search_counts();
        self.log.searched(flow, &frames, counts, view);
        for (to, frame) in frames {
            let packet = if frame.carries_packet() { bytes } else { &[] };
            self.push(to.0, |out| write_frame(&frame, packet, out));
        }
    }

    /// Probes silent agents and resets flows that were lost with their targets, once per
    /// [`LOSS_CHECK_INTERVAL`].
    fn reset_lost_flows(&mut self, view: &FlowView, now: Moment) {
        if now < self.next_loss_check {
            return;
        }
        self.next_loss_check = now + LOSS_CHECK_INTERVAL;
        let probe = PeerFrame::Probe {
            balancer: self.state.balancer.own_address(),
        };
        for agent in self.state.balancer.due_probes(now) {
            self.push(agent.0, |out| write_frame(&probe, &[], out));
        }
        for reset in self.state.balancer.lost_flows(view, now) {
            self.reset_lost(&reset, view);
        }
    }

    /// Makes this balancer known to agents, unless it is stopping.
    fn send_hellos(&mut self, view: &FlowView, now: Moment) {
        if self.state.leaving.load(Ordering::Relaxed) {
            return;
        }
        let hello = PeerFrame::Hello {
            balancer: self.state.balancer.own_address(),
        };
        for agent in self.state.balancer.due_hellos(view, now) {
            self.push(agent.0, |out| write_frame(&hello, &[], out));
        }
    }

    fn reset_lost(&mut self, reset: &FlowReset, view: &FlowView) {
        self.counts.add(PacketOutcome::ResetLost);
        self.log.lost(reset, view);
        self.send_reset(&reset.flow, reset.acknowledged);
    }

    fn send_reset(&mut self, flow: &FlowKey, acknowledged: u32) {
        let to = SocketAddrV4::new(*flow.client.ip(), self.sockets.client_port);
        let reset = encode_reset(flow, acknowledged);
        self.push(to, |out| {
            out.clear();
            out.extend_from_slice(&reset);
        });
    }

    fn send_frame(&mut self, to: AgentAddress, frame: PacketFrame, packet: &[u8]) {
        let frame = PeerFrame::Packet(frame);
        self.push(to.0, |out| write_frame(&frame, packet, out));
    }

    /// Sends a packet through the agent `relay`, which can reach the flow's silent agent `to`.
    fn relay(&mut self, relay: AgentAddress, to: AgentAddress, frame: &PacketFrame, packet: &[u8]) {
        self.counts.add(PacketOutcome::Relayed);
        let frame = PeerFrame::Packet(frame.clone());
        self.push(relay.0, |out| write_relay_frame(to, &frame, packet, out));
    }

    fn push(&mut self, to: SocketAddrV4, write: impl Fn(&mut Vec<u8>)) {
        if !self.sending.push(to, &write) {
            self.send_pending();
            self.sending.push(to, &write);
        }
    }

    fn send_pending(&mut self) {
        if !self.sending.is_empty() {
            let refused = self.sending.send(&self.sockets.frames);
            self.counts.add_many(PacketOutcome::NotSent, refused as u64);
        }
    }
}

impl CycleSteps for PacketThread {
    fn now(&self) -> Moment {
        self.state.clock.now()
    }

    fn wait(&mut self) -> io::Result<ReadyInput> {
        let timeout = self.next_timeout();
        let sockets = [&self.sockets.clients, &self.sockets.frames];
        let [packets, frames] = wait_readable(sockets, timeout)?;
        self.view = self.state.view.load_full();
        let view = Arc::clone(&self.view);
        self.release_held(&view);
        Ok(ReadyInput { frames, packets })
    }

    fn receive_frames(&mut self) -> io::Result<bool> {
        let count = self.receiving.receive_available(&self.sockets.frames)?;
        let now = self.state.clock.now();
        let view = Arc::clone(&self.view);
        for index in 0..count {
            let mut bytes = [0; BUFFER_BYTES];
            let length = self.receiving.datagram(index).copy_to(&mut bytes);
            self.handle_frame(&bytes[..length], &view, now);
        }
        Ok(count == BATCH_DATAGRAMS)
    }

    fn receive_packets(&mut self) -> io::Result<()> {
        let count = self.receiving.receive_available(&self.sockets.clients)?;
        self.state
            .received
            .fetch_add(count as u64, Ordering::Relaxed);
        let now = self.state.clock.now();
        let view = Arc::clone(&self.view);
        for index in 0..count {
            let mut bytes = [0; BUFFER_BYTES];
            let length = self.receiving.datagram(index).copy_to(&mut bytes);
            self.handle_packet(&bytes[..length], &view, now);
        }
        Ok(())
    }

    fn run_timers(&mut self, as_of: Moment) {
        let view = Arc::clone(&self.view);
        self.retry_offers(&view, as_of);
        self.advance_searches(&view, as_of);
        if let Some(moment) = self.state.balancer.take_verification_request() {
            self.state.verification.send_replace(moment);
        }
        self.reset_lost_flows(&view, as_of);
        self.send_hellos(&view, as_of);
    }

    fn flush(&mut self) {
        self.send_pending();
    }
}

fn outcome_of(purpose: FramePurpose) -> PacketOutcome {
    match purpose {
        FramePurpose::Offer => PacketOutcome::Offered,
        FramePurpose::Known => PacketOutcome::Forwarded,
        FramePurpose::Search => PacketOutcome::Searched,
    }
}
