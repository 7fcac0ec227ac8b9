//! Free ports.
//!
//! Settings name addresses before any process listens, so ports are chosen here. What goes
//! wrong: a port that was free when chosen is taken by another socket before its process
//! binds it. Ports are therefore taken from below the range that the operating system gives
//! to sockets without a wish of their own, and held bound until their process starts.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

use rand::Rng;

use crate::error::LocalError;

/// The ports that are tried.
const RANGE: std::ops::Range<u16> = 11_000..32_000;

/// How many are tried before giving up.
const TRIES: usize = 2_000;

/// Chooses ports and holds them.
#[derive(Debug)]
pub(crate) struct PortPool {
    next: u16,
    held: HashMap<SocketAddrV4, (TcpListener, UdpSocket)>,
}

impl PortPool {
    pub(crate) fn new() -> Self {
        Self {
            next: rand::rng().random_range(RANGE),
            held: HashMap::new(),
        }
    }

    /// A free port on an address, for TCP and UDP alike; held until it is released.
    pub(crate) fn reserve(&mut self, ip: Ipv4Addr) -> Result<SocketAddrV4, LocalError> {
        for _ in 0..TRIES {
            let address = SocketAddrV4::new(ip, self.next);
            self.next = if self.next + 1 < RANGE.end {
                self.next + 1
            } else {
                RANGE.start
            };
            let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) else {
                continue;
            };
            self.held.insert(address, (tcp, udp));
            return Ok(address);
        }
        Err(LocalError::NoPort(ip))
    }

    /// Lets go of a port, right before its process starts.
    pub(crate) fn release(&mut self, address: SocketAddrV4) {
        self.held.remove(&address);
    }
}
