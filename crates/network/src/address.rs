//! Conversion between [`SocketAddrV4`] and the `sockaddr_in` of system calls.

use std::mem;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Returns an unspecified address for a system call to overwrite.
#[must_use]
pub fn empty_sockaddr() -> libc::sockaddr_in {
    to_sockaddr(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0))
}

/// Returns the size of a `sockaddr_in` in bytes.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn sockaddr_length() -> libc::socklen_t {
    mem::size_of::<libc::sockaddr_in>() as libc::socklen_t
}

pub(crate) fn to_sockaddr(address: SocketAddrV4) -> libc::sockaddr_in {
    libc::sockaddr_in {
        sin_family: libc::AF_INET as libc::sa_family_t,
        sin_port: address.port().to_be(),
        sin_addr: libc::in_addr {
            s_addr: u32::from_ne_bytes(address.ip().octets()),
        },
        sin_zero: [0; 8],
    }
}

/// Converts an address that a system call filled in.
#[must_use]
pub fn from_sockaddr(address: &libc::sockaddr_in) -> SocketAddrV4 {
    let ip = Ipv4Addr::from(address.sin_addr.s_addr.to_ne_bytes());
    SocketAddrV4::new(ip, u16::from_be(address.sin_port))
}
