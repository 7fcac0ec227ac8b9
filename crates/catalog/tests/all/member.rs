//! Tests of how a group of balancers follows the store.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_catalog::{
    CatalogAction, CatalogMember, CatalogMessage, CatalogNotice, HeadMessage, MAX_REFUSED_NOTICES,
    MAX_UNUSABLE_VALUES, MemberSettings, PublishedConfig, StoreAnswer, StoreCall, StoreEvent,
    StoreFailure, TargetName, UnusableValue, ValueDefault, ValueOwner,
};
use lovagelatch_domain::{Moment, StoreEra};
use smallvec::smallvec;

use crate::support::{FakeStore, Group, READER_FAULTS, address, config, target};

/// The time that the users allow for a configuration to come into force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn settled(count: u8) -> Group {
    Group::settled(count, Duration::from_secs(5))
}

#[test]
fn a_change_is_in_force_everywhere_at_once() {
    let mut group = settled(8);
    group.change(4);
    group.run(Duration::from_secs(1));
    assert!(
        group.versions().iter().all(|version| *version == 4),
        "{:?}",
        group.versions()
    );
}

#[test]
fn two_balancers_read_for_all() {
    let mut group = settled(8);
    assert_eq!(group.readers().len(), 2);
    let before = group.store.calls;
    group.run(Duration::from_secs(30));
    // One reader waits 1.5 s per call, the other 5 s.
    let calls = group.store.calls - before;
    assert!((20..=30).contains(&calls), "{calls} calls in 30 s");
}

// Guards against a balancer that sends flows by an old configuration: the elected readers die, or
// are cut off from the store or from the other balancers, the operator changes something, and the
// others wait for heads that no balancer sends.
#[test]
fn a_change_is_in_force_in_time_whatever_happens_to_the_readers() {
    for case in READER_FAULTS {
        let mut group = settled(8);
        let readers = group.readers();
        (case.inject)(&mut group, &readers);
        group.change(4);
        group.run(APPLY_LIMIT - Duration::from_millis(200));
        let late = group
            .versions()
            .iter()
            .filter(|version| **version != 4)
            .count();
        // A balancer that is cut off from both the store and its peers cannot know.
        assert_eq!(late, 0, "{}: {:?}", case.name, group.versions());
    }
}

// Guards against changes that arrive two seconds late, every few seconds. Both readers are cut off
// from the store for a long time, and others take over. If the old readers become candidates again
// without having reached the store, the new ones step back.
#[test]
fn readers_that_stay_cut_off_are_not_elected_again() {
    let mut group = settled(8);
    for reader in group.readers() {
        group.node(reader).store_cut = true;
    }
    group.run(Duration::from_secs(4));
    for version in 2..40 {
        group.change(version);
        group.run(Duration::from_millis(700));
        let late = group
            .versions()
            .iter()
            .filter(|held| **held != version)
            .count();
        assert_eq!(late, 0, "{version}: {:?}", group.versions());
    }
}

#[test]
fn a_new_balancer_gets_the_catalog_from_its_peers() {
    let mut group = settled(4);
    group.failure = Some(StoreFailure::Refused);
    group.add(9);
    group.run(Duration::from_secs(1));
    assert_eq!(group.node(9).catalog.version.0, 1);
    assert!(group.node(9).member.is_ready());
}

fn fresh_member(number: u8, now: Moment) -> CatalogMember {
    let settings = MemberSettings {
        gossip: address(number),
        seeds: smallvec![address(1), address(2)],
    };
    CatalogMember::new(settings, number.into(), now)
}

fn calls(actions: &[CatalogAction]) -> Vec<StoreCall> {
    let calls = actions.iter().filter_map(|action| match action {
        CatalogAction::Call(call) => Some(*call),
        _ => None,
    });
    calls.collect()
}

fn heads_to(actions: &[CatalogAction], peer: SocketAddrV4) -> Vec<CatalogMessage> {
    let heads = actions.iter().filter_map(|action| match action {
        CatalogAction::Send { to, message } if *to == peer => Some(message.clone()),
        _ => None,
    });
    heads.collect()
}

