//! Leaving: no new work reaches an instance 3 s after its first notice, though the list lags.
//!
//! From shortly before that limit on, every 200 ms, each balancer opens flows and each agent of
//! the service places a request, with the view and the reports that its own member holds. What reaches the leaving agent is judged
//! there as the agent judges it: it hands new flows on, and its gate refuses.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_capacity::{MemberRig, RigNetwork, rig_list, rig_text};
use lovagelatch_domain::{
    AgentAddress, AttemptId, GateCondition, GateReport, Moment, ServiceId, ServiceName,
};
use lovagelatch_placement::{
    GateRequest, GateSettings, GateVerdict, PeerPlacement, PlacementChoice, PlacementSettings,
    RequestGate, SlotOutcome,
};
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowAdmission, FlowRouter, PacketView, RouteDecision,
    RoutingTable,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::history::{MatrixEvent, MatrixHistory};
use crate::plan::FaultPlan;

const BALANCERS: u32 = 4;
const SERVICES: u32 = 2;
const TARGETS: u32 = 5;
const ZONES: u32 = 4;
const SLOTS: u16 = 3;
const SETTLE: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(200);

/// How long a fault lasts, by the seed: within the limit, or beyond it.
const FAULT_TIMES: [Duration; 2] = [Duration::from_millis(2_500), Duration::from_millis(4_500)];

const PATIENCE: Duration = Duration::from_secs(1);
const FLOWS_A_LOOK: usize = 3;

/// What goes wrong while an instance leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingFault {
    /// Half of all datagrams are lost.
    LostFrames,
    /// Nearly all datagrams come twice.
    DoubledFrames,
    /// Most datagrams come up to a second late.
    LateFrames,
    /// A balancer stops and wakes with its old view.
    BalancerSleeps,
    /// A peer stops and wakes with its old view.
    PeerSleeps,
    /// The leaving agent stops and wakes.
    LeaverSleeps,
    /// The leaving agent's zone is cut off; callers and balancers of the zone still reach it.
    ZoneCutOff,
    /// The leaving agent's zone is not heard by the others.
    ZoneUnheard,
    /// Another agent of the service leaves too.
    SecondLeaves,
    /// All but one of the service leave.
    MostLeave,
}

/// All of them.
pub const LEAVING_FAULTS: [LeavingFault; 10] = [
    LeavingFault::LostFrames,
    LeavingFault::DoubledFrames,
    LeavingFault::LateFrames,
    LeavingFault::BalancerSleeps,
    LeavingFault::PeerSleeps,
    LeavingFault::LeaverSleeps,
    LeavingFault::ZoneCutOff,
    LeavingFault::ZoneUnheard,
    LeavingFault::SecondLeaves,
    LeavingFault::MostLeave,
];

/// The steps of leaving, each a time before or after the first notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingStep {
    /// A second before the first notice.
    Before,
    /// With the first notice.
    FirstWord,
    /// Half a second later, while gossip carries it.
    Gossip,
    /// A second and a half later, when heartbeats say it too.
    Heartbeats,
    /// Just before the limit of 3 s.
    Limit,
    /// After the limit; the list still names it.
    ListLags,
}

/// All of them, in order.
pub const LEAVING_STEPS: [LeavingStep; 6] = [
    LeavingStep::Before,
    LeavingStep::FirstWord,
    LeavingStep::Gossip,
    LeavingStep::Heartbeats,
    LeavingStep::Limit,
    LeavingStep::ListLags,
];

impl LeavingStep {
    /// Time until the next step.
    fn lasts(self) -> Duration {
        Duration::from_millis(match self {
            Self::FirstWord => 500,
            Self::Before | Self::Gossip => 1_000,
            Self::Heartbeats => 1_400,
            Self::Limit => 2_000,
            Self::ListLags => 4_000,
        })
    }
}

/// What keeps the promise; each can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct LeavingMechanisms {
    /// The leaving agent says so.
    pub word: bool,
    /// The leaving agent hands new flows on.
    pub hand_on: bool,
    /// The leaving agent's gate refuses.
    pub gate: bool,
}

impl Default for LeavingMechanisms {
    fn default() -> Self {
        Self {
            word: true,
            hand_on: true,
            gate: true,
        }
    }
}

/// Plays the leaving of one instance under the faults of a plan.
#[must_use]
pub fn play_leaving(
    plan: &FaultPlan<LeavingFault, LeavingStep>,
    mechanisms: LeavingMechanisms,
) -> MatrixHistory {
    let mut run = LeavingRun::new(plan.seed, mechanisms);
    for step in LEAVING_STEPS {
        if step == LeavingStep::FirstWord {
            run.leave(0);
        }
        for fault in plan.faults_at(step) {
            run.start(fault, step);
        }
        run.probing = matches!(step, LeavingStep::Limit | LeavingStep::ListLags);
        run.watch(step.lasts());
    }
    run.history
}

