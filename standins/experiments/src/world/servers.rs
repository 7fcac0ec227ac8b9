//! Fake backend servers: how long they take, when they refuse.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, Moment, RefusalReason};
use lovagelatch_placement::{GateAction, PlacementPolicy, SlotOutcome};
use smallvec::SmallVec;

use super::World;
use super::agent::shown_report;
use crate::event::Event;
use crate::scenario::TargetFault;
use crate::tally::RunTally;

/// What a slow server's requests take longer.
const SLOW_FACTOR: f64 = 10.0;
/// How soon a server in an outage refuses.
const OUTAGE_ANSWER: Duration = Duration::from_millis(1);

impl<P: PlacementPolicy> World<P> {
    pub(super) fn start(&mut self, attempt: AttemptId, gate: usize) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.started_at = self.now;
        if is_out(self.scenario.fault, self.now, &self.tally) {
            let at = self.now + OUTAGE_ANSWER;
            self.events.push(at, Event::End { attempt, gate });
            return;
        }
        let is_slow = gate == 0 && self.scenario.fault == TargetFault::Slow;
        let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
        let end = self.now + entry.request.size.mul_f64(factor);
        let is_leaving = gate == 0 && self.scenario.fault == TargetFault::Leaving;
        if is_leaving && self.now > self.half_time {
            self.tally.started_leaving += 1;
        }
        self.events.push(end, Event::End { attempt, gate });
    }

    pub(super) fn end(&mut self, attempt: AttemptId, gate: usize) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        self.tally.note_work(gate, entry.started_at, self.now);
        let holder = entry.request.holder;
        if is_out(self.scenario.fault, entry.started_at, &self.tally) {
            self.shed(attempt, gate);
            return;
        }
        let actions = self.agents[gate]
            .gate
            .finish(attempt, SlotOutcome::Served, self.now);
        let report = shown_report(&self.agents[gate].gate, gate, self.scenario.fault, self.now);
        self.apply(gate, actions);
        let at = self.now + self.way(holder, gate);
        let answer = Event::Answer {
            attempt,
            gate,
            report,
        };
        self.events.push(at, answer);
    }

    pub(super) fn shed(&mut self, attempt: AttemptId, gate: usize) {
        let actions = self.agents[gate]
            .gate
            .finish(attempt, SlotOutcome::Shed, self.now);
        self.apply(gate, actions);
        self.refuse(attempt, gate, RefusalReason::Shed, OUTAGE_ANSWER);
    }

    pub(super) fn wake(&mut self, gate: usize) {
        self.agents[gate].wake_at = None;
        let actions = self.agents[gate].gate.advance(self.now);
        self.apply(gate, actions);
    }

    pub(super) fn apply(&mut self, gate: usize, actions: SmallVec<[GateAction; 4]>) {
        for action in actions {
            match action {
                GateAction::Start(attempt) => self.start(attempt, gate),
                GateAction::Refuse {
                    attempt,
                    reason,
                    retry_after,
                } => self.refuse(attempt, gate, reason, retry_after),
            }
        }
        self.plan_wake(gate);
    }

    pub(super) fn plan_wake(&mut self, gate: usize) {
        let agent = &mut self.agents[gate];
        let Some(wanted) = agent.gate.next_wakeup() else {
            return;
        };
        let wanted = wanted.max(self.now + Duration::from_micros(1));
        if agent.wake_at.is_none_or(|planned| planned > wanted) {
            agent.wake_at = Some(wanted);
            self.events.push(wanted, Event::Wake { gate });
        }
    }
}

/// Whether all servers refuse what starts at `at`.
fn is_out(fault: TargetFault, at: Moment, tally: &RunTally) -> bool {
    match fault {
        TargetFault::Outage => at >= tally.warm_from,
        TargetFault::Recovery => at < tally.warm_from,
        _ => false,
    }
}