// Guards against a quarter of a second after a power loss in which all processes run and the store
// answers, but nothing is served. Every process is new, and each waits some milliseconds to hear
// another one. The end of that wait must not have to wait for the next tick.
#[test]
fn a_new_balancer_calls_the_store_within_twenty_milliseconds() {
    let start = Moment::from_millis(1_000);
    for number in 1..=50 {
        let mut member = fresh_member(number, start);
        assert!(calls(&member.advance(start)).is_empty());
        let due = member.next_due(start).expect("a first call");
        assert!(due.since(start) <= Duration::from_millis(20));
        assert_eq!(calls(&member.advance(due)), [StoreCall::List]);
        let next = member.next_due(due).expect("a head");
        assert!(
            calls(&member.advance(next)).is_empty(),
            "one call at a time"
        );
        let failed = Err(StoreFailure::Refused);
        member.store_answered(StoreCall::List, failed, next);
        let (mut now, mut again) = (next, Vec::new());
        while again.is_empty() {
            now = member.next_due(now).expect("another call");
            again = calls(&member.advance(now));
        }
        assert!(now.since(next) <= Duration::from_millis(150));
    }
}

// Guards against balancers that treat no flow as lost until a second after a power loss. All start
// at once, the configured seeds last, so the first heads reach nobody. If an unanswered discovery
// head is repeated only at the regular interval, the others wait half a second, prolonged by each
// change of the catalog.
#[test]
fn a_balancer_contacts_its_seeds_until_one_answers() {
    let start = Moment::from_millis(1_000);
    let mut early = fresh_member(3, start);
    let (mut now, mut heads) = (start, 0);
    while now.since(start) < Duration::from_millis(400) {
        let actions = early.advance(now);
        heads += heads_to(&actions, address(1)).len();
        now = early.next_due(now).expect("a head or a call");
    }
    assert_eq!(heads, 8);
    // The seed that starts late sends heads only to other seeds.
    let mut seed = fresh_member(1, now);
    let discovery = heads_to(&early.advance(now), address(1));
    let answers = heads_to(&seed.accept(discovery[0].clone(), now), address(3));
    early.accept(answers[0].clone(), now);
    assert!(early.is_informed(now) && seed.is_informed(now));
    // After the next head, it sends regular heads only.
    let after = |millis| now + Duration::from_millis(millis);
    let regular =
        [50, 100, 300, 549].map(|at| heads_to(&early.advance(after(at)), address(1)).len());
    assert_eq!(regular, [1, 0, 0, 0]);
}

// Guards against two thirds of a quiet day's store calls in its first second. The balancers start
// before the operator writes the first configuration; each list is empty and answered at once.
// Without a configuration, an answer must not lead to another list.
#[test]
fn a_store_without_a_configuration_is_watched() {
    let mut group = Group::new(4);
    group.store = FakeStore::default();
    group.store.revision = 1;
    group.run(Duration::from_secs(5));
    // One list each, then watches of 1.5 s and more.
    assert!(group.store.calls <= 20, "{} calls", group.store.calls);
    group.store.write(StoreEvent::Config(config(1, &[80])));
    group.run(Duration::from_millis(300));
    assert_eq!(group.versions(), [1; 4]);
}

// Guards against lost flows that are not reported for half a second after a power loss. All
// balancers start at once, and each sends heads to its seeds. Without a reply, each waits for the
// regular head of the other to know whether the store had failed.
#[test]
fn balancers_that_start_together_answer_each_other_once() {
    let start = Moment::from_millis(1_000);
    let (mut one, mut two) = (fresh_member(1, start), fresh_member(2, start));
    let to_two = heads_to(&one.advance(start), address(2));
    let [discovery] = to_two.as_slice() else {
        panic!("{to_two:?}");
    };
    let answers = heads_to(&two.accept(discovery.clone(), start), address(1));
    let [answer] = answers.as_slice() else {
        panic!("{answers:?}");
    };
    assert!(!one.is_informed(start));
    let replies = heads_to(&one.accept(answer.clone(), start), address(2));
    assert!(one.is_informed(start) && two.is_informed(start));
    assert!(replies.is_empty(), "{replies:?}");
}

#[test]
fn a_balancer_that_knows_nothing_is_not_ready() {
    let mut group = Group::new(1);
    group.failure = Some(StoreFailure::Unanswered);
    group.run(Duration::from_secs(10));
    assert!(!group.node(1).member.is_ready());
    group.failure = None;
    group.run(Duration::from_secs(2));
    assert!(group.node(1).member.is_ready());
}

