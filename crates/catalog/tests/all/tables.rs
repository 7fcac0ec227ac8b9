//! Changes that the catalog tables apply and reject.

use lovagelatch_catalog::{
    CatalogError, CatalogTables, StoreAnswer, StoreEvent, TargetName, TargetRow,
};
use lovagelatch_domain::{ConfigRevision, StoreEra, StorePosition};
use quickcheck::{Arbitrary, Gen, quickcheck};

use crate::support::{config, target};

fn list(events: Vec<(u64, StoreEvent)>, revision: u64) -> StoreAnswer {
    StoreAnswer {
        era: StoreEra::default(),
        events,
        revision,
    }
}

fn names(tables: &CatalogTables) -> Vec<String> {
    let targets = tables.catalog().targets.iter();
    let read = targets.filter_map(TargetRow::target);
    read.map(|target| target.name.0.to_string()).collect()
}

fn tables_with(names: &[&str], revision: u64) -> CatalogTables {
    let mut tables = CatalogTables::default();
    let targets = names
        .iter()
        .map(|name| (1, StoreEvent::Target(target(name))));
    let mut events: Vec<_> = targets.collect();
    events.push((2, StoreEvent::Config(config(7, &[80]))));
    let (changed, errors) = tables.apply_list(list(events, revision));
    assert!(changed && errors.is_empty());
    tables
}

fn unreadable(key: &str, target: Option<&str>) -> StoreEvent {
    StoreEvent::Unreadable {
        key: key.to_owned(),
        reason: "not understood".to_owned(),
        target: target.map(|name| TargetName(name.into())),
    }
}

fn unreadable_names(tables: &CatalogTables) -> Vec<String> {
    let rows = tables.catalog().targets.iter();
    let unreadable = rows.filter(|row| row.target().is_none());
    unreadable.map(|row| row.name().0.to_string()).collect()
}

// Guards against one bad entry in the store that makes all targets disappear, because a list with
// an undecodable value is rejected as a whole; and against a target whose entry cannot be decoded
// but which gets new flows, because the previous record of that name is kept.
#[test]
fn an_unreadable_entry_provides_no_target_and_hides_no_other() {
    let mut tables = tables_with(&["i-1", "i-2"], 5);
    let events = vec![
        (6, unreadable("servers/i-1", Some("i-1"))),
        (3, StoreEvent::Target(target("i-2"))),
        (4, StoreEvent::Target(target("i-3"))),
        (7, unreadable("op/config", None)),
    ];
    let (changed, errors) = tables.apply_list(list(events, 8));
    assert!(changed);
    assert_eq!(errors.len(), 2);
    assert_eq!(names(&tables), ["i-2", "i-3"]);
    assert_eq!(unreadable_names(&tables), ["i-1"]);
    assert_eq!(tables.catalog().version.0, 7);
    assert_eq!(tables.catalog().routes.len(), 1);
}

struct UnreadableCase {
    name: &'static str,
    /// Entries of the first list, at revision 5.
    first: Vec<StoreEvent>,
    /// Events of the watch that follows.
    then: Vec<StoreEvent>,
    unreadable_names: &'static [&'static str],
}

