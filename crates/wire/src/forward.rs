//! A caller's datagram on its way from a balancer to an agent.

use std::net::SocketAddrV4;

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_keys::FleetKeys;
use serde::{Deserialize, Serialize};

use crate::frame::{FrameError, FrameKind, open_frame, seal_frame};

/// The largest datagram of a caller that is forwarded, in bytes. With the frame around it the
/// packet stays below the 1,500 bytes of an ordinary link.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// What the agent needs to know about a forwarded datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
        let mut encoded = [0; 48];
        let encoded = postcard::to_slice(header, &mut encoded).expect("the header fits 48 bytes");
        out.extend_from_slice(encoded);
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
    postcard::take_from_bytes(frame.payload).map_err(|_| FrameError::BadPayload)
}