// Guards against a removed target that gets flows forever. The store drops its history while a
// target leaves, and the watch fails because its history is gone. If the watch continues from the
// newest revision, it misses the removal.
#[test]
fn a_lost_history_leads_to_a_new_list() {
    let mut group = settled(4);
    group.store.write(StoreEvent::Target(target("i-2")));
    group.run(Duration::from_secs(2));
    for number in 1..=4 {
        group.node(number).store_cut = true;
    }
    group.run(Duration::from_secs(4));
    group
        .store
        .write(StoreEvent::TargetRemoved(target("i-1").name));
    group.store.compacted = group.store.revision;
    for number in 1..=4 {
        group.node(number).store_cut = false;
    }
    group.run(Duration::from_secs(4));
    for node in group.nodes.values() {
        let names: Vec<_> = node
            .catalog
            .targets
            .iter()
            .map(|row| &*row.name().0)
            .collect();
        assert_eq!(names, ["i-2"]);
    }
}

#[test]
fn a_catalog_too_large_for_a_datagram_goes_by_stream() {
    let mut group = settled(4);
    group.large = true;
    group.change(4);
    group.add(9);
    group.run(Duration::from_secs(2));
    assert!(
        group.versions().iter().all(|version| *version == 4),
        "{:?}",
        group.versions()
    );
}

// Guards against balancers that serve nothing for up to a second after the store is back, following
// a power loss during an outage of the store. All start during the outage, and the backoff of each
// grows. A balancer without a catalog must not use the backoff of one that can serve.
#[test]
fn balancers_without_a_catalog_notice_the_recovery_of_the_store_at_once() {
    let mut group = Group::new(8);
    group.failure = Some(StoreFailure::Unanswered);
    group.run(Duration::from_secs(5));
    let before = group.store.calls;
    group.run(Duration::from_secs(2));
    let calls = group.store.calls - before;
    assert!(calls <= 50, "{calls} calls in 2 s of 8 balancers");
    group.failure = None;
    group.run(Duration::from_millis(450));
    assert!(group.nodes.values().all(|node| node.member.is_ready()));
}

// Guards against charges for the store that rise while it is down: it refuses all calls, which are
// charged like others, and every balancer retries at once.
#[test]
fn a_store_that_refuses_calls_is_not_overloaded() {
    let mut group = settled(8);
    let before = group.store.calls;
    group.failure = Some(StoreFailure::Refused);
    group.run(Duration::from_secs(10));
    let calls = group.store.calls - before;
    assert!(calls <= 80, "{calls} calls in 10 s of 8 balancers");
    group.failure = None;
    group.change(4);
    group.run(Duration::from_millis(1_500));
    assert!(
        group.versions().iter().all(|version| *version == 4),
        "{:?}",
        group.versions()
    );
}

#[test]
fn failure_and_recovery_of_the_store_are_reported_once() {
    let mut group = settled(1);
    group.node(1).notices.clear();
    group.failure = Some(StoreFailure::Refused);
    group.run(Duration::from_secs(5));
    group.failure = None;
    group.run(Duration::from_secs(5));
    let notices = &group.node(1).notices;
    let failed = CatalogNotice::StoreFailed(StoreFailure::Refused);
    assert_eq!(
        notices.iter().filter(|notice| **notice == failed).count(),
        1
    );
    let recovered = CatalogNotice::StoreRecovered;
    assert_eq!(
        notices
            .iter()
            .filter(|notice| **notice == recovered)
            .count(),
        1
    );
}

// Guards against a new balancer that resets flows whose targets are alive. The store recovers from
// an outage without the entries that expired; a balancer starts, lists the store, and cannot know
// of the outage unless another balancer reports it.
#[test]
fn a_new_balancer_learns_of_an_earlier_store_failure() {
    let mut group = settled(3);
    group.failure = Some(StoreFailure::Unanswered);
    group.run(Duration::from_secs(4));
    group.failure = None;
    group.add(9);
    group.run(Duration::from_secs(1));
    let now = group.now;
    let failure = group
        .node(9)
        .member
        .last_store_failure()
        .expect("a failure");
    assert!(now.since(failure) < Duration::from_secs(3));
}

#[test]
fn the_store_recovers_with_its_first_answer_after_the_last_failure() {
    let start = Moment::from_millis(1_000);
    let at = |millis| start + Duration::from_millis(millis);
    let mut member = fresh_member(1, start);
    let list = StoreCall::List;
    let answer = || Ok(StoreAnswer::default());
    member.store_answered(list, answer(), at(10));
    assert_eq!(member.store_recovered_at(), None, "there was no failure");
    member.store_answered(list, Err(StoreFailure::Refused), at(100));
    assert_eq!(member.store_recovered_at(), None);
    member.store_answered(list, answer(), at(300));
    member.store_answered(list, answer(), at(900));
    assert_eq!(
        member.store_recovered_at(),
        Some(at(300)),
        "the first, not the last"
    );
    member.store_answered(list, Err(StoreFailure::Unanswered), at(1_000));
    assert_eq!(member.store_recovered_at(), None);
    // A balancer with the same state reports when the store answered it.
    let mut other = fresh_member(2, start);
    other.store_answered(list, answer(), at(1_500));
    let head = heads_to(&other.advance(at(1_700)), address(1));
    member.accept(head[0].clone(), at(1_700));
    assert_eq!(member.store_recovered_at(), Some(at(1_500)));
}

