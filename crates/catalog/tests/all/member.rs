//! How a group of balancers keeps up with the store.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_catalog::{
    CatalogAction, CatalogMember, CatalogMessage, CatalogNotice, HeadMessage, MemberSettings,
    StoreAnswer, StoreCall, StoreEvent, StoreFailure,
};
use lovagelatch_domain::Moment;
use smallvec::smallvec;

use crate::support::{FakeStore, Group, READER_TROUBLES, address, config, target};

/// What the users allow for a configuration to come into force.
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
fn two_read_for_all() {
    let mut group = settled(8);
    assert_eq!(group.readers().len(), 2);
    let before = group.store.calls;
    group.run(Duration::from_secs(30));
    // One waits 1.5 s a call, the other 5 s.
    let calls = group.store.calls - before;
    assert!((20..=30).contains(&calls), "{calls} calls in 30 s");
}

// Symptom: a balancer sends flows by an old configuration. Sequence: the balancers that read the
// store die, or are cut off from it or from the others; the operator changes something. Cause:
// the others waited for heads that nobody sent.
#[test]
fn a_change_is_in_force_in_time_whatever_happens_to_the_readers() {
    for case in READER_TROUBLES {
        let mut group = settled(8);
        let readers = group.readers();
        (case.strike)(&mut group, &readers);
        group.change(4);
        group.run(APPLY_LIMIT - Duration::from_millis(200));
        let late = group
            .versions()
            .iter()
            .filter(|version| **version != 4)
            .count();
        // Whoever is cut off from the store and its peers' news cannot know.
        assert_eq!(late, 0, "{}: {:?}", case.name, group.versions());
    }
}

