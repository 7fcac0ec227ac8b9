//! What all parts of the fabric share.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::counters::CounterCells;
use crate::delay::DelayQueue;
use crate::entry::ServicePort;
use crate::link::decide_fate;
use crate::settings::{FabricTopology, FaultPlan};

/// A caller's flow as the network sees it.
pub(crate) type CallerFlow = (SocketAddrV4, SocketAddrV4);

/// Flows seen, and those that went silent.
#[derive(Default)]
struct FlowMemory {
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
    flows: Mutex<FlowMemory>,
    next_stream: AtomicU64,
    /// Streams with a lower number are silent.
    silent_below: AtomicU64,
    pub(crate) ports: Mutex<HashMap<SocketAddrV4, Arc<ServicePort>>>,
    pub(crate) queue: DelayQueue,
    pub(crate) counters: CounterCells,
}

impl FabricState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// A source of randomness for one thread or task.
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

    /// Puts a plan into force. Flows and streams are silenced when the plan first says so, not
    /// again by a later plan that says so still.
    pub(crate) fn set_plan(&self, plan: FaultPlan) {
        let mut held = self.plan.write();
        let mut flows = self.flows.lock();
        match (held.silent_callers, plan.silent_callers) {
            (false, true) => flows.silenced = flows.seen.clone(),
            (_, false) => flows.silenced.clear(),
            (true, true) => {}
        }
        match (held.silent_streams, plan.silent_streams) {
            (false, true) => {
                let next = self.next_stream.load(Ordering::Relaxed);
                self.silent_below.store(next, Ordering::Relaxed);
            }
            (_, false) => self.silent_below.store(0, Ordering::Relaxed),
            (true, true) => {}
        }
        *held = Arc::new(plan);
    }

    /// Notes a packet of a caller's flow; `false` when the flow is silent.
    pub(crate) fn passes_flow(&self, caller: SocketAddrV4, service: SocketAddrV4) -> bool {
        let mut flows = self.flows.lock();
        if flows.silenced.contains(&(caller, service)) {
            self.counters.silenced.add_one();
            return false;
        }
        flows.seen.insert((caller, service));
        true
    }

    pub(crate) fn new_stream(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_silent_stream(&self, stream: u64) -> bool {
        stream < self.silent_below.load(Ordering::Relaxed)
    }

    /// Whether nothing passes from one process to another.
    pub(crate) fn is_cut(&self, source: SocketAddrV4, destination: SocketAddrV4) -> bool {
        let topology = self.topology();
        let zones = topology.zones_between(source, destination);
        zones.is_some_and(|(from, to)| self.plan().is_cut(from, to))
    }

    /// Sends a datagram over a link with this delay, as the faults allow.
    pub(crate) fn transmit(&self, delay: Duration, datagram: &LinkDatagram<'_>, rng: &mut StdRng) {
        let fate = decide_fate(&self.plan(), delay, rng);
        match fate.copies.len() {
            0 => self.counters.dropped.add_one(),
            1 => {}
            _ => self.counters.duplicated.add_one(),
        }
        if fate.reordered {
            self.counters.reordered.add_one();
        }
        for delay in fate.copies {
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
            self.counters.not_sent.add_one();
        }
    }
}

/// A datagram that is about to leave the fabric.
pub(crate) struct LinkDatagram<'a> {
    pub(crate) socket: &'a Arc<UdpSocket>,
    pub(crate) destination: SocketAddrV4,
    pub(crate) bytes: &'a [u8],
}
