//! Throughput of one packet thread, compared with a bare relay that uses the same batches.
//!
//! `cargo bench -p lovagelatch-balancer --bench forwarding`
//!
//! ```text
//! sender --1,200-byte datagrams, at full speed--> relay or packet thread --> counting sink
//! ```
//!
//! The two run alternately in one process over loopback, with one thread each. The relay copies
//! datagrams from one batch to the other and makes no decisions. Datagrams in excess of a thread's
//! capacity are dropped by its socket's buffer, so the sink measures the thread's full rate.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use lovagelatch_balancer::{
    ForwardPath, ForwardState, PacketForwarder, PacketIngress, PacketMetrics,
};
use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, KeySecret};
use lovagelatch_network::{
    BATCH_DATAGRAMS, DatagramPath, PacketEnds, ReceiveBatch, SendBatch, write_header,
};
use lovagelatch_routing::{RingTarget, RoutingTable, TableBuilder};
use lovagelatch_settings::IngressKind;
use lovagelatch_telemetry::{Logger, MetricsRegistry, o};
use socket2::{Domain, Protocol, Socket, Type};

const SERVICE: ServiceId = ServiceId(7);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4433);
const DATAGRAM_BYTES: usize = 1_200;
/// Number of different flows, sent round-robin.
const FLOWS: usize = 1_024;
const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_millis(1_500);
const WARM_UP_DURATION: Duration = Duration::from_millis(200);
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 4 * 1024 * 1024;

fn bind() -> UdpSocket {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP)).expect("a socket");
    socket
        .set_recv_buffer_size(BUFFER_BYTES)
        .expect("a buffer size");
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a read timeout");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("a free port");
    socket.into()
}

fn address(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

fn keys() -> FleetKeys {
    let secret = KeySecret::from_bytes(KeyGeneration(1), [1; 32]);
    FleetKeys::new(&[secret]).expect("one key")
}

/// Returns datagrams of open flows as the fabric delivers them; the tokens name the sink as the
/// agent.
fn open_flows(agent: AgentAddress, keys: &FleetKeys) -> Vec<Vec<u8>> {
    let ends = PacketEnds {
        source: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 40_000),
        destination: SERVICE_ADDRESS,
    };
    let datagram = |serial| {
        let token = FlowToken {
            agent,
            service: SERVICE,
            serial,
        };
        let mut datagram = write_header(&ends).to_vec();
        let start = datagram.len();
        datagram.push(0x40);
        datagram.extend_from_slice(&token.seal(keys));
        datagram.resize(start + DATAGRAM_BYTES, 7);
        datagram
    };
    (0..FLOWS as u64).map(datagram).collect()
}

fn table(agent: AgentAddress) -> RoutingTable {
    let target = RingTarget {
        agent,
        slots: 3,
        standing: lovagelatch_membership::TargetStanding::Live,
    };
    TableBuilder::new(ConfigRevision(1), &RoutingTable::default())
        .with_service(SERVICE, [SERVICE_ADDRESS], &[target])
        .build()
}

/// Sends datagrams until `ended` is set.
fn start_sender(
    to: SocketAddrV4,
    datagrams: Vec<Vec<u8>>,
    ended: Arc<AtomicBool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let socket = bind();
        let mut batch = SendBatch::new();
        let mut next = 0;
        while !ended.load(Ordering::Relaxed) {
            for _ in 0..BATCH_DATAGRAMS {
                let datagram = &datagrams[next % datagrams.len()];
                next += 1;
                batch.push(to, |out| {
                    out.clear();
                    out.extend_from_slice(datagram);
                });
            }
            batch.send(&socket);
        }
    })
}

/// Counts received datagrams until `ended` is set.
fn start_sink(socket: UdpSocket, count: Arc<AtomicU64>, ended: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut batch = ReceiveBatch::new();
        while !ended.load(Ordering::Relaxed) {
            if let Ok(received) = batch.receive(&socket) {
                count.fetch_add(received as u64, Ordering::Relaxed);
            }
        }
    })
}

