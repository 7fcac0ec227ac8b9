//! The part of a QUIC packet header that every version keeps (RFC 8999), and the type of a
//! version 1 long header (RFC 9000, section 17.2).
//!
//! ```text
//! long:  1ttxxxxx | version 4 | DCID length 1 | DCID 0..255 | SCID length 1 | SCID | ...
//! short: 0xxxxxxx | DCID, whose length only its issuer knows: here TOKEN_BYTES | ...
//! ```

use lovagelatch_keys::TOKEN_BYTES;
use thiserror::Error;

/// QUIC version 1.
pub const QUIC_VERSION_1: u32 = 1;

const LONG_FORM_BIT: u8 = 0x80;
const TYPE_SHIFT: u8 = 4;
const TYPE_MASK: u8 = 0x03;
const LENGTH_OFFSET: usize = 5;
const LONG_ID_OFFSET: usize = LENGTH_OFFSET + 1;
const SHORT_ID_OFFSET: usize = 1;

/// The longest connection ID of version 1, in bytes.
const MAX_ID_BYTES: usize = 20;

/// What kind of packet a header starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeaderForm {
    /// A long header of type Initial: it may open a flow.
    Initial,
    /// A long header of type 0-RTT: early data of a flow whose Initial travels beside it.
    ZeroRtt,
    /// A long header of type Handshake: its sender has heard from the agent already.
    Handshake,
    /// A short header: its sender has heard from the agent already.
    Short,
    /// A long header of another version. Only the agent can answer it, with a version
    /// negotiation packet.
    OtherVersion {
        /// The version.
        version: u32,
    },
}

/// Why a datagram does not start with a header that a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum HeaderFault {
    /// It ends inside the header.
    #[error("the datagram ends inside its QUIC header")]
    Truncated,
    /// Its connection ID is longer than version 1 allows.
    #[error("a connection ID of {length} bytes")]
    LongId {
        /// Its length in bytes.
        length: u8,
    },
    /// It is a Retry or version negotiation packet, which only servers send.
    #[error("a packet that only servers send")]
    ServerOnly,
}

/// The header of a datagram's first packet. The packets of one datagram share their connection
/// ID (RFC 9000, section 12.2), so the first one routes the whole datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuicHeader<'a> {
    /// What kind of packet it starts.
    pub form: HeaderForm,
    /// The destination connection ID.
    pub destination: &'a [u8],
}

impl<'a> QuicHeader<'a> {
    /// Reads the header at the start of a datagram.
    ///
    /// # Errors
    ///
    /// A [`HeaderFault`] when no caller may send it.
    pub fn parse(datagram: &'a [u8]) -> Result<Self, HeaderFault> {
        let &first = datagram.first().ok_or(HeaderFault::Truncated)?;
        if first & LONG_FORM_BIT == 0 {
            return Self::parse_short(datagram);
        }
        Self::parse_long(first, datagram)
    }

    fn parse_short(datagram: &'a [u8]) -> Result<Self, HeaderFault> {
        let destination = datagram
            .get(SHORT_ID_OFFSET..SHORT_ID_OFFSET + TOKEN_BYTES)
            .ok_or(HeaderFault::Truncated)?;
        Ok(Self {
            form: HeaderForm::Short,
            destination,
        })
    }

    fn parse_long(first: u8, datagram: &'a [u8]) -> Result<Self, HeaderFault> {
        let &[_, v0, v1, v2, v3, length, ..] = datagram else {
            return Err(HeaderFault::Truncated);
        };
        let version = u32::from_be_bytes([v0, v1, v2, v3]);
        let form = long_form(first, version)?;
        if form_is_version_1(form) && usize::from(length) > MAX_ID_BYTES {
            return Err(HeaderFault::LongId { length });
        }
        let destination = datagram
            .get(LONG_ID_OFFSET..LONG_ID_OFFSET + usize::from(length))
            .ok_or(HeaderFault::Truncated)?;
        Ok(Self { form, destination })
    }
}

fn long_form(first: u8, version: u32) -> Result<HeaderForm, HeaderFault> {
    match version {
        // Version 0 marks a version negotiation packet.
        0 => return Err(HeaderFault::ServerOnly),
        QUIC_VERSION_1 => {}
        version => return Ok(HeaderForm::OtherVersion { version }),
    }
    match first >> TYPE_SHIFT & TYPE_MASK {
        0 => Ok(HeaderForm::Initial),
        1 => Ok(HeaderForm::ZeroRtt),
        2 => Ok(HeaderForm::Handshake),
        _ => Err(HeaderFault::ServerOnly),
    }
}

fn form_is_version_1(form: HeaderForm) -> bool {
    !matches!(form, HeaderForm::OtherVersion { .. })
}
