//! Packets, datagrams and the network between the fakes.

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{FlowKey, FlowPacket, PeerFrame};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// A packet with what the system cannot see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) head: FlowPacket,
    /// The request or response in its data.
    pub(crate) request: Option<u64>,
}

/// A datagram under way.
#[derive(Clone, Debug)]
pub(crate) enum Datagram {
    /// A client's packet to a balancer.
    ToBalancer(usize, Packet),
    /// A frame to a balancer.
    Word(usize, PeerFrame, Option<Packet>),
    /// A frame to an agent.
    Frame(AgentAddress, PeerFrame, Option<Packet>),
    /// A packet to the target beside an agent.
    ToTarget(usize, Packet),
    /// A target's packet to its agent.
    FromTarget(usize, Packet),
    /// A packet to a client.
    ToClient(Packet),
    /// The system's own reset, with its number.
    Reset(FlowKey, u32),
}

impl Datagram {
    /// Whether it stays on one machine, where nothing is lost.
    fn is_local(&self) -> bool {
        matches!(self, Self::ToTarget(..) | Self::FromTarget(..))
    }
}

/// How the network behaves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Network {
    pub(crate) drop: f64,
    pub(crate) duplicate: f64,
    pub(crate) jitter: u64,
}

impl Network {
    /// The delays in milliseconds after which copies of a datagram arrive; none if it is lost.
    pub(crate) fn delays(&self, datagram: &Datagram, rng: &mut SmallRng) -> Vec<u64> {
        if datagram.is_local() {
            return vec![0];
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplicate));
        let mut delays = Vec::with_capacity(copies);
        for _ in 0..copies {
            if !rng.random_bool(self.drop) {
                delays.push(rng.random_range(1..=2 + self.jitter));
            }
        }
        delays
    }
}
