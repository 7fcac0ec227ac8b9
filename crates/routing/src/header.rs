//! Parses the version-independent part of a QUIC packet header (RFC 8999) and the packet type of a
//! version 1 long header (RFC 9000, section 17.2).
//!
//! ```text
//! long:  1ttxxxxx | version 4 | DCID length 1 | DCID 0..255 | SCID length 1 | SCID | ...
//! short: 0xxxxxxx | DCID, whose length is not encoded: here TOKEN_BYTES | ...
//! ```

use lovagelatch_keys::TOKEN_BYTES;
use thiserror::Error;

/// The version number of QUIC version 1 (RFC 9000).
pub const QUIC_VERSION_1: u32 = 1;

const LONG_FORM_BIT: u8 = 0x80;
const TYPE_SHIFT: u8 = 4;
const TYPE_MASK: u8 = 0x03;
const LENGTH_OFFSET: usize = 5;
const LONG_ID_OFFSET: usize = LENGTH_OFFSET + 1;
const SHORT_ID_OFFSET: usize = 1;

/// The maximum length of a connection ID in version 1, in bytes.
const MAX_ID_BYTES: usize = 20;

/// The kind of packet that a header belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeaderForm {
    /// A long header of type Initial, which may open a flow.
    Initial,
    /// A long header of type 0-RTT: early data of a flow, sent along with its Initial.
    ZeroRtt,
    /// A long header of type Handshake. Its sender has already received a packet from the agent.
    Handshake,
    /// A short header. Its sender has already received a packet from the agent.
    Short,
    /// A long header of another version. Only the agent can answer it, with a version negotiation
    /// packet.
    OtherVersion {
        /// The version number in the header.
        version: u32,
    },
}

/// Why a datagram does not start with a QUIC header that a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum HeaderError {
    /// The datagram ends inside the header.
    #[error("datagram ends inside its QUIC header")]
    Truncated,
    /// The connection ID is longer than version 1 allows.
    #[error("connection ID has {length} bytes, more than the {MAX_ID_BYTES} of QUIC version 1")]
    LongId {
        /// The length of the connection ID in bytes.
        length: u8,
    },
    /// The packet is a Retry or version negotiation packet, which only servers send.
    #[error("Retry or version negotiation packet, which only servers send")]
    ServerOnly,
}

/// The header of a datagram's first packet. All packets in a datagram have the same connection ID
/// (RFC 9000, section 12.2), so the first header routes the whole datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuicHeader<'a> {
    /// The kind of the datagram's first packet.
    pub form: HeaderForm,
    /// The destination connection ID.
    pub destination: &'a [u8],
}

impl<'a> QuicHeader<'a> {
    /// Parses the header at the start of a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`HeaderError`] when the header is truncated or invalid for a packet of a caller.
    pub fn parse(datagram: &'a [u8]) -> Result<Self, HeaderError> {
        let &first = datagram.first().ok_or(HeaderError::Truncated)?;
        if first & LONG_FORM_BIT == 0 {
            return Self::parse_short(datagram);
        }
        Self::parse_long(first, datagram)
    }

    fn parse_short(datagram: &'a [u8]) -> Result<Self, HeaderError> {
        let destination = datagram
            .get(SHORT_ID_OFFSET..SHORT_ID_OFFSET + TOKEN_BYTES)
            .ok_or(HeaderError::Truncated)?;
        Ok(Self {
            form: HeaderForm::Short,
            destination,
        })
    }

    fn parse_long(first: u8, datagram: &'a [u8]) -> Result<Self, HeaderError> {
        let &[_, v0, v1, v2, v3, length, ..] = datagram else {
            return Err(HeaderError::Truncated);
        };
        let version = u32::from_be_bytes([v0, v1, v2, v3]);
        let form = long_form(first, version)?;
        if form_is_version_1(form) && usize::from(length) > MAX_ID_BYTES {
            return Err(HeaderError::LongId { length });
        }
        let destination = datagram
            .get(LONG_ID_OFFSET..LONG_ID_OFFSET + usize::from(length))
            .ok_or(HeaderError::Truncated)?;
        Ok(Self { form, destination })
    }
}

fn long_form(first: u8, version: u32) -> Result<HeaderForm, HeaderError> {
    match version {
        // Version 0 identifies a version negotiation packet.
        0 => return Err(HeaderError::ServerOnly),
        QUIC_VERSION_1 => {}
        version => return Ok(HeaderForm::OtherVersion { version }),
    }
    match first >> TYPE_SHIFT & TYPE_MASK {
        0 => Ok(HeaderForm::Initial),
        1 => Ok(HeaderForm::ZeroRtt),
        2 => Ok(HeaderForm::Handshake),
        _ => Err(HeaderError::ServerOnly),
    }
}

fn form_is_version_1(form: HeaderForm) -> bool {
    !matches!(form, HeaderForm::OtherVersion { .. })
}
