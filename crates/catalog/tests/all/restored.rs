//! Tests of a store that comes back from a copy and gives revisions out again.

use std::time::Duration;

use lovagelatch_catalog::{StoreEvent, StoreFailure, TargetName, TargetRow};

use crate::support::{Group, config, target};

/// The time that the users allow for a change in a fleet of up to 20 machines.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// A fleet in which heads go to all peers, and one in which they go to some.
const SIZES: [u8; 2] = [6, 20];

/// Version of the configuration that is in force before the store comes back.
const VERSION_BEFORE: u64 = 7;

/// Version that the operator writes afterwards.
const VERSION_AFTER: u64 = 8;

struct RestoreCase {
    name: &'static str,
    /// Number of changes that the copy lacks; the last ones are the newest.
    lost: u64,
    /// How long the store fails before it comes back.
    away: Duration,
    /// Number of changes between the return and the operator's one.
    written_again: u8,
    /// Time between the return and the first change.
    pause: Duration,
}

const CASES: [RestoreCase; 5] = [
    RestoreCase {
        name: "the operator writes first, at a revision given out before",
        lost: 4,
        away: Duration::from_millis(700),
        written_again: 0,
        pause: Duration::from_secs(4),
    },
    RestoreCase {
        name: "the version in force was lost too",
        lost: 6,
        away: Duration::from_millis(700),
        written_again: 0,
        pause: Duration::from_millis(200),
    },
    RestoreCase {
        name: "the counter passes the old one before anybody asks",
        lost: 4,
        away: Duration::from_secs(2),
        written_again: 9,
        pause: Duration::ZERO,
    },
    RestoreCase {
        name: "the counter comes to the old one exactly",
        lost: 4,
        away: Duration::from_millis(700),
        written_again: 3,
        pause: Duration::ZERO,
    },
    RestoreCase {
        name: "no call fails",
        lost: 4,
        away: Duration::ZERO,
        written_again: 2,
        pause: Duration::from_secs(1),
    },
];

/// Runs a group until the store is back from a copy that lacks the newest changes.
fn restored(size: u8, case: &RestoreCase) -> Group {
    let mut group = Group::settled(size, Duration::from_secs(8));
    group.store.write(StoreEvent::Target(target("i-2")));
    group.change(VERSION_BEFORE - 1);
    group.change(VERSION_BEFORE);
    for number in 0..2 {
        let name = format!("lost-{number}");
        group.store.write(StoreEvent::Target(target(&name)));
    }
    group.set_evacuated("hall-b", true);
    group.set_evacuated("hall-b", false);
    group.run(Duration::from_secs(4));
    assert!(group.versions().iter().all(|held| *held == VERSION_BEFORE));
    group.failure = (!case.away.is_zero()).then_some(StoreFailure::Unanswered);
    group.run(case.away);
    group.failure = None;
    group.store.restore(group.store.revision - case.lost);
    group.run(case.pause);
    for number in 0..case.written_again {
        let name = format!("again-{number}");
        group.store.write(StoreEvent::Target(target(&name)));
    }
    group
}

fn target_names(group: &Group) -> Vec<Vec<String>> {
    let catalogs = group.nodes.values().map(|node| &node.catalog);
    let names = catalogs.map(|catalog| {
        let targets = catalog.targets.iter().filter_map(TargetRow::target);
        targets.map(|target| target.name.0.to_string()).collect()
    });
    names.collect()
}

// Guards against flows that open by an old configuration: the store gives a new version a revision
// that an earlier change had, and balancers ignore it.
#[test]
fn a_configuration_after_a_restore_is_in_force_in_time() {
    for size in SIZES {
        for case in &CASES {
            let mut group = restored(size, case);
            group.change(VERSION_AFTER);
            group.run(APPLY_LIMIT - Duration::from_millis(200));
            let versions = group.versions();
            let late = versions.iter().filter(|held| **held != VERSION_AFTER);
            assert_eq!(late.count(), 0, "{size}, {}: {versions:?}", case.name);
        }
    }
}

// Guards against flows to targets that the store no longer lists, and against targets that get
// none: their entries are lost with the copy or written again at old revisions.
#[test]
fn targets_after_a_restore_are_those_that_the_store_lists() {
    for size in SIZES {
        for case in &CASES {
            let mut group = restored(size, case);
            group
                .store
                .write(StoreEvent::TargetRemoved(TargetName("i-1".into())));
            group.store.write(StoreEvent::Target(target("new")));
            group.run(APPLY_LIMIT);
            let listed = group.store.target_names();
            for names in target_names(&group) {
                assert_eq!(names, listed, "{size}, {}", case.name);
            }
        }
    }
}

// Guards against new flows in a zone that the operator evacuates: the order gets a revision that an
// earlier change had, and balancers ignore it.
#[test]
fn an_evacuation_after_a_restore_is_obeyed_in_time() {
    for size in SIZES {
        for case in &CASES {
            let mut group = restored(size, case);
            group.set_evacuated("hall-a", true);
            group.run(APPLY_LIMIT);
            let obeyed = Some(vec!["hall-a".to_owned()]);
            let evacuated = group.evacuated();
            let late = evacuated.iter().filter(|zones| **zones != obeyed);
            assert_eq!(late.count(), 0, "{size}, {}: {evacuated:?}", case.name);
        }
    }
}

