//! Load pattern: the operator evacuates zones and takes them back, while readers die, the store fails, and
//! processes start that know nothing.

use std::time::Duration;

use lovagelatch_catalog::{
    CatalogDelta, CatalogHead, CatalogKeeper, CatalogMember, CatalogMessage, MemberSettings,
    StoreAnswer, StoreEvent,
};
use lovagelatch_domain::Moment;
use smallvec::smallvec;

use crate::support::{Group, READER_TROUBLES, address, config};

/// What the users allow at least from the store's word until it is obeyed.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

fn evacuate(zone: &str) -> StoreEvent {
    StoreEvent::ZoneEvacuated(zone.parse().expect("a zone"))
}

fn restore(zone: &str) -> StoreEvent {
    StoreEvent::ZoneRestored(zone.parse().expect("a zone"))
}

fn answer(revision: u64, events: &[(u64, StoreEvent)]) -> StoreAnswer {
    StoreAnswer {
        events: events.to_vec(),
        revision,
    }
}

fn new_member(number: u8) -> CatalogMember {
    let settings = MemberSettings {
        own: address(number),
        seeds: smallvec![address(1)],
    };
    CatalogMember::new(settings, number.into(), Moment::from_millis(1_000))
}

fn zones(keeper: &CatalogKeeper) -> Vec<&str> {
    let zones = keeper.catalog().evacuated.iter();
    zones.map(|zone| zone.0.as_str()).collect()
}

/// A keeper that listed a store with these zones evacuated, up to `revision`.
fn listed(zones: &[&str], revision: u64) -> CatalogKeeper {
    let mut keeper = CatalogKeeper::default();
    let mut events = vec![(1, StoreEvent::Config(config(1, &[80])))];
    events.extend(zones.iter().map(|zone| (2, evacuate(zone))));
    let (changed, errors) = keeper.take_list(answer(revision, &events));
    assert!(changed && errors.is_empty());
    keeper
}

enum Told {
    List(u64, &'static [&'static str]),
    Watch(u64, Vec<(u64, StoreEvent)>),
    /// A peer that has listed the store up to a revision, with these zones evacuated.
    Peer(u64, &'static [&'static str]),
}

struct OrderCase {
    name: &'static str,
    told: Vec<Told>,
    zones: &'static [&'static str],
}

// Symptom: a zone gets new flows although it is evacuated, or none although it was taken back. Cause: an
// older word was taken after a newer one.
#[test]
fn no_older_word_undoes_a_newer_one() {
    let cases = [
        OrderCase {
            name: "a watch that a peer was faster than",
            told: vec![
                Told::Peer(9, &["hall-b"]),
                Told::Watch(8, vec![(6, evacuate("hall-a")), (8, restore("hall-b"))]),
            ],
            zones: &["hall-b"],
        },
        OrderCase {
            name: "a list that was read before the change",
            told: vec![
                Told::Watch(7, vec![(7, evacuate("hall-a"))]),
                Told::List(6, &[]),
            ],
            zones: &["hall-a"],
        },
        OrderCase {
            name: "a list after history was dropped",
            told: vec![
                Told::Watch(7, vec![(7, evacuate("hall-a"))]),
                Told::List(20, &["hall-c"]),
            ],
            zones: &["hall-c"],
        },
        OrderCase {
            name: "a peer that lags",
            told: vec![
                Told::Watch(8, vec![(7, evacuate("hall-a")), (8, restore("hall-a"))]),
                Told::Peer(7, &["hall-a"]),
            ],
            zones: &[],
        },
        OrderCase {
            name: "several in one answer",
            told: vec![Told::Watch(
                9,
                vec![
                    (6, evacuate("hall-a")),
                    (7, evacuate("hall-b")),
                    (8, restore("hall-a")),
                    (9, evacuate("hall-a")),
                ],
            )],
            zones: &["hall-a", "hall-b"],
        },
    ];
    for case in cases {
        let mut keeper = listed(&[], 5);
        for told in case.told {
            match told {
                Told::List(revision, zones) => {
                    let events: Vec<_> = zones.iter().map(|zone| (2, evacuate(zone))).collect();
                    keeper.take_list(answer(revision, &events));
                }
                Told::Watch(revision, events) => {
                    let (_, errors) = keeper.take_events(answer(revision, &events));
                    assert_eq!(errors, [], "{}", case.name);
                }
                Told::Peer(revision, zones) => {
                    let delta = listed(zones, revision).delta_since(&keeper.head());
                    // The targets are none of this test's.
                    let taken = keeper.take_delta(delta);
                    assert!(taken.is_ok(), "{}: {taken:?}", case.name);
                }
            }
        }
        assert_eq!(zones(&keeper), case.zones, "{}", case.name);
    }
}

