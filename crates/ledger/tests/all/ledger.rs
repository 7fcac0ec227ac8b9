//! Tests of a single ledger.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::Incarnation;
use lovagelatch_ledger::{LedgerOutcome, LedgerVerdict, RequestLedger};

use crate::support::{
    LIFETIME, SERVICE, START, agent, answer, attempt, done, new_ledger, settings, with_ticket,
};

struct SecondCase {
    name: &'static str,
    outcome: Option<LedgerOutcome>,
    expected: LedgerVerdict,
}

#[test]
fn a_second_attempt_joins_replays_runs_or_stays_unknown() {
    let cases = [
        SecondCase {
            name: "running",
            outcome: None,
            expected: LedgerVerdict::Join(attempt(1)),
        },
        SecondCase {
            name: "done",
            outcome: Some(done("first")),
            expected: LedgerVerdict::Replay(Arc::new(answer("first"))),
        },
        SecondCase {
            name: "not run",
            outcome: Some(LedgerOutcome::NotRun),
            expected: LedgerVerdict::Run,
        },
        SecondCase {
            name: "unknown",
            outcome: Some(LedgerOutcome::Unknown),
            expected: LedgerVerdict::Unknown,
        },
    ];
    for case in cases {
        let (mut ledger, ticket) = with_ticket();
        let first = ledger.offer(&ticket, attempt(1), START);
        assert_eq!(first, LedgerVerdict::Run, "{}", case.name);
        if let Some(outcome) = case.outcome {
            ledger.finish(attempt(1), outcome, START + 1);
        }
        let second = ledger.offer(&ticket, attempt(2), START + 2);
        assert_eq!(second, case.expected, "{}", case.name);
    }
}

#[test]
fn foreign_tickets_are_not_decided_here() {
    let (mut ledger, ticket) = with_ticket();
    let elsewhere = new_ledger(2, 1).issue(SERVICE, START);
    let verdict = ledger.offer(&elsewhere, attempt(1), START);
    assert_eq!(verdict, LedgerVerdict::OtherHome(agent(2)));
    let mut predecessor = ticket;
    predecessor.incarnation = Incarnation(99);
    let verdict = ledger.offer(&predecessor, attempt(1), START);
    assert_eq!(verdict, LedgerVerdict::Unknown);
}

// Guards against a filing that runs a second time days later, because expiry is decided by the
// clock alone and a removed ticket looks new. The ticket expires and its entry is removed; then the
// clock is set back, or the process was paused and reads the clock only after the retry.
#[test]
fn an_expired_ticket_never_runs_again() {
    for (name, retry_at) in [
        ("later", START + 2 * LIFETIME),
        ("clock set back", START + 1),
    ] {
        let (mut ledger, ticket) = with_ticket();
        ledger.offer(&ticket, attempt(1), START);
        ledger.finish(attempt(1), done("first"), START + 1);
        let late = ledger.issue(SERVICE, START + 2 * LIFETIME);
        let verdict = ledger.offer(&late, attempt(2), START + 2 * LIFETIME);
        assert_eq!(verdict, LedgerVerdict::Run);
        let verdict = ledger.offer(&ticket, attempt(3), retry_at);
        assert_eq!(verdict, LedgerVerdict::Expired, "{name}");
    }
}

// Guards against a ledger that refuses everything as full after some hours. Requests run longer
// than the lifetime of their tickets. If running entries expired like others, the outcomes would
// not be recognised and the capacity would never be released.
#[test]
fn a_request_that_outlives_its_ticket_releases_its_capacity() {
    let (mut ledger, ticket) = with_ticket();
    ledger.offer(&ticket, attempt(1), START);
    let late = START + 2 * LIFETIME;
    let verdict = ledger.offer(&ticket, attempt(2), late);
    assert_eq!(verdict, LedgerVerdict::Expired);
    assert_eq!(ledger.running(), 1);
    ledger.finish(attempt(1), done("late"), late);
    assert_eq!(ledger.running(), 0);
    assert!(ledger.is_empty());
}