#[test]
fn a_new_balancer_is_informed_by_a_message_or_by_timeout() {
    let mut group = settled(2);
    group.add(9);
    let now = group.now;
    assert!(!group.node(9).member.is_informed(now));
    group.run(Duration::from_millis(200));
    let now = group.now;
    assert!(group.node(9).member.is_informed(now));
    let mut alone = Group::new(1);
    alone.run(Duration::from_millis(900));
    let now = alone.now;
    assert!(!alone.node(1).member.is_informed(now));
    alone.run(Duration::from_millis(200));
    let now = alone.now;
    assert!(alone.node(1).member.is_informed(now));
}

#[test]
fn notices_name_the_source_of_a_change() {
    let mut group = settled(8);
    group.change(4);
    group.run(Duration::from_secs(1));
    let readers = group.readers();
    for (at, node) in &group.nodes {
        let source = node.notices.iter().rev().find_map(|notice| match notice {
            CatalogNotice::Applied { from, .. } => Some(*from),
            _ => None,
        });
        let source = source.expect("it took the change");
        if !readers.contains(&at.ip().octets()[3]) {
            assert!(source.is_some_and(|from| from != *at && from.port() == address(1).port()));
        }
    }
}

// Guards against a default that is used without a trace, or is logged by all balancers of a fleet.
#[test]
fn values_that_cannot_be_used_are_noted_by_the_reader_when_they_take_effect() {
    let mut group = settled(8);
    let value = UnusableValue {
        owner: ValueOwner::Route("r-80".to_owned()),
        field: "priority".into(),
        default: ValueDefault::Priority(255),
    };
    let noted = |group: &Group| -> Vec<_> {
        let nodes = group.nodes.iter();
        let notices = nodes.flat_map(|(at, node)| node.notices.iter().map(move |it| (at, it)));
        let defaults = notices.filter_map(|(at, notice)| match notice {
            CatalogNotice::DefaultUsed { version, value } => {
                Some((at.ip().octets()[3], version.0, value.clone()))
            }
            _ => None,
        });
        defaults.collect()
    };
    group.store.write(StoreEvent::Config(PublishedConfig {
        unusable: vec![value.clone(); MAX_UNUSABLE_VALUES + 5],
        ..config(4, &[80])
    }));
    group.run(Duration::from_secs(5));
    assert!(group.versions().iter().all(|version| *version == 4));
    let readers = group.readers();
    let first = noted(&group);
    assert!(!first.is_empty());
    for &reader in &readers {
        let lines = first.iter().filter(|(at, ..)| *at == reader).count();
        assert!(lines == 0 || lines == MAX_UNUSABLE_VALUES, "{lines} lines");
    }
    assert!(
        first
            .iter()
            .all(|(at, version, noted)| readers.contains(at) && *version == 4 && *noted == value),
        "{first:?}"
    );
    // The same configuration is not noted again, an older one does not take effect.
    group.store.write(StoreEvent::Config(PublishedConfig {
        unusable: vec![value],
        ..config(3, &[80])
    }));
    group.run(Duration::from_secs(10));
    assert_eq!(noted(&group).len(), first.len());
}

struct OverdueCase {
    name: &'static str,
    /// When another balancer reports an answer of the store, in milliseconds after the start of the
    /// watch.
    answered: Option<u64>,
    /// When the watch fails, in milliseconds after its start.
    fails: u64,
    /// The expected time of the last store failure, in milliseconds after the start of the watch.
    expected: u64,
}

