//! Receives callers' datagrams at the service addresses and distributes them over the balancers.

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

/// Size of the receive buffer: the largest UDP datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Requested size of the socket buffers. The kernel may grant less.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// Interval at which a receiving thread checks whether its socket is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// The socket of one service address.
pub(crate) struct ServiceSocket {
    pub(crate) address: SocketAddrV4,
    pub(crate) socket: Arc<UdpSocket>,
    closed: AtomicBool,
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

/// Applies a topology: binds new service addresses and closes those that are no longer listed.
pub(crate) fn apply_topology(state: &Arc<FabricState>, topology: FabricTopology) -> io::Result<()> {
    let mut services = state.services.lock();
    for &address in &topology.services {
        if services.contains_key(&address) {
            continue;
        }
        let service = Arc::new(ServiceSocket {
            address,
            socket: Arc::new(bind_socket(address)?),
            closed: AtomicBool::new(false),
        });
        spawn_receiver(state, &service)?;
        services.insert(address, service);
    }
    services.retain(|address, service| {
        let listed = topology.services.contains(address);
        service.closed.store(!listed, Ordering::Relaxed);
        listed
    });
    drop(services);
    state.set_topology(topology);
    Ok(())
}

fn spawn_receiver(state: &Arc<FabricState>, service: &Arc<ServiceSocket>) -> io::Result<()> {
    let (state, service) = (Arc::clone(state), Arc::clone(service));
    let thread = std::thread::Builder::new().name(format!("service-{}", service.address));
    thread.spawn(move || distribute_datagrams(&state, &service))?;
    Ok(())
}

fn distribute_datagrams(state: &FabricState, service: &ServiceSocket) {
    let mut rng = state.new_rng();
    let mut received = vec![0; MAX_DATAGRAM_BYTES];
    let mut sent = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    while !service.closed.load(Ordering::Relaxed) {
        // Skips timeouts and ICMP errors for earlier datagrams.
        let Ok((length, SocketAddr::V4(caller))) = service.socket.recv_from(&mut received) else {
            continue;
        };
        if service.closed.load(Ordering::Relaxed) {
            return;
        }
        state.counters.from_callers.increment();
        if !state.admit_packet(caller, service.address) {
            continue;
        }
        let ends = PacketEnds {
            source: caller,
            destination: service.address,
        };
        sent.clear();
        sent.extend_from_slice(&write_header(&ends));
        sent.extend_from_slice(&received[..length]);
        send_to_balancer(state, service, &sent, &mut rng);
    }
}

fn send_to_balancer(state: &FabricState, service: &ServiceSocket, bytes: &[u8], rng: &mut StdRng) {
    let topology = state.topology();
    if topology.balancers.is_empty() {
        state.counters.not_sent.increment();
        return;
    }
    let choice = rng.random_range(0..topology.balancers.len());
    state.counters.to_balancers.increment();
    let datagram = LinkDatagram {
        socket: &service.socket,
        destination: topology.balancers[choice],
        bytes,
    };
    state.transmit(topology.client_delay(), &datagram, rng);
}
