//! Weighted rendezvous hashing by scan and by buckets.

use std::collections::HashMap;

use lovagelatch_domain::AgentAddress;
use lovagelatch_membership::TargetStanding::{Leaving, Live, Suspected};
use lovagelatch_routing::{MAX_SCANNED_TARGETS, RingTarget, ServiceRing};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::support::{CLAIMS, agent, live, target};

const FLOWS: usize = 20_000;

fn flow_keys(seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..FLOWS).map(|_| rng.random()).collect()
}

fn shares(ring: &ServiceRing) -> HashMap<AgentAddress, usize> {
    let mut shares = HashMap::new();
    for key in flow_keys(1) {
        *shares.entry(ring.pick(key).expect("a target")).or_default() += 1;
    }
    shares
}

fn large() -> u16 {
    u16::try_from(MAX_SCANNED_TARGETS).expect("a small bound") * 2
}

#[test]
fn equal_views_agree_whatever_their_order() {
    for count in [1, 2, 7, large()] {
        let targets = live(count);
        let mut shuffled = targets.clone();
        shuffled.shuffle(&mut StdRng::seed_from_u64(3));
        let (one, other) = (
            ServiceRing::new(CLAIMS, &targets),
            ServiceRing::new(CLAIMS, &shuffled),
        );
        for key in flow_keys(2) {
            assert_eq!(one.pick(key), other.pick(key), "{count} targets");
        }
    }
}

/// Guards against half of all handshakes stalling when one target leaves. Balancers learn of the
/// change at different times, so a hash that moves flows between the remaining targets would change
/// a flow's agent between two datagrams.
#[test]
fn removing_a_target_moves_only_its_flows() {
    for count in [2, 7] {
        let targets = live(count);
        let before = ServiceRing::new(CLAIMS, &targets);
        let after = ServiceRing::new(CLAIMS, &targets[1..]);
        for key in flow_keys(3) {
            if before.pick(key) != Some(agent(0)) {
                assert_eq!(before.pick(key), after.pick(key), "{count} targets");
            }
        }
    }
}

/// The same for buckets. Both rings have the same number of buckets here; when that number changes,
/// all flows are placed again.
#[test]
fn removing_a_target_from_buckets_moves_only_its_flows() {
    let targets = live(large());
    let before = ServiceRing::new(CLAIMS, &targets).with_buckets();
    let after = ServiceRing::new(CLAIMS, &targets[1..]).with_buckets();
    let moved = flow_keys(3)
        .into_iter()
        .filter(|&key| before.pick(key) != Some(agent(0)) && before.pick(key) != after.pick(key))
        .count();
    assert_eq!(moved, 0);
}

#[test]
fn shares_follow_the_weights() {
    struct WeightCase {
        name: &'static str,
        slots: Vec<u16>,
        tolerance: f64,
    }
    let many = usize::from(large());
    let cases = [
        WeightCase {
            name: "equal",
            slots: vec![3; 7],
            tolerance: 0.1,
        },
        WeightCase {
            name: "one twice as large",
            slots: vec![6, 3, 3],
            tolerance: 0.1,
        },
        WeightCase {
            name: "far apart",
            slots: vec![1, 10, 20],
            tolerance: 0.2,
        },
        WeightCase {
            name: "buckets",
            slots: vec![3; many],
            tolerance: 0.4,
        },
    ];
    for case in cases {
        let numbered = (0_u16..).zip(&case.slots);
        let targets: Vec<RingTarget> = numbered
            .map(|(number, &slots)| target(number, slots, Live))
            .collect();
        let shares = shares(&ServiceRing::new(CLAIMS, &targets).with_buckets());
        let total: f64 = case.slots.iter().map(|&slots| f64::from(slots)).sum();
        for target in &targets {
            let expected = FLOWS as f64 * f64::from(target.slots) / total;
            let share = shares.get(&target.agent).copied().unwrap_or(0) as f64;
            let error = (share / expected - 1.0).abs();
            assert!(
                error < case.tolerance,
                "{}: {share} of {expected}",
                case.name
            );
        }
    }
}

#[test]
fn new_flows_go_to_the_most_usable_targets() {
    struct StandingCase {
        name: &'static str,
        targets: Vec<RingTarget>,
        expected: Vec<u16>,
    }
    let case = |name, targets, expected| StandingCase {
        name,
        targets,
        expected,
    };
    let cases = [
        case(
            "live first",
            vec![
                target(0, 3, Live),
                target(1, 3, Suspected),
                target(2, 3, Leaving),
            ],
            vec![0],
        ),
        case(
            "suspected without live ones",
            vec![target(1, 3, Suspected), target(2, 3, Leaving)],
            vec![1],
        ),
        case(
            "leaving when there is nothing else",
            vec![target(2, 3, Leaving), target(3, 3, Leaving)],
            vec![2, 3],
        ),
        case("none", vec![], vec![]),
    ];
    for case in cases {
        let ring = ServiceRing::new(CLAIMS, &case.targets);
        let expected: Vec<AgentAddress> = case.expected.iter().map(|&n| agent(n)).collect();
        for key in flow_keys(4).into_iter().take(200) {
            let fits = ring
                .pick(key)
                .map_or(expected.is_empty(), |picked| expected.contains(&picked));
            assert!(fits, "{}", case.name);
        }
    }
}

#[test]
fn the_ranking_starts_with_the_pick_and_has_no_duplicates() {
    for count in [1, 2, 7, large()] {
        let ring = ServiceRing::new(CLAIMS, &live(count));
        for key in flow_keys(5).into_iter().take(500) {
            let order = ring.ranked(key, 3);
            assert_eq!(order.len(), usize::from(count.min(3)));
            assert_eq!(order.first().copied(), ring.pick(key));
            let mut unique = order.to_vec();
            unique.sort_unstable();
            unique.dedup();
            assert_eq!(unique.len(), order.len());
        }
    }
}

/// Guards against handshakes of a large service stalling for a second after a balancer starts. One
/// balancer has a bucket table and another one scans; if the scan used anything but the bucket's
/// key, they would send two datagrams of a handshake to two agents.
#[test]
fn a_bucket_table_picks_what_a_scan_finds() {
    for count in [large(), 257, 300] {
        for slots in [1, 7] {
            let numbered = (0..count).map(|number| target(number, 1 + number % slots, Live));
            let targets: Vec<RingTarget> = numbered.collect();
            let scanned = ServiceRing::new(CLAIMS, &targets);
            let cached = ServiceRing::new(CLAIMS, &targets).with_buckets();
            for key in flow_keys(6).into_iter().take(1_000) {
                assert_eq!(scanned.pick(key), cached.pick(key), "{count} targets");
            }
        }
    }
}

/// The scan skips logarithms that cannot change its result; the ranking computes all of them.
#[test]
fn a_scan_of_unequal_weights_finds_the_best() {
    for slots in [[1, 1, 2], [1, 200, 3], [u16::MAX, 1, 1], [9, 10, 11]] {
        let numbered = (0..24_u16).zip(slots.into_iter().cycle());
        let targets: Vec<RingTarget> = numbered
            .map(|(number, slots)| target(number, slots, Live))
            .collect();
        let ring = ServiceRing::new(CLAIMS, &targets);
        for key in flow_keys(7).into_iter().take(5_000) {
            assert_eq!(ring.pick(key), ring.ranked(key, 1).first().copied());
        }
    }
}

#[test]
fn a_ranking_of_no_agents_is_empty() {
    let ring = ServiceRing::new(CLAIMS, &live(7));
    assert!(ring.ranked(1, 0).is_empty());
}
