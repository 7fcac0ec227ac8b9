//! Allocation of free ports.
//!
//! Settings contain addresses before any process listens, so ports are allocated in advance.
//! Another socket could then take a port before its process binds it. Ports are therefore
//! allocated below the ephemeral range of the operating system, and kept bound until their
//! process starts.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

use rand::Rng;

use crate::error::LocalError;

/// Ports that are tried, below the ephemeral range.
const PORT_RANGE: std::ops::Range<u16> = 11_000..32_000;

/// Ports tried per allocation.
const MAX_TRIES: usize = 2_000;

/// Allocates ports and keeps them bound.
#[derive(Debug)]
pub(crate) struct PortPool {
    next: u16,
    held: HashMap<SocketAddrV4, (TcpListener, UdpSocket)>,
}

impl PortPool {
    pub(crate) fn new() -> Self {
        Self {
            next: rand::rng().random_range(PORT_RANGE),
            held: HashMap::new(),
        }
    }

    /// Reserves a port that is free for both TCP and UDP, and keeps it bound until it is released.
    pub(crate) fn reserve(&mut self, ip: Ipv4Addr) -> Result<SocketAddrV4, LocalError> {
        for _ in 0..MAX_TRIES {
            let address = SocketAddrV4::new(ip, self.next);
            self.next = if self.next + 1 < PORT_RANGE.end {
                self.next + 1
            } else {
                PORT_RANGE.start
            };
            let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) else {
                continue;
            };
            self.held.insert(address, (tcp, udp));
            return Ok(address);
        }
        Err(LocalError::NoPort(ip))
    }

    /// Releases a port, immediately before its process starts.
    pub(crate) fn release(&mut self, address: SocketAddrV4) {
        self.held.remove(&address);
    }
}
