//! The server's own limit.

use lovagelatch_domain::AttemptId;
use lovagelatch_placement::{GateVerdict, SlotEnd};

use crate::support::{at, new_gate, request};

// Symptom: a server that refuses everything draws most of the load.
// Sequence: it refuses each request in a millisecond, so its gate looks free again at once.
// Cause: the gate trusted the listed slots.
#[test]
fn a_server_that_sheds_or_drops_gets_less_and_recovers() {
    for end in [SlotEnd::Shed, SlotEnd::Lost] {
        let mut gate = new_gate(3);
        let mut started = 0;
        for number in 0..1_000 {
            let now = at(number as u64);
            if gate.offer(request(number, number as u64, 1_000_000), now) == GateVerdict::Start {
                started += 1;
                gate.finish(AttemptId(number), end, now);
            }
            gate.withdraw(AttemptId(number), now);
        }
        assert!(
            started <= 12,
            "{end:?}: {started} of 1000 reached the server"
        );
        recovers(&mut gate);
    }
}

/// Serves one request at a time until all three slots are back.
fn recovers(gate: &mut lovagelatch_placement::RequestGate) {
    for step in 0..20_u64 {
        let now = 10_000 + step * 500;
        let attempt = AttemptId(10_000 + u128::from(step));
        gate.advance(at(now));
        gate.offer(request(attempt.0, now, now + 60_000), at(now));
        gate.finish(attempt, SlotEnd::Served, at(now + 100));
    }
    assert_eq!(gate.report(at(21_000)).slots, 3);
}

#[test]
fn the_limit_shrinks_to_what_the_server_took() {
    let mut gate = new_gate(7);
    for number in 0..5 {
        gate.offer(request(number, 0, 9_000), at(0));
    }
    gate.finish(AttemptId(4), SlotEnd::Shed, at(1));
    assert_eq!(gate.report(at(1)).slots, 4);
    assert_eq!(
        gate.offer(request(10, 1, 9_000), at(1)),
        GateVerdict::Queued
    );
}

// Symptom: minutes after a server is well again it still gets one request at a time.
// Sequence: a long outage has doubled the time between two tries to its longest.
// Cause: answers did not shorten that time.
#[test]
fn answers_after_a_long_outage_bring_the_slots_back_soon() {
    let mut gate = new_gate(3);
    for step in 0..600 {
        let (now, attempt) = (step * 100, AttemptId(u128::from(step)));
        gate.offer(request(attempt.0, now, 1_000_000), at(now));
        gate.finish(attempt, SlotEnd::Shed, at(now));
        gate.withdraw(attempt, at(now));
    }
    let mut first_answer = None;
    for step in 600..2_000 {
        let (now, attempt) = (step * 100, AttemptId(u128::from(step)));
        let verdict = gate.offer(request(attempt.0, now, 1_000_000), at(now));
        if verdict == GateVerdict::Start {
            gate.finish(attempt, SlotEnd::Served, at(now + 50));
            first_answer.get_or_insert(now);
        }
        gate.withdraw(attempt, at(now));
        if gate.report(at(now)).slots == 3 {
            let first = first_answer.expect("the slots return after an answer");
            assert!(now - first <= 6_000, "took {} ms", now - first);
            return;
        }
    }
    panic!("the slots never came back");
}

// Symptom: one agency's impatient callers close a gate for everybody, or make it believe that its
// requests take no time. Sequence: callers leave after a few milliseconds, one after the other.
// Cause: a caller that left was counted as a lost or as a quick answer.
#[test]
fn callers_that_leave_change_neither_the_limit_nor_the_service_time() {
    let mut gate = new_gate(3);
    let before = gate.report(at(0));
    for number in 0..100 {
        let now = number as u64 * 10;
        gate.offer(request(number, now, now + 60_000), at(now));
        gate.finish(AttemptId(number), SlotEnd::Abandoned, at(now + 5));
    }
    let after = gate.report(at(1_000));
    assert_eq!(after.slots, before.slots);
    assert_eq!(after.service_time, before.service_time);
}
