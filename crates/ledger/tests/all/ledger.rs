//! One ledger by itself.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::Incarnation;
use lovagelatch_ledger::{LedgerEnd, LedgerVerdict, RequestLedger};

use crate::support::{
    LIFETIME, SERVICE, START, agent, answer, attempt, done, new_ledger, settings, with_ticket,
};

struct SecondCase {
    name: &'static str,
    end: Option<LedgerEnd>,
    expected: LedgerVerdict,
}

#[test]
fn a_second_attempt_joins_replays_runs_or_stays_unknown() {
    let cases = [
        SecondCase {
            name: "running",
            end: None,
            expected: LedgerVerdict::Join(attempt(1)),
        },
        SecondCase {
            name: "done",
            end: Some(done("first")),
            expected: LedgerVerdict::Replay(Arc::new(answer("first"))),
        },
        SecondCase {
            name: "not run",
            end: Some(LedgerEnd::NotRun),
            expected: LedgerVerdict::Run,
        },
        SecondCase {
            name: "unknown",
            end: Some(LedgerEnd::Unknown),
            expected: LedgerVerdict::Unknown,
        },
    ];
    for case in cases {
        let (mut ledger, ticket) = with_ticket();
        let first = ledger.offer(&ticket, attempt(1), START);
        assert_eq!(first, LedgerVerdict::Run, "{}", case.name);
        if let Some(end) = case.end {
            ledger.finish(attempt(1), end, START + 1);
        }
        let second = ledger.offer(&ticket, attempt(2), START + 2);
        assert_eq!(second, case.expected, "{}", case.name);
    }
}

#[test]
fn tickets_of_others_are_not_judged_here() {
    let (mut ledger, ticket) = with_ticket();
    let elsewhere = new_ledger(2, 1).issue(SERVICE, START);
    let verdict = ledger.offer(&elsewhere, attempt(1), START);
    assert_eq!(verdict, LedgerVerdict::OtherHome(agent(2)));
    let mut predecessor = ticket;
    predecessor.incarnation = Incarnation(99);
    let verdict = ledger.offer(&predecessor, attempt(1), START);
    assert_eq!(verdict, LedgerVerdict::Unknown);
}

// Symptom: a filing runs a second time, days after the first.
// Sequence: the ticket's lifetime ends and its entry is dropped; then the clock is set back,
// or the process had paused and its first look at the clock comes after the retry.
// Cause: expiry was judged by the clock alone, so the forgotten ticket looked fresh.
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

// Symptom: after some hours the ledger refuses everything as full.
// Sequence: requests run beyond their tickets' lifetime; their ends are not recognised.
// Cause: a running entry expired like any other, and its place was never given back.
#[test]
fn a_request_that_outlives_its_ticket_gives_its_place_back() {
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
fn a_ticket_issued_on_a_clock_set_back_is_good() {
    let mut ledger = new_ledger(1, 1);
    let early = ledger.issue(SERVICE, START);
    ledger.offer(&early, attempt(1), START + 3 * LIFETIME);
    let ticket = ledger.issue(SERVICE, START);
    let verdict = ledger.offer(&ticket, attempt(2), START);
    assert_eq!(verdict, LedgerVerdict::Run);
}

// Symptom: a filing is reported unknown although its answer came.
// Sequence: the answer comes after a timeout had ended the attempt as unknown.
// Cause: the later, better knowledge was dropped. The other way round must not happen.
#[test]
fn late_ends_only_improve_what_is_known() {
    let (mut ledger, ticket) = with_ticket();
    ledger.offer(&ticket, attempt(1), START);
    ledger.finish(attempt(1), LedgerEnd::Unknown, START);
    ledger.finish(attempt(1), LedgerEnd::NotRun, START);
    let verdict = ledger.offer(&ticket, attempt(2), START);
    assert_eq!(verdict, LedgerVerdict::Unknown, "not-run after unknown");
    ledger.finish(attempt(1), done("late"), START);
    ledger.finish(attempt(1), LedgerEnd::NotRun, START);
    ledger.finish(attempt(1), done("crossed"), START);
    let verdict = ledger.offer(&ticket, attempt(3), START);
    assert_eq!(verdict, LedgerVerdict::Replay(Arc::new(answer("late"))));
    assert_eq!(ledger.running(), 0);
}

// Symptom: after a flood of filings an old one runs again.
// Sequence: the ledger is full, so it makes room by dropping an entry whose ticket is good.
// Cause: eviction of something that a caller may still retry.
#[test]
fn a_full_ledger_refuses_and_forgets_nothing() {
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
            "{name}: room again after expiry"
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