struct LeavingAgent {
    address: AgentAddress,
    node: usize,
    gate: RequestGate,
    placement: PeerPlacement,
    leaving: bool,
}

struct LeavingRun {
    rig: MemberRig,
    rng: SmallRng,
    mechanisms: LeavingMechanisms,
    service: ServiceId,
    /// The agents of the service; the first leaves.
    agents: Vec<LeavingAgent>,
    ends: Vec<(Moment, LeavingFault)>,
    long_faults: bool,
    /// Whether new work is offered now.
    probing: bool,
    /// The routing tables of the members at this moment.
    tables: HashMap<usize, RoutingTable>,
    history: MatrixHistory,
}

impl LeavingRun {
    fn new(seed: u64, mechanisms: LeavingMechanisms) -> Self {
        let list = rig_list(BALANCERS, SERVICES, TARGETS, ZONES);
        let name: ServiceName = "service-0".parse().expect("a valid name");
        let targets = list.targets.clone();
        let mut rig = MemberRig::new(list, rig_text(SERVICES, 1, 0), seed);
        for node in &mut rig.nodes {
            node.member.set_report(report(GateCondition::Open));
        }
        rig.run(SETTLE);
        let own = targets.iter().filter(|target| target.service == name);
        let agents = own.map(|target| {
            let settings = PlacementSettings::new(target.agent, target.zone.clone());
            LeavingAgent {
                address: target.agent,
                node: rig.index_of(target.agent).unwrap_or(0),
                gate: RequestGate::new(GateSettings::new(SLOTS)),
                placement: PeerPlacement::new(settings.with_seed(seed)),
                leaving: false,
            }
        });
        Self {
            agents: agents.collect(),
            rig,
            rng: SmallRng::seed_from_u64(seed),
            mechanisms,
            service: name.id(),
            ends: Vec::new(),
            long_faults: seed % 2 == 1,
            probing: false,
            tables: HashMap::new(),
            history: MatrixHistory::default(),
        }
    }

    fn leave(&mut self, number: usize) {
        let now = self.rig.now;
        let agent = &mut self.agents[number];
        if agent.leaving {
            return;
        }
        agent.leaving = true;
        if self.mechanisms.gate {
            agent.gate.set_condition(GateCondition::Leaving, now);
        }
        if self.mechanisms.word {
            let member = &mut self.rig.nodes[agent.node].member;
            member.set_report(report(GateCondition::Leaving));
            member.set_leaving(now);
        }
        let address = agent.address;
        self.history.note(now, MatrixEvent::LeavingSaid(address));
    }

    fn start(&mut self, fault: LeavingFault, step: LeavingStep) {
        let now = self.rig.now;
        let text = format!("{fault:?} at {step:?}");
        self.history.note(now, MatrixEvent::Fault(text));
        let lasts = FAULT_TIMES[usize::from(self.long_faults)];
        self.ends.push((now + lasts, fault));
        let leaver = self.agents[0].node;
        let rig = &mut self.rig;
        match fault {
            LeavingFault::LostFrames => rig.network.drop = 0.5,
            LeavingFault::DoubledFrames => rig.network.duplicate = 0.9,
            LeavingFault::LateFrames => rig.network.late = 0.7,
            LeavingFault::BalancerSleeps => rig.nodes[1].paused = true,
            LeavingFault::PeerSleeps => rig.nodes[self.agents[1].node].paused = true,
            LeavingFault::LeaverSleeps => rig.nodes[leaver].paused = true,
            LeavingFault::ZoneCutOff | LeavingFault::ZoneUnheard => {
                let zone = rig.nodes[leaver].zone.clone();
                let mut zones: Vec<_> = rig.nodes.iter().map(|node| node.zone.clone()).collect();
                zones.sort_unstable();
                zones.dedup();
                for other in zones.into_iter().filter(|other| *other != zone) {
                    rig.cuts.push((zone.clone(), other.clone()));
                    if fault == LeavingFault::ZoneCutOff {
                        rig.cuts.push((other, zone.clone()));
                    }
                }
            }
            LeavingFault::SecondLeaves => self.leave(1),
            LeavingFault::MostLeave => (0..self.agents.len() - 1).for_each(|one| self.leave(one)),
        }
    }

    fn end_due(&mut self) {
        let now = self.rig.now;
        let due: Vec<LeavingFault> = self
            .ends
            .iter()
            .filter(|(end, _)| *end <= now)
            .map(|(_, fault)| *fault)
            .collect();
        self.ends.retain(|(end, _)| *end > now);
        for fault in due {
            match fault {
                LeavingFault::BalancerSleeps => self.rig.nodes[1].paused = false,
                LeavingFault::PeerSleeps => self.rig.nodes[self.agents[1].node].paused = false,
                LeavingFault::LeaverSleeps => self.rig.nodes[self.agents[0].node].paused = false,
                LeavingFault::ZoneCutOff | LeavingFault::ZoneUnheard => self.rig.cuts.clear(),
                LeavingFault::SecondLeaves | LeavingFault::MostLeave => {}
                _ => self.rig.network = RigNetwork::default(),
            }
        }
    }

