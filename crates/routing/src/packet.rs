//! A caller's packet as the routing decision sees it.

use std::net::SocketAddrV4;

use lovagelatch_keys::{FleetKeys, FlowToken, TokenError};
use thiserror::Error;

use crate::header::{HeaderFault, HeaderForm, QuicHeader};

/// The smallest datagram that may open a flow, in bytes (RFC 9000, section 14.1).
pub const MIN_INITIAL_BYTES: usize = 1_200;

/// The shortest connection ID that a client may choose for its first packet, in bytes
/// (RFC 9000, section 7.2).
const MIN_CHOSEN_ID_BYTES: usize = 8;

/// What the routing decision needs to know of a packet, whatever its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketView<'a> {
    /// Where the caller sent it.
    pub service_address: SocketAddrV4,
    /// The same bytes in every packet of a flow that carries no token yet. For QUIC: the
    /// destination connection ID.
    pub flow_key: &'a [u8],
    /// The token it carries, when it carries a genuine one.
    pub token: Option<FlowToken>,
}

/// Why a datagram is no packet that can be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketFault {
    /// Its header is not one that a caller may send.
    #[error(transparent)]
    Header(#[from] HeaderFault),
    /// It belongs to an open flow, but its connection ID is no valid token.
    #[error(transparent)]
    Token(#[from] TokenError),
    /// It would open a flow, but is too small to; answering it would amplify an attack with a
    /// forged source address.
    #[error("a first datagram of {length} bytes, below {MIN_INITIAL_BYTES}")]
    SmallInitial {
        /// Its length in bytes.
        length: usize,
    },
    /// It would open a flow with a connection ID too short to be unpredictable.
    #[error("a first connection ID of {length} bytes, below {MIN_CHOSEN_ID_BYTES}")]
    ShortId {
        /// Its length in bytes.
        length: usize,
    },
}

impl<'a> PacketView<'a> {
    /// Reads a QUIC datagram that a caller sent to `service_address`.
    ///
    /// A client may choose a first connection ID as long as a token. It is taken for a token
    /// only when its tag verifies; otherwise it is a flow key like any other. Packets that are
    /// sent only after the agent's first answer must carry a token.
    ///
    /// # Errors
    ///
    /// A [`PacketFault`] when the datagram cannot be routed.
    pub fn read(
        datagram: &'a [u8],
        service_address: SocketAddrV4,
        keys: &FleetKeys,
    ) -> Result<Self, PacketFault> {
        let header = QuicHeader::parse(datagram)?;
        let token = FlowToken::open(header.destination, keys);
        if let Err(error) = token {
            check_opening(&header, datagram.len(), error)?;
        }
        Ok(Self {
            service_address,
            flow_key: header.destination,
            token: token.ok(),
        })
    }
}

/// Whether a packet without a token may open a flow.
fn check_opening(
    header: &QuicHeader<'_>,
    length: usize,
    error: TokenError,
) -> Result<(), PacketFault> {
    match header.form {
        HeaderForm::Handshake | HeaderForm::Short => Err(error.into()),
        // Early data may stand in a datagram of its own, which need not be padded.
        HeaderForm::ZeroRtt => check_chosen_id(header.destination),
        HeaderForm::Initial => {
            check_size(length)?;
            check_chosen_id(header.destination)
        }
        HeaderForm::OtherVersion { .. } => check_size(length),
    }
}

fn check_size(length: usize) -> Result<(), PacketFault> {
    if length < MIN_INITIAL_BYTES {
        return Err(PacketFault::SmallInitial { length });
    }
    Ok(())
}

fn check_chosen_id(id: &[u8]) -> Result<(), PacketFault> {
    if id.len() < MIN_CHOSEN_ID_BYTES {
        return Err(PacketFault::ShortId { length: id.len() });
    }
    Ok(())
}
