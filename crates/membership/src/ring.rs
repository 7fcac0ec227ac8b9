//! Heartbeat neighbours within a service.
//!
//! The agents of a service form a ring, ordered by a hash of their addresses, which mixes the
//! zones. Each agent exchanges heartbeats with three neighbours on each side. Every agent is thus
//! monitored by six others, and two agents with the same list agree on whether they are neighbours.
//! A service of up to seven targets is a full mesh.

use std::hash::Hasher;

use lovagelatch_domain::AgentAddress;
use siphasher::sip::SipHasher13;

/// Neighbours on each side.
const NEIGHBOURS_PER_SIDE: usize = 3;

/// Returns the neighbours of `own` among the agents of its service.
#[must_use]
pub fn ring_neighbours(
    own: AgentAddress,
    agents: impl Iterator<Item = AgentAddress>,
) -> Vec<AgentAddress> {
    let mut ring: Vec<(u64, AgentAddress)> =
        agents.map(|agent| (ring_position(agent), agent)).collect();
    ring.push((ring_position(own), own));
    ring.sort_unstable();
    ring.dedup();
    let length = ring.len();
    let at = ring
        .iter()
        .position(|&(_, agent)| agent == own)
        .unwrap_or(0);
    let mut neighbours = Vec::with_capacity(2 * NEIGHBOURS_PER_SIDE);
    for step in 1..=NEIGHBOURS_PER_SIDE {
        for position in [(at + step) % length, (at + length - step % length) % length] {
            let agent = ring[position].1;
            if agent != own && !neighbours.contains(&agent) {
                neighbours.push(agent);
            }
        }
    }
    neighbours
}

fn ring_position(agent: AgentAddress) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7269, 0x6e67);
    hasher.write(&agent.0.ip().octets());
    hasher.write(&agent.0.port().to_be_bytes());
    hasher.finish()
}
