//! Fair shares of the agencies at one gate.

use std::collections::HashMap;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_placement::{GateAction, GateSettings, GateVerdict, RequestGate, SlotOutcome};

use crate::support::{at, new_gate, request_of};

/// Attempt numbers of an agency start at its index times this.
const STRIDE: u128 = 1_000_000;

/// No queue counts as standing before this time, in milliseconds, so nothing is refused until then.
const STANDING_AFTER: u64 = 10_000;

struct ShareCase {
    name: &'static str,
    /// Service time in milliseconds and number of queued requests, by agency.
    agencies: [(u64, usize); 3],
}

// Guards against an agency whose callers wait for hours while another agency keeps a long queue, or
// sends few but long requests. Slots granted in arrival order, or by number of requests instead of
// slot time, cause this.
#[test]
fn slot_time_is_shared_equally_whatever_the_numbers_and_sizes() {
    let cases = [
        ShareCase {
            name: "equal",
            agencies: [(100, 5), (100, 5), (100, 5)],
        },
        ShareCase {
            name: "one under high load",
            agencies: [(100, 60), (100, 3), (100, 3)],
        },
        ShareCase {
            name: "one with long requests",
            agencies: [(600, 5), (100, 5), (100, 5)],
        },
    ];
    for case in cases {
        let used = run_backlogged(&case);
        let mean = used.iter().sum::<u64>() / 3;
        for share in used {
            let within = share * 10 >= mean * 8 && share * 10 <= mean * 12;
            assert!(within, "{}: {used:?}", case.name);
        }
    }
}

/// Keeps every agency backlogged for 120 s at a gate with two slots. Returns the slot time used.
fn run_backlogged(case: &ShareCase) -> [u64; 3] {
    let names = ["ludhiana", "amritsar", "multan"];
    let mut gate = new_gate(2);
    let mut offered = [0_u128; 3];
    let mut waiting = [0_usize; 3];
    let mut ends: HashMap<AttemptId, u64> = HashMap::new();
    let mut used = [0; 3];
    for now in 0..120_000 {
        let mut started: Vec<AttemptId> = Vec::new();
        for index in 0..3 {
            while waiting[index] < case.agencies[index].1 {
                let attempt = index as u128 * STRIDE + offered[index];
                offered[index] += 1;
                let request = request_of(names[index], attempt, now, now + 10_000_000);
                match gate.offer(request, at(now)) {
                    GateVerdict::Start => started.push(AttemptId(attempt)),
                    GateVerdict::Queued => waiting[index] += 1,
                    // A standing queue is kept short; the agency tries again.
                    GateVerdict::Refused { .. } if now > STANDING_AFTER => break,
                    other => panic!("{other:?}"),
                }
            }
        }
        let due: Vec<AttemptId> = ends
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            ends.remove(&attempt);
            for action in gate.finish(attempt, SlotOutcome::Served, at(now)) {
                let GateAction::Start(next) = action else {
                    panic!("{action:?}");
                };
                waiting[(next.0 / STRIDE) as usize] -= 1;
                started.push(next);
            }
        }
        for attempt in started {
            let index = (attempt.0 / STRIDE) as usize;
            let service = case.agencies[index].0;
            used[index] += service;
            ends.insert(attempt, now + service);
        }
    }
    used
}

// Guards against a queue limit that is common to all agencies: one agency fills the queue, and
// another one within its share is refused.
#[test]
fn a_full_queue_of_one_agency_leaves_room_for_others() {
    let mut gate = new_gate(1);
    let mut refused = 0;
    for number in 0..400 {
        let verdict = gate.offer(request_of("busy", number, 0, 600_000), at(0));
        refused += u32::from(matches!(verdict, GateVerdict::Refused { .. }));
    }
    assert!(refused > 0);
    let other = gate.offer(request_of("ludhiana", 1_000, 0, 2_000), at(0));
    assert_eq!(other, GateVerdict::Queued);
    let again = gate.offer(request_of("busy", 1_001, 0, 600_000), at(0));
    let over = matches!(
        again,
        GateVerdict::Refused {
            reason: RefusalReason::OverShare,
            ..
        }
    );
    assert!(over, "{again:?}");
}

#[test]
fn agencies_that_overload_together_share_the_queue() {
    let mut gate = RequestGate::new(GateSettings::new(1).with_queue_limit(60));
    let mut queued = [0, 0];
    for number in 0..400 {
        let index = number as usize % 2;
        let name = ["ludhiana", "amritsar"][index];
        let verdict = gate.offer(request_of(name, number, 0, 600_000), at(0));
        queued[index] += u32::from(verdict == GateVerdict::Queued);
    }
    assert_eq!(queued, [30, 30]);
}

#[test]
fn a_newly_queued_agency_starts_within_three_turns() {
    let mut gate = new_gate(1);
    for number in 0..50 {
        gate.offer(request_of("busy", number, 0, 600_000), at(0));
    }
    gate.offer(request_of("ludhiana", 1_000, 0, 600_000), at(0));
    let mut running = AttemptId(0);
    for turn in 1..=3 {
        let actions = gate.finish(running, SlotOutcome::Served, at(turn * 100));
        let [GateAction::Start(next)] = actions[..] else {
            panic!("{actions:?}");
        };
        running = next;
        if running == AttemptId(1_000) {
            return;
        }
    }
    panic!("the agency was not started within three turns");
}
