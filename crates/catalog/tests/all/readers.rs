//! Who reads the store in fleets of any size.
//!
//! The load that this is for: calls to the store are counted, refused ones too, and a fleet of thousands must
//! not make more of them than one of six.

use std::time::Duration;

use lovagelatch_catalog::StoreFailure;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{Group, READER_TROUBLES, address};

/// Sizes of fleets: heads go to all others, to some, to a few of very many.
const SIZES: [u8; 4] = [8, 20, 59, 200];

/// What the users allow a change in a fleet of hundreds of machines.
const APPLY_LIMIT: Duration = Duration::from_secs(6);

fn settled(count: u8) -> Group {
    Group::settled(count, Duration::from_secs(8))
}

// Symptom: a quiet day of 59 balancers makes 757 calls to the store, one of 6 makes 79. Sequence: heads go to three
// others at random, so a balancer has heard only some ten in the time that one counts as alive; it finds
// itself among the two lowest draws of those, and reads. Cause: a balancer knew of the readers only what
// they had told it themselves.
#[test]
fn calls_to_the_store_do_not_grow_with_the_fleet() {
    for count in SIZES {
        let mut group = settled(count);
        let before = group.store.calls;
        group.run(Duration::from_secs(30));
        // One waits 1.5 s a call, the other 5 s; a third may read for a moment.
        let calls = group.store.calls - before;
        assert!((20..=36).contains(&calls), "{count}: {calls} calls in 30 s");
    }
}

// Symptom: a configuration is not in force in time. Sequence: both readers are gone, cut off, or turned
// away by the store, and the operator changes something. Cause (of the mutation that this test is for): what
// is passed on about a reader keeps it alive for longer than its own word.
#[test]
fn others_read_in_time_when_the_readers_cannot() {
    for case in READER_TROUBLES {
        for count in SIZES {
            let mut group = settled(count);
            let readers = group.readers();
            (case.strike)(&mut group, &readers);
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

// Symptom: the store, down for a while, is called by everybody all the time. Cause (of the mutation that
// this test is for): the lot that decides who calls beside the readers is drawn among few.
#[test]
fn a_store_that_is_down_is_not_called_by_all() {
    for count in SIZES {
        let mut group = settled(count);
        group.refusal = Some(StoreFailure::Unanswered);
        let before = group.store.calls;
        group.run(Duration::from_secs(10));
        let calls = group.store.calls - before;
        let limit = 100 + 6 * u64::from(count);
        assert!(calls <= limit, "{count}: {calls} calls in 10 s");
    }
}

/// Each balancer's newest word of one of them, in rounds since it was said: a model of heads that go to three
/// others at random twice a second, from which the lifetimes of such news are drawn.
fn news_ages(count: usize, rounds: u32, random: &mut SmallRng) -> Vec<u32> {
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
    newest.into_iter().map(|said| rounds - said).collect()
}

struct NewsCase {
    balancers: usize,
    /// Half seconds that one balancer in a thousand may be behind.
    late: u32,
}

// The pattern: news of one spreads by heads. The grounds for what it shows: a word that is passed on by everybody
// to three others reaches all in a logarithm of them; 3.5 s hold for thousands.
#[test]
fn news_of_a_reader_is_young_in_fleets_of_thousands() {
    let cases = [
        NewsCase {
            balancers: 60,
            late: 5,
        },
        NewsCase {
            balancers: 1_000,
            late: 6,
        },
        NewsCase {
            balancers: 4_000,
            late: 7,
        },
    ];
    let mut random = SmallRng::seed_from_u64(7);
    for case in cases {
        let mut ages: Vec<u32> = (0..20)
            .flat_map(|_| news_ages(case.balancers, 30, &mut random))
            .collect();
        ages.sort_unstable();
        let last = ages[ages.len() - 1 - ages.len() / 1_000];
        assert!(last <= case.late, "{}: {last} rounds", case.balancers);
    }
}
