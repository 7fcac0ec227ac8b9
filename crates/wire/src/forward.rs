//! Forward frames, which carry a caller's datagram from a balancer to an agent.
//!
//! Every header field has a fixed width, so the header length does not depend on the values:
//!
//! ```text
//! bytes 0..6    caller: address 4, port 2
//! bytes 6..12   service address: address 4, port 2
//! bytes 12..16  service
//! bytes 16..24  revision
//! byte  24      hops
//! bytes 25..    the caller's datagram
//! ```

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_keys::FleetKeys;

use crate::frame::{FrameError, FrameKind, open_frame, seal_frame};

/// The largest forwarded datagram of a caller, in bytes. With the frame overhead and the 28 bytes
/// of a gateway's header, the packet just fits into the 1,500-byte MTU of an ordinary link.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const HEADER_BYTES: usize = 25;

/// The header of a forwarded datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardHeader {
    /// The sender of the datagram; the agent answers to it directly.
    pub caller: SocketAddrV4,
    /// The service address that the datagram was sent to; the agent answers from it.
    pub service_address: SocketAddrV4,
    /// The service of that address in the balancer's view.
    pub service: ServiceId,
    /// The revision of that view.
    pub revision: ConfigRevision,
    /// How many agents have already forwarded the datagram. Invariant: at most 1, which prevents
    /// forwarding loops.
    pub hops: u8,
}

/// Appends a forward frame with the caller's datagram to `out`. Does not allocate if `out` has
/// enough capacity.
pub fn seal_forward(header: &ForwardHeader, datagram: &[u8], keys: &FleetKeys, out: &mut Vec<u8>) {
    seal_frame(FrameKind::Forward, keys, out, |out| {
        out.extend_from_slice(&header.to_bytes());
        out.extend_from_slice(datagram);
    });
}

/// Verifies a forward frame and returns its header and the caller's datagram.
///
/// # Errors
///
/// Returns a [`FrameError`] if `bytes` is not an authentic forward frame.
pub fn open_forward<'a>(
    bytes: &'a [u8],
    keys: &FleetKeys,
) -> Result<(ForwardHeader, &'a [u8]), FrameError> {
    let frame = open_frame(bytes, keys)?;
    if frame.kind != FrameKind::Forward {
        return Err(FrameError::UnexpectedKind {
            kind: frame.kind as u8,
        });
    }
    let (header, datagram) = frame
        .payload
        .split_first_chunk()
        .ok_or(FrameError::InvalidPayload)?;
    Ok((ForwardHeader::from_bytes(*header), datagram))
}

impl ForwardHeader {
    fn to_bytes(self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..6].copy_from_slice(&address_bytes(self.caller));
        bytes[6..12].copy_from_slice(&address_bytes(self.service_address));
        bytes[12..16].copy_from_slice(&self.service.0.to_be_bytes());
        bytes[16..24].copy_from_slice(&self.revision.0.to_be_bytes());
        bytes[24] = self.hops;
        bytes
    }

    fn from_bytes(bytes: [u8; HEADER_BYTES]) -> Self {
        let [c0, c1, c2, c3, c4, c5, a0, a1, a2, a3, a4, a5, rest @ ..] = bytes;
        let [s0, s1, s2, s3, r0, r1, r2, r3, r4, r5, r6, r7, hops] = rest;
        Self {
            caller: read_address([c0, c1, c2, c3, c4, c5]),
            service_address: read_address([a0, a1, a2, a3, a4, a5]),
            service: ServiceId(u32::from_be_bytes([s0, s1, s2, s3])),
            revision: ConfigRevision(u64::from_be_bytes([r0, r1, r2, r3, r4, r5, r6, r7])),
            hops,
        }
    }
}

fn address_bytes(address: SocketAddrV4) -> [u8; 6] {
    let [a, b, c, d] = address.ip().octets();
    let [high, low] = address.port().to_be_bytes();
    [a, b, c, d, high, low]
}

fn read_address([a, b, c, d, high, low]: [u8; 6]) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]))
}
