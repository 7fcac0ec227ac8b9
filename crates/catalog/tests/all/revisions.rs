//! Stores whose revisions and eras are large numbers.

use std::time::Duration;

use lovagelatch_catalog::{CatalogTables, StoreAnswer, StoreEvent, TargetName};
use lovagelatch_domain::StoreEra;
use lovagelatch_membership::TableHead;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{Group, target};

/// The time that the users allow for a change in a fleet of up to 20 machines.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Revisions that a store may have given out before the first change of a test.
const FIRST_REVISIONS: [(&str, u64); 6] = [
    ("a counter that passes 32 bits", u32::MAX as u64 - 2),
    ("a counter that passes 40 bits", (1 << 40) - 3),
    ("milliseconds", 1_796_314_093_000),
    ("microseconds", 1_796_314_093_000_000),
    ("a counter that passes 53 bits", (1 << 53) - 3),
    ("a counter that passes 63 bits", (1 << 63) - 3),
];

/// Returns a group whose store goes on counting from `revision`.
fn group_at(count: u8, revision: u64, era: u64) -> Group {
    let mut group = Group::new(count);
    group.store.era = StoreEra(era);
    group.store.revision = revision;
    group.run(Duration::from_secs(5));
    group
}

// Guards against targets and evacuations that nobody follows, without a log line, because the
// store's revisions do not fit the number that a table has for them.
#[test]
fn every_change_is_followed_whatever_number_the_store_counts_from() {
    for (name, revision) in FIRST_REVISIONS {
        for count in [3, 20] {
            let mut group = group_at(count, revision, 0);
            for step in 0..4 {
                let added = format!("i-new-{step}");
                group.store.write(StoreEvent::Target(target(&added)));
                group.set_evacuated("hall-a", step % 2 == 0);
                let removed = TargetName("i-1".into());
                group.store.write(StoreEvent::TargetRemoved(removed));
                group.run(APPLY_LIMIT);
                let expected = group.store.target_names();
                for (at, node) in &group.nodes {
                    let rows = node.catalog.targets.iter();
                    let names: Vec<_> = rows.map(|row| row.name().0.to_string()).collect();
                    assert_eq!(names, expected, "{name}: {at}, change {step}");
                }
                let zones = vec!["hall-a".to_owned(); usize::from(step % 2 == 0)];
                let evacuated = group.evacuated();
                assert!(
                    evacuated.iter().all(|known| known.as_ref() == Some(&zones)),
                    "{name}: {evacuated:?}"
                );
            }
        }
    }
}

// Guards against a store that comes back from a copy unnoticed, because its era does not fit.
#[test]
fn a_return_from_a_copy_is_noticed_whatever_the_era() {
    for era in [0, (1 << 24) - 1, u64::from(u32::MAX), u64::MAX - 1] {
        let mut group = group_at(3, 1 << 40, era);
        group.store.write(StoreEvent::Target(target("i-lost")));
        group.run(APPLY_LIMIT);
        group.store.restore((1 << 40) - 1);
        group.store.write(StoreEvent::Target(target("i-new")));
        group.run(APPLY_LIMIT);
        let expected = group.store.target_names();
        for (at, node) in &group.nodes {
            let rows = node.catalog.targets.iter();
            let names: Vec<_> = rows.map(|row| row.name().0.to_string()).collect();
            assert_eq!(names, expected, "era {era}: {at}");
        }
    }
}

/// Answers of a store at random revisions in growing eras.
fn random_answer(random: &mut SmallRng, era: &mut u64, revision: &mut u64) -> (bool, StoreAnswer) {
    let is_restored = random.random_bool(0.2);
    if is_restored {
        *era += 1;
        *revision /= 2;
    }
    *revision += 1 << random.random_range(0..58);
    let is_list = is_restored || random.random_bool(0.2);
    let count = if is_list { 40 } else { 2 };
    let events = (0..count).map(|_| {
        let name = format!("i-{}", random.random_range(0..60));
        let event = if is_list || random.random_bool(0.6) {
            let mut target = target(&name);
            target.slots = random.random_range(1..4);
            StoreEvent::Target(target)
        } else {
            StoreEvent::TargetRemoved(TargetName(name.as_str().into()))
        };
        (*revision, event)
    });
    let answer = StoreAnswer {
        era: StoreEra(*era),
        events: events.collect(),
        revision: *revision,
    };
    (is_list, answer)
}

// Guards against rows that a peer never gets, because their revisions are of another era than those
// of the other rows.
#[test]
fn a_delta_from_any_earlier_state_leads_to_the_same_rows() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut tables = CatalogTables::default();
        let (mut era, mut revision) = (0, 1);
        let mut earlier = Vec::new();
        for _ in 0..12 {
            let (is_list, answer) = random_answer(&mut random, &mut era, &mut revision);
            let is_first = tables.head().targets == TableHead::default();
            let (_, errors) = if is_list || is_first {
                tables.apply_list(answer)
            } else {
                tables.apply_events(answer)
            };
            assert!(errors.is_empty(), "seed {seed}: {errors:?}");
            for peer in &earlier {
                let mut peer: CatalogTables = CatalogTables::clone(peer);
                let delta = tables.delta_since(&peer.head());
                assert!(peer.apply_delta(delta).is_ok(), "seed {seed}");
                assert_eq!(peer.head(), tables.head(), "seed {seed}");
                assert_eq!(peer.catalog().targets, tables.catalog().targets);
            }
            earlier.push(tables.clone());
        }
    }
}