// Guards against a balancer that holds the former era's catalog for good: it was cut off from the
// store and from the others when the store came back.
#[test]
fn a_balancer_that_missed_a_restore_catches_up() {
    for size in SIZES {
        let mut group = Group::settled(size, Duration::from_secs(8));
        for number in 0..12 {
            let name = format!("lost-{number}");
            group.store.write(StoreEvent::Target(target(&name)));
        }
        group.run(Duration::from_secs(4));
        group.node(1).store_cut = true;
        group.node(1).peers_cut = true;
        group.store.restore(group.store.revision - 10);
        group.change(VERSION_AFTER);
        group.run(Duration::from_secs(6));
        group.node(1).store_cut = false;
        group.node(1).peers_cut = false;
        group.run(APPLY_LIMIT);
        let versions = group.versions();
        assert!(
            versions.iter().all(|held| *held == VERSION_AFTER),
            "{size}: {versions:?}"
        );
        let listed = group.store.target_names();
        for names in target_names(&group) {
            assert_eq!(names, listed, "{size}");
        }
    }
}

// Guards against a version that comes back: a balancer that starts after the return reads the older
// version that the copy holds, and the others follow it.
#[test]
fn a_new_balancer_does_not_bring_an_older_version_back() {
    for size in SIZES {
        let mut group = restored(size, &CASES[1]);
        group.add(99);
        group.node(99).peers_cut = true;
        group.run(Duration::from_secs(1));
        assert_eq!(group.node(99).catalog.version.0, 1, "{size}");
        group.node(99).peers_cut = false;
        group.run(Duration::from_secs(2));
        let versions = group.versions();
        let older = versions.iter().filter(|held| **held != VERSION_BEFORE);
        assert_eq!(older.count(), 0, "{size}: {versions:?}");
        // The operator writes it again.
        let again = config(VERSION_BEFORE, &[80, 81]);
        group.store.write(StoreEvent::Config(again));
        group.run(APPLY_LIMIT);
        let heads = group
            .nodes
            .values()
            .map(|node| node.member.status(group.now).head);
        let heads: std::collections::HashSet<_> = heads.collect();
        assert_eq!(heads.len(), 1, "{size}: {heads:?}");
    }
}

// Guards against calls to the store that grow without end: two balancers that hold different rows
// at one revision list the store again and again.
#[test]
fn a_restore_leaves_the_calls_to_the_store_as_they_were() {
    for size in SIZES {
        for case in &CASES {
            let mut group = restored(size, case);
            group.run(Duration::from_secs(8));
            let before = group.store.calls;
            group.run(Duration::from_secs(30));
            let calls = group.store.calls - before;
            assert!((20..=36).contains(&calls), "{size}, {}: {calls}", case.name);
        }
    }
}

/// Returns for each balancer whether the store may have been restored so recently that its list
/// lacks live targets.
fn doubts(group: &Group) -> Vec<bool> {
    let members = group.nodes.values().map(|node| &node.member);
    members
        .map(|member| {
            let until = member.restore_possible_until();
            until.is_some_and(|until| group.now < until)
        })
        .collect()
}

/// Replaces all balancers by new ones that have read the store once.
fn replace_all(group: &mut Group, size: u8) {
    group.nodes.clear();
    for number in 1..=size {
        group.add(number);
    }
    group.run(Duration::from_millis(200));
}

// Guards against resets of open flows: all balancers start as the store comes back from a copy, and
// take the copy for the list of all live targets.
#[test]
fn a_new_fleet_doubts_the_list_of_a_store_that_was_restored() {
    for size in SIZES {
        let mut group = Group::settled(size, Duration::from_secs(8));
        group.store.restore(group.store.revision - 1);
        replace_all(&mut group, size);
        assert_eq!(doubts(&group), vec![true; size.into()]);
        group.run(Duration::from_millis(1_600));
        assert_eq!(doubts(&group), vec![true; size.into()]);
        group.run(Duration::from_millis(300));
        assert_eq!(doubts(&group), vec![false; size.into()]);
    }
}

// Guards against lost flows that are reported late after every loss of power, although the store
// was never restored.
#[test]
fn a_new_fleet_trusts_the_list_of_a_store_that_was_never_restored() {
    for size in SIZES {
        let mut group = Group::settled(size, Duration::from_secs(8));
        replace_all(&mut group, size);
        assert_eq!(doubts(&group), vec![false; size.into()]);
    }
}

// Guards against lost flows that are reported late by each balancer that restarts, although the
// others know that the store was restored long ago.
#[test]
fn a_new_balancer_learns_that_the_store_was_restored_long_ago() {
    for size in SIZES {
        let mut group = Group::settled(size, Duration::from_secs(8));
        group.store.restore(group.store.revision - 1);
        group.run(Duration::from_secs(4));
        assert_eq!(doubts(&group), vec![false; size.into()]);
        group.add(99);
        group.run(Duration::from_millis(200));
        assert_eq!(doubts(&group), vec![false; usize::from(size) + 1]);
    }
}

// Guards against a new balancer that trusts the list of a copy because the others, which have not
// read the store since its return, vouch for an earlier era.
#[test]
fn balancers_vouch_only_for_the_era_that_they_read() {
    let mut group = Group::settled(2, Duration::from_secs(8));
    group.store.restore(group.store.revision - 1);
    group.run(Duration::from_secs(4));
    group.node(1).store_cut = true;
    group.node(2).store_cut = true;
    group.store.restore(group.store.revision);
    group.add(99);
    group.run(Duration::from_millis(300));
    let now = group.now;
    let until = group.node(99).member.restore_possible_until();
    assert!(until.is_some_and(|until| now < until));
}
