//! Tests of the distribution of evacuated zones: the operator evacuates zones and ends evacuations
//! while readers die, the store fails, and new processes start.

use std::time::Duration;

use lovagelatch_catalog::{
    CatalogDelta, CatalogHead, CatalogMember, CatalogMessage, CatalogTables, MemberSettings,
    StoreAnswer, StoreEvent,
};
use lovagelatch_domain::{Moment, StoreEra, StorePosition};
use smallvec::smallvec;

use crate::support::{Group, READER_FAULTS, address, config};

/// The shortest time that the users allow from the store write until an evacuation is in force.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

fn evacuate(zone: &str) -> StoreEvent {
    StoreEvent::ZoneEvacuated(zone.parse().expect("a zone"))
}

fn restore(zone: &str) -> StoreEvent {
    StoreEvent::ZoneRestored(zone.parse().expect("a zone"))
}

fn answer(revision: u64, events: &[(u64, StoreEvent)]) -> StoreAnswer {
    StoreAnswer {
        era: StoreEra::default(),
        events: events.to_vec(),
        revision,
    }
}

fn new_member(number: u8) -> CatalogMember {
    let settings = MemberSettings {
        gossip: address(number),
        seeds: smallvec![address(1)],
    };
    CatalogMember::new(settings, number.into(), Moment::from_millis(1_000))
}

fn zones(tables: &CatalogTables) -> Vec<&str> {
    let zones = tables.catalog().evacuated.iter();
    zones.map(|zone| zone.0.as_str()).collect()
}

/// Creates tables from a store list with these zones evacuated, up to `revision`.
fn listed(zones: &[&str], revision: u64) -> CatalogTables {
    let mut tables = CatalogTables::default();
    let mut events = vec![(1, StoreEvent::Config(config(1, &[80])))];
    events.extend(zones.iter().map(|zone| (2, evacuate(zone))));
    let (changed, errors) = tables.apply_list(answer(revision, &events));
    assert!(changed && errors.is_empty());
    tables
}

enum ZoneInput {
    List(u64, &'static [&'static str]),
    Watch(u64, Vec<(u64, StoreEvent)>),
    /// Delta of a peer that has listed the store up to a revision, with these zones evacuated.
    Peer(u64, &'static [&'static str]),
}

struct OrderCase {
    name: &'static str,
    inputs: Vec<ZoneInput>,
    zones: &'static [&'static str],
}

// Guards against a zone that gets new flows although it is evacuated, or none although its
// evacuation has ended, because an older change is applied after a newer one.
#[test]
fn no_older_change_undoes_a_newer_one() {
    let cases = [
        OrderCase {
            name: "a watch that answers after a newer delta of a peer",
            inputs: vec![
                ZoneInput::Peer(9, &["hall-b"]),
                ZoneInput::Watch(8, vec![(6, evacuate("hall-a")), (8, restore("hall-b"))]),
            ],
            zones: &["hall-b"],
        },
        OrderCase {
            name: "a list that was read before the change",
            inputs: vec![
                ZoneInput::Watch(7, vec![(7, evacuate("hall-a"))]),
                ZoneInput::List(6, &[]),
            ],
            zones: &["hall-a"],
        },
        OrderCase {
            name: "a list after the history was dropped",
            inputs: vec![
                ZoneInput::Watch(7, vec![(7, evacuate("hall-a"))]),
                ZoneInput::List(20, &["hall-c"]),
            ],
            zones: &["hall-c"],
        },
        OrderCase {
            name: "a peer that lags",
            inputs: vec![
                ZoneInput::Watch(8, vec![(7, evacuate("hall-a")), (8, restore("hall-a"))]),
                ZoneInput::Peer(7, &["hall-a"]),
            ],
            zones: &[],
        },
        OrderCase {
            name: "several in one answer",
            inputs: vec![ZoneInput::Watch(
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
        let mut tables = listed(&[], 5);
        for input in case.inputs {
            match input {
                ZoneInput::List(revision, zones) => {
                    let events: Vec<_> = zones.iter().map(|zone| (2, evacuate(zone))).collect();
                    tables.apply_list(answer(revision, &events));
                }
                ZoneInput::Watch(revision, events) => {
                    let (_, errors) = tables.apply_events(answer(revision, &events));
                    assert_eq!(errors, [], "{}", case.name);
                }
                ZoneInput::Peer(revision, zones) => {
                    let delta = listed(zones, revision).delta_since(&tables.head());
                    // Targets are not checked by this test.
                    let applied = tables.apply_delta(delta);
                    assert!(applied.is_ok(), "{}: {applied:?}", case.name);
                }
            }
        }
        assert_eq!(zones(&tables), case.zones, "{}", case.name);
    }
}

// Guards against a balancer that has just started and sends flows into an evacuated zone: it gets
// routes and targets from a peer, and the zones are missing in the first delta of a new process.
#[test]
fn a_new_process_gets_the_zones_with_its_first_catalog() {
    let tables = listed(&["hall-a"], 5);
    let mut fresh = CatalogTables::default();
    assert_eq!(fresh.catalog().zones_revision, StorePosition::default());
    let delta = tables.delta_since(&fresh.head());
    assert_eq!(fresh.apply_delta(delta), Ok(true));
    assert_eq!(zones(&fresh), ["hall-a"]);
    assert_eq!(fresh.catalog(), tables.catalog());
    // An empty set of evacuated zones is information too.
    let tables = listed(&[], 5);
    let mut fresh = CatalogTables::default();
    let delta = tables.delta_since(&fresh.head());
    assert_eq!(fresh.apply_delta(delta), Ok(true));
    assert_eq!(fresh.catalog().zones_revision, 5_u64.into());
}

// Guards against a balancer that places flows in an evacuated zone for longer than the users allow:
// the elected readers die, or are cut off, while the operator evacuates a zone and later ends the
// evacuation.
#[test]
fn an_evacuation_is_known_everywhere_in_time_whatever_happens_to_the_readers() {
    for case in READER_FAULTS {
        let mut group = Group::settled(8, Duration::from_secs(5));
        let readers = group.readers();
        (case.inject)(&mut group, &readers);
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

// Guards against an evacuation that takes more than a second to be known everywhere in normal
// operation, or that costs further calls to the store.
#[test]
fn in_normal_operation_an_evacuation_is_known_everywhere_within_a_second() {
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

// Guards against a balancer that reports ready after its start and holds the packets that it
// receives: it has the configuration but not the zones, so routes alone must not make it ready.
#[test]
fn a_configuration_without_zones_makes_no_balancer_ready() {
    let tables = listed(&["hall-a"], 5);
    let mut member = new_member(3);
    let mut delta = tables.delta_since(&CatalogHead::default());
    let zones = delta.zones.take();
    let answer = |delta| CatalogMessage::Answer {
        sender: address(1),
        age: Duration::ZERO,
        zones_age: Duration::ZERO,
        verification: None,
        delta: Box::new(delta),
    };
    let now = Moment::from_millis(1_000);
    member.accept(answer(delta), now);
    assert!(!member.is_ready());
    let rest = CatalogDelta {
        zones,
        ..CatalogDelta::default()
    };
    member.accept(answer(rest), now);
    assert!(member.is_ready());
}

// Guards against an evacuated zone that gets flows right after a restart of all processes, because
// readiness does not require the zones to be known.
#[test]
fn no_balancer_is_ready_before_the_zones_are_known() {
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
