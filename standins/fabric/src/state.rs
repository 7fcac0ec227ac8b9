//! The state that all threads and tasks of the fabric share.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::counters::CounterSet;
use crate::delay::DelayQueue;
use crate::ingress::ServiceSocket;
use crate::link::draw_outcome;
use crate::settings::{FabricTopology, FaultPlan};

/// A caller's flow: the caller's address and the service address.
pub(crate) type CallerFlow = (SocketAddrV4, SocketAddrV4);

/// The flows seen so far and those that are silenced.
#[derive(Default)]
struct FlowTable {
    seen: HashSet<CallerFlow>,
    silenced: HashSet<CallerFlow>,
}

/// Topology, faults, flows and counters.
#[derive(Default)]
pub(crate) struct FabricState {
    seed: u64,
    next_seed: AtomicU64,
    topology: RwLock<Arc<FabricTopology>>,
    plan: RwLock<Arc<FaultPlan>>,
    flows: Mutex<FlowTable>,
    next_stream: AtomicU64,
    /// Streams with lower numbers are stalled.
    silent_below: AtomicU64,
    pub(crate) services: Mutex<HashMap<SocketAddrV4, Arc<ServiceSocket>>>,
    pub(crate) queue: DelayQueue,
    pub(crate) counters: CounterSet,
}

impl FabricState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Returns the random number generator of one more thread or task.
    pub(crate) fn new_rng(&self) -> StdRng {
        let number = self.next_seed.fetch_add(1, Ordering::Relaxed);
        StdRng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9).wrapping_add(number))
    }

    pub(crate) fn topology(&self) -> Arc<FabricTopology> {
        Arc::clone(&self.topology.read())
    }

    pub(crate) fn plan(&self) -> Arc<FaultPlan> {
        Arc::clone(&self.plan.read())
    }

    pub(crate) fn set_topology(&self, topology: FabricTopology) {
        *self.topology.write() = Arc::new(topology);
    }

    /// Applies a plan. Flows and streams are silenced by the first plan that sets the fault. A later
    /// plan that still has it does not silence flows and streams opened since.
    pub(crate) fn set_plan(&self, plan: FaultPlan) {
        let mut current = self.plan.write();
        let mut flows = self.flows.lock();
        match (current.silent_callers, plan.silent_callers) {
            (false, true) => flows.silenced = flows.seen.clone(),
            (_, false) => flows.silenced.clear(),
            (true, true) => {}
        }
        match (current.silent_streams, plan.silent_streams) {
            (false, true) => {
                let next = self.next_stream.load(Ordering::Relaxed);
                self.silent_below.store(next, Ordering::Relaxed);
            }
            (_, false) => self.silent_below.store(0, Ordering::Relaxed),
            (true, true) => {}
        }
        *current = Arc::new(plan);
    }

    /// Records a packet of a caller's flow. Returns `false` if the flow is silenced.
    pub(crate) fn admit_packet(&self, caller: SocketAddrV4, service: SocketAddrV4) -> bool {
        let mut flows = self.flows.lock();
        if flows.silenced.contains(&(caller, service)) {
            self.counters.silenced.increment();
            return false;
        }
        flows.seen.insert((caller, service));
        true
    }

    pub(crate) fn new_stream_number(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_silent_stream(&self, stream: u64) -> bool {
        stream < self.silent_below.load(Ordering::Relaxed)
    }

    /// Whether the link from one process to another is cut.
    pub(crate) fn is_cut(&self, source: SocketAddrV4, destination: SocketAddrV4) -> bool {
        let topology = self.topology();
        let zones = topology.zones_between(source, destination);
        zones.is_some_and(|(from, to)| self.plan().is_cut(from, to))
    }

    /// Sends a datagram over a link with the given delay, subject to the fault plan.
    pub(crate) fn transmit(&self, delay: Duration, datagram: &LinkDatagram<'_>, rng: &mut StdRng) {
        let outcome = draw_outcome(&self.plan(), delay, rng);
        match outcome.copies.len() {
            0 => self.counters.dropped.increment(),
            1 => {}
            _ => self.counters.duplicated.increment(),
        }
        if outcome.reordered {
            self.counters.reordered.increment();
        }
        for delay in outcome.copies {
            self.send_after(delay, datagram);
        }
    }

    fn send_after(&self, delay: Duration, datagram: &LinkDatagram<'_>) {
        let sent = if delay.is_zero() {
            let sent = datagram
                .socket
                .send_to(datagram.bytes, datagram.destination);
            sent.is_ok()
        } else {
            let bytes = datagram.bytes.to_vec();
            self.queue
                .push(delay, datagram.socket, datagram.destination, bytes)
        };
        if !sent {
            self.counters.not_sent.increment();
        }
    }
}

/// A datagram to send on a link.
pub(crate) struct LinkDatagram<'a> {
    pub(crate) socket: &'a Arc<UdpSocket>,
    pub(crate) destination: SocketAddrV4,
    pub(crate) bytes: &'a [u8],
}
