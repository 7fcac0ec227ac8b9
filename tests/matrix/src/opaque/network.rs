//! Packets, datagrams and the simulated network.

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{FlowKey, FlowPacket, PeerFrame};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// A packet with the part that the system cannot see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) head: FlowPacket,
    /// Number of the request or response in the data.
    pub(crate) request: Option<u64>,
}

/// A datagram in flight.
#[derive(Clone, Debug)]
pub(crate) enum Datagram {
    /// A client's packet to a balancer.
    ToBalancer(usize, Packet),
    /// A frame to a balancer.
    FrameToBalancer(usize, PeerFrame, Option<Packet>),
    /// A frame to an agent.
    FrameToAgent(AgentAddress, PeerFrame, Option<Packet>),
    /// A packet from an agent to its target.
    ToTarget(usize, Packet),
    /// A packet from a target to its agent.
    FromTarget(usize, Packet),
    /// A packet to a client.
    ToClient(Packet),
    /// A reset that the system sends to a client, with its sequence number.
    Reset(FlowKey, u32),
}

impl Datagram {
    /// Whether the datagram stays on one machine, where none is lost.
    fn is_local(&self) -> bool {
        matches!(self, Self::ToTarget(..) | Self::FromTarget(..))
    }
}

/// Behaviour of the network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Network {
    /// Probability that a datagram is lost.
    pub(crate) drop: f64,
    /// Probability that a datagram is duplicated.
    pub(crate) duplicate: f64,
    /// Upper bound of the random additional delay, in milliseconds.
    pub(crate) jitter_ms: u64,
}

impl Network {
    /// Returns the delay in milliseconds of each delivered copy of a datagram; empty if it is lost.
    pub(crate) fn delays(&self, datagram: &Datagram, rng: &mut SmallRng) -> Vec<u64> {
        if datagram.is_local() {
            return vec![0];
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplicate));
        let mut delays = Vec::with_capacity(copies);
        for _ in 0..copies {
            if !rng.random_bool(self.drop) {
                delays.push(rng.random_range(1..=2 + self.jitter_ms));
            }
        }
        delays
    }
}
