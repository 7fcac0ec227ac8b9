//! Which peers an agent deals with when its service has many targets.
//!
//! All targets stand on a ring in the order of a hash of their addresses; each deals with the
//! nearest on both sides.
//!
//! ```text
//!        8 before          own          8 after
//!   ... o o o o o o o o --- x --- o o o o o o o o ...
//! ```
//!
//! Every process computes the same ring, so links go both ways without an agreement. Each
//! target has the same number of links (an uneven number shows as imbalance), the links
//! connect all targets, and one that comes or goes changes only the links of its neighbours.
//! The hash mixes zones and racks, so that the loss of one does not take all peers of a target.

use std::hash::Hasher;

use lovagelatch_domain::AgentAddress;
use siphasher::sip::SipHasher13;

/// Up to this many other targets an agent deals with all of them; beyond, with just so many.
pub const SUBSET_SIZE: usize = 16;

/// Fixed keys: every process must compute the same ring.
const RING_KEYS: (u64, u64) = (0x7375_6273_6574, 0x006c_696e_6b73);

/// The peers of `own` among `members`, in address order. `own` itself and repeated members are
/// left out. Costs one hash a member and a sort.
#[must_use]
pub fn peer_subset(own: AgentAddress, members: &[AgentAddress]) -> Vec<AgentAddress> {
    let own_place = ring_place(own);
    let others = members.iter().filter(|member| **member != own);
    let mut places: Vec<(u64, AgentAddress)> = others
        .map(|member| {
            let place = ring_place(*member);
            (place.wrapping_sub(own_place), *member)
        })
        .collect();
    keep_nearest(&mut places);
    let mut peers: Vec<AgentAddress> = places.into_iter().map(|(_, member)| member).collect();
    peers.sort_unstable();
    peers.dedup();
    peers
}

/// Keeps the nearest on both sides, given each member's distance from `own` along the ring.
fn keep_nearest(places: &mut Vec<(u64, AgentAddress)>) {
    let each_side = SUBSET_SIZE / 2;
    places.sort_unstable();
    places.dedup();
    if places.len() > SUBSET_SIZE {
        let last_after = each_side;
        let first_before = places.len() - each_side;
        places.drain(last_after..first_before);
    }
}

fn ring_place(address: AgentAddress) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(RING_KEYS.0, RING_KEYS.1);
    hasher.write(&address.0.ip().octets());
    hasher.write(&address.0.port().to_be_bytes());
    hasher.finish()
}