// Guards against a store that counts as failing until an old watch is overdue, although it has
// answered others since.
#[test]
fn an_overdue_watch_shows_no_failure_after_later_answers_of_the_store() {
    let cases = [
        OverdueCase {
            name: "the store has answered others since",
            answered: Some(4_000),
            fails: 5_700,
            expected: 0,
        },
        OverdueCase {
            name: "the store has answered no other balancer since",
            answered: None,
            fails: 5_700,
            expected: 5_700,
        },
        OverdueCase {
            name: "it fails before it is overdue",
            answered: Some(400),
            fails: 500,
            expected: 500,
        },
    ];
    for case in cases {
        let mut group = Group::settled(1, Duration::from_secs(2));
        let started = group.now + Duration::from_secs(10);
        let member = &mut group.node(1).member;
        let head = member.status(started).head;
        // The watch in flight ends, and the next one starts.
        let wait = Duration::from_millis(1_500);
        let ended = StoreCall::Watch { after: 0, wait };
        let answer = StoreAnswer {
            era: StoreEra::default(),
            events: Vec::new(),
            revision: head.routes.revision,
        };
        let actions = member.store_answered(ended, Ok(answer), started);
        let call = calls(&actions)[0];
        if let Some(answered) = case.answered {
            let at = started + Duration::from_millis(answered);
            let message = HeadMessage {
                sender: address(2),
                head,
                age: Duration::ZERO,
                reads: true,
                trouble: None,
                era_settles_in: None,
                leaving: false,
                peers: smallvec![address(1)],
                readers: smallvec![],
            };
            member.accept(CatalogMessage::Head(message), at);
        }
        let now = started + Duration::from_millis(case.fails);
        member.store_answered(call, Err(StoreFailure::Unanswered), now);
        let expected = started + Duration::from_millis(case.expected);
        assert_eq!(member.last_store_failure(), Some(expected), "{}", case.name);
    }
}

struct CutOffCase {
    name: &'static str,
    balancers: u8,
    store_cut: bool,
    peers_cut: bool,
    expected: bool,
}

// Guards against a balancer that still vouches for zones when it can no longer learn of an
// evacuation.
#[test]
fn a_balancer_that_hears_neither_the_store_nor_a_peer_is_cut_off() {
    let cases = [
        CutOffCase {
            name: "connected to both",
            balancers: 4,
            store_cut: false,
            peers_cut: false,
            expected: false,
        },
        CutOffCase {
            name: "the others relay confirmations of the store",
            balancers: 4,
            store_cut: true,
            peers_cut: false,
            expected: false,
        },
        CutOffCase {
            name: "it reads the store itself",
            balancers: 4,
            store_cut: false,
            peers_cut: true,
            expected: false,
        },
        CutOffCase {
            name: "cut off from both",
            balancers: 4,
            store_cut: true,
            peers_cut: true,
            expected: true,
        },
        CutOffCase {
            name: "there is no other",
            balancers: 1,
            store_cut: true,
            peers_cut: false,
            expected: false,
        },
    ];
    for case in cases {
        let mut group = Group::settled(case.balancers, Duration::from_secs(5));
        let last = case.balancers;
        if last == 1 {
            group.node(last).member.set_seeds(&[address(last)]);
        }
        group.node(last).store_cut = case.store_cut;
        group.node(last).peers_cut = case.peers_cut;
        group.run(Duration::from_secs(4));
        let now = group.now;
        let cut_off = group.node(last).member.is_cut_off(now);
        assert_eq!(cut_off, case.expected, "{}", case.name);
        // It ends as soon as the store or another balancer is heard again.
        group.node(last).store_cut = false;
        group.node(last).peers_cut = false;
        group.run(Duration::from_secs(2));
        let now = group.now;
        assert!(!group.node(last).member.is_cut_off(now), "{}", case.name);
    }
}

// Guards against a log that grows with the number of entries that another writer keeps in the store
// and that cannot be read.
#[test]
fn refused_values_of_an_answer_are_reported_up_to_a_limit() {
    for (unreadable, reported, omitted) in [
        (MAX_REFUSED_NOTICES, MAX_REFUSED_NOTICES, None),
        (
            1_000,
            MAX_REFUSED_NOTICES,
            Some(1_000 - MAX_REFUSED_NOTICES),
        ),
    ] {
        let mut group = settled(1);
        for number in 0..unreadable {
            group.store.write(StoreEvent::Unreadable {
                key: format!("servers/odd-{number}"),
                reason: "not understood".to_owned(),
                target: Some(TargetName(format!("odd-{number}").into())),
            });
        }
        group.run(Duration::from_secs(1));
        let notices = &group.node(1).notices;
        let refused = notices
            .iter()
            .filter(|notice| matches!(notice, CatalogNotice::Refused(_)));
        assert_eq!(refused.count(), reported);
        let more = notices.iter().find_map(|notice| match notice {
            CatalogNotice::MoreRefused(count) => Some(*count),
            _ => None,
        });
        assert_eq!(more, omitted);
    }
}
