//! Test rig: a packet thread between two sockets of the test.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use lovagelatch_balancer::{
    ForwardPath, ForwardState, PacketForwarder, PacketIngress, PacketMetrics,
};
use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, KeySecret};
use lovagelatch_membership::TargetStanding;
use lovagelatch_network::{DatagramPath, PacketEnds, enable_destination_info, write_header};
use lovagelatch_routing::{RingTarget, RoutingTable, TableBuilder};
use lovagelatch_settings::IngressKind;
use lovagelatch_telemetry::{Logger, MetricsRegistry, o};
use lovagelatch_wire::{ForwardHeader, open_forward};

pub(crate) const CLAIMS: ServiceId = ServiceId(11);
pub(crate) const MAPS: ServiceId = ServiceId(22);
pub(crate) const CLAIMS_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4433);
pub(crate) const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, 1), 50_000);

/// Timeout for an expected datagram; far longer than loopback needs.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn secret(generation: u8) -> KeySecret {
    KeySecret::from_bytes(KeyGeneration(generation), [generation; 32])
}

/// Returns a key ring of these generations; the first is the current one.
pub(crate) fn ring(generations: &[u8]) -> FleetKeys {
    let secrets: Vec<KeySecret> = generations.iter().copied().map(secret).collect();
    FleetKeys::new(&secrets).expect("the generations make a ring")
}

pub(crate) fn bind() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let timeout = Some(Duration::from_millis(20));
    socket.set_read_timeout(timeout).expect("a read timeout");
    socket
}

pub(crate) fn address(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Returns a caller's datagram as the fabric delivers it, with a PROXY header.
pub(crate) fn proxied(service_address: SocketAddrV4, datagram: &[u8]) -> Vec<u8> {
    let ends = PacketEnds {
        source: CALLER,
        destination: service_address,
    };
    [&write_header(&ends)[..], datagram].concat()
}

pub(crate) fn initial(length: usize) -> Vec<u8> {
    let mut datagram = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8];
    datagram.resize(length.max(datagram.len()), 0);
    datagram
}

pub(crate) fn open_flow(agent: AgentAddress, service: ServiceId, keys: &FleetKeys) -> Vec<u8> {
    let token = FlowToken {
        agent,
        service,
        serial: 1,
    };
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&token.seal(keys));
    datagram.extend_from_slice(&[9; 40]);
    datagram
}

/// Waits for one datagram; returns `None` after a timeout.
pub(crate) fn receive(socket: &UdpSocket) -> Option<Vec<u8>> {
    let start = Instant::now();
    let mut buffer = [0; 4_096];
    while start.elapsed() < RECEIVE_TIMEOUT {
        if let Ok((length, _)) = socket.recv_from(&mut buffer) {
            return Some(buffer[..length].to_vec());
        }
    }
    None
}

/// Runs a packet thread; `sink` is the agent of the only target.
pub(crate) struct ForwardRig {
    pub(crate) state: Arc<ForwardState>,
    pub(crate) sink: UdpSocket,
    pub(crate) entry: SocketAddrV4,
    caller: UdpSocket,
    metrics: PacketMetrics,
    thread: Option<JoinHandle<()>>,
}

impl ForwardRig {
    pub(crate) fn new(ingress: IngressKind) -> Self {
        let (sink, listen, caller) = (bind(), bind(), bind());
        let entry = address(&listen);
        if ingress == IngressKind::Direct {
            enable_destination_info(&listen).expect("supported");
        }
        let keys = Arc::new(ArcSwap::from_pointee(ring(&[1])));
        let state = Arc::new(ForwardState::new(keys));
        let registry = MetricsRegistry::new().expect("a registry");
        let metrics = PacketMetrics::new(&registry.meter());
        let path = ForwardPath {
            ingress: PacketIngress::new(ingress, entry),
            path: DatagramPath::new(None),
            control: AgentAddress(entry),
        };
        let (shared, counted) = (Arc::clone(&state), metrics.clone());
        let thread = std::thread::spawn(move || {
            let log = Logger::root(slog::Discard, o!());
            let mut forwarder = PacketForwarder::new(shared, path, counted, log);
            forwarder.run(&listen, &bind()).expect("loopback works");
        });
        let rig = Self {
            state,
            sink,
            entry,
            caller,
            metrics,
            thread: Some(thread),
        };
        rig.set_table(CLAIMS_ADDRESS);
        rig
    }

    pub(crate) fn agent(&self) -> AgentAddress {
        AgentAddress(address(&self.sink))
    }

    /// Sets a routing table in which claims has this address and the sink as its only agent.
    pub(crate) fn set_table(&self, service_address: SocketAddrV4) {
        self.set_targets(service_address, &[self.agent()]);
    }

    /// Sets a routing table in which claims has this address and these agents.
    pub(crate) fn set_targets(&self, service_address: SocketAddrV4, agents: &[AgentAddress]) {
        let target = |&agent: &AgentAddress| RingTarget {
            agent,
            slots: 3,
            standing: TargetStanding::Live,
        };
        let targets: Vec<RingTarget> = agents.iter().map(target).collect();
        let table = TableBuilder::new(ConfigRevision(5), &RoutingTable::default())
            .with_service(CLAIMS, [service_address], &targets)
            .build();
        self.state.table.store(Arc::new(table));
    }

    pub(crate) fn send(&self, bytes: &[u8]) {
        self.caller.send_to(bytes, self.entry).expect("sent");
    }

    /// Waits for a forwarded datagram and opens it.
    pub(crate) fn forwarded(&self) -> Option<(ForwardHeader, Vec<u8>)> {
        let frame = receive(&self.sink)?;
        let (header, datagram) = open_forward(&frame, &ring(&[1, 2])).expect("a genuine frame");
        Some((header, datagram.to_vec()))
    }

    /// Stops the thread and returns its non-zero counts.
    pub(crate) fn finish(mut self) -> BTreeMap<String, u64> {
        self.state.shutdown.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
        let mut totals = self.metrics.totals();
        totals.retain(|_, count| *count > 0);
        totals
    }
}
