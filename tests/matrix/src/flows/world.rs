//! The simulation loop and the network between callers, balancers and agents.

use std::net::SocketAddrV4;

use lovagelatch_domain::AgentAddress;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agent::{AgentReply, ArrivalOutcome, FlowAgent};
use super::balancer::FlowBalancer;
use super::caller::FlowCaller;
use super::fleet::{FleetState, agent_address, key_ring};
use super::{CLAIMS, FLOW_STEPS, FlowFault, FlowMechanisms, FlowStep, MAPS};
use crate::history::{AgentStart, MatrixEvent, MatrixHistory};
use crate::plan::FaultPlan;
use crate::queue::EventQueue;

const BALANCERS: usize = 3;
const CALLERS: u64 = 4;

/// The interval between two packets of a caller.
const PACKET_INTERVAL_MS: u64 = 300;

const RETRANSMIT_INTERVAL_MS: u64 = 250;

/// How long a packet may stay unacknowledged before the caller considers its flow lost.
const IDLE_TIMEOUT_MS: u64 = 12_000;

const PACKETS_PER_FLOW: u32 = 9;

#[derive(Clone, Debug)]
pub(crate) enum FlowEvent {
    OpenFlow(u64),
    Send(u64, u32),
    Retransmit(u64, u32),
    IdleCheck(u64, u32),
    DeliverToBalancer(usize, SocketAddrV4, Vec<u8>),
    DeliverToAgent(AgentAddress, Vec<u8>),
    DeliverToCaller(u64, AgentReply),
    /// A process updates its view to the current state: a balancer if the number is below
    /// `BALANCERS`, otherwise the agent with that number minus `BALANCERS`.
    RefreshView(usize),
    RotateKeys(usize),
    Heal(FlowFault, AgentAddress, usize),
    Suspect(AgentAddress),
    MarkGone(AgentAddress),
    Restart(AgentAddress),
}

/// The impairments of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlowNetwork {
    pub(crate) drop_probability: f64,
    pub(crate) duplicate_probability: f64,
    pub(crate) delay_probability: f64,
    pub(crate) jitter_ms: u64,
}

/// Simulated callers, balancers and agents, driven by one event queue.
pub struct FlowWorld {
    pub(crate) plan: FaultPlan<FlowFault, FlowStep>,
    pub(crate) mechanisms: FlowMechanisms,
    pub(crate) rng: SmallRng,
    pub(crate) queue: EventQueue<FlowEvent>,
    pub(crate) network: FlowNetwork,
    pub(crate) fleet: FleetState,
    pub(crate) balancers: Vec<FlowBalancer>,
    pub(crate) agents: Vec<FlowAgent>,
    callers: Vec<FlowCaller>,
    pub(crate) generation: u8,
    /// Steps whose faults have already been injected.
    reached_steps: Vec<FlowStep>,
    pub(crate) history: MatrixHistory,
}

