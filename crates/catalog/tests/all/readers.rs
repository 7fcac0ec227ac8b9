//! Tests of the reader election in fleets of any size.
//!
//! Calls to the store are charged, including refused ones, and a fleet of thousands must not make
//! more of them than a fleet of six.

use std::time::Duration;

use lovagelatch_catalog::{CatalogAction, StoreCall, StoreFailure};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::support::{Group, READER_FAULTS, address};

/// Fleet sizes in which heads go to all peers, to some, and to a few of very many.
const SIZES: [u8; 4] = [8, 20, 59, 200];

/// The time that the users allow for a change in a fleet of hundreds of machines.
const APPLY_LIMIT: Duration = Duration::from_secs(6);

/// Part of the time for a change that the network takes, which the group does not model.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(200);

fn settled(count: u8) -> Group {
    Group::settled(count, Duration::from_secs(8))
}

// Guards against store calls that grow with the fleet: 59 balancers made 757 calls on a quiet day,
// 6 made 79. Heads go to three random peers, so within the TTL of a peer a balancer hears only some
// ten others. If it knows only the readers that it hears directly, it has one of the two lowest
// ranks among those, and reads.
#[test]
fn calls_to_the_store_do_not_grow_with_the_fleet() {
    for count in SIZES {
        let mut group = settled(count);
        let before = group.store.calls;
        group.run(Duration::from_secs(30));
        // One reader waits 1.5 s per call, the other 5 s; a third may read for a moment.
        let calls = group.store.calls - before;
        assert!((20..=36).contains(&calls), "{count}: {calls} calls in 30 s");
    }
}

// Guards against a configuration that is not in force in time: both readers are dead, cut off, or
// refused by the store, and the operator changes something. Relayed reader status must not keep a
// reader alive for longer than its own heads.
#[test]
fn fallback_readers_take_over_in_time() {
    for case in READER_FAULTS {
        for count in SIZES {
            let mut group = settled(count);
            let readers = group.readers();
            (case.inject)(&mut group, &readers);
            group.change(4);
            group.run(APPLY_LIMIT);
            let late = group.nodes.iter().filter(|(at, node)| {
                let is_reader = readers.iter().any(|reader| address(*reader) == **at);
                !is_reader && node.catalog.version.0 != 4
            });
            let late = late.count();
            assert_eq!(late, 0, "{}, {count} balancers: {late} late", case.name);
        }
    }
}

struct SilenceCase {
    balancers: u8,
    /// Numbers of balancers that the store stops answering at once, the readers among them.
    silent: &'static [u8],
    /// The time that the users allow for a change in a fleet of this size.
    limit: Duration,
}

// Guards against a configuration that is in force late: the store falls silent for several
// balancers just before a change, and they find out one after the other.
#[test]
fn a_change_is_in_force_in_time_however_many_balancers_the_store_is_silent_for() {
    let cases = [
        SilenceCase {
            balancers: 6,
            silent: &[2, 3, 4, 5],
            limit: Duration::from_secs(3),
        },
        SilenceCase {
            balancers: 20,
            silent: &[2, 3, 4, 10, 19],
            limit: Duration::from_secs(5),
        },
        SilenceCase {
            balancers: 59,
            silent: &[2, 4, 30, 50],
            limit: Duration::from_secs(6),
        },
    ];
    let mut random = SmallRng::seed_from_u64(11);
    for case in cases {
        let mut slowest = Duration::ZERO;
        for &silent in case.silent {
            // Phases of the watches, which wait 1.5 s and 5 s.
            for phase in 0..12 {
                let mut group = settled(case.balancers);
                group.ticking = true;
                group.run(Duration::from_millis(phase * 430));
                let mut cut = group.readers();
                let others = (1..=case.balancers).filter(|number| !cut.contains(number));
                let others = others.collect::<Vec<_>>();
                let more = usize::from(silent).saturating_sub(cut.len());
                cut.extend(others.choose_multiple(&mut random, more));
                for number in cut {
                    group.node(number).store_cut = true;
                }
                group.change(4);
                let written = group.now;
                while group.versions().iter().any(|version| *version != 4) {
                    group.run(Duration::from_millis(50));
                    assert!(group.now.since(written) < Duration::from_secs(20));
                }
                slowest = slowest.max(group.now.since(written));
            }
        }
        assert!(
            slowest <= case.limit - NETWORK_ALLOWANCE,
            "{} balancers: {slowest:?}",
            case.balancers
        );
    }
}

