//! Tests of ledgers that are handed over to a peer.

use std::sync::Arc;

use lovagelatch_domain::Incarnation;
use lovagelatch_ledger::{LedgerHandover, LedgerOutcome, LedgerVerdict};

use crate::support::{
    LIFETIME, SERVICE, START, agent, answer, attempt, done, new_ledger, with_ticket,
};

/// Encodes and decodes a handover, as when it is sent to a peer.
fn sent(handover: &LedgerHandover) -> LedgerHandover {
    let bytes = postcard::to_stdvec(handover).expect("a handover can be encoded");
    postcard::from_bytes(&bytes).expect("a handover can be decoded")
}

#[test]
fn a_successor_answers_for_what_was_known_and_runs_nothing() {
    let mut old = new_ledger(1, 1);
    let tickets: Vec<_> = (0..4).map(|_| old.issue(SERVICE, START)).collect();
    for (ticket, number) in tickets.iter().zip(0..3) {
        old.offer(ticket, attempt(number), START);
    }
    old.finish(attempt(0), done("kept"), START);
    old.finish(attempt(1), LedgerOutcome::NotRun, START);
    let mut new = new_ledger(2, 5);
    new.take_over(sent(&old.hand_over()), START + 1);
    assert!(new.answers_for(agent(1), Incarnation(1)));
    let expected = [
        LedgerVerdict::Replay(Arc::new(answer("kept"))),
        LedgerVerdict::NeverRun,
        LedgerVerdict::Unknown,
        LedgerVerdict::NeverRun,
    ];
    for (ticket, expected) in tickets.iter().zip(expected) {
        assert_eq!(new.offer(ticket, attempt(9), START + 1), expected);
    }
    assert_eq!(
        old.offer(&tickets[3], attempt(9), START),
        LedgerVerdict::HandedOver
    );
}

// Guards against a filing that runs twice across a planned stop, because each of two successors
// considers itself the only one that may run it. The acknowledgement of the handover is lost, so it
// is also sent to a second peer; a caller retries at the first peer and another copy of the request
// reaches the second.
#[test]
fn two_successors_run_nothing() {
    let (mut old, ticket) = with_ticket();
    let handover = old.hand_over();
    for number in [2, 3] {
        let mut peer = new_ledger(number, 1);
        peer.take_over(sent(&handover), START);
        let verdict = peer.offer(&ticket, attempt(1), START);
        assert_eq!(verdict, LedgerVerdict::NeverRun);
    }
}

#[test]
fn handovers_merge_in_any_order() {
    let (mut old, ticket) = with_ticket();
    old.offer(&ticket, attempt(1), START);
    let early = old.hand_over();
    old.finish(attempt(1), done("late"), START);
    let late = old.hand_over();
    for order in [[&early, &late], [&late, &early], [&late, &late]] {
        let mut new = new_ledger(2, 1);
        for handover in order {
            new.take_over(sent(handover), START);
        }
        let verdict = new.offer(&ticket, attempt(2), START);
        assert_eq!(verdict, LedgerVerdict::Replay(Arc::new(answer("late"))));
        assert_eq!(new.len(), 1);
    }
}

// Guards against a filing that ran but is reported as not run, because the successor decides expiry
// by its own clock alone. The entry expires at the old home, which then hands over; on the
// successor's slow clock the ticket looks valid, and it has no entry.
#[test]
fn a_slow_clock_at_the_successor_does_not_revive_an_expired_ticket() {
    let (mut old, ticket) = with_ticket();
    old.offer(&ticket, attempt(1), START);
    old.finish(attempt(1), done("ran"), START);
    let late = old.issue(SERVICE, START + 2 * LIFETIME);
    old.offer(&late, attempt(2), START + 2 * LIFETIME);
    let mut new = new_ledger(2, 1);
    new.take_over(sent(&old.hand_over()), START);
    let verdict = new.offer(&ticket, attempt(3), START);
    assert_eq!(verdict, LedgerVerdict::Expired);
}

#[test]
fn a_chain_of_planned_stops_keeps_every_answer() {
    let (mut first, ticket) = with_ticket();
    first.offer(&ticket, attempt(1), START);
    first.finish(attempt(1), done("kept"), START);
    let mut last = first;
    for number in 2..6 {
        let mut next = new_ledger(number, 1);
        next.take_over(sent(&last.hand_over()), START + u64::from(number));
        last = next;
    }
    let verdict = last.offer(&ticket, attempt(2), START + 10);
    assert_eq!(verdict, LedgerVerdict::Replay(Arc::new(answer("kept"))));
}

#[test]
fn a_successor_drops_a_closed_ledger_when_its_tickets_have_expired() {
    let (mut old, ticket) = with_ticket();
    old.offer(&ticket, attempt(1), START);
    let mut new = new_ledger(2, 1);
    new.take_over(old.hand_over(), START);
    let later = START + 3 * LIFETIME;
    let verdict = new.offer(&ticket, attempt(2), later);
    assert_eq!(verdict, LedgerVerdict::OtherHome(agent(1)));
    assert!(new.is_empty() && !new.answers_for(agent(1), Incarnation(1)));
}

#[test]
fn a_ledger_does_not_take_over_itself() {
    let (mut ledger, ticket) = with_ticket();
    let copy = ledger.clone().hand_over();
    ledger.take_over(copy, START);
    assert_eq!(ledger.offer(&ticket, attempt(1), START), LedgerVerdict::Run);
}
