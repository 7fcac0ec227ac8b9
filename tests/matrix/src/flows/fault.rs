//! Injects the faults and ends them again.

use lovagelatch_domain::AgentAddress;
use lovagelatch_membership::TargetStanding;
use rand::Rng;

use super::agent::FlowAgent;
use super::balancer::FlowBalancer;
use super::fleet::{FleetState, key_ring};
use super::world::{FlowEvent, FlowNetwork, FlowWorld};
use super::{CLAIMS, FlowFault, MAPS};
use crate::history::{AgentStart, MatrixEvent};

/// How long it takes until a process learns of a change.
const PROPAGATION_DELAY_MS: std::ops::Range<u64> = 20..400;

const FAULT_DURATION_MS: std::ops::Range<u64> = 300..1_500;

/// The time from a crash to the next start at the same address.
const RESTART_DELAY_MS: u64 = 200;

/// How long an agent is silent before it is suspected.
const SUSPICION_TIMEOUT_MS: u64 = 1_000;

/// How long an agent is silent before it is considered gone.
const GONE_TIMEOUT_MS: u64 = 3_000;

impl FlowWorld {
    pub(crate) fn inject(&mut self, fault: FlowFault) {
        let holder = self.holder();
        let balancer = self.rng.random_range(0..self.balancers.len());
        let duration = self.rng.random_range(FAULT_DURATION_MS);
        self.queue
            .push(duration, FlowEvent::Heal(fault, holder, balancer));
        match fault {
            FlowFault::Drop => self.network.drop_probability = 0.5,
            FlowFault::Duplicate => self.network.duplicate_probability = 0.9,
            FlowFault::Delay => self.network.delay_probability = 0.7,
            FlowFault::Reorder => self.network.jitter_ms = 60,
            FlowFault::StaleView => {
                self.balancers[balancer].stale = true;
                let other = self.fleet.targets[self.rng.random_range(0..4)].1.agent;
                self.announce_leaving(other);
            }
            FlowFault::ViewsDiffer => self.diverge_views(),
            FlowFault::BalancerPaused => self.balancers[balancer].paused = true,
            FlowFault::BalancerReplaced => self.replace_balancer(balancer),
            FlowFault::BalancerIsolated => self.balancers[balancer].isolated = true,
            FlowFault::HolderUnreachable => {
                self.balancers[balancer].unreachable_agent = Some(holder);
            }
            FlowFault::HolderPaused => {
                self.record(MatrixEvent::WrongView {
                    agent: holder,
                    gone: false,
                });
                self.update_agent(holder, |agent| agent.paused = true);
                self.fleet.set_standing(holder, TargetStanding::Suspected);
                self.propagate();
            }
            FlowFault::HolderFalselyGone => {
                self.record(MatrixEvent::WrongView {
                    agent: holder,
                    gone: true,
                });
                let mut view = self.fleet.clone();
                view.set_standing(holder, TargetStanding::Suspected);
                view.gone.push(holder);
                self.balancers[balancer].table = view.table();
            }
            FlowFault::HolderLeaving => {
                self.update_agent(holder, |agent| agent.leaving = true);
                self.announce_leaving(holder);
            }
            FlowFault::HolderReplaced => {
                self.crash_agent(holder);
                self.queue
                    .push(RESTART_DELAY_MS, FlowEvent::Restart(holder));
            }
            FlowFault::HolderCrashed => {
                self.crash_agent(holder);
                self.queue
                    .push(SUSPICION_TIMEOUT_MS, FlowEvent::Suspect(holder));
                self.queue
                    .push(GONE_TIMEOUT_MS, FlowEvent::MarkGone(holder));
            }
            FlowFault::HolderAddressReused => {
                self.crash_agent(holder);
                self.fleet.move_target(holder, MAPS);
                // The absence tracker considers an agent gone when the list names its address for
                // another service.
                if self.mechanisms.absence_tracking {
                    self.fleet.gone.push(holder);
                }
                self.balancers[balancer].stale = true;
                self.queue
                    .push(RESTART_DELAY_MS, FlowEvent::Restart(holder));
                self.propagate();
            }
            FlowFault::AddressMoved => {
                self.record(MatrixEvent::AddressMoved);
                self.fleet.address_service = MAPS;
                self.fleet.revision += 1;
                self.balancers[balancer].stale = true;
                self.propagate();
            }
            FlowFault::KeyRotation => {
                self.generation = 3 - self.generation;
                for number in 0..self.balancers.len() + self.agents.len() {
                    let delay = self.rng.random_range(PROPAGATION_DELAY_MS);
                    self.queue.push(delay, FlowEvent::RotateKeys(number));
                }
            }
        }
    }

    pub(crate) fn heal(&mut self, fault: FlowFault, holder: AgentAddress, number: usize) {
        let balancer = &mut self.balancers[number];
        match fault {
            FlowFault::Drop | FlowFault::Duplicate | FlowFault::Delay | FlowFault::Reorder => {
                self.network = FlowNetwork::default();
            }
            FlowFault::BalancerPaused => self.resume_balancer(number),
            FlowFault::BalancerIsolated => balancer.isolated = false,
            FlowFault::HolderUnreachable => balancer.unreachable_agent = None,
            FlowFault::HolderPaused => {
                if self.running_agent(holder).is_some() {
                    self.fleet.set_standing(holder, TargetStanding::Live);
                    self.propagate();
                }
                self.resume_agent(holder);
            }
            FlowFault::StaleView
            | FlowFault::ViewsDiffer
            | FlowFault::BalancerReplaced
            | FlowFault::HolderFalselyGone
            | FlowFault::HolderAddressReused
            | FlowFault::AddressMoved => {
                balancer.stale = false;
                self.propagate();
            }
            _ => {}
        }
    }

