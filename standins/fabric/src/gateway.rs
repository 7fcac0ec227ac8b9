//! The gateway for datagrams: from process to process, and from agents to callers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use lovagelatch_network::{PacketEnds, parse_header};
use rand::rngs::StdRng;

use crate::entry::DATAGRAM_BYTES;
use crate::state::{FabricState, LinkDatagram};

/// Passes datagrams on, for ever.
pub(crate) fn pass_datagrams(state: &FabricState, socket: &Arc<UdpSocket>) {
    let mut rng = state.new_rng();
    let mut received = vec![0; DATAGRAM_BYTES];
    loop {
        // Timeouts and the network's answers to earlier datagrams say nothing here.
        let Ok((length, SocketAddr::V4(_))) = socket.recv_from(&mut received) else {
            continue;
        };
        match parse_header(&received[..length]) {
            Ok((ends, bytes)) => pass_on(state, socket, ends, bytes, &mut rng),
            Err(_) => state.counters.unreadable.add_one(),
        }
    }
}

fn pass_on(
    state: &FabricState,
    socket: &Arc<UdpSocket>,
    ends: PacketEnds,
    bytes: &[u8],
    rng: &mut StdRng,
) {
    let port = state.ports.lock().get(&ends.source).cloned();
    match port {
        Some(port) => {
            if !state.passes_flow(ends.destination, ends.source) {
                return;
            }
            state.counters.to_callers.add_one();
            let datagram = LinkDatagram {
                socket: &port.socket,
                destination: ends.destination,
                bytes,
            };
            state.transmit(state.topology().client_delay(), &datagram, rng);
        }
        None => pass_between(state, socket, ends, bytes, rng),
    }
}

fn pass_between(
    state: &FabricState,
    socket: &Arc<UdpSocket>,
    ends: PacketEnds,
    bytes: &[u8],
    rng: &mut StdRng,
) {
    if state.is_cut(ends.source, ends.destination) {
        state.counters.cut.add_one();
        return;
    }
    state.counters.between_processes.add_one();
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
