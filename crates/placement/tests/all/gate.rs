//! The gate: slots, deadlines, refusals.

use lovagelatch_domain::{AttemptId, GateCondition, RefusalReason};
use lovagelatch_placement::{GateAction, GateSettings, GateVerdict, RequestGate, SlotOutcome};

use crate::support::{at, millis, new_gate, request, request_of};

fn reason_of(verdict: GateVerdict) -> Option<RefusalReason> {
    match verdict {
        GateVerdict::Refused { reason, .. } => Some(reason),
        _ => None,
    }
}

struct OfferCase {
    name: &'static str,
    /// Requests offered before, each with a distant deadline.
    before: u128,
    condition: GateCondition,
    now: u64,
    deadline: u64,
    expected: Result<GateVerdict, RefusalReason>,
}

#[test]
fn an_offer_is_started_queued_or_refused_by_its_deadline() {
    let open = GateCondition::Open;
    let warming = GateCondition::Warming {
        remaining: millis(1_000),
    };
    let start = Ok(GateVerdict::Start);
    let queued = Ok(GateVerdict::Queued);
    #[rustfmt::skip]
    let cases = [
        OfferCase { name: "free slot", before: 0, condition: open, now: 0, deadline: 10, expected: start },
        OfferCase { name: "deadline reached", before: 0, condition: open, now: 10, deadline: 10, expected: Err(RefusalReason::TooLate) },
        OfferCase { name: "all slots used", before: 3, condition: open, now: 0, deadline: 5_000, expected: queued },
        OfferCase { name: "wait beyond deadline", before: 60, condition: open, now: 0, deadline: 500, expected: Err(RefusalReason::TooLate) },
        OfferCase { name: "queue limit", before: 3 + 64, condition: open, now: 0, deadline: 60_000, expected: Err(RefusalReason::Full) },
        OfferCase { name: "leaving", before: 0, condition: GateCondition::Leaving, now: 0, deadline: 5_000, expected: Err(RefusalReason::Leaving) },
        OfferCase { name: "warming, time enough", before: 0, condition: warming, now: 0, deadline: 5_000, expected: queued },
        OfferCase { name: "warming, too short", before: 0, condition: warming, now: 0, deadline: 900, expected: Err(RefusalReason::Warming) },
    ];
    for case in cases {
        let settings = GateSettings::new(3).with_queue_limit(64);
        let mut gate = RequestGate::new(settings);
        gate.set_condition(case.condition, at(0));
        for number in 0..case.before {
            gate.offer(request(number + 1, 0, 600_000), at(0));
        }
        let verdict = gate.offer(request(1_000, 0, case.deadline), at(case.now));
        match case.expected {
            Ok(expected) => assert_eq!(verdict, expected, "{}", case.name),
            Err(reason) => assert_eq!(reason_of(verdict), Some(reason), "{}", case.name),
        }
    }
}

// Guards against a standing queue under lasting overload. If every request that meets its deadline
// is queued, the queue fills up to the deadlines, and callers with a timeout of a minute wait for
// most of it.
#[test]
fn a_standing_queue_is_kept_short_and_a_burst_is_not() {
    let mut gate = new_gate(1);
    let mut running = None;
    let mut waits = Vec::new();
    // Twice the capacity: one request per 50 ms with a service time of 100 ms each.
    for step in 0..800_u64 {
        let millis = step * 50;
        let number = u128::from(step);
        let verdict = gate.offer(request(number, millis, millis + 60_000), at(millis));
        if verdict == GateVerdict::Start {
            running = Some(AttemptId(number));
        } else if step % 2 == 0 {
            let finished = running.take().expect("a request is running");
            let actions = gate.finish(finished, SlotOutcome::Served, at(millis));
            running = actions.iter().find_map(|action| match action {
                GateAction::Start(attempt) => Some(*attempt),
                GateAction::Refuse { .. } => None,
            });
        }
        waits.push(gate.report(at(millis)).expected_wait);
    }
    assert!(waits[190] > millis(8_000), "a burst: {:?}", waits[190]);
    assert!(waits[799] < millis(1_500), "standing: {:?}", waits[799]);
}

// Guards against a "not run" answer for a request that does run: a relay repeats its request frame
// after a broken stream, and the full gate refuses the copy as if it were a new request.
#[test]
fn a_repeated_attempt_is_never_refused() {
    let mut gate = new_gate(1);
    assert_eq!(gate.offer(request(1, 0, 500), at(0)), GateVerdict::Start);
    assert_eq!(gate.offer(request(2, 0, 900), at(0)), GateVerdict::Queued);
    for number in [1, 2] {
        let verdict = gate.offer(request(number, 0, 500), at(490));
        assert_eq!(verdict, GateVerdict::Duplicate, "attempt {number}");
    }
}