    fn watch(&mut self, time: Duration) {
        let end = self.rig.now + time;
        while self.rig.now < end {
            self.rig.run(LOOK);
            self.end_due();
            self.tables.clear();
            if !self.probing {
                continue;
            }
            for balancer in 0..BALANCERS as usize {
                for _ in 0..FLOWS_A_LOOK {
                    self.open_flow(balancer);
                }
            }
            for agent in 0..self.agents.len() {
                self.place_request(agent);
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.rig.nodes[from], &self.rig.nodes[to]);
        let pair = (from.zone.clone(), to.zone.clone());
        from.running && !from.paused && to.running && !self.rig.cuts.contains(&pair)
    }

    fn table_of(&mut self, node: usize) -> RoutingTable {
        let view = self.rig.nodes[node].member.view();
        let make = || RoutingTable::from_view(view, &RoutingTable::default());
        self.tables.entry(node).or_insert_with(make).clone()
    }

    /// A balancer places a new flow by its own view.
    fn open_flow(&mut self, balancer: usize) {
        let key: [u8; 8] = self.rng.random();
        let table = self.table_of(balancer);
        let Some(address) = self.service_address(balancer) else {
            return;
        };
        let packet = PacketView {
            service_address: address,
            flow_key: &key,
            token: None,
        };
        let decision = FlowRouter::new().route(&packet, &table);
        if let RouteDecision::NewFlow { agent, .. } = decision {
            self.arrive(balancer, agent, packet, 0);
        }
    }

    fn service_address(&self, node: usize) -> Option<SocketAddrV4> {
        let view = self.rig.nodes[node].member.view();
        let service = view.text().service("service-0")?;
        Some(service.addresses.first()?.address)
    }

    /// The agent that a new flow reached takes it or hands it on.
    fn arrive(&mut self, from: usize, to: AgentAddress, packet: PacketView<'_>, hops: u8) {
        let found = self.agents.iter().position(|agent| agent.address == to);
        let Some(number) = found else { return };
        let agent = &self.agents[number];
        let node = agent.node;
        if !self.reaches(from, node) || self.rig.nodes[node].paused {
            return;
        }
        let admission = match agent.leaving && self.mechanisms.hand_on {
            true => FlowAdmission::Leaving,
            false => FlowAdmission::Accepting,
        };
        let arrival = ArrivalPacket {
            packet,
            service: self.service,
            revision: self.rig.nodes[from].member.view().revision(),
            hops,
            admission,
        };
        let table = self.table_of(node);
        match FlowRouter::new().route_arrival(&arrival, to, self.service, &table) {
            ArrivalDecision::Accept => {
                let now = self.rig.now;
                self.history.note(now, MatrixEvent::WorkTaken(to));
            }
            ArrivalDecision::Forward { agent } => self.arrive(node, agent, packet, hops + 1),
            _ => {}
        }
    }

    /// An agent places a request that came over one of its flows, a leaving one too.
    fn place_request(&mut self, number: usize) {
        let now = self.rig.now;
        let node = self.agents[number].node;
        if self.rig.nodes[node].paused {
            return;
        }
        let peers = self.rig.nodes[node].member.peer_reports(now);
        let agent = &mut self.agents[number];
        let own = agent.gate.report(now);
        let choice = agent.placement.choose(&own, &peers, &[], PATIENCE, now);
        let to = match choice {
            PlacementChoice::Own => number,
            PlacementChoice::Peer(peer) => {
                let found = self.agents.iter().position(|agent| agent.address == peer);
                let Some(to) = found else { return };
                to
            }
            PlacementChoice::Refuse { .. } => return,
        };
        let to_node = self.agents[to].node;
        let there = to == number || self.reaches(node, to_node) && !self.rig.nodes[to_node].paused;
        if there {
            self.offer(to);
        }
    }

    fn offer(&mut self, number: usize) {
        let now = self.rig.now;
        let attempt = AttemptId(self.rng.random());
        let agent = &mut self.agents[number];
        let request = GateRequest {
            attempt,
            agency: None,
            arrived: now,
            deadline: now + PATIENCE,
        };
        if agent.gate.offer(request, now) == GateVerdict::Start {
            agent.gate.finish(attempt, SlotOutcome::Served, now);
            let address = agent.address;
            self.history.note(now, MatrixEvent::WorkTaken(address));
        }
    }
}

fn report(condition: GateCondition) -> GateReport {
    GateReport {
        slots: SLOTS,
        condition,
        ..GateReport::default()
    }
}
