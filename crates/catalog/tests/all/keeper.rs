//! What a keeper takes and what it refuses.

use lovagelatch_catalog::{CatalogKeeper, StoreAnswer, StoreEvent, TargetName, TargetRow};
use quickcheck::{Arbitrary, Gen, quickcheck};

use crate::support::{config, target};

fn list(events: Vec<(u64, StoreEvent)>, revision: u64) -> StoreAnswer {
    StoreAnswer { events, revision }
}

fn names(keeper: &CatalogKeeper) -> Vec<String> {
    let targets = keeper.catalog().targets.iter();
    let read = targets.filter_map(TargetRow::target);
    read.map(|target| target.name.0.to_string()).collect()
}

fn keeper_with(names: &[&str], revision: u64) -> CatalogKeeper {
    let mut keeper = CatalogKeeper::default();
    let targets = names
        .iter()
        .map(|name| (1, StoreEvent::Target(target(name))));
    let mut events: Vec<_> = targets.collect();
    events.push((2, StoreEvent::Config(config(7, &[80]))));
    let (changed, errors) = keeper.take_list(list(events, revision));
    assert!(changed && errors.is_empty());
    keeper
}

fn unreadable(key: &str, target: Option<&str>) -> StoreEvent {
    StoreEvent::Unreadable {
        key: key.to_owned(),
        reason: "not understood".to_owned(),
        target: target.map(|name| TargetName(name.into())),
    }
}

fn strange(keeper: &CatalogKeeper) -> Vec<String> {
    let rows = keeper.catalog().targets.iter();
    let strange = rows.filter(|row| row.target().is_none());
    strange.map(|row| row.name().0.to_string()).collect()
}

// Symptom: one bad entry in the store makes all targets disappear, or a target that an unreadable
// entry names gets new flows. Cause: a list with a value that does not decode was refused as a whole,
// or what had been read under that name before was kept.
#[test]
fn an_unreadable_entry_names_no_target_and_hides_no_other() {
    let mut keeper = keeper_with(&["i-1", "i-2"], 5);
    let events = vec![
        (6, unreadable("servers/i-1", Some("i-1"))),
        (3, StoreEvent::Target(target("i-2"))),
        (4, StoreEvent::Target(target("i-3"))),
        (7, unreadable("op/config", None)),
    ];
    let (changed, errors) = keeper.take_list(list(events, 8));
    assert!(changed);
    assert_eq!(errors.len(), 2);
    assert_eq!(names(&keeper), ["i-2", "i-3"]);
    assert_eq!(strange(&keeper), ["i-1"]);
    assert_eq!(keeper.catalog().version.0, 7);
    assert_eq!(keeper.catalog().routes.len(), 1);
}

struct UnreadCase {
    name: &'static str,
    /// What the store lists first, by revision 5.
    first: Vec<StoreEvent>,
    /// What a watch brings after it.
    then: Vec<StoreEvent>,
    strange: &'static [&'static str],
}

// Symptom: two balancers take the store's list again and again while one entry in it cannot be read.
// Sequence: one knew the target before and kept its last record, the other started since. Cause: what
// a balancer held depended on more than what the store held.
#[test]
fn what_is_held_depends_on_the_store_alone() {
    let garbage = |name: &str| unreadable(&format!("servers/{name}"), Some(name));
    let listed = |name: &str| StoreEvent::Target(target(name));
    let case = |name, first, then, strange| UnreadCase {
        name,
        first,
        then,
        strange,
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
            "it is whole again",
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
        let mut follows = CatalogKeeper::default();
        let at = |revision| move |event| (revision, event);
        let first: Vec<_> = case.first.iter().cloned().map(at(5)).collect();
        follows.take_list(list(first, 5));
        let then: Vec<_> = case.then.iter().cloned().map(at(6)).collect();
        follows.take_events(list(then, 6));
        assert_eq!(strange(&follows), case.strange, "{}", case.name);
        // One that starts now reads the outcome.
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
        let mut starts = CatalogKeeper::default();
        starts.take_list(list(outcome, follows.head().targets.revision));
        assert_eq!(
            starts.head().targets,
            follows.head().targets,
            "{}",
            case.name
        );
    }
}

// Symptom: a target that left comes back for a moment. Sequence: a peer tells of revision 9; then
// the answer of a watch that began at 5 arrives. Cause: events that were already known were
// applied again.
#[test]
fn old_events_change_nothing() {
    let mut keeper = keeper_with(&["i-1"], 5);
    let mut peer = keeper.clone();
    let events = vec![
        (6, StoreEvent::Target(target("i-2"))),
        (9, StoreEvent::TargetRemoved(TargetName("i-2".into()))),
    ];
    peer.take_events(list(events.clone(), 9));
    let delta = peer.delta_since(&keeper.head());
    assert_eq!(keeper.take_delta(delta), Ok(true));
    let late = vec![events[0].clone(), (8, StoreEvent::Config(config(8, &[81])))];
    keeper.take_events(list(late, 8));
    assert_eq!(names(&keeper), ["i-1"]);
    assert_eq!(keeper.catalog().version.0, 8, "the configuration was new");
    // A list that was read before all that.
    keeper.take_list(list(vec![(2, StoreEvent::Config(config(7, &[80])))], 5));
    assert_eq!(names(&keeper), ["i-1"]);
    assert_eq!(keeper.catalog().version.0, 8);
}

#[test]
fn a_delta_brings_a_peer_to_the_same_state() {
    let mut keeper = keeper_with(&["i-1"], 5);
    let mut peer = CatalogKeeper::default();
    peer.take_delta(keeper.delta_since(&peer.head()))
        .expect("whole");
    assert_eq!(peer.catalog(), keeper.catalog());
    keeper.take_events(list(
        vec![
            (6, StoreEvent::Target(target("i-2"))),
            (7, StoreEvent::Config(config(9, &[80, 81]))),
        ],
        7,
    ));
    let delta = keeper.delta_since(&peer.head());
    let routes = delta.config.as_ref().expect("the configuration changed");
    assert_eq!(routes.routes.changed.len(), 1, "only the new route travels");
    peer.take_delta(delta).expect("a fit");
    assert_eq!(peer.catalog(), keeper.catalog());
    assert_eq!(peer.head(), keeper.head());
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
    /// Whoever watches in any portions ends where one that reads the end state begins.
    fn a_watch_in_portions_equals_the_list(history: History, portion: u8) -> bool {
        let mut watching = keeper_with(&["i-0"], 5);
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
            watching.take_events(list(portion.to_vec(), revision));
        }
        let expected: Vec<_> = state.iter().map(|number| format!("i-{number}")).collect();
        names(&watching) == expected
    }
}
