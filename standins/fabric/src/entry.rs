//! Service addresses: callers' datagrams come in here and are sprayed over the balancers.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lovagelatch_network::{PacketEnds, write_header};
use rand::Rng;
use rand::rngs::StdRng;
use socket2::{Domain, Protocol, Socket, Type};

use crate::settings::FabricTopology;
use crate::state::{FabricState, LinkDatagram};

/// Room for one datagram, in bytes.
pub(crate) const DATAGRAM_BYTES: usize = 64 * 1024;

/// Asked-for kernel buffers, in bytes; the kernel gives what its limits allow.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// How late the end of a thread may be seen.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// One bound service address.
pub(crate) struct ServicePort {
    pub(crate) address: SocketAddrV4,
    pub(crate) socket: Arc<UdpSocket>,
    ended: AtomicBool,
}

/// Binds a UDP socket with large buffers and a read timeout.
pub(crate) fn bind_socket(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    socket.bind(&SocketAddr::V4(address).into())?;
    Ok(socket.into())
}

/// Puts a topology into force: binds new service addresses, gives up those no longer listed.
pub(crate) fn apply_topology(state: &Arc<FabricState>, topology: FabricTopology) -> io::Result<()> {
    let mut ports = state.ports.lock();
    for &address in &topology.services {
        if ports.contains_key(&address) {
            continue;
        }
        let port = Arc::new(ServicePort {
            address,
            socket: Arc::new(bind_socket(address)?),
            ended: AtomicBool::new(false),
        });
        start_port(state, &port)?;
        ports.insert(address, port);
    }
    ports.retain(|address, port| {
        let listed = topology.services.contains(address);
        port.ended.store(!listed, Ordering::Relaxed);
        listed
    });
    drop(ports);
    state.set_topology(topology);
    Ok(())
}

fn start_port(state: &Arc<FabricState>, port: &Arc<ServicePort>) -> io::Result<()> {
    let (state, port) = (Arc::clone(state), Arc::clone(port));
    let thread = std::thread::Builder::new().name(format!("service-{}", port.address));
    thread.spawn(move || spray(&state, &port))?;
    Ok(())
}

fn spray(state: &FabricState, port: &ServicePort) {
    let mut rng = state.new_rng();
    let mut received = vec![0; DATAGRAM_BYTES];
    let mut sent = Vec::with_capacity(DATAGRAM_BYTES);
    while !port.ended.load(Ordering::Relaxed) {
        // Timeouts and the network's answers to earlier datagrams say nothing here.
        let Ok((length, SocketAddr::V4(caller))) = port.socket.recv_from(&mut received) else {
            continue;
        };
        if port.ended.load(Ordering::Relaxed) {
            return;
        }
        state.counters.from_callers.add_one();
        if !state.passes_flow(caller, port.address) {
            continue;
        }
        let ends = PacketEnds {
            source: caller,
            destination: port.address,
        };
        sent.clear();
        sent.extend_from_slice(&write_header(&ends));
        sent.extend_from_slice(&received[..length]);
        hand_to_balancer(state, port, &sent, &mut rng);
    }
}

fn hand_to_balancer(state: &FabricState, port: &ServicePort, bytes: &[u8], rng: &mut StdRng) {
    let topology = state.topology();
    if topology.balancers.is_empty() {
        state.counters.not_sent.add_one();
        return;
    }
    let choice = rng.random_range(0..topology.balancers.len());
    state.counters.to_balancers.add_one();
    let datagram = LinkDatagram {
        socket: &port.socket,
        destination: topology.balancers[choice],
        bytes,
    };
    state.transmit(topology.client_delay(), &datagram, rng);
}