// Symptom: every few seconds changes come two seconds late. Sequence: both readers are cut off from
// the store for long; others take over; the readers offer themselves again and the others step
// back. Cause: they offered themselves without having reached the store.
#[test]
fn readers_that_stay_cut_off_do_not_come_back() {
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
fn a_fresh_balancer_is_told_by_the_others() {
    let mut group = settled(4);
    group.refusal = Some(StoreFailure::Refused);
    group.add(9);
    group.run(Duration::from_secs(1));
    assert_eq!(group.node(9).catalog.version.0, 1);
    assert!(group.node(9).member.is_ready());
}

fn fresh_member(number: u8, now: Moment) -> CatalogMember {
    let settings = MemberSettings {
        own: address(number),
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

// Symptom: after a loss of power nobody is served for a quarter of a second in which all processes
// run and the store answers. Sequence: every process is new; each waits some milliseconds for a
// word of another one. Cause: the end of that wait was noticed by the next tick only.
#[test]
fn a_fresh_balancer_calls_the_store_within_twenty_milliseconds() {
    let start = Moment::from_millis(1_000);
    for number in 1..=50 {
        let mut member = fresh_member(number, start);
        assert!(calls(&member.advance(start)).is_empty());
        let due = member.next_due(start).expect("a first call");
        assert!(due.since(start) <= Duration::from_millis(20));
        assert_eq!(calls(&member.advance(due)), [StoreCall::List]);
        let next = member.next_due(due).expect("a greeting");
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

// Symptom: a second after a loss of power some balancers still take no flow for lost. Sequence: all start
// at once, those that the settings name last; the others greeted them before they ran, and then
// waited half a second, put off again by each change of the catalog. Cause: a greeting that nobody
// heard was repeated like regular news.
#[test]
fn a_balancer_greets_its_seeds_until_one_answers() {
    let start = Moment::from_millis(1_000);
    let mut early = fresh_member(3, start);
    let (mut now, mut greetings) = (start, 0);
    while now.since(start) < Duration::from_millis(400) {
        let actions = early.advance(now);
        greetings += heads_to(&actions, address(1)).len();
        now = early.next_due(now).expect("a greeting or a call");
    }
    assert_eq!(greetings, 8);
    // The one who starts late greets nobody but other seeds.
    let mut seed = fresh_member(1, now);
    let hello = heads_to(&early.advance(now), address(1));
    let answers = heads_to(&seed.accept(hello[0].clone(), now), address(3));
    early.accept(answers[0].clone(), now);
    assert!(early.is_informed(now) && seed.is_informed(now));
    // From the next one on it sends regular heads only.
    let after = |millis| now + Duration::from_millis(millis);
    let regular =
        [50, 100, 300, 549].map(|at| heads_to(&early.advance(after(at)), address(1)).len());
    assert_eq!(regular, [1, 0, 0, 0]);
}

// Symptom: two thirds of a quiet day's calls to the store are made in the first second. Sequence: the
// balancers start before the operator writes the first configuration; each list brings nothing and is
// answered at once. Cause: without a configuration each answer led to another list.
#[test]
fn a_store_without_a_configuration_is_watched() {
    let mut group = Group::new(4);
    group.store = FakeStore::default();
    group.store.revision = 1;
    group.run(Duration::from_secs(5));
    // A list each, then watches of 1.5 s and more.
    assert!(group.store.calls <= 20, "{} calls", group.store.calls);
    group.store.write(StoreEvent::Config(config(1, &[80])));
    group.run(Duration::from_millis(300));
    assert_eq!(group.versions(), [1; 4]);
}

// Symptom: for half a second after a loss of power no lost flow is told. Sequence: all balancers start
// at once; each tells its seeds that it is there. Cause: whoever was told said nothing back, so each
// waited for the other's next regular word to know whether the store had been in trouble.
#[test]
fn balancers_that_start_together_answer_each_other_once() {
    let start = Moment::from_millis(1_000);
    let (mut one, mut two) = (fresh_member(1, start), fresh_member(2, start));
    let to_two = heads_to(&one.advance(start), address(2));
    let [hello] = to_two.as_slice() else {
        panic!("{to_two:?}");
    };
    let answers = heads_to(&two.accept(hello.clone(), start), address(1));
    let [answer] = answers.as_slice() else {
        panic!("{answers:?}");
    };
    assert!(!one.is_informed(start));
    let thanks = heads_to(&one.accept(answer.clone(), start), address(2));
    assert!(one.is_informed(start) && two.is_informed(start));
    assert!(thanks.is_empty(), "{thanks:?}");
}

#[test]
fn a_balancer_that_knows_nothing_is_not_ready() {
    let mut group = Group::new(1);
    group.refusal = Some(StoreFailure::Unanswered);
    group.run(Duration::from_secs(10));
    assert!(!group.node(1).member.is_ready());
    group.refusal = None;
    group.run(Duration::from_secs(2));
    assert!(group.node(1).member.is_ready());
}

// Symptom: a target that left gets flows for ever. Sequence: the store drops its history while a
// target leaves; the watch is answered that its history is gone. Cause: the watch went on from the
// newest revision and never heard of the removal.
#[test]
fn a_lost_history_is_read_anew() {
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

// Symptom: after a power loss during an outage of the store, nobody is served for up to a second
// after the store is back. Sequence: all balancers start while it is away; each waits longer and
// longer between its calls. Cause: the pause of one that has a catalog to serve with was kept by
// one that has nothing.
#[test]
fn balancers_without_a_catalog_notice_at_once_that_the_store_is_back() {
    let mut group = Group::new(8);
    group.refusal = Some(StoreFailure::Unanswered);
    group.run(Duration::from_secs(5));
    let before = group.store.calls;
    group.run(Duration::from_secs(2));
    let calls = group.store.calls - before;
    assert!(calls <= 50, "{calls} calls in 2 s of 8 balancers");
    group.refusal = None;
    group.run(Duration::from_millis(450));
    assert!(group.nodes.values().all(|node| node.member.is_ready()));
}

// Symptom: the store's bill rises while it is down. Sequence: it turns everybody away; everybody
// asks again at once. Cause: refused calls are counted like others.
#[test]
fn a_store_that_refuses_is_not_pressed() {
    let mut group = settled(8);
    let before = group.store.calls;
    group.refusal = Some(StoreFailure::Refused);
    group.run(Duration::from_secs(10));
    let calls = group.store.calls - before;
    assert!(calls <= 80, "{calls} calls in 10 s of 8 balancers");
    group.refusal = None;
    group.change(4);
    group.run(Duration::from_millis(1_500));
    assert!(
        group.versions().iter().all(|version| *version == 4),
        "{:?}",
        group.versions()
    );
}

#[test]
fn trouble_and_recovery_of_the_store_are_told_once() {
    let mut group = settled(1);
    group.node(1).notices.clear();
    group.refusal = Some(StoreFailure::Refused);
    group.run(Duration::from_secs(5));
    group.refusal = None;
    group.run(Duration::from_secs(5));
    let notices = &group.node(1).notices;
    let lost = CatalogNotice::StoreLost(StoreFailure::Refused);
    assert_eq!(notices.iter().filter(|notice| **notice == lost).count(), 1);
    let regained = CatalogNotice::StoreRegained;
    assert_eq!(
        notices.iter().filter(|notice| **notice == regained).count(),
        1
    );
}

// Symptom: a fresh balancer resets flows whose targets live. Sequence: the store comes back from an
// outage without the entries that expired; a balancer starts and reads that list. Cause: it could
// not know of the trouble.
#[test]
fn a_fresh_balancer_hears_of_the_stores_trouble() {
    let mut group = settled(3);
    group.refusal = Some(StoreFailure::Unanswered);
    group.run(Duration::from_secs(4));
    group.refusal = None;
    group.add(9);
    group.run(Duration::from_secs(1));
    let now = group.now;
    let trouble = group.node(9).member.trouble().expect("it was told");
    assert!(now.since(trouble) < Duration::from_secs(3));
}

#[test]
fn the_stores_return_is_its_first_answer_after_the_last_trouble() {
    let start = Moment::from_millis(1_000);
    let at = |millis| start + Duration::from_millis(millis);
    let mut member = fresh_member(1, start);
    let list = StoreCall::List;
    let answer = || Ok(StoreAnswer::default());
    member.store_answered(list, answer(), at(10));
    assert_eq!(member.returned(), None, "there was no trouble");
    member.store_answered(list, Err(StoreFailure::Refused), at(100));
    assert_eq!(member.returned(), None);
    member.store_answered(list, answer(), at(300));
    member.store_answered(list, answer(), at(900));
    assert_eq!(member.returned(), Some(at(300)), "the first, not the last");
    member.store_answered(list, Err(StoreFailure::Unanswered), at(1_000));
    assert_eq!(member.returned(), None);
    // Another balancer that holds the same says when the store answered it.
    let mut other = fresh_member(2, start);
    other.store_answered(list, answer(), at(1_500));
    let head = heads_to(&other.advance(at(1_700)), address(1));
    member.accept(head[0].clone(), at(1_700));
    assert_eq!(member.returned(), Some(at(1_500)));
}

#[test]
fn a_fresh_balancer_is_informed_by_a_word_or_by_time() {
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
fn news_name_who_told_them() {
    let mut group = settled(8);
    group.change(4);
    group.run(Duration::from_secs(1));
    let readers = group.readers();
    for (at, node) in &group.nodes {
        let told = node.notices.iter().rev().find_map(|notice| match notice {
            CatalogNotice::Taken { from, .. } => Some(*from),
            _ => None,
        });
        let told = told.expect("it took the change");
        if !readers.contains(&at.ip().octets()[3]) {
            assert!(told.is_some_and(|from| from != *at && from.port() == address(1).port()));
        }
    }
}

struct OverdueCase {
    name: &'static str,
    /// When another balancer tells of an answer of the store, in milliseconds after the watch began.
    answered: Option<u64>,
    /// When the watch fails.
    fails: u64,
    /// The trouble that is known then.
    expected: u64,
}

/// Guards against a store that counts as away until an old watch is overdue, though it has answered others since.
#[test]
fn an_overdue_watch_shows_no_trouble_after_the_stores_later_answers() {
    let cases = [
        OverdueCase {
            name: "the store has answered others since",
            answered: Some(4_000),
            fails: 5_700,
            expected: 0,
        },
        OverdueCase {
            name: "nobody was answered since",
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
        let began = group.now + Duration::from_secs(10);
        let member = &mut group.node(1).member;
        let head = member.status(began).head;
        // The watch that is under way ends, and the next one begins.
        let wait = Duration::from_millis(1_500);
        let ended = StoreCall::Watch { after: 0, wait };
        let answer = StoreAnswer {
            events: Vec::new(),
            revision: head.routes.revision,
        };
        let actions = member.store_answered(ended, Ok(answer), began);
        let call = calls(&actions)[0];
        if let Some(answered) = case.answered {
            let at = began + Duration::from_millis(answered);
            let message = HeadMessage {
                sender: address(2),
                head,
                age: Duration::ZERO,
                reads: true,
                trouble: None,
                leaving: false,
                peers: smallvec![address(1)],
                readers: smallvec![],
            };
            member.accept(CatalogMessage::Head(message), at);
        }
        let now = began + Duration::from_millis(case.fails);
        member.store_answered(call, Err(StoreFailure::Unanswered), now);
        let expected = began + Duration::from_millis(case.expected);
        assert_eq!(member.trouble(), Some(expected), "{}", case.name);
    }
}

struct TouchCase {
    name: &'static str,
    balancers: u8,
    store_cut: bool,
    peers_cut: bool,
    expected: bool,
}

/// Guards against a balancer that goes on vouching for zones when it can hear of no evacuation any more.
#[test]
fn a_balancer_that_hears_neither_the_store_nor_another_knows_that_it_is_cut_off() {
    let cases = [
        TouchCase {
            name: "in touch with both",
            balancers: 4,
            store_cut: false,
            peers_cut: false,
            expected: false,
        },
        TouchCase {
            name: "the others tell it of the store",
            balancers: 4,
            store_cut: true,
            peers_cut: false,
            expected: false,
        },
        TouchCase {
            name: "it reads the store itself",
            balancers: 4,
            store_cut: false,
            peers_cut: true,
            expected: false,
        },
        TouchCase {
            name: "cut off from both",
            balancers: 4,
            store_cut: true,
            peers_cut: true,
            expected: true,
        },
        TouchCase {
            name: "there is no other",
            balancers: 1,
            store_cut: true,
            peers_cut: false,
            expected: false,
        },
    ];
    for case in cases {
        let mut group = Group::settled(case.balancers, Duration::from_secs(5));
        let own = case.balancers;
        if own == 1 {
            group.node(own).member.set_seeds(&[address(own)]);
        }
        group.node(own).store_cut = case.store_cut;
        group.node(own).peers_cut = case.peers_cut;
        group.run(Duration::from_secs(4));
        let now = group.now;
        let cut_off = group.node(own).member.is_cut_off(now);
        assert_eq!(cut_off, case.expected, "{}", case.name);
        // It is over as soon as either speaks again.
        group.node(own).store_cut = false;
        group.node(own).peers_cut = false;
        group.run(Duration::from_secs(2));
        let now = group.now;
        assert!(!group.node(own).member.is_cut_off(now), "{}", case.name);
    }
}
