//! The adaptive concurrency limit.

use lovagelatch_domain::AttemptId;
use lovagelatch_placement::{GateVerdict, SlotOutcome};

use crate::support::{at, new_gate, request};

// Guards against a server that refuses everything and attracts most of the load: it refuses each
// request within a millisecond, so a gate that trusts the listed slots looks free again at once.
#[test]
fn a_server_that_sheds_or_drops_gets_fewer_requests_and_recovers() {
    for outcome in [SlotOutcome::Shed, SlotOutcome::Lost] {
        let mut gate = new_gate(3);
        let mut started = 0;
        for number in 0..1_000 {
            let now = at(number as u64);
            if gate.offer(request(number, number as u64, 1_000_000), now) == GateVerdict::Start {
                started += 1;
                gate.finish(AttemptId(number), outcome, now);
            }
            gate.cancel_queued(AttemptId(number), now);
        }
        assert!(
            started <= 12,
            "{outcome:?}: {started} of 1000 reached the server"
        );
        assert_recovers(&mut gate);
    }
}

/// Serves one request at a time until all three slots are available again.
fn assert_recovers(gate: &mut lovagelatch_placement::RequestGate) {
    for step in 0..20_u64 {
        let now = 10_000 + step * 500;
        let attempt = AttemptId(10_000 + u128::from(step));
        gate.advance(at(now));
        gate.offer(request(attempt.0, now, now + 60_000), at(now));
        gate.finish(attempt, SlotOutcome::Served, at(now + 100));
    }
    assert_eq!(gate.report(at(21_000)).slots, 3);
}

#[test]
fn the_limit_falls_to_what_the_server_accepted() {
    let mut gate = new_gate(7);
    for number in 0..5 {
        gate.offer(request(number, 0, 9_000), at(0));
    }
    gate.finish(AttemptId(4), SlotOutcome::Shed, at(1));
    assert_eq!(gate.report(at(1)).slots, 4);
    assert_eq!(
        gate.offer(request(10, 1, 9_000), at(1)),
        GateVerdict::Queued
    );
}

// Guards against a recovered server that still gets one request at a time minutes later: a long
// outage has doubled the raise interval to its maximum, and answers do not shorten it.
#[test]
fn answers_after_a_long_outage_restore_the_slots_soon() {
    let mut gate = new_gate(3);
    for step in 0..600 {
        let (now, attempt) = (step * 100, AttemptId(u128::from(step)));
        gate.offer(request(attempt.0, now, 1_000_000), at(now));
        gate.finish(attempt, SlotOutcome::Shed, at(now));
        gate.cancel_queued(attempt, at(now));
    }
    let mut first_answer = None;
    for step in 600..2_000 {
        let (now, attempt) = (step * 100, AttemptId(u128::from(step)));
        let verdict = gate.offer(request(attempt.0, now, 1_000_000), at(now));
        if verdict == GateVerdict::Start {
            gate.finish(attempt, SlotOutcome::Served, at(now + 50));
            first_answer.get_or_insert(now);
        }
        gate.cancel_queued(attempt, at(now));
        if gate.report(at(now)).slots == 3 {
            let first = first_answer.expect("the slots are restored after an answer");
            assert!(now - first <= 6_000, "took {} ms", now - first);
            return;
        }
    }
    panic!("the slots were never restored");
}

// Guards against cancellations that reduce the limit for all agencies or the estimated service
// time: callers of one agency leave after a few milliseconds each, and this counts as a lost or as
// a fast answer.
#[test]
fn cancelled_requests_change_neither_the_limit_nor_the_service_time() {
    let mut gate = new_gate(3);
    let before = gate.report(at(0));
    for number in 0..100 {
        let now = number as u64 * 10;
        gate.offer(request(number, now, now + 60_000), at(now));
        gate.finish(AttemptId(number), SlotOutcome::Abandoned, at(now + 5));
    }
    let after = gate.report(at(1_000));
    assert_eq!(after.slots, before.slots);
    assert_eq!(after.service_time, before.service_time);
}
