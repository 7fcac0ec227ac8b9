//! One packet thread: receive a batch, decide for each datagram, send a batch.
//!
//! ```text
//! fabric --recvmmsg--> PacketIngress -> PacketView -> FlowRouter -> seal_forward --sendmmsg--> agent
//! ```
//!
//! Nothing of a flow is kept between packets. Keys and routing table are loaded once a batch.

use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::{DatagramPath, PacketEnds};
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision, RoutingTable};
use lovagelatch_telemetry::Logger;
use lovagelatch_wire::{ForwardHeader, seal_forward};

use crate::batch::{BATCH_DATAGRAMS, ReceiveBatch, SendBatch};
use crate::count::{PacketCounts, PacketMetrics, PacketOutcome};
use crate::ingress::{PacketIngress, PacketOrigin};
use crate::notice::{DecisionLog, PlacedNotice};

/// Packets counted before a busy thread adds them to the process's counters.
const FLUSH_PACKETS: u64 = 1_024;

/// What the packet threads of a process share.
#[derive(Debug)]
pub struct ForwardState {
    /// The keys that are valid now.
    pub keys: Arc<ArcSwap<FleetKeys>>,
    /// The newest routing table.
    pub table: ArcSwap<RoutingTable>,
    /// Packets received so far, by which a stop sees that nothing arrives any more.
    pub received: AtomicU64,
    /// Tells the threads to end.
    pub ended: AtomicBool,
}

impl ForwardState {
    /// The state at the start, when no view is known.
    #[must_use]
    pub fn new(keys: Arc<ArcSwap<FleetKeys>>) -> Self {
        Self {
            keys,
            table: ArcSwap::default(),
            received: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        }
    }
}

/// How one packet thread receives and sends.
#[derive(Clone, Debug)]
pub struct ForwardPath {
    /// How datagrams arrive.
    pub ingress: PacketIngress,
    /// How they leave.
    pub path: DatagramPath,
    /// The address that this process is known by.
    pub control: AgentAddress,
}

/// One packet thread.
pub struct PacketForwarder {
    state: Arc<ForwardState>,
    path: ForwardPath,
    router: FlowRouter,
    receiving: ReceiveBatch,
    sending: SendBatch,
    counts: PacketCounts,
    metrics: PacketMetrics,
    log: DecisionLog,
}

impl PacketForwarder {
    /// A packet thread with its buffers.
    #[must_use]
    pub fn new(
        state: Arc<ForwardState>,
        path: ForwardPath,
        metrics: PacketMetrics,
        log: Logger,
    ) -> Self {
        Self {
            state,
            path,
            router: FlowRouter::new(),
            receiving: ReceiveBatch::new(),
            sending: SendBatch::new(),
            counts: PacketCounts::default(),
            metrics,
            log: DecisionLog::new(log),
        }
    }

    /// Forwards until the state says to end. `listen` needs a read timeout, which bounds how
    /// late the end is seen.
    ///
    /// # Errors
    ///
    /// What the operating system said when the socket can no longer be read.
    pub fn run(&mut self, listen: &UdpSocket, out: &UdpSocket) -> io::Result<()> {
        while !self.state.ended.load(Ordering::Relaxed) {
            let count = match self.receiving.receive(listen) {
                Ok(count) => count,
                Err(error) if is_passing(&error) => 0,
                Err(error) => return Err(error),
            };
            self.forward_batch(count, out);
        }
        Ok(())
    }

    fn forward_batch(&mut self, count: usize, out: &UdpSocket) {
        self.state
            .received
            .fetch_add(count as u64, Ordering::Relaxed);
        self.process_batch(count);
        if !self.sending.is_empty() {
            let refused = self.sending.send(out);
            self.counts.add_many(PacketOutcome::NotSent, refused as u64);
        }
        if count < BATCH_DATAGRAMS || self.counts.total() >= FLUSH_PACKETS {
            self.counts.flush(&self.metrics);
        }
    }

    fn process_batch(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        let state = Arc::clone(&self.state);
        let keys = state.keys.load();
        let table = state.table.load();
        let now = Instant::now();
        let mut step = PacketStep {
            path: &self.path,
            router: &self.router,
            keys: &keys,
            table: &table,
            sending: &mut self.sending,
            log: &mut self.log,
            now,
        };
        for index in 0..count {
            let received = self.receiving.datagram(index);
            let outcome = match step.path.ingress.read(&received) {
                Ok((origin, datagram)) => step.forward(origin, datagram),
                Err(error) => step.refuse(PacketOutcome::from(&error), None, &error),
            };
            self.counts.add(outcome);
        }
    }
}

/// What one packet needs, borrowed for a batch.
struct PacketStep<'a> {
    path: &'a ForwardPath,
    router: &'a FlowRouter,
    keys: &'a FleetKeys,
    table: &'a RoutingTable,
    sending: &'a mut SendBatch,
    log: &'a mut DecisionLog,
    now: Instant,
}

impl PacketStep<'_> {
    fn forward(&mut self, origin: PacketOrigin, datagram: &[u8]) -> PacketOutcome {
        let packet = match PacketView::read(datagram, origin.service_address, self.keys) {
            Ok(packet) => packet,
            Err(fault) => return self.refuse(PacketOutcome::from(&fault), Some(origin), &fault),
        };
        let decision = self.router.route(&packet, self.table);
        let outcome = PacketOutcome::from(&decision);
        match decision {
            RouteDecision::Forward { agent, service } => {
                self.push(origin, datagram, agent, service);
            }
            RouteDecision::NewFlow { agent, service, .. }
            | RouteDecision::Reset { agent, service, .. } => {
                self.push(origin, datagram, agent, service);
                self.log_placed(&decision, origin, &packet, service);
            }
            RouteDecision::Refuse { reason } => {
                return self.refuse(outcome, Some(origin), &reason);
            }
        }
        outcome
    }

    fn push(
        &mut self,
        origin: PacketOrigin,
        datagram: &[u8],
        agent: AgentAddress,
        service: ServiceId,
    ) {
        let header = ForwardHeader {
            caller: origin.caller,
            service_address: origin.service_address,
            service,
            revision: self.table.revision(),
            hops: 0,
        };
        let ends = PacketEnds {
            source: self.path.control.0,
            destination: agent.0,
        };
        let path = self.path.path;
        let hop = to_ipv4(path.next_hop(agent.0)).unwrap_or(agent.0);
        let keys = self.keys;
        // The batch has room: it is as long as the one received.
        self.sending.push(hop, |out| {
            path.start_datagram(&ends, out);
            seal_forward(&header, datagram, keys, out);
        });
    }

    fn refuse(
        &mut self,
        outcome: PacketOutcome,
        origin: Option<PacketOrigin>,
        reason: &impl Display,
    ) -> PacketOutcome {
        self.log.refused(outcome, origin, reason, self.now);
        outcome
    }

    fn log_placed(
        &mut self,
        decision: &RouteDecision,
        origin: PacketOrigin,
        packet: &PacketView<'_>,
        service: ServiceId,
    ) {
        let name = self.table.service_name(service);
        let notice = PlacedNotice {
            decision,
            origin,
            service: name.map_or("", |name| name.as_str()),
            flow_key: packet.flow_key,
            revision: self.table.revision().0,
        };
        self.log.placed(&notice, self.now);
    }
}

fn to_ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}

/// Whether a failed receive says nothing about the socket: a timeout, a signal, or the answer
/// of a network to an earlier datagram.
fn is_passing(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
    )
}
