//! PROXY protocol version 2 headers for IPv4, written without allocation.

use std::net::{Ipv4Addr, SocketAddrV4};

use ppp::v2::{Addresses, Header, ParseError};
use thiserror::Error;

/// Size in bytes of the header before an IPv4 datagram or stream.
pub const HEADER_BYTES: usize = 28;

/// The signature, then version 2 with the command PROXY.
const PREFIX: [u8; 13] = *b"\r\n\r\n\0\r\nQUIT\n\x21";
const FAMILY_UDP_IPV4: u8 = 0x12;
const FAMILY_TCP_IPV4: u8 = 0x11;
const ADDRESS_BYTES: u16 = 12;

/// Source and destination of a packet or stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PacketEnds {
    /// The address that the receiver sees as the sender.
    pub source: SocketAddrV4,
    /// The final destination, behind any gateway.
    pub destination: SocketAddrV4,
}

/// Why a header was rejected.
#[derive(Debug, PartialEq, Error)]
pub enum HeaderError {
    /// The bytes are not a PROXY version 2 header, or the header is truncated.
    #[error("invalid PROXY header: {0}")]
    Invalid(#[from] ParseError),
    /// The header carries no IPv4 addresses.
    #[error("PROXY header without IPv4 addresses")]
    NotIpv4,
}

/// Writes the header for a datagram.
#[must_use]
pub fn write_header(ends: &PacketEnds) -> [u8; HEADER_BYTES] {
    write_family(ends, FAMILY_UDP_IPV4)
}

/// Writes the header for the start of a TCP stream.
pub(crate) fn write_stream_header(ends: &PacketEnds) -> [u8; HEADER_BYTES] {
    write_family(ends, FAMILY_TCP_IPV4)
}

fn write_family(ends: &PacketEnds, family: u8) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..13].copy_from_slice(&PREFIX);
    header[13] = family;
    header[14..16].copy_from_slice(&ADDRESS_BYTES.to_be_bytes());
    header[16..20].copy_from_slice(&ends.source.ip().octets());
    header[20..24].copy_from_slice(&ends.destination.ip().octets());
    header[24..26].copy_from_slice(&ends.source.port().to_be_bytes());
    header[26..28].copy_from_slice(&ends.destination.port().to_be_bytes());
    header
}

/// Splits a datagram into the addresses of its header and the payload.
///
/// # Errors
///
/// Returns a [`HeaderError`] if the datagram does not start with an IPv4 header.
pub fn parse_header(datagram: &[u8]) -> Result<(PacketEnds, &[u8]), HeaderError> {
    let header = Header::try_from(datagram)?;
    let Addresses::IPv4(addresses) = &header.addresses else {
        return Err(HeaderError::NotIpv4);
    };
    let ends = PacketEnds {
        source: to_socket(addresses.source_address, addresses.source_port),
        destination: to_socket(addresses.destination_address, addresses.destination_port),
    };
    let length = header.len();
    Ok((ends, &datagram[length..]))
}

fn to_socket(address: Ipv4Addr, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(address, port)
}