fn relay(listen: &UdpSocket, out: &UdpSocket, to: SocketAddrV4, ended: &AtomicBool) {
    let (mut receiving, mut sending) = (ReceiveBatch::new(), SendBatch::new());
    while !ended.load(Ordering::Relaxed) {
        let count = receiving.receive(listen).unwrap_or(0);
        for index in 0..count {
            let bytes = receiving.datagram(index).bytes;
            sending.push(to, |out| {
                out.clear();
                out.extend_from_slice(bytes);
            });
        }
        if !sending.is_empty() {
            sending.send(out);
        }
    }
}

fn forward(listen: &UdpSocket, out: &UdpSocket, agent: AgentAddress, ended: &Arc<AtomicBool>) {
    let state = Arc::new(ForwardState::new(Arc::new(ArcSwap::from_pointee(keys()))));
    state.table.store(Arc::new(table(agent)));
    let path = ForwardPath {
        ingress: PacketIngress::new(IngressKind::ProxyV2, address(listen)),
        path: DatagramPath::new(None),
        control: AgentAddress(address(out)),
    };
    let metrics = MetricsRegistry::new().expect("a registry");
    let metrics = PacketMetrics::new(&metrics.meter());
    let log = Logger::root(slog::Discard, o!());
    let watched = (Arc::clone(&state), Arc::clone(ended));
    let watcher = std::thread::spawn(move || {
        while !watched.1.load(Ordering::Relaxed) {
            std::thread::sleep(RECEIVE_TIMEOUT);
        }
        watched.0.shutdown.store(true, Ordering::Relaxed);
    });
    let run: io::Result<()> = PacketForwarder::new(state, path, metrics, log).run(listen, out);
    run.expect("loopback works");
    watcher.join().expect("the watcher ends");
}

#[derive(Clone, Copy, Debug)]
enum Subject {
    Relay,
    Balancer,
}

/// Measures the rate of datagrams that reach the sink, per second.
fn measure(subject: Subject) -> f64 {
    let ended = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let (sink, listen, out) = (bind(), bind(), bind());
    let agent = AgentAddress(address(&sink));
    let datagrams = open_flows(agent, &keys());
    let entry = address(&listen);
    let sink = start_sink(sink, Arc::clone(&count), Arc::clone(&ended));
    let flag = Arc::clone(&ended);
    let middle = std::thread::spawn(move || match subject {
        Subject::Relay => relay(&listen, &out, agent.0, &flag),
        Subject::Balancer => forward(&listen, &out, agent, &flag),
    });
    let sender = start_sender(entry, datagrams, Arc::clone(&ended));
    std::thread::sleep(WARM_UP_DURATION);
    let (start, before) = (Instant::now(), count.load(Ordering::Relaxed));
    std::thread::sleep(ROUND_DURATION);
    let (elapsed, after) = (start.elapsed(), count.load(Ordering::Relaxed));
    ended.store(true, Ordering::Relaxed);
    for thread in [sender, middle, sink] {
        thread.join().expect("the threads end");
    }
    (after - before) as f64 / elapsed.as_secs_f64()
}

fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates[rates.len() / 2]
}

fn main() {
    let (mut relayed, mut forwarded) = (Vec::new(), Vec::new());
    for round in 1..=ROUNDS {
        relayed.push(measure(Subject::Relay));
        forwarded.push(measure(Subject::Balancer));
        println!(
            "round {round}: bare relay {:.0}/s, balancer {:.0}/s",
            relayed[round - 1],
            forwarded[round - 1]
        );
    }
    let (relayed, forwarded) = (median(relayed), median(forwarded));
    println!(
        "median: bare relay {relayed:.0}/s, balancer {forwarded:.0}/s, relay over balancer {:.2}",
        relayed / forwarded
    );
}
