//! Subsetting of the peers of a large service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::AgentAddress;
use lovagelatch_placement::{SUBSET_SIZE, peer_subset};

fn members(count: u16) -> Vec<AgentAddress> {
    let address = |index: u16| {
        let [high, low] = index.to_be_bytes();
        AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 1, high, low), 7_000))
    };
    (0..count).map(address).collect()
}

fn links(members: &[AgentAddress]) -> BTreeMap<AgentAddress, BTreeSet<AgentAddress>> {
    let peers = |own: &AgentAddress| peer_subset(*own, members).into_iter().collect();
    members.iter().map(|own| (*own, peers(own))).collect()
}

#[test]
fn links_are_mutual_even_and_connect_all() {
    for count in [1, 2, 16, 17, 18, 64, 500] {
        let members = members(count);
        let links = links(&members);
        let size = usize::from(count - 1).min(SUBSET_SIZE);
        for (own, peers) in &links {
            assert_eq!(peers.len(), size, "{count} members");
            assert!(!peers.contains(own));
            assert!(peers.iter().all(|peer| links[peer].contains(own)));
        }
        let mut reached = BTreeSet::from([members[0]]);
        let mut open = vec![members[0]];
        while let Some(next) = open.pop() {
            open.extend(links[&next].iter().filter(|peer| reached.insert(**peer)));
        }
        assert_eq!(reached.len(), members.len());
    }
}

#[test]
fn one_more_target_changes_only_the_links_around_it() {
    let all = members(200);
    let before = links(&all[..199]);
    let after = links(&all);
    let changed = before
        .iter()
        .filter(|(own, peers)| after[*own] != **peers)
        .count();
    assert!(changed <= SUBSET_SIZE, "{changed} targets changed peers");
}

#[test]
fn the_order_of_the_list_and_repeats_do_not_matter() {
    let all = members(40);
    let mut shuffled: Vec<_> = all.iter().rev().copied().collect();
    shuffled.extend_from_slice(&all[..5]);
    assert_eq!(peer_subset(all[3], &all), peer_subset(all[3], &shuffled));
}