#[test]
fn a_ticket_issued_on_a_clock_set_back_is_valid() {
    let mut ledger = new_ledger(1, 1);
    let early = ledger.issue(SERVICE, START);
    ledger.offer(&early, attempt(1), START + 3 * LIFETIME);
    let ticket = ledger.issue(SERVICE, START);
    let verdict = ledger.offer(&ticket, attempt(2), START);
    assert_eq!(verdict, LedgerVerdict::Run);
}

// Guards against a filing that stays unknown although its answer arrives after a timeout ended the
// attempt as unknown. A late answer must replace `Unknown`, but nothing may replace an answer.
#[test]
fn late_outcomes_only_improve_what_is_known() {
    let (mut ledger, ticket) = with_ticket();
    ledger.offer(&ticket, attempt(1), START);
    ledger.finish(attempt(1), LedgerOutcome::Unknown, START);
    ledger.finish(attempt(1), LedgerOutcome::NotRun, START);
    let verdict = ledger.offer(&ticket, attempt(2), START);
    assert_eq!(verdict, LedgerVerdict::Unknown, "not-run after unknown");
    ledger.finish(attempt(1), done("late"), START);
    ledger.finish(attempt(1), LedgerOutcome::NotRun, START);
    ledger.finish(attempt(1), done("crossed"), START);
    let verdict = ledger.offer(&ticket, attempt(3), START);
    assert_eq!(verdict, LedgerVerdict::Replay(Arc::new(answer("late"))));
    assert_eq!(ledger.running(), 0);
}

// Guards against an old filing that runs again after a flood of new ones, because a full ledger
// evicts an entry whose ticket is still valid and may be retried.
#[test]
fn a_full_ledger_refuses_and_evicts_nothing() {
    let limits = [
        ("entries", settings(1, 1).with_entry_limit(10)),
        (
            "bytes",
            settings(1, 1)
                .with_answer_limit(1_000)
                .with_byte_limit(10_500),
        ),
    ];
    for (name, settings) in limits {
        let mut ledger = RequestLedger::new(settings);
        let mut accepted = Vec::new();
        let mut refused = 0;
        for number in 0..100 {
            let ticket = ledger.issue(SERVICE, START);
            match ledger.offer(&ticket, attempt(number), START) {
                LedgerVerdict::Run => accepted.push(ticket),
                LedgerVerdict::Full { retry_after } => {
                    assert!(retry_after > Duration::ZERO);
                    refused += 1;
                }
                other => panic!("{name}: {other:?}"),
            }
            ledger.finish(attempt(number), done(&"x".repeat(800)), START);
        }
        assert!(
            refused > 0 && accepted.len() >= 9,
            "{name}: {}",
            accepted.len()
        );
        assert!(ledger.stored_bytes() <= 11_000, "{name}");
        for ticket in &accepted {
            let verdict = ledger.offer(ticket, attempt(1_000), START);
            assert!(
                matches!(verdict, LedgerVerdict::Replay(_)),
                "{name}: {verdict:?}"
            );
        }
        let ticket = ledger.issue(SERVICE, START + 2 * LIFETIME);
        let verdict = ledger.offer(&ticket, attempt(2_000), START + 2 * LIFETIME);
        assert_eq!(
            verdict,
            LedgerVerdict::Run,
            "{name}: accepts again after expiry"
        );
    }
}

#[test]
fn an_answer_too_long_to_keep_is_not_replayed_in_part() {
    let mut ledger = RequestLedger::new(settings(1, 1).with_answer_limit(200));
    let ticket = ledger.issue(SERVICE, START);
    ledger.offer(&ticket, attempt(1), START);
    ledger.finish(attempt(1), done(&"x".repeat(500)), START);
    let verdict = ledger.offer(&ticket, attempt(2), START);
    assert_eq!(verdict, LedgerVerdict::Unknown);
}

#[test]
fn one_attempt_number_runs_one_ticket() {
    let (mut ledger, ticket) = with_ticket();
    let other = ledger.issue(SERVICE, START);
    assert_eq!(ledger.offer(&ticket, attempt(1), START), LedgerVerdict::Run);
    let verdict = ledger.offer(&other, attempt(1), START);
    assert_eq!(verdict, LedgerVerdict::AttemptReused);
    assert_eq!(ledger.offer(&other, attempt(2), START), LedgerVerdict::Run);
}
