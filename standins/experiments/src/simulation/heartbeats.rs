//! Load reports between agents, and the condition of target 0.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, GateReport};
use lovagelatch_placement::PlacementPolicy;

use super::PolicySimulation;
use super::agent::{agent_address, visible_report};
use crate::event::SimEvent;

/// After each warm-up a cold target serves this many times as long before its next cold start.
const WARM_FACTOR: u32 = 4;
/// Minimum interval between two reports of a gate.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl<P: PlacementPolicy> PolicySimulation<P> {
    pub(super) fn sample_load(&mut self, gate: usize) {
        if self.is_over() {
            return;
        }
        let report = visible_report(&self.agents[gate].gate, gate, self.scenario.fault, self.now);
        let interval = self.report_interval();
        self.events
            .push(self.now + interval, SimEvent::LoadReport { gate, report });
        self.events
            .push(self.now + interval, SimEvent::LoadSample { gate });
    }

    pub(super) fn deliver_report(&mut self, gate: usize, report: GateReport) {
        let address = agent_address(gate);
        for agent in &mut self.agents {
            let peer = agent.peers.iter_mut().find(|peer| peer.agent == address);
            if let Some(peer) = peer {
                peer.report = report;
                peer.received = self.now;
            }
        }
    }

    pub(super) fn change_condition(&mut self, cold: bool) {
        if self.is_over() {
            return;
        }
        let warmup = self.scenario.warmup;
        let condition = if cold {
            GateCondition::Warming { remaining: warmup }
        } else {
            GateCondition::Open
        };
        let duration = if cold { warmup } else { warmup * WARM_FACTOR };
        let actions = self.agents[0].gate.set_condition(condition, self.now);
        self.apply(0, actions);
        self.events.push(
            self.now + duration,
            SimEvent::ConditionChange { cold: !cold },
        );
    }

    /// Returns the interval between reports: half of the lag. Transmission takes the other half.
    pub(super) fn report_interval(&self) -> Duration {
        (self.scenario.lag / 2).max(MIN_REPORT_INTERVAL)
    }
}
