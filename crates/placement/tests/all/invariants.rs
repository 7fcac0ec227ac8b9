//! Invariants of the gate under any sequence of events.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use lovagelatch_domain::{AttemptId, GateCondition, Moment};
use lovagelatch_placement::{
    GateAction, GateRequest, GateSettings, GateVerdict, RequestGate, SlotOutcome,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::support::agency;

const SLOTS: u16 = 3;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        agency: u8,
        timeout_ms: u16,
    },
    Repeat(u8),
    Finish(u8, u8),
    Cancel(u8),
    Advance,
    Condition(u8),
    /// Time passes, in milliseconds; rarely a long time, as for a stopped process.
    Elapse(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Offer {
                agency: u8::arbitrary(g) % 4,
                timeout_ms: u16::arbitrary(g) % 3_000,
            },
            5 => Self::Repeat(u8::arbitrary(g)),
            6..=7 => Self::Finish(u8::arbitrary(g), u8::arbitrary(g) % 3),
            8 => Self::Cancel(u8::arbitrary(g)),
            9 => Self::Advance,
            10 => Self::Condition(u8::arbitrary(g) % 6),
            _ => Self::Elapse(u16::arbitrary(g) >> (u8::arbitrary(g) % 16)),
        }
    }
}

/// The state of each attempt as seen from outside the gate.
struct Observer {
    gate: RequestGate,
    now: Moment,
    deadlines: HashMap<AttemptId, Moment>,
    waiting: Vec<AttemptId>,
    running: Vec<AttemptId>,
    ended: HashSet<AttemptId>,
    offered: u128,
}

impl Observer {
    fn start(&mut self, attempt: AttemptId) {
        assert!(
            self.deadlines[&attempt] > self.now,
            "started after its deadline"
        );
        assert!(!self.ended.contains(&attempt), "started after its end");
        self.running.push(attempt);
        assert!(
            self.running.len() <= usize::from(SLOTS),
            "more requests run than slots"
        );
    }

    fn refuse(&mut self, attempt: AttemptId) {
        assert!(!self.running.contains(&attempt), "refused while it runs");
        assert!(self.ended.insert(attempt), "ended twice");
    }

    fn apply(&mut self, actions: &[GateAction]) {
        for action in actions {
            let (GateAction::Start(attempt) | GateAction::Refuse { attempt, .. }) = *action;
            let position = self.waiting.iter().position(|held| *held == attempt);
            self.waiting
                .remove(position.expect("actions name only queued attempts"));
            match action {
                GateAction::Start(_) => self.start(attempt),
                GateAction::Refuse { .. } => self.refuse(attempt),
            }
        }
    }

    fn offer(&mut self, agency_number: u8, timeout_ms: u16) {
        self.offered += 1;
        let attempt = AttemptId(self.offered);
        let deadline = self.now + Duration::from_millis(timeout_ms.into());
        self.deadlines.insert(attempt, deadline);
        let request = GateRequest {
            attempt,
            agency: agency(["", "ludhiana", "amritsar", "multan"][usize::from(agency_number)]),
            arrived: self.now,
            deadline,
        };
        match self.gate.offer(request, self.now) {
            GateVerdict::Start => self.start(attempt),
            GateVerdict::Queued => self.waiting.push(attempt),
            GateVerdict::Refused { .. } => self.refuse(attempt),
            GateVerdict::Duplicate => panic!("a new attempt is not a duplicate"),
        }
    }

    fn step(&mut self, step: &Step) {
        let pick = |list: &[AttemptId], number: u8| {
            (!list.is_empty()).then(|| list[usize::from(number) % list.len()])
        };
        match *step {
            Step::Offer { agency, timeout_ms } => self.offer(agency, timeout_ms),
            Step::Repeat(number) => {
                let held: Vec<_> = self.running.iter().chain(&self.waiting).copied().collect();
                if let Some(attempt) = pick(&held, number) {
                    let request = GateRequest {
                        attempt,
                        agency: None,
                        arrived: self.now,
                        deadline: self.now,
                    };
                    let verdict = self.gate.offer(request, self.now);
                    assert_eq!(verdict, GateVerdict::Duplicate);
                }
            }
            Step::Finish(number, end) => {
                if let Some(attempt) = pick(&self.running, number) {
                    self.running.retain(|held| *held != attempt);
                    self.ended.insert(attempt);
                    let end = [SlotOutcome::Served, SlotOutcome::Shed, SlotOutcome::Lost]
                        [usize::from(end)];
                    let actions = self.gate.finish(attempt, end, self.now);
                    self.apply(&actions);
                }
            }
            Step::Cancel(number) => {
                if let Some(attempt) = pick(&self.waiting, number) {
                    assert!(self.gate.cancel_queued(attempt, self.now));
                    self.waiting.retain(|held| *held != attempt);
                    self.refuse(attempt);
                }
            }
            Step::Advance => {
                let actions = self.gate.advance(self.now);
                self.apply(&actions);
            }
            Step::Condition(number) => {
                let condition = match number {
                    0 => GateCondition::Leaving,
                    1 => GateCondition::Warming {
                        remaining: Duration::from_millis(300),
                    },
                    _ => GateCondition::Open,
                };
                let actions = self.gate.set_condition(condition, self.now);
                self.apply(&actions);
            }
            Step::Elapse(millis) => self.now = self.now + Duration::from_millis(millis.into()),
        }
        let report = self.gate.report(self.now);
        assert_eq!(usize::from(report.in_use), self.running.len());
        assert_eq!(report.queued as usize, self.waiting.len());
    }
}

fn keeps_invariants(steps: Vec<Step>) -> bool {
    let mut observer = Observer {
        gate: RequestGate::new(GateSettings::new(SLOTS).with_queue_limit(8)),
        now: Moment::ZERO,
        deadlines: HashMap::new(),
        waiting: Vec::new(),
        running: Vec::new(),
        ended: HashSet::new(),
        offered: 0,
    };
    for step in &steps {
        observer.step(step);
    }
    // No request may remain queued once all deadlines have passed.
    observer.now = observer.now + Duration::from_secs(1_000);
    let actions = observer.gate.advance(observer.now);
    observer.apply(&actions);
    observer.waiting.is_empty()
}

#[test]
fn slots_deadlines_and_ends_hold_under_any_sequence() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(3_000)
        .quickcheck(keeps_invariants as fn(Vec<Step>) -> bool);
}
