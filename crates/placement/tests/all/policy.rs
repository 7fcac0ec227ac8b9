//! The baseline policies behind `PlacementPolicy`.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_placement::baseline::{LeastLoad, RandomChoice, RoundRobin, TwoChoices};
use lovagelatch_placement::{PlacementChoice, PlacementPolicy};

use crate::support::{agent, at, peer, report};

const CHOICES: u32 = 3_000;

/// Counts the choices by gate: a local gate with 1 request in use and peers with 0 and 3.
fn spread(mut policy: impl PlacementPolicy) -> BTreeMap<u8, u32> {
    let peers = [peer(2, report(0, 0), at(0)), peer(3, report(3, 0), at(0))];
    let mut counts = BTreeMap::new();
    for _ in 0..CHOICES {
        let choice = policy.choose(&report(1, 0), &peers, &[], Duration::from_secs(1), at(0));
        let number = match choice {
            PlacementChoice::Own => 1,
            PlacementChoice::Peer(peer) => peer.0.ip().octets()[3],
            PlacementChoice::Refuse { .. } => 0,
        };
        *counts.entry(number).or_default() += 1;
    }
    counts
}

#[test]
fn baselines_spread_requests_according_to_their_names() {
    let third = CHOICES / 3;
    let round = spread(RoundRobin::new(agent(1), 7));
    assert!(round.values().all(|count| *count == third), "{round:?}");
    let random = spread(RandomChoice::new(agent(1), 7));
    let is_even = |count: &u32| count.abs_diff(third) < third / 5;
    assert!(
        random.len() == 3 && random.values().all(is_even),
        "{random:?}"
    );
    let least = spread(LeastLoad::new(agent(1), 7));
    assert_eq!(least.into_iter().collect::<Vec<_>>(), [(2, CHOICES)]);
    let two = spread(TwoChoices::new(agent(1), 7));
    assert!(
        !two.contains_key(&3),
        "the most loaded gate loses every pair: {two:?}"
    );
    assert!(two[&2].abs_diff(2 * third) < third / 5, "{two:?}");
}
