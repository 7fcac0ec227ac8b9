//! The frame around every message: version, kind, payload, and authentication tag.

use lovagelatch_keys::{FRAME_TAG_BYTES, FleetKeys, FrameTag, KeyGeneration};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The wire version of this build. Frames of other versions are rejected by this byte.
pub const WIRE_VERSION: u8 = 1;

const HEADER_BYTES: usize = 3;

/// Bytes that a frame adds to its payload.
pub const FRAME_OVERHEAD_BYTES: usize = HEADER_BYTES + FRAME_TAG_BYTES;

/// The largest frame on a TCP stream, in bytes. A longer length prefix ends the stream.
pub const MAX_STREAM_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// The kind of message in a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum FrameKind {
    /// A caller's datagram, forwarded from a balancer to an agent.
    Forward = 1,
    /// A membership message: heartbeat, gossip head, or suspicion.
    Membership = 2,
    /// A message about a request relayed between agents.
    Relay = 3,
    /// A message about once-only requests in a ledger.
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

/// Why a frame was rejected. Receivers count rejected frames and never answer them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is shorter than an empty one.
    #[error("frame of {length} bytes is truncated")]
    Truncated {
        /// Length of the received bytes.
        length: usize,
    },
    /// This build does not support the frame's wire version.
    #[error("frame of wire version {version} is not supported")]
    UnsupportedVersion {
        /// The version byte of the frame.
        version: u8,
    },
    /// The frame's kind is unknown, or not the one expected here.
    #[error("frame kind {kind} is unknown or not expected here")]
    UnexpectedKind {
        /// The kind byte of the frame.
        kind: u8,
    },
    /// The tag was not made with a valid fleet key, or the frame was altered.
    #[error("frame has an invalid authentication tag")]
    InvalidTag,
    /// The payload does not decode to a message of the frame's kind.
    #[error("frame payload does not decode")]
    InvalidPayload,
    /// The frame exceeds the limit of its transport.
    #[error("frame of {length} bytes exceeds the size limit")]
    TooLong {
        /// Length of the frame in bytes.
        length: usize,
    },
}

/// A frame whose tag has been verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedFrame<'a> {
    /// The kind of message in the payload.
    pub kind: FrameKind,
    /// The bytes between header and tag.
    pub payload: &'a [u8],
}

/// Appends a frame to `out`. The callback `write` appends the payload.
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

/// Verifies the frame that occupies all of `bytes`.
///
/// # Errors
///
/// Returns a [`FrameError`] if `bytes` is not a complete, authentic frame of this wire version.
pub fn open_frame<'a>(bytes: &'a [u8], keys: &FleetKeys) -> Result<OpenedFrame<'a>, FrameError> {
    if bytes.len() < FRAME_OVERHEAD_BYTES {
        return Err(FrameError::Truncated {
            length: bytes.len(),
        });
    }
    let (body, tag) = bytes.split_at(bytes.len() - FRAME_TAG_BYTES);
    let version = body[0];
    if version != WIRE_VERSION {
        return Err(FrameError::UnsupportedVersion { version });
    }
    let kind = FrameKind::from_byte(body[1]).ok_or(FrameError::UnexpectedKind { kind: body[1] })?;
    let tag: &FrameTag = tag.try_into().map_err(|_| FrameError::InvalidTag)?;
    if !keys.verify_frame(KeyGeneration(body[2]), &[body], tag) {
        return Err(FrameError::InvalidTag);
    }
    Ok(OpenedFrame {
        kind,
        payload: &body[HEADER_BYTES..],
    })
}

/// Builds a frame whose payload is exactly one message.
#[must_use]
pub fn seal_message<M: Serialize>(kind: FrameKind, message: &M, keys: &FleetKeys) -> Vec<u8> {
    let mut frame = Vec::with_capacity(128);
    seal_frame(kind, keys, &mut frame, |out| {
        let payload =
            postcard::to_stdvec(message).expect("postcard can serialize every message type");
        out.extend_from_slice(&payload);
    });
    frame
}

/// Verifies a frame of the given kind and decodes its payload, which must be exactly one message.
///
/// # Errors
///
/// Returns a [`FrameError`] if the frame is not authentic or its payload does not decode.
pub fn open_message<M: DeserializeOwned>(
    kind: FrameKind,
    bytes: &[u8],
    keys: &FleetKeys,
) -> Result<M, FrameError> {
    let frame = open_frame(bytes, keys)?;
    if frame.kind != kind {
        return Err(FrameError::UnexpectedKind {
            kind: frame.kind as u8,
        });
    }
    let (message, rest) =
        postcard::take_from_bytes(frame.payload).map_err(|_| FrameError::InvalidPayload)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(FrameError::InvalidPayload)
    }
}