// Guards against a store that is down and is called by all balancers all the time, because the
// probability of becoming a fallback reader is computed from too few members.
#[test]
fn a_store_that_is_down_is_not_called_by_all() {
    for count in SIZES {
        let mut group = settled(count);
        group.failure = Some(StoreFailure::Unanswered);
        let before = group.store.calls;
        group.run(Duration::from_secs(10));
        let calls = group.store.calls - before;
        let limit = 100 + 6 * u64::from(count);
        assert!(calls <= limit, "{count}: {calls} calls in 10 s");
    }
}

/// Returns the age in rounds of the newest status of one balancer at each of them. Models heads
/// that go to three random peers twice a second; the TTLs of reader status are derived from it.
fn status_ages(count: usize, rounds: u32, random: &mut SmallRng) -> Vec<u32> {
    let mut newest = vec![0; count];
    for round in 1..=rounds {
        newest[0] = round;
        for sender in 0..count {
            for _ in 0..3 {
                let receiver = random.random_range(0..count);
                newest[receiver] = newest[receiver].max(newest[sender]);
            }
        }
    }
    newest.into_iter().map(|sent| rounds - sent).collect()
}

struct SpreadCase {
    balancers: usize,
    /// Rounds (half seconds) that one balancer in a thousand may be behind.
    late: u32,
}

// Guards against reader status that is out of date in large fleets. A status that every balancer
// relays to three others reaches all in a number of rounds that is logarithmic in the fleet size;
// 3.5 s suffice for thousands.
#[test]
fn reader_status_is_recent_in_fleets_of_thousands() {
    let cases = [
        SpreadCase {
            balancers: 60,
            late: 5,
        },
        SpreadCase {
            balancers: 1_000,
            late: 6,
        },
        SpreadCase {
            balancers: 4_000,
            late: 7,
        },
    ];
    let mut random = SmallRng::seed_from_u64(7);
    for case in cases {
        let mut ages: Vec<u32> = (0..20)
            .flat_map(|_| status_ages(case.balancers, 30, &mut random))
            .collect();
        ages.sort_unstable();
        let last = ages[ages.len() - 1 - ages.len() / 1_000];
        assert!(last <= case.late, "{}: {last} rounds", case.balancers);
    }
}

struct LongAnswerCase {
    name: &'static str,
    call: StoreCall,
    /// The calls that follow at once.
    expected: &'static [StoreCall],
}

// Guards against a reader that makes the same watch again and again, whose answer takes too long
// and grows with each change; and against one that lists without pause where lists take too long.
#[test]
fn a_watch_whose_answer_takes_too_long_is_followed_by_a_list() {
    let watch = StoreCall::Watch {
        after: 2,
        wait: Duration::from_millis(1_500),
    };
    let cases = [
        LongAnswerCase {
            name: "a watch",
            call: watch,
            expected: &[StoreCall::List],
        },
        LongAnswerCase {
            name: "a list",
            call: StoreCall::List,
            expected: &[],
        },
    ];
    for case in cases {
        let mut group = settled(1);
        let now = group.now;
        let member = &mut group.node(1).member;
        let before = member.last_store_failure();
        let outcome = Err(StoreFailure::TooLong);
        let actions = member.store_answered(case.call, outcome, now);
        let calls = actions.iter().filter_map(|action| match action {
            CatalogAction::Call(call) => Some(*call),
            _ => None,
        });
        assert_eq!(calls.collect::<Vec<_>>(), case.expected, "{}", case.name);
        // A store that is still sending has not failed, but one that cannot be listed has.
        let failed = member.last_store_failure() != before;
        assert_eq!(failed, case.expected.is_empty(), "{}", case.name);
    }
}
