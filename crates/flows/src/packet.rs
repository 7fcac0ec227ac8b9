//! A packet as the flow logic sees it: addresses, flags and sequence numbers, never its contents.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Fixed hash keys of [`FlowKey::point`]: every process must compute the same point.
const POINT_HASH_KEYS: (u64, u64) = (0x666c_6f77, 0x706f_696e_7400);

/// Identifies a flow by the two endpoints that its client's packets carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The client's address and port.
    pub client: SocketAddrV4,
    /// The address and port that the client sends to, which belong to a route.
    pub service_address: SocketAddrV4,
}

impl FlowKey {
    /// Returns the flow's position on every hash ring, equal in all processes.
    #[must_use]
    pub fn point(&self) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(POINT_HASH_KEYS.0, POINT_HASH_KEYS.1);
        for endpoint in [self.client, self.service_address] {
            hasher.write(&endpoint.ip().octets());
            hasher.write(&endpoint.port().to_be_bytes());
        }
        hasher.finish()
    }
}

/// The flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PacketFlags {
    /// Opens a flow, or with `ack` answers the packet that opens it.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has no more data to send.
    pub fin: bool,
    /// Ends the flow immediately.
    pub rst: bool,
    /// The target returned this client's packet: it does not hold the flow, or cannot take it.
    pub returned: bool,
}

/// The header of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FlowPacket {
    /// The flow; the same key for packets of both directions.
    pub flow: FlowKey,
    /// The flags of the header.
    pub flags: PacketFlags,
    /// The sequence number of the first byte of data.
    pub sequence: u32,
    /// The next byte that the sender expects; on a client's first packet, the number of the copy.
    pub acknowledged: u32,
    /// Length of the data after the header.
    pub data_bytes: u16,
    /// Set by the agent when it delivers the packet; a returned packet carries it unchanged.
    pub tag: u32,
}

impl FlowPacket {
    /// Returns whether this is a client's first packet, which opens a flow.
    #[must_use]
    pub fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the sequence number after the packet's data.
    #[must_use]
    pub(crate) fn end(&self) -> u32 {
        self.sequence.wrapping_add(self.data_bytes.into())
    }
}
