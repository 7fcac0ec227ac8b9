//! Deterministic subsetting: selects the peers of an agent whose service has many targets.
//!
//! All targets are placed on a ring by a hash of their addresses. The peers of each target are its
//! nearest neighbours on both sides.
//!
//! ```text
//!        8 before          own          8 after
//!   ... o o o o o o o o --- x --- o o o o o o o o ...
//! ```
//!
//! Every process computes the same ring, so links are mutual without coordination. Each target has
//! the same number of links (unequal numbers would cause load imbalance), the links connect all
//! targets, and a target that joins or leaves changes only the links of its neighbours. The hash
//! mixes zones and racks, so that the loss of one does not take all peers of a target.

use std::hash::Hasher;

use lovagelatch_domain::AgentAddress;
use siphasher::sip::SipHasher13;

/// Number of peers of an agent in a large service. With at most this many other targets, all of
/// them are peers.
pub const SUBSET_SIZE: usize = 16;

/// Fixed hash keys, because every process must compute the same ring.
const RING_HASH_KEYS: (u64, u64) = (0x7375_6273_6574, 0x006c_696e_6b73);

/// Returns the peers of `own` among `members`, in address order, without `own` and without
/// duplicates. Costs one hash per member and a sort.
#[must_use]
pub fn peer_subset(own: AgentAddress, members: &[AgentAddress]) -> Vec<AgentAddress> {
    let own_position = ring_position(own);
    let others = members.iter().filter(|member| **member != own);
    let mut positions: Vec<(u64, AgentAddress)> = others
        .map(|member| {
            let position = ring_position(*member);
            (position.wrapping_sub(own_position), *member)
        })
        .collect();
    keep_nearest(&mut positions);
    let mut peers: Vec<AgentAddress> = positions.into_iter().map(|(_, member)| member).collect();
    peers.sort_unstable();
    peers.dedup();
    peers
}

/// Keeps the nearest members on both sides. `positions` holds each member's distance from `own`
/// along the ring.
fn keep_nearest(positions: &mut Vec<(u64, AgentAddress)>) {
    let each_side = SUBSET_SIZE / 2;
    positions.sort_unstable();
    positions.dedup();
    if positions.len() > SUBSET_SIZE {
        let last_after = each_side;
        let first_before = positions.len() - each_side;
        positions.drain(last_after..first_before);
    }
}

fn ring_position(address: AgentAddress) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(RING_HASH_KEYS.0, RING_HASH_KEYS.1);
    hasher.write(&address.0.ip().octets());
    hasher.write(&address.0.port().to_be_bytes());
    hasher.finish()
}
