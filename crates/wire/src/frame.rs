//! The envelope of every message: version, kind, payload, tag.

use lovagelatch_keys::{FRAME_TAG_BYTES, FleetKeys, FrameTag, KeyGeneration};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The version this build speaks. A frame of another version is refused by its number.
pub const WIRE_VERSION: u8 = 1;

const HEADER_BYTES: usize = 3;

/// What a frame adds to its payload, in bytes.
pub const FRAME_OVERHEAD_BYTES: usize = HEADER_BYTES + FRAME_TAG_BYTES;

/// The largest frame on a TCP stream, in bytes; a longer length prefix ends the stream.
pub const MAX_STREAM_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// What a frame carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum FrameKind {
    /// A caller's datagram on its way from a balancer to an agent.
    Forward = 1,
    /// A message of membership: heartbeat, gossip head, suspicion.
    Membership = 2,
    /// A message about a request relayed between agents.
    Relay = 3,
    /// A message about the once-only requests of a ledger.
    Ledger = 4,
}

impl FrameKind {
    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Forward),
            2 => Some(Self::Membership),
            3 => Some(Self::Relay),
            4 => Some(Self::Ledger),
            _ => None,
        }
    }
}

/// Why a frame was refused. Each is counted by whoever receives frames; none is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Shorter than an empty frame.
    #[error("frame of {length} bytes is truncated")]
    Truncated {
        /// Its length in bytes.
        length: usize,
    },
    /// Of a wire version that this build does not speak.
    #[error("frame of wire version {version}")]
    UnknownVersion {
        /// The version it names.
        version: u8,
    },
    /// Of a kind that this build does not know.
    #[error("frame of unknown kind {kind}")]
    UnknownKind {
        /// The kind it names.
        kind: u8,
    },
    /// Its tag was not made with a valid fleet key.
    #[error("frame with a wrong tag")]
    Forged,
    /// Its payload is not a message of its kind.
    #[error("frame with an unreadable payload")]
    BadPayload,
    /// Longer than its transport allows.
    #[error("frame of {length} bytes is too long")]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
}

/// A frame whose tag was found right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedFrame<'a> {
    /// What it carries.
    pub kind: FrameKind,
    /// Its payload.
    pub payload: &'a [u8],
}

/// Appends a frame to `out`; `write` appends the payload.
pub fn seal_frame(
    kind: FrameKind,
    keys: &FleetKeys,
    out: &mut Vec<u8>,
    write: impl FnOnce(&mut Vec<u8>),
) {
    let start = out.len();
    out.extend_from_slice(&[WIRE_VERSION, kind as u8, keys.current_generation().0]);
    write(out);
    let (_, tag) = keys.tag_frame(&[&out[start..]]);
    out.extend_from_slice(&tag);
}

/// Opens the frame that fills `bytes`.
///
/// # Errors
///
/// A [`FrameError`] when it is not a whole, genuine frame of this wire version.
pub fn open_frame<'a>(bytes: &'a [u8], keys: &FleetKeys) -> Result<OpenedFrame<'a>, FrameError> {
    if bytes.len() < FRAME_OVERHEAD_BYTES {
        return Err(FrameError::Truncated {
            length: bytes.len(),
        });
    }
    let (body, tag) = bytes.split_at(bytes.len() - FRAME_TAG_BYTES);
    let version = body[0];
    if version != WIRE_VERSION {
        return Err(FrameError::UnknownVersion { version });
    }
    let kind = FrameKind::from_byte(body[1]).ok_or(FrameError::UnknownKind { kind: body[1] })?;
    let tag: &FrameTag = tag.try_into().map_err(|_| FrameError::Forged)?;
    if !keys.verify_frame(KeyGeneration(body[2]), &[body], tag) {
        return Err(FrameError::Forged);
    }
    Ok(OpenedFrame {
        kind,
        payload: &body[HEADER_BYTES..],
    })
}

/// Makes a frame whose whole payload is one message.
#[must_use]
pub fn seal_message<M: Serialize>(kind: FrameKind, message: &M, keys: &FleetKeys) -> Vec<u8> {
    let mut frame = Vec::with_capacity(128);
    seal_frame(kind, keys, &mut frame, |out| {
        let payload = postcard::to_stdvec(message).expect("messages hold nothing postcard refuses");
        out.extend_from_slice(&payload);
    });
    frame
}

/// Opens a frame whose whole payload is one message of the given kind.
///
/// # Errors
///
/// A [`FrameError`] when the frame or its payload is not genuine.
pub fn open_message<M: DeserializeOwned>(
    kind: FrameKind,
    bytes: &[u8],
    keys: &FleetKeys,
) -> Result<M, FrameError> {
    let frame = open_frame(bytes, keys)?;
    if frame.kind != kind {
        return Err(FrameError::UnknownKind {
            kind: frame.kind as u8,
        });
    }
    let (message, rest) =
        postcard::take_from_bytes(frame.payload).map_err(|_| FrameError::BadPayload)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(FrameError::BadPayload)
    }
}
