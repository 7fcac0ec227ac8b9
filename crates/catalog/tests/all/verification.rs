//! Requests to compare the catalog of a balancer with the store.

use std::ops::RangeInclusive;
use std::time::Duration;

use lovagelatch_catalog::{CatalogMessage, StoreEvent, StoreFailure};
use lovagelatch_domain::Moment;

use crate::support::{Group, READER_FAULTS, address, target};

/// Fleet sizes in which heads go to all peers, to some, and to a few of very many.
const SIZES: [u8; 4] = [2, 8, 20, 59];

fn settled(count: u8) -> Group {
    Group::settled(count, Duration::from_secs(8))
}

fn knows(group: &mut Group, number: u8, name: &str) -> bool {
    let targets = &group.node(number).catalog.targets;
    targets.iter().any(|row| &*row.name().0 == name)
}

fn is_verified(group: &mut Group, number: u8, since: Moment) -> bool {
    group.node(number).member.verified_at() >= since
}

fn reader_and_other(group: &Group, count: u8) -> (u8, u8) {
    let readers = group.readers();
    let other = (1..=count).find(|number| !readers.contains(number));
    (readers[0], other.unwrap_or(readers[1]))
}

// Guards against flows that are reset although a target holds them that was listed a moment ago:
// the balancer that searches for them must know every target that any balancer may have used.
#[test]
fn a_verified_catalog_contains_every_target_listed_before_the_request() {
    for count in SIZES {
        let mut group = settled(count);
        let (reader, other) = reader_and_other(&group, count);
        for number in [reader, other] {
            let name = format!("i-new-{number}");
            group.store.write(StoreEvent::Target(target(&name)));
            let requested = group.now;
            group.request_verification(number);
            for _ in 0..20 {
                group.run(Duration::from_millis(50));
                if is_verified(&mut group, number, requested) {
                    break;
                }
                assert!(!group.node(number).stopped);
            }
            assert!(
                is_verified(&mut group, number, requested),
                "{count}: balancer {number} is not verified within a second"
            );
            assert!(
                knows(&mut group, number, &name),
                "{count}: balancer {number}"
            );
        }
    }
}

// Guards against a catalog that counts as verified by an answer of a reader that read the store
// before the request, and against one read for each of many requests.
#[test]
fn one_read_answers_the_requests_that_came_before_it() {
    let count = 8;
    let mut group = settled(count);
    group.run(Duration::from_secs(1));
    let before = group.store.calls;
    for number in 1..=count {
        group.request_verification(number);
    }
    let requested = group.now;
    group.run(Duration::from_millis(150));
    let calls = group.store.calls - before;
    for number in 1..=count {
        assert!(is_verified(&mut group, number, requested), "{number}");
    }
    // Each of the two readers reads for itself, and the first one once more for those that asked
    // while it did; a regular watch may end.
    assert!(calls <= 6, "{calls} calls for {count} requests");
}

// Guards against lost flows that are never reset because the readers do not answer.
#[test]
fn a_verification_does_not_depend_on_the_readers() {
    for case in READER_FAULTS {
        for count in [8, 20] {
            let mut group = settled(count);
            let readers = group.readers();
            let other = (1..=count).find(|number| !readers.contains(number));
            let other = other.expect("a balancer that does not read");
            (case.inject)(&mut group, &readers);
            group.store.write(StoreEvent::Target(target("i-new")));
            let requested = group.now;
            group.request_verification(other);
            group.run(Duration::from_secs(1));
            assert!(
                is_verified(&mut group, other, requested),
                "{}, {count} balancers",
                case.name
            );
            assert!(knows(&mut group, other, "i-new"), "{}", case.name);
        }
    }
}

// Guards against a flow that is reset by a balancer that could not read the store.
#[test]
fn a_failing_store_verifies_nothing() {
    for failure in [
        StoreFailure::Refused,
        StoreFailure::Unanswered,
        StoreFailure::HistoryGone,
    ] {
        let mut group = settled(8);
        group.failure = Some(failure);
        let requested = group.now;
        group.request_verification(3);
        group.run(Duration::from_secs(2));
        assert!(
            !is_verified(&mut group, 3, requested),
            "{failure:?}: verified"
        );
        group.failure = None;
        group.run(Duration::from_secs(3));
        assert!(
            is_verified(&mut group, 3, requested),
            "{failure:?}: not verified after the recovery"
        );
    }
}

// Guards against a process that takes the answer to a request of its predecessor at the address for
// one to its own.
#[test]
fn an_answer_to_another_request_verifies_nothing() {
    let mut group = settled(3);
    let now = group.now;
    let (_, other) = reader_and_other(&group, 3);
    let head = group.node(other).member.status(now).head;
    let mut answer = group.node(1).member.answer_to(&head, now);
    if let CatalogMessage::Answer { verification, .. } = &mut answer {
        *verification = Some(0);
    }
    group.node(other).member.accept(answer, now);
    assert_eq!(group.node(other).member.verified_at(), Moment::ZERO);
    assert_eq!(
        group.nodes[&address(other)].member.verified_at(),
        Moment::ZERO
    );
}

struct PaceCase {
    balancers: u8,
    /// Requests of one balancer that are answered in the first and the second 500 ms of a time in
    /// which it always needs a newer verification.
    expected: [RangeInclusive<usize>; 2],
}

// Guards against flows of a single lost target that are told late, and against readers that get
// more requests the more balancers lose flows.
#[test]
fn requests_are_paced_by_the_size_of_the_fleet_after_a_burst() {
    let cases = [
        PaceCase {
            balancers: 8,
            expected: [4..=10, 4..=10],
        },
        PaceCase {
            balancers: 59,
            expected: [4..=8, 2..=4],
        },
    ];
    for case in cases {
        let mut group = settled(case.balancers);
        let (_, other) = reader_and_other(&group, case.balancers);
        for expected in case.expected {
            let mut answered = 0;
            for _ in 0..10 {
                group.request_verification(other);
                let before = group.node(other).member.verified_at();
                group.run(Duration::from_millis(50));
                answered += usize::from(group.node(other).member.verified_at() > before);
            }
            assert!(
                expected.contains(&answered),
                "{} balancers: {answered} answers, not {expected:?}",
                case.balancers
            );
        }
    }
}