// Guards against two balancers that list the store again and again while one entry cannot be
// decoded. One knew the target and kept its last record, the other has started since, so the
// catalog of a balancer depends on more than the content of the store.
#[test]
fn the_catalog_depends_on_the_store_alone() {
    let garbage = |name: &str| unreadable(&format!("servers/{name}"), Some(name));
    let listed = |name: &str| StoreEvent::Target(target(name));
    let case = |name, first, then, unreadable_names| UnreadableCase {
        name,
        first,
        then,
        unreadable_names,
    };
    let cases = [
        case("all are read", vec![listed("i-1")], vec![], &[]),
        case(
            "one is garbage",
            vec![listed("i-1"), garbage("i-2")],
            vec![],
            &["i-2"],
        ),
        case(
            "it is readable again",
            vec![garbage("i-2")],
            vec![listed("i-2")],
            &[],
        ),
        case(
            "it is removed",
            vec![garbage("i-2")],
            vec![StoreEvent::TargetRemoved(TargetName("i-2".into()))],
            &[],
        ),
        case(
            "a known one turns to garbage",
            vec![listed("i-1")],
            vec![garbage("i-1")],
            &["i-1"],
        ),
        case(
            "a new one is garbage",
            vec![listed("i-1")],
            vec![garbage("i-2")],
            &["i-2"],
        ),
    ];
    for case in cases {
        let mut watching = CatalogTables::default();
        let at = |revision| move |event| (revision, event);
        let first: Vec<_> = case.first.iter().cloned().map(at(5)).collect();
        watching.apply_list(list(first, 5));
        let then: Vec<_> = case.then.iter().cloned().map(at(6)).collect();
        watching.apply_events(list(then, 6));
        assert_eq!(
            unreadable_names(&watching),
            case.unreadable_names,
            "{}",
            case.name
        );
        // A new process lists the final state.
        let name_of = |event: &StoreEvent| match event {
            StoreEvent::Target(target) => Some(target.name.clone()),
            StoreEvent::TargetRemoved(name) => Some(name.clone()),
            StoreEvent::Unreadable { target, .. } => target.clone(),
            StoreEvent::Config(_) | StoreEvent::ZoneEvacuated(_) | StoreEvent::ZoneRestored(_) => {
                None
            }
        };
        let replaced: Vec<_> = case.then.iter().map(name_of).collect();
        let kept = case
            .first
            .iter()
            .filter(|event| !replaced.contains(&name_of(event)));
        let added = case.then.iter();
        let added = added.filter(|event| !matches!(event, StoreEvent::TargetRemoved(_)));
        let outcome: Vec<_> = kept.chain(added).cloned().map(at(6)).collect();
        let mut listing = CatalogTables::default();
        listing.apply_list(list(outcome, watching.position().revision));
        assert_eq!(
            listing.head().targets,
            watching.head().targets,
            "{}",
            case.name
        );
    }
}

// Guards against a removed target that reappears for a moment: a peer reports revision 9, then the
// answer of a watch from revision 5 arrives, and known events are applied again.
#[test]
fn old_events_change_nothing() {
    let mut tables = tables_with(&["i-1"], 5);
    let mut peer = tables.clone();
    let events = vec![
        (6, StoreEvent::Target(target("i-2"))),
        (9, StoreEvent::TargetRemoved(TargetName("i-2".into()))),
    ];
    peer.apply_events(list(events.clone(), 9));
    let delta = peer.delta_since(&tables.head());
    assert_eq!(tables.apply_delta(delta), Ok(true));
    let late = vec![events[0].clone(), (8, StoreEvent::Config(config(8, &[81])))];
    tables.apply_events(list(late, 8));
    assert_eq!(names(&tables), ["i-1"]);
    assert_eq!(tables.catalog().version.0, 8, "the configuration was new");
    // A list that was read before these changes.
    tables.apply_list(list(vec![(2, StoreEvent::Config(config(7, &[80])))], 5));
    assert_eq!(names(&tables), ["i-1"]);
    assert_eq!(tables.catalog().version.0, 8);
}

#[test]
fn a_later_version_at_an_old_revision_is_in_force() {
    let mut tables = tables_with(&["i-1"], 5);
    let events = vec![(1, StoreEvent::Config(config(8, &[81])))];
    let (changed, errors) = tables.apply_events(list(events, 5));
    assert!(changed && errors.is_empty());
    assert_eq!(tables.catalog().version.0, 8);
}

// Guards against a configuration that comes back with the copy that the store came back from.
#[test]
fn an_older_version_of_a_later_list_is_refused_and_reported() {
    let mut tables = tables_with(&["i-1"], 5);
    let events = vec![(4, StoreEvent::Config(config(6, &[81])))];
    let answer = StoreAnswer {
        era: StoreEra(1),
        events,
        revision: 4,
    };
    let (changed, errors) = tables.apply_list(answer);
    let expected = CatalogError::OutdatedConfig {
        version: ConfigRevision(6),
        held: ConfigRevision(7),
    };
    assert_eq!(errors, [expected]);
    assert!(changed, "the target is gone");
    assert_eq!(tables.catalog().version.0, 7);
    assert_eq!(tables.catalog().routes[0].address.port(), 80);
    // The one in force may be reported again.
    let events = vec![(5, StoreEvent::Config(config(7, &[80])))];
    let (_changed, errors) = tables.apply_events(list(events, 5));
    assert!(errors.is_empty());
}

struct PositionCase {
    name: &'static str,
    earlier: (u64, u64),
    later: (u64, u64),
}

