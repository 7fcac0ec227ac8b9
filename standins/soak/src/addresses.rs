//! Addresses on the loopback network. Each instance has an address of its own, and all instances
//! use the same ports, as on the users' platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Ports, the same on all instances.
pub(crate) const PACKETS_PORT: u16 = 18_172;
pub(crate) const FRAMES_PORT: u16 = 18_173;
pub(crate) const GOSSIP_PORT: u16 = 18_174;
pub(crate) const READY_PORT: u16 = 18_175;
pub(crate) const OPERATIONS_PORT: u16 = 18_176;
pub(crate) const APP_PORT: u16 = 18_177;
pub(crate) const OUTBOUND_PORT: u16 = 18_178;
pub(crate) const STORE_PORT: u16 = 18_179;

/// Number of networks that runs choose from, and the second address byte of the first one.
const NETWORK_COUNT: u8 = 200;
const FIRST_NETWORK: u8 = 20;

/// The addresses of one run. Concurrent runs use different networks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunNetwork(u8);

impl RunNetwork {
    /// Claims a network that no other run on this machine holds. Tries the networks in turn,
    /// starting at one derived from the process id, until `bind` can listen on the network's store
    /// address. The network stays claimed for as long as the value returned by `bind` is held.
    ///
    /// # Errors
    ///
    /// Returns the first error of `bind` other than [`io::ErrorKind::AddrInUse`], or that one if
    /// all networks are in use.
    pub fn claim<T>(mut bind: impl FnMut(SocketAddrV4) -> io::Result<T>) -> io::Result<(Self, T)> {
        let start = std::process::id() % u32::from(NETWORK_COUNT);
        let start = u8::try_from(start).unwrap_or(0);
        for number in (start..NETWORK_COUNT).chain(0..start) {
            let network = Self(FIRST_NETWORK + number);
            match bind(network.store()) {
                Ok(bound) => return Ok((network, bound)),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn ip(self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, group, number + 1)
    }

    pub(crate) fn balancer(self, number: u8) -> Ipv4Addr {
        self.ip(1, number)
    }

    pub(crate) fn machine(self, number: u8) -> Ipv4Addr {
        self.ip(2, number)
    }

    /// Returns the address of the proxy through which balancers reach a machine's agent.
    pub(crate) fn machine_proxy(self, number: u8) -> Ipv4Addr {
        self.ip(3, number)
    }

    pub(crate) fn client(self, number: u8) -> Ipv4Addr {
        self.ip(4, number)
    }

    /// Returns the address of a client that is active only in rushes.
    pub(crate) fn rush_client(self, number: u16) -> Ipv4Addr {
        let [low, high] = number.to_le_bytes();
        Ipv4Addr::new(127, self.0, 8 + high, low)
    }

    pub(crate) fn store(self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(5, 0), STORE_PORT)
    }

    /// Returns the address of the proxy through which a balancer reaches the store.
    pub(crate) fn store_proxy(self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(6, number), STORE_PORT)
    }

    /// Returns the service address of a route. Nothing listens on it.
    pub(crate) fn route(number: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_000 + number)
    }
}
