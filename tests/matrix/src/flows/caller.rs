//! A simulated caller with one flow: real headers and retransmission, no encryption.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;

use lovagelatch_keys::TOKEN_BYTES;
use lovagelatch_routing::{HeaderForm, MIN_INITIAL_BYTES, QUIC_VERSION_1, QuicHeader};

use super::agent::{AgentReply, ResetToken};
use crate::history::AgentStart;

/// Numbers of the packets in the first flight, which are sent before any response.
pub(crate) const FIRST_FLIGHT: Range<u32> = 0..2;

const HANDSHAKE_NUMBER: u32 = 2;
const HANDSHAKE_TYPE: u8 = 2 << 4;
const LONG_FORM: u8 = 0xc0;
const SHORT_FORM: u8 = 0x40;
const INITIAL_ID_BYTES: usize = 8;

/// The payload of a caller's datagram, after its QUIC header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDatagram {
    pub(crate) flow: u64,
    pub(crate) number: u32,
}

impl CallerDatagram {
    pub(crate) fn parse(datagram: &[u8]) -> Option<Self> {
        let header = QuicHeader::parse(datagram).ok()?;
        let start = match header.form {
            HeaderForm::Short => 1 + TOKEN_BYTES,
            _ => 6 + header.destination.len(),
        };
        let flow = datagram.get(start..start + 8)?;
        let number = datagram.get(start + 8..start + 12)?;
        Some(Self {
            flow: u64::from_be_bytes(flow.try_into().ok()?),
            number: u32::from_be_bytes(number.try_into().ok()?),
        })
    }
}

pub(crate) struct FlowCaller {
    pub(crate) flow: u64,
    pub(crate) address: SocketAddrV4,
    initial_id: [u8; INITIAL_ID_BYTES],
    token: Option<[u8; TOKEN_BYTES]>,
    reset_tokens: Vec<ResetToken>,
    pub(crate) holder: Option<AgentStart>,
    pub(crate) unacknowledged: BTreeSet<u32>,
    pub(crate) ended: bool,
}

impl FlowCaller {
    pub(crate) fn new(flow: u64, initial_id: [u8; INITIAL_ID_BYTES]) -> Self {
        let mut caller = Self {
            flow,
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            initial_id,
            token: None,
            reset_tokens: Vec::new(),
            holder: None,
            unacknowledged: BTreeSet::new(),
            ended: false,
        };
        caller.change_address(0);
        caller
    }

    pub(crate) fn change_address(&mut self, to: u16) {
        let port = 40_000 + to * 100 + u16::try_from(self.flow % 100).unwrap_or(0);
        self.address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    }

    /// Builds the datagram of a packet; `None` while it needs a connection ID not yet received.
    pub(crate) fn datagram(&self, number: u32) -> Option<Vec<u8>> {
        let initial = FIRST_FLIGHT.contains(&number);
        let mut datagram = match (self.token, initial) {
            (None, false) => return None,
            (None, true) => long_header(0, &self.initial_id),
            (Some(token), _) if number <= HANDSHAKE_NUMBER => {
                long_header(if initial { 0 } else { HANDSHAKE_TYPE }, &token)
            }
            (Some(token), _) => {
                let mut datagram = vec![SHORT_FORM];
                datagram.extend_from_slice(&token);
                datagram
            }
        };
        datagram.extend_from_slice(&self.flow.to_be_bytes());
        datagram.extend_from_slice(&number.to_be_bytes());
        if initial {
            datagram.resize(MIN_INITIAL_BYTES, 0);
        }
        Some(datagram)
    }

    /// Handles a reply of an agent. Returns the holder if this reply is the first one from it,
    /// and whether the reply is a genuine reset.
    pub(crate) fn handle_reply(&mut self, reply: AgentReply) -> (Option<AgentStart>, bool) {
        match reply {
            AgentReply::Ack {
                holder,
                number,
                token,
                reset_token,
            } => {
                // Replies of another half-open connection would fail to decrypt.
                if self.holder.is_some_and(|known| known != holder) {
                    return (None, false);
                }
                let first = self.holder.is_none();
                self.holder = Some(holder);
                self.token = Some(token);
                self.reset_tokens.push(reset_token);
                if first {
                    self.unacknowledged
                        .retain(|number| !FIRST_FLIGHT.contains(number));
                }
                self.unacknowledged.remove(&number);
                (first.then_some(holder), false)
            }
            AgentReply::Reset(reset_token) => (None, self.reset_tokens.contains(&reset_token)),
        }
    }
}

fn long_header(kind: u8, id: &[u8]) -> Vec<u8> {
    let mut header = vec![LONG_FORM | kind];
    header.extend_from_slice(&QUIC_VERSION_1.to_be_bytes());
    header.push(u8::try_from(id.len()).unwrap_or(0));
    header.extend_from_slice(id);
    header
}
