//! The network between callers, balancers and agents, and the course of a run.

use std::net::SocketAddrV4;

use lovagelatch_domain::AgentAddress;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agent::{AgentReply, Arrival, FlowAgent};
use super::balancer::FlowBalancer;
use super::caller::FlowCaller;
use super::truth::{FleetTruth, agent_address, key_ring};
use super::{CLAIMS, FLOW_STEPS, FlowFault, FlowMechanisms, FlowStep, MAPS};
use crate::history::{AgentStart, MatrixEvent, MatrixHistory};
use crate::plan::FaultPlan;
use crate::queue::EventQueue;

const BALANCERS: usize = 3;
const CALLERS: u64 = 4;

/// Milliseconds between two packets of a caller.
const PACE: u64 = 300;

/// Milliseconds between two retransmissions.
const RETRANSMIT: u64 = 250;

/// Milliseconds without an answer after which a caller takes its flow for lost.
const IDLE_TIMEOUT: u64 = 12_000;

/// Packets of one flow.
const PACKETS: u32 = 9;

#[derive(Clone, Debug)]
pub(crate) enum FlowEvent {
    Begin(u64),
    Send(u64, u32),
    Retransmit(u64, u32),
    IdleCheck(u64, u32),
    AtBalancer(usize, SocketAddrV4, Vec<u8>),
    AtAgent(AgentAddress, Vec<u8>),
    AtCaller(u64, AgentReply),
    /// A balancer (below `BALANCERS`) or an agent takes over what is true now.
    Refresh(usize),
    RotateKeys(usize),
    Heal(FlowFault, AgentAddress, usize),
    Suspect(AgentAddress),
    HoldGone(AgentAddress),
    StartAgain(AgentAddress),
}

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlowNetwork {
    pub(crate) drop: f64,
    pub(crate) duplicate: f64,
    pub(crate) late: f64,
    pub(crate) jitter: u64,
}

/// Callers, balancers and agents with one queue.
pub struct FlowWorld {
    pub(crate) plan: FaultPlan<FlowFault, FlowStep>,
    pub(crate) mechanisms: FlowMechanisms,
    pub(crate) rng: SmallRng,
    pub(crate) queue: EventQueue<FlowEvent>,
    pub(crate) network: FlowNetwork,
    pub(crate) truth: FleetTruth,
    pub(crate) balancers: Vec<FlowBalancer>,
    pub(crate) agents: Vec<FlowAgent>,
    callers: Vec<FlowCaller>,
    pub(crate) generation: u8,
    /// Steps whose faults have struck.
    struck: Vec<FlowStep>,
    pub(crate) history: MatrixHistory,
}

impl FlowWorld {
    /// A world at its start.
    #[must_use]
    pub fn new(plan: FaultPlan<FlowFault, FlowStep>, mechanisms: FlowMechanisms) -> Self {
        let truth = FleetTruth::new();
        let keys = key_ring(1);
        let balancers = (0..BALANCERS).map(|_| FlowBalancer::new(keys.clone(), &truth));
        let agents = (0..6).map(|number| {
            let agent = agent_address(number);
            let service = if number < 4 { CLAIMS } else { MAPS };
            FlowAgent::new(
                AgentStart { agent, start: 1 },
                service,
                keys.clone(),
                &truth,
            )
        });
        Self {
            mechanisms,
            rng: SmallRng::seed_from_u64(plan.seed),
            queue: EventQueue::default(),
            network: FlowNetwork::default(),
            balancers: balancers.collect(),
            agents: agents.collect(),
            callers: Vec::new(),
            generation: 1,
            struck: Vec::new(),
            history: MatrixHistory::default(),
            truth,
            plan,
        }
    }

    /// Plays to the end.
    #[must_use]
    pub fn play(mut self) -> MatrixHistory {
        for flow in 0..CALLERS {
            let chosen = self.rng.random();
            self.callers.push(FlowCaller::new(flow, chosen));
            // The last one opens its flow when all is over.
            let begin = if flow + 1 == CALLERS {
                5_000
            } else {
                flow * 170
            };
            self.queue.push(begin, FlowEvent::Begin(flow));
        }
        while let Some(event) = self.queue.pop() {
            self.handle(event);
        }
        self.history
    }

    pub(crate) fn note(&mut self, event: MatrixEvent) {
        self.history.note(self.queue.now(), event);
    }

    fn handle(&mut self, event: FlowEvent) {
        match event {
            FlowEvent::Begin(flow) => self.begin(flow),
            FlowEvent::Send(flow, number) => self.send_first(flow, number),
            FlowEvent::Retransmit(flow, number) => self.retransmit(flow, number),
            FlowEvent::IdleCheck(flow, number) => self.check_idle(flow, number),
            FlowEvent::AtBalancer(number, caller, datagram) => {
                self.at_balancer(number, caller, datagram);
            }
            FlowEvent::AtAgent(agent, frame) => self.at_agent(agent, frame),
            FlowEvent::AtCaller(flow, reply) => self.at_caller(flow, reply),
            FlowEvent::Refresh(number) => self.refresh(number),
            FlowEvent::RotateKeys(number) => self.rotate_keys(number),
            FlowEvent::Heal(fault, holder, balancer) => self.heal(fault, holder, balancer),
            FlowEvent::Suspect(agent) => self.suspect(agent),
            FlowEvent::HoldGone(agent) => self.hold_gone(agent),
            FlowEvent::StartAgain(agent) => self.start_again(agent),
        }
    }