    /// Marks a running agent as leaving and propagates it.
    fn announce_leaving(&mut self, agent: AgentAddress) {
        if self.running_agent(agent).is_some() {
            self.fleet.set_standing(agent, TargetStanding::Leaving);
            self.record(MatrixEvent::LeavingAnnounced(agent));
            self.propagate();
        }
    }

    /// Schedules a view update of every process, each after its own random delay.
    fn propagate(&mut self) {
        for number in 0..self.balancers.len() + self.agents.len() {
            let delay = self.rng.random_range(PROPAGATION_DELAY_MS);
            self.queue.push(delay, FlowEvent::RefreshView(number));
        }
    }

    pub(crate) fn refresh_view(&mut self, number: usize) {
        let balancers = self.balancers.len();
        if let Some(agent) = number.checked_sub(balancers) {
            let fleet = self.fleet.clone();
            self.agents[agent].set_view(&fleet);
            return;
        }
        let balancer = &mut self.balancers[number];
        if !balancer.stale && !balancer.paused {
            balancer.table = self.fleet.table();
        }
    }

    pub(crate) fn rotate_keys(&mut self, number: usize) {
        let keys = key_ring(self.generation);
        match number.checked_sub(self.balancers.len()) {
            Some(agent) => self.agents[agent].keys = keys,
            None => self.balancers[number].keys = keys,
        }
    }

    fn diverge_views(&mut self) {
        for (number, balancer) in self.balancers.iter_mut().enumerate() {
            let mut view = self.fleet.clone();
            view.targets.remove(number);
            balancer.table = view.table();
        }
    }

    fn replace_balancer(&mut self, number: usize) {
        let empty = FleetState {
            revision: 0,
            targets: Vec::new(),
            ..self.fleet.clone()
        };
        let keys = key_ring(self.generation);
        self.balancers[number] = FlowBalancer::new(keys, &empty);
        let delay = self.rng.random_range(PROPAGATION_DELAY_MS);
        self.queue.push(delay, FlowEvent::RefreshView(number));
    }

    fn resume_balancer(&mut self, number: usize) {
        let balancer = &mut self.balancers[number];
        balancer.paused = false;
        for (caller, datagram) in std::mem::take(&mut balancer.pending_datagrams) {
            self.queue
                .push(0, FlowEvent::DeliverToBalancer(number, caller, datagram));
        }
        self.queue.push(50, FlowEvent::RefreshView(number));
    }

    fn resume_agent(&mut self, address: AgentAddress) {
        let mut pending_frames = Vec::new();
        self.update_agent(address, |agent| {
            agent.paused = false;
            pending_frames = std::mem::take(&mut agent.pending_frames);
        });
        for frame in pending_frames {
            self.queue
                .push(0, FlowEvent::DeliverToAgent(address, frame));
        }
    }

    fn update_agent(&mut self, address: AgentAddress, change: impl FnOnce(&mut FlowAgent)) {
        if let Some(number) = self.running_agent(address) {
            change(&mut self.agents[number]);
        }
    }

    fn crash_agent(&mut self, address: AgentAddress) {
        if let Some(number) = self.running_agent(address) {
            let agent = &mut self.agents[number];
            agent.running = false;
            let start = agent.start;
            self.record(MatrixEvent::AgentCrashed(start));
        }
    }

    /// Starts a new agent of the service for which the list currently names the address.
    pub(crate) fn restart_agent(&mut self, address: AgentAddress) {
        let starts = self.agents.iter();
        let earlier = starts.filter(|agent| agent.start.agent == address);
        let start = earlier.map(|agent| agent.start.start).max().unwrap_or(0) + 1;
        let mut targets = self.fleet.targets.iter();
        let listed = targets.find(|(_, target)| target.agent == address);
        let service = listed.map_or(CLAIMS, |(service, _)| *service);
        let start = AgentStart {
            agent: address,
            start,
        };
        let keys = key_ring(self.generation);
        if self.running_agent(address).is_none() {
            let agent = FlowAgent::new(start, service, keys, &self.fleet);
            self.agents.push(agent);
        }
    }

    /// Marks a silent agent as suspected. An agent known to be leaving is never suspected.
    pub(crate) fn suspect(&mut self, agent: AgentAddress) {
        let stopped = self.running_agent(agent).is_none();
        if stopped && self.fleet.standing(agent) == Some(TargetStanding::Live) {
            self.fleet.set_standing(agent, TargetStanding::Suspected);
            self.propagate();
        }
    }

    /// Marks a silent agent as gone. An agent counts as gone only after a long suspicion, or when
    /// it is no longer listed.
    pub(crate) fn mark_gone(&mut self, agent: AgentAddress) {
        let suspected = self.fleet.standing(agent) == Some(TargetStanding::Suspected);
        let stopped = self.running_agent(agent).is_none();
        if stopped && suspected && self.mechanisms.absence_tracking {
            self.fleet.gone.push(agent);
            self.propagate();
        }
    }
}