// Symptom: a balancer that has just started sends flows into an evacuated zone. Sequence: it learns routes
// and targets from a peer. Cause: the zones were not part of what a fresh process is handed.
#[test]
fn a_fresh_process_is_handed_the_zones_with_its_first_catalog() {
    let keeper = listed(&["hall-a"], 5);
    let mut fresh = CatalogKeeper::default();
    assert_eq!(fresh.catalog().zones_revision, 0);
    let delta = keeper.delta_since(&fresh.head());
    assert_eq!(fresh.take_delta(delta), Ok(true));
    assert_eq!(zones(&fresh), ["hall-a"]);
    assert_eq!(fresh.catalog(), keeper.catalog());
    // That none is evacuated is a word as well.
    let keeper = listed(&[], 5);
    let mut fresh = CatalogKeeper::default();
    let delta = keeper.delta_since(&fresh.head());
    assert_eq!(fresh.take_delta(delta), Ok(true));
    assert_eq!(fresh.catalog().zones_revision, 5);
}

// Symptom: a balancer places flows in an evacuated zone for longer than the users allow. Sequence: the
// balancers that read the store die, or are cut off; the operator evacuates a zone, and takes it back.
#[test]
fn an_evacuation_is_known_everywhere_in_time_whatever_happens_to_the_readers() {
    for case in READER_TROUBLES {
        let mut group = Group::settled(8, Duration::from_secs(5));
        let readers = group.readers();
        (case.strike)(&mut group, &readers);
        group.set_evacuated("hall-a", true);
        group.run(EVACUATION_LIMIT - Duration::from_secs(2));
        let late = group.evacuated();
        let late = late
            .iter()
            .filter(|zones| zones.as_deref() != Some(&["hall-a".to_owned()]));
        assert!(late.count() == 0, "{}: {:?}", case.name, group.evacuated());
        group.set_evacuated("hall-a", false);
        group.run(EVACUATION_LIMIT - Duration::from_secs(2));
        let kept = group.evacuated();
        let kept = kept.iter().filter(|zones| zones.as_deref() != Some(&[]));
        assert!(kept.count() == 0, "{}: {:?}", case.name, group.evacuated());
    }
}

// In calm the word is everywhere within a second, and nobody calls the store more often for it.
#[test]
fn in_calm_an_evacuation_is_known_everywhere_within_a_second() {
    let mut group = Group::settled(60, Duration::from_secs(5));
    group.set_evacuated("hall-a", true);
    group.run(Duration::from_secs(1));
    let evacuated = group.evacuated();
    let expected = Some(vec!["hall-a".to_owned()]);
    assert!(
        evacuated.iter().all(|zones| *zones == expected),
        "{evacuated:?}"
    );
}

// Symptom: a balancer that has just started says that it is ready, and holds what it is sent. Sequence: it is told
// of the configuration and not of the zones. Cause: routes alone made it ready.
#[test]
fn a_configuration_without_the_zones_makes_nobody_ready() {
    let keeper = listed(&["hall-a"], 5);
    let mut member = new_member(3);
    let mut told = keeper.delta_since(&CatalogHead::default());
    let zones = told.zones.take();
    let answer = |delta| CatalogMessage::Answer {
        sender: address(1),
        age: Duration::ZERO,
        zones_age: Duration::ZERO,
        delta: Box::new(delta),
    };
    let now = Moment::from_millis(1_000);
    member.accept(answer(told), now);
    assert!(!member.is_ready());
    let rest = CatalogDelta {
        zones,
        ..CatalogDelta::default()
    };
    member.accept(answer(rest), now);
    assert!(member.is_ready());
}

// Symptom: all processes are killed while a zone is evacuated, and it gets flows at once. Cause: what a
// process that is ready knows did not include the zones.
#[test]
fn nobody_is_ready_before_the_zones_are_known() {
    let mut group = Group::settled(4, Duration::from_secs(5));
    group.set_evacuated("hall-a", true);
    group.run(Duration::from_secs(1));
    for number in 1..=4 {
        group.add(number);
    }
    for _ in 0..100 {
        group.run(Duration::from_millis(20));
        let evacuated = group.evacuated();
        let ready = group.nodes.values().map(|node| node.member.is_ready());
        for (zones, ready) in evacuated.iter().zip(ready) {
            let knows = zones.as_deref() == Some(&["hall-a".to_owned()]);
            assert!(knows || !ready, "{evacuated:?}");
        }
    }
    assert!(group.nodes.values().all(|node| node.member.is_ready()));
}
