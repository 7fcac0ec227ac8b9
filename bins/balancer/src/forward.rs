//! Packet thread: receives a batch, routes each datagram, sends a batch.
//!
//! ```text
//! fabric --recvmmsg--> PacketIngress -> PacketView -> FlowRouter -> seal_forward --sendmmsg--> agent
//! ```
//!
//! No flow state is kept between packets. Keys and routing table are loaded once per batch.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use lovagelatch_domain::AgentAddress;
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::{BATCH_DATAGRAMS, DatagramPath, ReceiveBatch, SendBatch};
use lovagelatch_routing::{FlowRouter, RoutingTable};
use lovagelatch_telemetry::Logger;

use crate::decision_log::DecisionLog;
use crate::error_queue::{ErrorQueueReader, enable_error_queue};
use crate::ingress::PacketIngress;
use crate::metrics::{PacketCounts, PacketMetrics, PacketOutcome};
use crate::processor::PacketProcessor;

/// A busy thread adds its counts to the process's counters after this many packets.
const FLUSH_THRESHOLD_PACKETS: u64 = 1_024;

/// State shared by the packet threads of a process.
#[derive(Debug)]
pub struct ForwardState {
    /// Currently valid keys; replaced when the key file changes.
    pub keys: Arc<ArcSwap<FleetKeys>>,
    /// Current routing table; replaced when the view changes.
    pub table: ArcSwap<RoutingTable>,
    /// Number of packets received so far. The drain ends when it no longer grows.
    pub received: AtomicU64,
    /// Set to make the packet threads exit.
    pub shutdown: AtomicBool,
}

impl ForwardState {
    /// Creates the initial state, with an empty routing table.
    #[must_use]
    pub fn new(keys: Arc<ArcSwap<FleetKeys>>) -> Self {
        Self {
            keys,
            table: ArcSwap::default(),
            received: AtomicU64::new(0),
            shutdown: AtomicBool::new(false),
        }
    }
}

/// Addressing of the packet path: how datagrams arrive and leave.
#[derive(Clone, Debug)]
pub struct ForwardPath {
    /// How callers' datagrams arrive.
    pub ingress: PacketIngress,
    /// How frames reach agents: directly or through a gateway.
    pub path: DatagramPath,
    /// Control address of this process, the source of its frames.
    pub control: AgentAddress,
}

/// Forwards packets on one thread.
pub struct PacketForwarder {
    state: Arc<ForwardState>,
    path: ForwardPath,
    receiving: ReceiveBatch,
    sending: SendBatch,
    error_queue: ErrorQueueReader,
    counts: PacketCounts,
    metrics: PacketMetrics,
    log: DecisionLog,
}

impl PacketForwarder {
    /// Creates a forwarder and allocates its buffers.
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
            receiving: ReceiveBatch::new(),
            sending: SendBatch::new(),
            error_queue: ErrorQueueReader::new(),
            counts: PacketCounts::default(),
            metrics,
            log: DecisionLog::new(log),
        }
    }

    /// Forwards packets until `shutdown` is set. `listen` must have a read timeout, which bounds
    /// the delay until the flag is seen.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the socket can no longer be read.
    pub fn run(&mut self, listen: &UdpSocket, out: &UdpSocket) -> io::Result<()> {
        // Behind a gateway, ICMP errors would come from the gateway's host only.
        let direct = self.path.path.gateway().is_none();
        if direct {
            enable_error_queue(out)?;
        }
        while !self.state.shutdown.load(Ordering::Relaxed) {
            let count = self.receiving.receive_available(listen)?;
            self.forward_batch(count, out);
            // On a busy socket a failed send reveals a queued ICMP error; on an idle one the queue
            // is polled.
            if direct && (count == 0 || self.sending.take_icmp_error()) {
                self.reroute_returned(out);
            }
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
        if count < BATCH_DATAGRAMS || self.counts.total() >= FLUSH_THRESHOLD_PACKETS {
            self.counts.flush(&self.metrics);
        }
    }

    /// Reads returned datagrams and sends each to another agent, which resets its flow.
    fn reroute_returned(&mut self, out: &UdpSocket) {
        while self.sending.len() < BATCH_DATAGRAMS {
            let returned = match self.error_queue.read(out) {
                Ok(Some(returned)) => returned,
                Ok(None) => continue,
                Err(_) => break,
            };
            let keys = self.state.keys.load();
            let table = self.state.table.load();
            let mut processor = PacketProcessor {
                path: &self.path,
                router: &FlowRouter::with_keys(&keys),
                keys: &keys,
                table: &table,
                sending: &mut self.sending,
                log: &mut self.log,
                now: Instant::now(),
            };
            if let Some(outcome) = processor.reroute(&returned) {
                self.counts.add(outcome);
            }
        }
        if !self.sending.is_empty() {
            let refused = self.sending.send(out);
            self.counts.add_many(PacketOutcome::NotSent, refused as u64);
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
        let mut processor = PacketProcessor {
            path: &self.path,
            router: &FlowRouter::with_keys(&keys),
            keys: &keys,
            table: &table,
            sending: &mut self.sending,
            log: &mut self.log,
            now,
        };
        for index in 0..count {
            let received = self.receiving.datagram(index);
            let outcome = match processor.path.ingress.read(&received) {
                Ok((origin, datagram)) => processor.forward(origin, datagram),
                Err(error) => processor.refuse(PacketOutcome::from(&error), None, &error),
            };
            self.counts.add(outcome);
        }
    }
}
