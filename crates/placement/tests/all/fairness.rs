//! Shares of agencies at one gate.

use std::collections::HashMap;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_placement::{GateAction, GateSettings, GateVerdict, RequestGate, SlotEnd};

use crate::support::{at, new_gate, request_of};

/// Numbers of one agency's attempts start here times its index.
const STRIDE: u128 = 1_000_000;

/// No queue counts as standing before this, in milliseconds; until then nothing is refused.
const STANDING_AFTER: u64 = 10_000;

struct ShareCase {
    name: &'static str,
    /// Service time in milliseconds and requests kept waiting, by agency.
    agencies: [(u64, usize); 3],
}

// Symptom: citizens of one agency wait for hours while a rival files in bulk.
// Sequence: the rival keeps a long queue, or files few but long requests.
// Cause: slots were given in order of arrival, or counted in requests instead of slot time.
#[test]
fn slot_time_is_shared_equally_whatever_the_numbers_and_sizes() {
    let cases = [
        ShareCase {
            name: "equal",
            agencies: [(100, 5), (100, 5), (100, 5)],
        },
        ShareCase {
            name: "one rushes",
            agencies: [(100, 60), (100, 3), (100, 3)],
        },
        ShareCase {
            name: "one files long requests",
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

/// Keeps every agency backlogged at a gate with two slots for 120 s; returns slot time used.
fn run_backlogged(case: &ShareCase) -> [u64; 3] {
    let names = ["ludhiana", "amritsar", "multan"];
    let mut gate = new_gate(2);
    let mut made = [0_u128; 3];
    let mut waiting = [0_usize; 3];
    let mut ends: HashMap<AttemptId, u64> = HashMap::new();
    let mut used = [0; 3];
    for now in 0..120_000 {
        let mut started: Vec<AttemptId> = Vec::new();
        for index in 0..3 {
            while waiting[index] < case.agencies[index].1 {
                let attempt = index as u128 * STRIDE + made[index];
                made[index] += 1;
                let request = request_of(names[index], attempt, now, now + 10_000_000);
                match gate.offer(request, at(now)) {
                    GateVerdict::Start => started.push(AttemptId(attempt)),
                    GateVerdict::Queued => waiting[index] += 1,
                    // A queue that stands is kept short; its agency comes again.
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
            for action in gate.finish(attempt, SlotEnd::Served, at(now)) {
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

// Symptom: an agency within its share is refused while a rival holds the whole queue.
// Sequence: the rival fills the queue to its limit; then the other files one request.
// Cause: the limit was one for all.
#[test]
fn a_full_queue_of_one_agency_leaves_room_for_its_rivals() {
    let mut gate = new_gate(1);
    let mut refused = 0;
    for number in 0..400 {
        let verdict = gate.offer(request_of("rushing", number, 0, 600_000), at(0));
        refused += u32::from(matches!(verdict, GateVerdict::Refused { .. }));
    }
    assert!(refused > 0);
    let rival = gate.offer(request_of("ludhiana", 1_000, 0, 2_000), at(0));
    assert_eq!(rival, GateVerdict::Queued);
    let again = gate.offer(request_of("rushing", 1_001, 0, 600_000), at(0));
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
fn agencies_that_flood_together_share_the_queue() {
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
fn an_agency_that_comes_late_is_next_but_one() {
    let mut gate = new_gate(1);
    for number in 0..50 {
        gate.offer(request_of("rushing", number, 0, 600_000), at(0));
    }
    gate.offer(request_of("ludhiana", 1_000, 0, 600_000), at(0));
    let mut running = AttemptId(0);
    for turn in 1..=3 {
        let actions = gate.finish(running, SlotEnd::Served, at(turn * 100));
        let [GateAction::Start(next)] = actions[..] else {
            panic!("{actions:?}");
        };
        running = next;
        if running == AttemptId(1_000) {
            return;
        }
    }
    panic!("the rival was not started within three turns");
}