#[test]
fn table_revisions_are_ordered_by_era_and_then_by_revision() {
    let cases = [
        PositionCase {
            name: "revisions of one era",
            earlier: (3, 8),
            later: (3, 9),
        },
        PositionCase {
            name: "a revision given out again",
            earlier: (3, 9),
            later: (4, 8),
        },
        PositionCase {
            name: "a store that names no era, and one that does",
            earlier: (0, 900_000_000_000),
            later: (1, 1),
        },
        PositionCase {
            name: "revisions above 40 bits",
            earlier: (0, 1 << 40),
            later: (0, (1 << 40) + 1),
        },
        PositionCase {
            name: "revisions that pass 40 bits",
            earlier: (0, (1 << 40) - 1),
            later: (0, 1 << 40),
        },
        PositionCase {
            name: "the largest revisions",
            earlier: (0, u64::MAX - 1),
            later: (0, u64::MAX),
        },
        PositionCase {
            name: "the largest revision of an era, and a later era",
            earlier: (1, u64::MAX),
            later: (2, 1),
        },
        PositionCase {
            name: "eras that pass 24 bits",
            earlier: ((1 << 24) - 1, 9),
            later: (1 << 24, 8),
        },
        PositionCase {
            name: "the largest eras",
            earlier: (u64::MAX - 1, 9),
            later: (u64::MAX, 8),
        },
        PositionCase {
            name: "eras that are times of day",
            earlier: (1_796_314_093, 9),
            later: (1_796_314_094, 8),
        },
    ];
    let position = |(era, revision)| StorePosition::new(StoreEra(era), revision);
    let encode = |position: StorePosition| postcard::to_stdvec(&position).expect("encoded");
    let number = |position| postcard::from_bytes::<u128>(&encode(position)).expect("a number");
    for case in cases {
        let (earlier, later) = (position(case.earlier), position(case.later));
        assert!(earlier < later, "{}", case.name);
        assert!(number(earlier) < number(later), "{}", case.name);
        for known in [earlier, later] {
            let decoded = postcard::from_bytes(&encode(known));
            assert_eq!(decoded, Ok(known), "{}", case.name);
        }
    }
    let known = position((7, 12));
    assert_eq!(postcard::from_bytes(&encode(known)), Ok(known));
    // Earlier releases write and read the revision alone.
    let first_era = position((0, u64::MAX));
    let revision = postcard::to_stdvec(&first_era.revision).expect("encoded");
    assert_eq!(encode(first_era), revision);
}

#[test]
fn a_delta_brings_a_peer_to_the_same_state() {
    let mut tables = tables_with(&["i-1"], 5);
    let mut peer = CatalogTables::default();
    peer.apply_delta(tables.delta_since(&peer.head()))
        .expect("a full delta");
    assert_eq!(peer.catalog(), tables.catalog());
    tables.apply_events(list(
        vec![
            (6, StoreEvent::Target(target("i-2"))),
            (7, StoreEvent::Config(config(9, &[80, 81]))),
        ],
        7,
    ));
    let delta = tables.delta_since(&peer.head());
    let routes = delta.config.as_ref().expect("the configuration changed");
    assert_eq!(routes.routes.changed.len(), 1, "only the new route is sent");
    peer.apply_delta(delta).expect("a delta that fits");
    assert_eq!(peer.catalog(), tables.catalog());
    assert_eq!(peer.head(), tables.head());
}

/// Writes and removals of a few targets.
#[derive(Clone, Debug)]
struct History(Vec<(u8, bool)>);

impl Arbitrary for History {
    fn arbitrary(source: &mut Gen) -> Self {
        let length = usize::arbitrary(source) % 40;
        let one = |source: &mut Gen| (u8::arbitrary(source) % 6, bool::arbitrary(source));
        Self((0..length).map(|_| one(source)).collect())
    }
}

quickcheck! {
    /// A watch in portions of any size ends in the state that a list of the final state gives.
    fn a_watch_in_portions_equals_the_list(history: History, portion: u8) -> bool {
        let mut watching = tables_with(&["i-0"], 5);
        let mut state: std::collections::BTreeSet<u8> = [0].into();
        let mut events = Vec::new();
        for (revision, (number, written)) in (6..).zip(history.0) {
            let name = format!("i-{number}");
            events.push((revision, if written {
                state.insert(number);
                StoreEvent::Target(target(&name))
            } else {
                state.remove(&number);
                StoreEvent::TargetRemoved(TargetName(name.into()))
            }));
        }
        for portion in events.chunks(usize::from(portion % 7) + 1) {
            let revision = portion.last().map_or(5, |(revision, _)| *revision);
            watching.apply_events(list(portion.to_vec(), revision));
        }
        let expected: Vec<_> = state.iter().map(|number| format!("i-{number}")).collect();
        names(&watching) == expected
    }
}
