//! What the faults do, and how they end.

use lovagelatch_domain::AgentAddress;
use lovagelatch_membership::TargetStanding;
use rand::Rng;

use super::agent::FlowAgent;
use super::balancer::FlowBalancer;
use super::truth::{FleetTruth, key_ring};
use super::world::{FlowEvent, FlowNetwork, FlowWorld};
use super::{CLAIMS, FlowFault, MAPS};
use crate::history::{AgentStart, MatrixEvent};

/// Milliseconds until a process has heard of a change.
const HEAR: std::ops::Range<u64> = 20..400;

/// Milliseconds that a fault lasts.
const LASTS: std::ops::Range<u64> = 300..1_500;

/// Milliseconds from a start to the next at the same address.
const RESTART: u64 = 200;

/// Milliseconds until an agent that went silent is suspected, and held to be gone.
const SUSPECT: u64 = 1_000;
const HOLD_GONE: u64 = 3_000;

impl FlowWorld {
    pub(crate) fn strike(&mut self, fault: FlowFault) {
        let holder = self.holder();
        let balancer = self.rng.random_range(0..self.balancers.len());
        let lasts = self.rng.random_range(LASTS);
        self.queue
            .push(lasts, FlowEvent::Heal(fault, holder, balancer));
        match fault {
            FlowFault::Drop => self.network.drop = 0.5,
            FlowFault::Duplicate => self.network.duplicate = 0.9,
            FlowFault::Delay => self.network.late = 0.7,
            FlowFault::Reorder => self.network.jitter = 60,
            FlowFault::StaleView => {
                self.balancers[balancer].stale = true;
                let other = self.truth.targets[self.rng.random_range(0..4)].1.agent;
                self.say_leaving(other);
            }
            FlowFault::ViewsDiffer => self.differ(),
            FlowFault::BalancerPaused => self.balancers[balancer].paused = true,
            FlowFault::BalancerReplaced => self.replace_balancer(balancer),
            FlowFault::BalancerCutOff => self.balancers[balancer].cut_off = true,
            FlowFault::HolderCutOff => self.balancers[balancer].cut_from = Some(holder),
            FlowFault::HolderPaused => {
                self.note(MatrixEvent::HeldWrongly {
                    agent: holder,
                    gone: false,
                });
                self.for_agent(holder, |agent| agent.paused = true);
                self.truth.set_standing(holder, TargetStanding::Suspected);
                self.spread();
            }
            FlowFault::HeldGone => {
                self.note(MatrixEvent::HeldWrongly {
                    agent: holder,
                    gone: true,
                });
                let mut view = self.truth.clone();
                view.set_standing(holder, TargetStanding::Suspected);
                view.gone.push(holder);
                self.balancers[balancer].table = view.table();
            }
            FlowFault::HolderLeaving => {
                self.for_agent(holder, |agent| agent.leaving = true);
                self.say_leaving(holder);
            }
            FlowFault::HolderReplaced => {
                self.end_agent(holder);
                self.queue.push(RESTART, FlowEvent::StartAgain(holder));
            }
            FlowFault::HolderDead => {
                self.end_agent(holder);
                self.queue.push(SUSPECT, FlowEvent::Suspect(holder));
                self.queue.push(HOLD_GONE, FlowEvent::HoldGone(holder));
            }
            FlowFault::InstanceMoved => {
                self.end_agent(holder);
                self.truth.move_target(holder, MAPS);
                // What the absence tracker makes of a list that names it for another service.
                if self.mechanisms.absence {
                    self.truth.gone.push(holder);
                }
                self.balancers[balancer].stale = true;
                self.queue.push(RESTART, FlowEvent::StartAgain(holder));
                self.spread();
            }
            FlowFault::AddressMoved => {
                self.note(MatrixEvent::AddressPassed);
                self.truth.address_service = MAPS;
                self.truth.revision += 1;
                self.balancers[balancer].stale = true;
                self.spread();
            }
            FlowFault::KeyRotation => {
                self.generation = 3 - self.generation;
                for number in 0..self.balancers.len() + self.agents.len() {
                    let delay = self.rng.random_range(HEAR);
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
            FlowFault::BalancerPaused => self.wake_balancer(number),
            FlowFault::BalancerCutOff => balancer.cut_off = false,
            FlowFault::HolderCutOff => balancer.cut_from = None,
            FlowFault::HolderPaused => {
                if self.running_agent(holder).is_some() {
                    self.truth.set_standing(holder, TargetStanding::Live);
                    self.spread();
                }
                self.wake_agent(holder);
            }
            FlowFault::StaleView
            | FlowFault::ViewsDiffer
            | FlowFault::BalancerReplaced
            | FlowFault::HeldGone
            | FlowFault::InstanceMoved
            | FlowFault::AddressMoved => {
                balancer.stale = false;
                self.spread();
            }
            _ => {}
        }
    }

    /// An agent that runs is known to be leaving from now on.
    fn say_leaving(&mut self, agent: AgentAddress) {
        if self.running_agent(agent).is_some() {
            self.truth.set_standing(agent, TargetStanding::Leaving);
            self.note(MatrixEvent::LeavingSaid(agent));
            self.spread();
        }
    }

    /// Every process hears of what is true, each after a while of its own.
    fn spread(&mut self) {
        for number in 0..self.balancers.len() + self.agents.len() {
            let delay = self.rng.random_range(HEAR);
            self.queue.push(delay, FlowEvent::Refresh(number));
        }
    }

    pub(crate) fn refresh(&mut self, number: usize) {
        let balancers = self.balancers.len();
        if let Some(agent) = number.checked_sub(balancers) {
            let truth = self.truth.clone();
            self.agents[agent].take_view(&truth);
            return;
        }
        let balancer = &mut self.balancers[number];
        if !balancer.stale && !balancer.paused {
            balancer.table = self.truth.table();
        }
    }

    pub(crate) fn rotate_keys(&mut self, number: usize) {
        let keys = key_ring(self.generation);
        match number.checked_sub(self.balancers.len()) {
            Some(agent) => self.agents[agent].keys = keys,
            None => self.balancers[number].keys = keys,
        }
    }

    fn differ(&mut self) {
        for (number, balancer) in self.balancers.iter_mut().enumerate() {
            let mut view = self.truth.clone();
            view.targets.remove(number);
            balancer.table = view.table();
        }
    }

    fn replace_balancer(&mut self, number: usize) {
        let nothing = FleetTruth {
            revision: 0,
            targets: Vec::new(),
            ..self.truth.clone()
        };
        let keys = key_ring(self.generation);
        self.balancers[number] = FlowBalancer::new(keys, &nothing);
        let delay = self.rng.random_range(HEAR);
        self.queue.push(delay, FlowEvent::Refresh(number));
    }

    fn wake_balancer(&mut self, number: usize) {
        let balancer = &mut self.balancers[number];
        balancer.paused = false;
        for (caller, datagram) in std::mem::take(&mut balancer.held_back) {
            self.queue
                .push(0, FlowEvent::AtBalancer(number, caller, datagram));
        }
        self.queue.push(50, FlowEvent::Refresh(number));
    }

    fn wake_agent(&mut self, address: AgentAddress) {
        let mut held_back = Vec::new();
        self.for_agent(address, |agent| {
            agent.paused = false;
            held_back = std::mem::take(&mut agent.held_back);
        });
        for frame in held_back {
            self.queue.push(0, FlowEvent::AtAgent(address, frame));
        }
    }

    fn for_agent(&mut self, address: AgentAddress, change: impl FnOnce(&mut FlowAgent)) {
        if let Some(number) = self.running_agent(address) {
            change(&mut self.agents[number]);
        }
    }

    fn end_agent(&mut self, address: AgentAddress) {
        if let Some(number) = self.running_agent(address) {
            let agent = &mut self.agents[number];
            agent.running = false;
            let start = agent.start;
            self.note(MatrixEvent::AgentEnded(start));
        }
    }

    /// A successor starts, of the service that the list names for the address now.
    pub(crate) fn start_again(&mut self, address: AgentAddress) {
        let starts = self.agents.iter();
        let earlier = starts.filter(|agent| agent.start.agent == address);
        let start = earlier.map(|agent| agent.start.start).max().unwrap_or(0) + 1;
        let mut targets = self.truth.targets.iter();
        let listed = targets.find(|(_, target)| target.agent == address);
        let service = listed.map_or(CLAIMS, |(service, _)| *service);
        let start = AgentStart {
            agent: address,
            start,
        };
        let keys = key_ring(self.generation);
        if self.running_agent(address).is_none() {
            let agent = FlowAgent::new(start, service, keys, &self.truth);
            self.agents.push(agent);
        }
    }

    /// An agent that is known to be leaving is not suspected, whatever its peers hear of it.
    pub(crate) fn suspect(&mut self, agent: AgentAddress) {
        let unheard = self.running_agent(agent).is_none();
        if unheard && self.truth.standing(agent) == Some(TargetStanding::Live) {
            self.truth.set_standing(agent, TargetStanding::Suspected);
            self.spread();
        }
    }

    /// Only one that was suspected for long, or is off the list, counts as gone.
    pub(crate) fn hold_gone(&mut self, agent: AgentAddress) {
        let suspected = self.truth.standing(agent) == Some(TargetStanding::Suspected);
        let unheard = self.running_agent(agent).is_none();
        if unheard && suspected && self.mechanisms.absence {
            self.truth.gone.push(agent);
            self.spread();
        }
    }
}