impl FlowWorld {
    /// Creates a world of three balancers and six agents in which no flow is open yet.
    #[must_use]
    pub fn new(plan: FaultPlan<FlowFault, FlowStep>, mechanisms: FlowMechanisms) -> Self {
        let fleet = FleetState::new();
        let keys = key_ring(1);
        let balancers = (0..BALANCERS).map(|_| FlowBalancer::new(keys.clone(), &fleet));
        let agents = (0..6).map(|number| {
            let agent = agent_address(number);
            let service = if number < 4 { CLAIMS } else { MAPS };
            FlowAgent::new(
                AgentStart { agent, start: 1 },
                service,
                keys.clone(),
                &fleet,
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
            reached_steps: Vec::new(),
            history: MatrixHistory::default(),
            fleet,
            plan,
        }
    }

    /// Runs until no event is left and returns what happened.
    #[must_use]
    pub fn run(mut self) -> MatrixHistory {
        for flow in 0..CALLERS {
            let initial_id = self.rng.random();
            self.callers.push(FlowCaller::new(flow, initial_id));
            // The last flow opens after all faults have ended.
            let start_ms = if flow + 1 == CALLERS {
                5_000
            } else {
                flow * 170
            };
            self.queue.push(start_ms, FlowEvent::OpenFlow(flow));
        }
        while let Some(event) = self.queue.pop() {
            self.handle(event);
        }
        self.history
    }

    pub(crate) fn record(&mut self, event: MatrixEvent) {
        self.history.record(self.queue.now(), event);
    }

    fn handle(&mut self, event: FlowEvent) {
        match event {
            FlowEvent::OpenFlow(flow) => self.open_flow(flow),
            FlowEvent::Send(flow, number) => self.send_first(flow, number),
            FlowEvent::Retransmit(flow, number) => self.retransmit(flow, number),
            FlowEvent::IdleCheck(flow, number) => self.check_idle(flow, number),
            FlowEvent::DeliverToBalancer(number, caller, datagram) => {
                self.deliver_to_balancer(number, caller, datagram);
            }
            FlowEvent::DeliverToAgent(agent, frame) => self.deliver_to_agent(agent, frame),
            FlowEvent::DeliverToCaller(flow, reply) => self.deliver_to_caller(flow, reply),
            FlowEvent::RefreshView(number) => self.refresh_view(number),
            FlowEvent::RotateKeys(number) => self.rotate_keys(number),
            FlowEvent::Heal(fault, holder, balancer) => self.heal(fault, holder, balancer),
            FlowEvent::Suspect(agent) => self.suspect(agent),
            FlowEvent::MarkGone(agent) => self.mark_gone(agent),
            FlowEvent::Restart(agent) => self.restart_agent(agent),
        }
    }

    fn open_flow(&mut self, flow: u64) {
        if flow == 0 {
            self.reach_step(FlowStep::FirstInitial);
        }
        let service = self.fleet.address_service;
        // While the address moves, views disagree on its service, so no service is expected.
        let settled = service == CLAIMS || flow + 1 == CALLERS;
        let service = settled.then_some(service);
        self.record(MatrixEvent::FlowOpened { flow, service });
        for number in 0..PACKETS_PER_FLOW {
            let at = PACKET_INTERVAL_MS * u64::from(number);
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
            self.reach_step(step);
        }
        let caller = self.caller(flow);
        if caller.ended {
            return;
        }
        if number == 5 {
            caller.change_address(1);
        }
        caller.unacknowledged.insert(number);
        self.queue
            .push(IDLE_TIMEOUT_MS, FlowEvent::IdleCheck(flow, number));
        self.retransmit(flow, number);
    }

    fn retransmit(&mut self, flow: u64, number: u32) {
        let caller = self.caller(flow);
        if caller.ended || !caller.unacknowledged.contains(&number) {
            return;
        }
        let (from, datagram) = (caller.address, caller.datagram(number));
        self.queue
            .push(RETRANSMIT_INTERVAL_MS, FlowEvent::Retransmit(flow, number));
        if let Some(datagram) = datagram {
            let balancer = self.rng.random_range(0..BALANCERS);
            self.transmit(FlowEvent::DeliverToBalancer(balancer, from, datagram));
        }
    }

    fn check_idle(&mut self, flow: u64, number: u32) {
        let caller = self.caller(flow);
        if !caller.ended && caller.unacknowledged.contains(&number) {
            caller.ended = true;
            self.record(MatrixEvent::FlowTimedOut { flow });
        }
    }

    /// Schedules the delivery of a datagram, subject to the impairments of the network.
    fn transmit(&mut self, event: FlowEvent) {
        let network = self.network;
        let copies = 1 + usize::from(self.rng.random_bool(network.duplicate_probability));
        for _ in 0..copies {
            if self.rng.random_bool(network.drop_probability) {
                continue;
            }
            let mut delay =
                self.rng.random_range(1..4) + self.rng.random_range(0..=network.jitter_ms);
            if self.rng.random_bool(network.delay_probability) {
                delay += self.rng.random_range(50..1_000);
            }
            self.queue.push(delay, event.clone());
        }
    }

    fn deliver_to_balancer(&mut self, number: usize, caller: SocketAddrV4, datagram: Vec<u8>) {
        let balancer = &mut self.balancers[number];
        if balancer.paused {
            balancer.pending_datagrams.push((caller, datagram));
            return;
        }
        if let Some((agent, frame)) = balancer.forward(caller, &datagram, self.mechanisms) {
            self.transmit(FlowEvent::DeliverToAgent(agent, frame));
        }
    }

    fn deliver_to_agent(&mut self, address: AgentAddress, frame: Vec<u8>) {
        let Some(number) = self.running_agent(address) else {
            return;
        };
        let agent = &mut self.agents[number];
        if agent.paused {
            agent.pending_frames.push(frame);
            return;
        }
        let (start, service) = (agent.start, agent.service);
        match agent.handle_frame(&frame, self.mechanisms) {
            ArrivalOutcome::Dropped => {}
            ArrivalOutcome::Forwarded(to, frame) => {
                self.transmit(FlowEvent::DeliverToAgent(to, frame));
            }
            ArrivalOutcome::Reset(datagram, reply) => {
                self.transmit(FlowEvent::DeliverToCaller(datagram.flow, reply));
            }
            ArrivalOutcome::Accepted {
                datagram,
                open,
                issued,
                reply,
            } => {
                let flow = datagram.flow;
                self.record(MatrixEvent::PacketAccepted {
                    flow,
                    receiver: start,
                    service,
                    open,
                });
                if issued && flow == 0 {
                    self.reach_step(FlowStep::TokenIssued);
                }
                if let Some(reply) = reply {
                    self.transmit(FlowEvent::DeliverToCaller(flow, reply));
                }
            }
        }
    }

    fn deliver_to_caller(&mut self, flow: u64, reply: AgentReply) {
        let caller = self.caller(flow);
        if caller.ended {
            return;
        }
        let (holder, reset) = caller.handle_reply(reply);
        caller.ended |= reset;
        if let Some(holder) = holder {
            self.record(MatrixEvent::FlowHeld { flow, holder });
        }
        if reset {
            self.record(MatrixEvent::FlowReset { flow });
        }
    }

    /// Injects the faults planned for a step, when the step is reached for the first time.
    fn reach_step(&mut self, step: FlowStep) {
        debug_assert!(FLOW_STEPS.contains(&step));
        if self.reached_steps.contains(&step) {
            return;
        }
        self.reached_steps.push(step);
        let faults: Vec<FlowFault> = self.plan.faults_at(step).collect();
        for fault in faults {
            self.record(MatrixEvent::Fault(format!("{fault:?} at {step:?}")));
            self.inject(fault);
        }
    }

    /// Returns the agent that holds flow 0; before it has a holder, the last agent that accepted a
    /// packet of it, or else agent 0.
    pub(crate) fn holder(&self) -> AgentAddress {
        let holder = self.callers.first().and_then(|caller| caller.holder);
        let fallback = self
            .history
            .events
            .iter()
            .rev()
            .find_map(|(_, event)| match event {
                MatrixEvent::PacketAccepted {
                    flow: 0, receiver, ..
                } => Some(receiver.agent),
                _ => None,
            });
        holder
            .map(|holder| holder.agent)
            .or(fallback)
            .unwrap_or(agent_address(0))
    }

    pub(crate) fn running_agent(&self, address: AgentAddress) -> Option<usize> {
        let mut agents = self.agents.iter();
        agents.position(|agent| agent.running && agent.start.agent == address)
    }
}
