//! A caller's datagram on its way from a balancer to an agent.
//!
//! Every field of the header has a fixed width, so that the largest frame is as long as any:
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

/// The largest datagram of a caller that is forwarded, in bytes. With the frame around it and the
/// 28 bytes of a gateway's header before it, the packet just fits the 1,500 bytes of an ordinary
/// link.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const HEADER_BYTES: usize = 25;

/// What the agent needs to know about a forwarded datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardHeader {
    /// Who sent it; the agent answers there directly.
    pub caller: SocketAddrV4,
    /// The service address it was sent to; the agent answers from there.
    pub service_address: SocketAddrV4,
    /// The service that the balancer's view gives that address.
    pub service: ServiceId,
    /// The revision of that view.
    pub revision: ConfigRevision,
    /// How many agents have handed it on already. Invariant: at most 1, so no packet circles.
    pub hops: u8,
}

/// Appends a forward frame with the caller's datagram to `out`, without allocating when `out`
/// has room.
pub fn seal_forward(header: &ForwardHeader, datagram: &[u8], keys: &FleetKeys, out: &mut Vec<u8>) {
    seal_frame(FrameKind::Forward, keys, out, |out| {
        out.extend_from_slice(&header.to_bytes());
        out.extend_from_slice(datagram);
    });
}

/// Opens a forward frame; returns its header and the caller's datagram.
///
/// # Errors
///
/// A [`FrameError`] when it is not a genuine forward frame.
pub fn open_forward<'a>(
    bytes: &'a [u8],
    keys: &FleetKeys,
) -> Result<(ForwardHeader, &'a [u8]), FrameError> {
    let frame = open_frame(bytes, keys)?;
    if frame.kind != FrameKind::Forward {
        return Err(FrameError::UnknownKind {
            kind: frame.kind as u8,
        });
    }
    let (header, datagram) = frame
        .payload
        .split_first_chunk()
        .ok_or(FrameError::BadPayload)?;
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
