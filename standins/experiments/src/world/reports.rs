//! Heartbeats on their way, and the condition of target 0.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, GateReport};
use lovagelatch_placement::PlacementPolicy;

use super::World;
use super::agent::{address_of, shown_report};
use crate::event::Event;

/// A cold target stays cold for its setup time, then serves this many setup times.
const WARM_SETUPS: u32 = 4;
/// The shortest time between two reports of a gate.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);

impl<P: PlacementPolicy> World<P> {
    pub(super) fn sample(&mut self, gate: usize) {
        if self.is_over() {
            return;
        }
        let report = shown_report(&self.agents[gate].gate, gate, self.scenario.fault, self.now);
        let interval = self.report_interval();
        self.events
            .push(self.now + interval, Event::Report { gate, report });
        self.events
            .push(self.now + interval, Event::Sample { gate });
    }

    pub(super) fn spread(&mut self, gate: usize, report: GateReport) {
        let address = address_of(gate);
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
        let setup = self.scenario.setup;
        let condition = if cold {
            GateCondition::Warming { remaining: setup }
        } else {
            GateCondition::Open
        };
        let lasts = if cold { setup } else { setup * WARM_SETUPS };
        let actions = self.agents[0].gate.set_condition(condition, self.now);
        self.apply(0, actions);
        self.events
            .push(self.now + lasts, Event::Condition { cold: !cold });
    }

    /// Half of the lag is the time between reports, half their time on the way.
    pub(super) fn report_interval(&self) -> Duration {
        (self.scenario.lag / 2).max(LEAST_INTERVAL)
    }
}
