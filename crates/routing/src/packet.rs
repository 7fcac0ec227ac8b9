//! The parts of a caller's packet that the routing decision uses.

use std::net::SocketAddrV4;

use lovagelatch_keys::{FleetKeys, FlowToken, TokenError};
use thiserror::Error;

use crate::header::{HeaderError, HeaderForm, QuicHeader};

/// The minimum size of a datagram that may open a flow, in bytes (RFC 9000, section 14.1).
pub const MIN_INITIAL_BYTES: usize = 1_200;

/// The minimum length of the connection ID that a client chooses for its first packet, in bytes
/// (RFC 9000, section 7.2).
const MIN_CLIENT_ID_BYTES: usize = 8;

/// The parts of a packet that the routing decision uses, independent of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketView<'a> {
    /// The destination address that the caller sent the packet to.
    pub service_address: SocketAddrV4,
    /// Bytes that are the same in all packets of a flow that do not carry a token yet. For QUIC:
    /// the destination connection ID.
    pub flow_key: &'a [u8],
    /// The packet's flow token, if it carries a valid one.
    pub token: Option<FlowToken>,
}

/// Why a datagram cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The QUIC header is not one that a caller may send.
    #[error(transparent)]
    Header(#[from] HeaderError),
    /// The packet belongs to an open flow, but its connection ID is not a valid token.
    #[error(transparent)]
    Token(#[from] TokenError),
    /// The datagram is too small to open a flow. Answering it would allow amplification attacks
    /// with a spoofed source address.
    #[error("first datagram of a flow has {length} bytes, fewer than {MIN_INITIAL_BYTES}")]
    SmallInitial {
        /// The length of the datagram in bytes.
        length: usize,
    },
    /// The connection ID is too short to open a flow: it must be unpredictable.
    #[error("client-chosen connection ID has {length} bytes, fewer than {MIN_CLIENT_ID_BYTES}")]
    ShortId {
        /// The length of the connection ID in bytes.
        length: usize,
    },
}

impl<'a> PacketView<'a> {
    /// Parses a QUIC datagram that a caller sent to `service_address`.
    ///
    /// A client may choose a first connection ID that is as long as a token. It is treated as a
    /// token only if its tag verifies; otherwise it is an ordinary flow key. Packets of types that
    /// are sent only after the agent's first answer must carry a token.
    ///
    /// # Errors
    ///
    /// Returns a [`PacketError`] when the datagram cannot be routed.
    pub fn read(
        datagram: &'a [u8],
        service_address: SocketAddrV4,
        keys: &FleetKeys,
    ) -> Result<Self, PacketError> {
        let header = QuicHeader::parse(datagram)?;
        let token = FlowToken::open(header.destination, keys);
        if let Err(error) = token {
            check_first_packet(&header, datagram.len(), error)?;
        }
        Ok(Self {
            service_address,
            flow_key: header.destination,
            token: token.ok(),
        })
    }
}

/// Checks that a packet without a token may open a flow.
fn check_first_packet(
    header: &QuicHeader<'_>,
    length: usize,
    error: TokenError,
) -> Result<(), PacketError> {
    match header.form {
        HeaderForm::Handshake | HeaderForm::Short => Err(error.into()),
        // Early data may be sent in a separate datagram, which needs no padding.
        HeaderForm::ZeroRtt => check_client_id(header.destination),
        HeaderForm::Initial => {
            check_size(length)?;
            check_client_id(header.destination)
        }
        HeaderForm::OtherVersion { .. } => check_size(length),
    }
}

fn check_size(length: usize) -> Result<(), PacketError> {
    if length < MIN_INITIAL_BYTES {
        return Err(PacketError::SmallInitial { length });
    }
    Ok(())
}

fn check_client_id(id: &[u8]) -> Result<(), PacketError> {
    if id.len() < MIN_CLIENT_ID_BYTES {
        return Err(PacketError::ShortId { length: id.len() });
    }
    Ok(())
}
