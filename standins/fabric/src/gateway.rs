//! The UDP gateway: forwards datagrams between processes and from agents to callers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use lovagelatch_network::{PacketEnds, parse_header};
use rand::rngs::StdRng;

use crate::ingress::MAX_DATAGRAM_BYTES;
use crate::state::{FabricState, LinkDatagram};

/// Forwards datagrams. Never returns.
pub(crate) fn forward_datagrams(state: &FabricState, socket: &Arc<UdpSocket>) {
    let mut rng = state.new_rng();
    let mut received = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // Skips timeouts and ICMP errors for earlier datagrams.
        let Ok((length, SocketAddr::V4(_))) = socket.recv_from(&mut received) else {
            continue;
        };
        match parse_header(&received[..length]) {
            Ok((ends, bytes)) => forward(state, socket, ends, bytes, &mut rng),
            Err(_) => state.counters.unreadable.increment(),
        }
    }
}

fn forward(
    state: &FabricState,
    socket: &Arc<UdpSocket>,
    ends: PacketEnds,
    bytes: &[u8],
    rng: &mut StdRng,
) {
    let service = state.services.lock().get(&ends.source).cloned();
    match service {
        Some(service) => {
            if !state.admit_packet(ends.destination, ends.source) {
                return;
            }
            state.counters.to_callers.increment();
            let datagram = LinkDatagram {
                socket: &service.socket,
                destination: ends.destination,
                bytes,
            };
            state.transmit(state.topology().client_delay(), &datagram, rng);
        }
        None => forward_to_process(state, socket, ends, bytes, rng),
    }
}

fn forward_to_process(
    state: &FabricState,
    socket: &Arc<UdpSocket>,
    ends: PacketEnds,
    bytes: &[u8],
    rng: &mut StdRng,
) {
    if state.is_cut(ends.source, ends.destination) {
        state.counters.cut.increment();
        return;
    }
    state.counters.between_processes.increment();
    let delay = state
        .topology()
        .delay_between(ends.source, ends.destination);
    let datagram = LinkDatagram {
        socket,
        destination: ends.destination,
        bytes,
    };
    state.transmit(delay, &datagram, rng);
}
