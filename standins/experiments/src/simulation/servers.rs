//! Simulated backend servers: service times, faults and refusals.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, Moment, RefusalReason};
use lovagelatch_placement::{GateAction, PlacementPolicy, SlotOutcome};
use smallvec::SmallVec;

use super::PolicySimulation;
use super::agent::visible_report;
use crate::event::SimEvent;
use crate::metrics::RunMetrics;
use crate::scenario::TargetFault;

/// Factor by which requests take longer on a slow server.
const SLOW_FACTOR: f64 = 10.0;
/// Time after which a server in an outage refuses a request, and its retry-after.
const OUTAGE_RESPONSE_TIME: Duration = Duration::from_millis(1);

impl<P: PlacementPolicy> PolicySimulation<P> {
    pub(super) fn start_attempt(&mut self, attempt: AttemptId, gate: usize) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.started_at = self.now;
        if is_in_outage(self.scenario.fault, self.now, &self.metrics) {
            let at = self.now + OUTAGE_RESPONSE_TIME;
            self.events.push(at, SimEvent::ServiceEnd { attempt, gate });
            return;
        }
        let is_slow = gate == 0 && self.scenario.fault == TargetFault::Slow;
        let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
        let end = self.now + entry.request.size.mul_f64(factor);
        let is_leaving = gate == 0 && self.scenario.fault == TargetFault::Leaving;
        if is_leaving && self.now > self.halfway {
            self.metrics.started_while_leaving += 1;
        }
        self.events
            .push(end, SimEvent::ServiceEnd { attempt, gate });
    }

    pub(super) fn end_service(&mut self, attempt: AttemptId, gate: usize) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        self.metrics.record_work(gate, entry.started_at, self.now);
        let holder = entry.request.holder;
        if is_in_outage(self.scenario.fault, entry.started_at, &self.metrics) {
            self.shed_attempt(attempt, gate);
            return;
        }
        let actions = self.agents[gate]
            .gate
            .finish(attempt, SlotOutcome::Served, self.now);
        let report = visible_report(&self.agents[gate].gate, gate, self.scenario.fault, self.now);
        self.apply(gate, actions);
        let at = self.now + self.one_way_delay(holder, gate);
        let response = SimEvent::Response {
            attempt,
            gate,
            report,
        };
        self.events.push(at, response);
    }

    pub(super) fn shed_attempt(&mut self, attempt: AttemptId, gate: usize) {
        let actions = self.agents[gate]
            .gate
            .finish(attempt, SlotOutcome::Shed, self.now);
        self.apply(gate, actions);
        self.refuse_attempt(attempt, gate, RefusalReason::Shed, OUTAGE_RESPONSE_TIME);
    }

    pub(super) fn wake_gate(&mut self, gate: usize) {
        self.agents[gate].wake_at = None;
        let actions = self.agents[gate].gate.advance(self.now);
        self.apply(gate, actions);
    }

    pub(super) fn apply(&mut self, gate: usize, actions: SmallVec<[GateAction; 4]>) {
        for action in actions {
            match action {
                GateAction::Start(attempt) => self.start_attempt(attempt, gate),
                GateAction::Refuse {
                    attempt,
                    reason,
                    retry_after,
                } => self.refuse_attempt(attempt, gate, reason, retry_after),
            }
        }
        self.schedule_wakeup(gate);
    }

    pub(super) fn schedule_wakeup(&mut self, gate: usize) {
        let agent = &mut self.agents[gate];
        let Some(wanted) = agent.gate.next_wakeup() else {
            return;
        };
        let wanted = wanted.max(self.now + Duration::from_micros(1));
        if agent.wake_at.is_none_or(|planned| planned > wanted) {
            agent.wake_at = Some(wanted);
            self.events.push(wanted, SimEvent::Wakeup { gate });
        }
    }
}

/// Whether all servers refuse requests that start at `at`.
fn is_in_outage(fault: TargetFault, at: Moment, metrics: &RunMetrics) -> bool {
    match fault {
        TargetFault::Outage => at >= metrics.measured_from,
        TargetFault::Recovery => at < metrics.measured_from,
        _ => false,
    }
}