    fn begin(&mut self, flow: u64) {
        if flow == 0 {
            self.reach(FlowStep::FirstInitial);
        }
        let service = self.truth.address_service;
        // While views disagree, nobody can say which service the address leads to.
        let settled = service == CLAIMS || flow + 1 == CALLERS;
        let service = settled.then_some(service);
        self.note(MatrixEvent::FlowOpened { flow, service });
        for number in 0..PACKETS {
            let at = PACE * u64::from(number);
            self.queue.push(at, FlowEvent::Send(flow, number));
        }
    }

    fn caller(&mut self, flow: u64) -> &mut FlowCaller {
        &mut self.callers[usize::try_from(flow).unwrap_or(0)]
    }

    fn send_first(&mut self, flow: u64, number: u32) {
        let step = match number {
            1 => Some(FlowStep::SecondInitial),
            2 => Some(FlowStep::Handshake),
            3 => Some(FlowStep::Data),
            5 => Some(FlowStep::AddressChange),
            7 => Some(FlowStep::MoreData),
            _ => None,
        };
        if let Some(step) = step.filter(|_| flow == 0) {
            self.reach(step);
        }
        let caller = self.caller(flow);
        if caller.ended {
            return;
        }
        if number == 5 {
            caller.change_address(1);
        }
        caller.unanswered.insert(number);
        self.queue
            .push(IDLE_TIMEOUT, FlowEvent::IdleCheck(flow, number));
        self.retransmit(flow, number);
    }

    fn retransmit(&mut self, flow: u64, number: u32) {
        let caller = self.caller(flow);
        if caller.ended || !caller.unanswered.contains(&number) {
            return;
        }
        let (from, datagram) = (caller.address, caller.datagram(number));
        self.queue
            .push(RETRANSMIT, FlowEvent::Retransmit(flow, number));
        if let Some(datagram) = datagram {
            let balancer = self.rng.random_range(0..BALANCERS);
            self.carry(FlowEvent::AtBalancer(balancer, from, datagram));
        }
    }

    fn check_idle(&mut self, flow: u64, number: u32) {
        let caller = self.caller(flow);
        if !caller.ended && caller.unanswered.contains(&number) {
            caller.ended = true;
            self.note(MatrixEvent::FlowSilent { flow });
        }
    }

    /// Lets the network have a datagram.
    fn carry(&mut self, event: FlowEvent) {
        let network = self.network;
        let copies = 1 + usize::from(self.rng.random_bool(network.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(network.drop) {
                continue;
            }
            let mut delay = self.rng.random_range(1..4) + self.rng.random_range(0..=network.jitter);
            if self.rng.random_bool(network.late) {
                delay += self.rng.random_range(50..1_000);
            }
            self.queue.push(delay, event.clone());
        }
    }

    fn at_balancer(&mut self, number: usize, caller: SocketAddrV4, datagram: Vec<u8>) {
        let balancer = &mut self.balancers[number];
        if balancer.paused {
            balancer.held_back.push((caller, datagram));
            return;
        }
        if let Some((agent, frame)) = balancer.forward(caller, &datagram, self.mechanisms) {
            self.carry(FlowEvent::AtAgent(agent, frame));
        }
    }

    fn at_agent(&mut self, address: AgentAddress, frame: Vec<u8>) {
        let Some(number) = self.running_agent(address) else {
            return;
        };
        let agent = &mut self.agents[number];
        if agent.paused {
            agent.held_back.push(frame);
            return;
        }
        let (start, service) = (agent.start, agent.service);
        match agent.receive(&frame, self.mechanisms) {
            Arrival::Dropped => {}
            Arrival::HandedOn(to, frame) => self.carry(FlowEvent::AtAgent(to, frame)),
            Arrival::Reset(datagram, reply) => {
                self.carry(FlowEvent::AtCaller(datagram.flow, reply));
            }
            Arrival::Taken {
                datagram,
                open,
                issued,
                reply,
            } => {
                let flow = datagram.flow;
                self.note(MatrixEvent::PacketTaken {
                    flow,
                    taker: start,
                    service,
                    open,
                });
                if issued && flow == 0 {
                    self.reach(FlowStep::TokenIssued);
                }
                if let Some(reply) = reply {
                    self.carry(FlowEvent::AtCaller(flow, reply));
                }
            }
        }
    }

    fn at_caller(&mut self, flow: u64, reply: AgentReply) {
        let caller = self.caller(flow);
        if caller.ended {
            return;
        }
        let (holder, reset) = caller.hear(reply);
        caller.ended |= reset;
        if let Some(holder) = holder {
            self.note(MatrixEvent::FlowHeld { flow, holder });
        }
        if reset {
            self.note(MatrixEvent::FlowReset { flow });
        }
    }

    /// The faults of a step strike once, before it.
    fn reach(&mut self, step: FlowStep) {
        debug_assert!(FLOW_STEPS.contains(&step));
        if self.struck.contains(&step) {
            return;
        }
        self.struck.push(step);
        let faults: Vec<FlowFault> = self.plan.faults_at(step).collect();
        for fault in faults {
            self.note(MatrixEvent::Fault(format!("{fault:?} at {step:?}")));
            self.strike(fault);
        }
    }

    /// The agent that holds flow 0, or the one that its first packet most likely reaches.
    pub(crate) fn holder(&self) -> AgentAddress {
        let held = self.callers.first().and_then(|caller| caller.holder);
        let fallback = self
            .history
            .events
            .iter()
            .rev()
            .find_map(|(_, event)| match event {
                MatrixEvent::PacketTaken { flow: 0, taker, .. } => Some(taker.agent),
                _ => None,
            });
        held.map(|holder| holder.agent)
            .or(fallback)
            .unwrap_or(agent_address(0))
    }

    pub(crate) fn running_agent(&self, address: AgentAddress) -> Option<usize> {
        let mut agents = self.agents.iter();
        agents.position(|agent| agent.running && agent.start.agent == address)
    }
}