// Guards against a request that runs minutes after its caller was told that it failed. The agent's
// process is stopped while a request is queued and resumes after the deadline; the first event is
// the end of another request, which frees the slot before any deadline is checked.
#[test]
fn a_process_that_resumes_late_refuses_instead_of_starting() {
    type Wake = fn(&mut RequestGate) -> Vec<GateAction>;
    let wakes: [(&str, Wake); 3] = [
        ("finish", |gate| {
            gate.finish(AttemptId(1), SlotOutcome::Served, at(90_000))
                .to_vec()
        }),
        ("advance", |gate| gate.advance(at(90_000)).to_vec()),
        ("condition", |gate| {
            gate.set_condition(GateCondition::Open, at(90_000)).to_vec()
        }),
    ];
    for (name, wake) in wakes {
        let mut gate = new_gate(1);
        gate.offer(request(1, 0, 2_000), at(0));
        assert_eq!(gate.offer(request(2, 0, 2_000), at(0)), GateVerdict::Queued);
        let actions = wake(&mut gate);
        let refused = matches!(
            actions[..],
            [GateAction::Refuse {
                attempt: AttemptId(2),
                reason: RefusalReason::TooLate,
                ..
            }]
        );
        assert!(refused, "{name}: {actions:?}");
    }
}

#[test]
fn leaving_refuses_queued_requests_and_lets_running_ones_finish() {
    let mut gate = new_gate(1);
    gate.offer(request(1, 0, 5_000), at(0));
    gate.offer(request(2, 0, 5_000), at(0));
    let actions = gate.set_condition(GateCondition::Leaving, at(10));
    let leaving = matches!(
        actions[..],
        [GateAction::Refuse {
            attempt: AttemptId(2),
            reason: RefusalReason::Leaving,
            ..
        }]
    );
    assert!(leaving, "{actions:?}");
    assert_eq!(gate.report(at(10)).in_use, 1);
    assert!(
        gate.finish(AttemptId(1), SlotOutcome::Served, at(50))
            .is_empty()
    );
}

#[test]
fn a_cancelled_request_never_starts() {
    let mut gate = new_gate(1);
    gate.offer(request(1, 0, 5_000), at(0));
    gate.offer(request(2, 0, 5_000), at(0));
    assert!(gate.cancel_queued(AttemptId(2), at(1)));
    assert!(
        !gate.cancel_queued(AttemptId(2), at(1)),
        "it is no longer queued"
    );
    assert!(!gate.cancel_queued(AttemptId(1), at(1)), "it is running");
    assert!(
        gate.finish(AttemptId(1), SlotOutcome::Served, at(50))
            .is_empty()
    );
}

#[test]
fn warming_ends_when_the_server_reports_ready_not_at_the_forecast() {
    let mut gate = new_gate(2);
    let warming = GateCondition::Warming {
        remaining: millis(500),
    };
    gate.set_condition(warming, at(0));
    assert_eq!(gate.offer(request(1, 0, 9_000), at(0)), GateVerdict::Queued);
    assert!(gate.advance(at(2_000)).is_empty());
    let actions = gate.set_condition(GateCondition::Open, at(2_100));
    assert_eq!(actions[..], [GateAction::Start(AttemptId(1))]);
}

// Guards against refused callers that return in waves and are refused again: a full gate refuses
// fifty callers within one millisecond and computes the same retry-after time for each.
#[test]
fn retry_after_times_spread_refused_callers_at_the_service_rate() {
    let mut gate = new_gate(2);
    for number in 0..40 {
        gate.offer(request(number, 0, 60_000), at(0));
    }
    let retry_afters = (100..150).map(|number| {
        let verdict = gate.offer(request(number, 0, 500), at(0));
        let GateVerdict::Refused { retry_after, .. } = verdict else {
            panic!("{number} was not refused: {verdict:?}");
        };
        retry_after
    });
    let retry_afters: Vec<_> = retry_afters.collect();
    let (first, last) = (retry_afters[0], retry_afters[49]);
    // Two slots serve one request per 50 ms, so the fiftieth caller has to wait 2.45 s longer.
    assert!(last >= first + millis(2_300), "{first:?} to {last:?}");
    assert!(last <= first + millis(2_600), "{first:?} to {last:?}");
}

#[test]
fn one_outlier_does_not_distort_the_forecast() {
    let mut gate = new_gate(1);
    for number in 0..100 {
        gate.offer(request(number, 0, 600_000), at(number as u64 * 100));
        gate.finish(
            AttemptId(number),
            SlotOutcome::Served,
            at(number as u64 * 100 + 100),
        );
    }
    let before = gate.report(at(10_000)).service_time;
    gate.offer(request(200, 10_000, 900_000), at(10_000));
    gate.finish(AttemptId(200), SlotOutcome::Served, at(310_000));
    let after = gate.report(at(310_000)).service_time;
    assert!(after < before * 2, "{before:?} became {after:?}");
}

// Guards against a forecast from finished requests only: the server slows down by a factor of
// fifty, none of its answers shows it yet, and requests queue until their deadlines.
#[test]
fn a_slow_server_is_detected_before_it_answers() {
    let mut gate = new_gate(2);
    gate.offer(request(1, 0, 60_000), at(0));
    gate.offer(request(2, 0, 60_000), at(0));
    let verdict = gate.offer(request_of("ludhiana", 3, 5_000, 6_000), at(5_000));
    assert_eq!(reason_of(verdict), Some(RefusalReason::TooLate));
}
