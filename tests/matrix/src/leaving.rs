//! Leaving: no new work reaches an instance later than 3 s after its first announcement, even if
//! the list still names it.
//!
//! From shortly before that limit, every 200 ms each balancer opens flows and each agent of the
//! service places a request, using the view and the reports of its own member. The leaving agent
//! handles what reaches it as in production: it forwards new flows, and its gate refuses requests.

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
const SETTLE_TIME: Duration = Duration::from_secs(6);
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a fault lasts, depending on the seed: less or more than [`crate::LEAVING_GRACE`].
const FAULT_DURATIONS: [Duration; 2] = [Duration::from_millis(2_500), Duration::from_millis(4_500)];

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const FLOWS_PER_PROBE: usize = 3;

/// A fault while an instance leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingFault {
    /// 50% of the datagrams are lost.
    LostFrames,
    /// 90% of the datagrams are duplicated.
    DuplicatedFrames,
    /// 70% of the datagrams are delayed by up to one second.
    DelayedFrames,
    /// A balancer is paused and resumes with its old view.
    BalancerPaused,
    /// A peer is paused and resumes with its old view.
    PeerPaused,
    /// The leaving agent is paused and resumes.
    LeavingAgentPaused,
    /// The leaving agent's zone is partitioned; callers and balancers in the zone still reach it.
    ZonePartitioned,
    /// The other zones receive nothing from the leaving agent's zone.
    ZonePartitionedOneWay,
    /// A second agent of the service leaves as well.
    SecondLeaving,
    /// All agents of the service but one leave.
    MostLeaving,
}

/// All faults of leaving.
pub const LEAVING_FAULTS: [LeavingFault; 10] = [
    LeavingFault::LostFrames,
    LeavingFault::DuplicatedFrames,
    LeavingFault::DelayedFrames,
    LeavingFault::BalancerPaused,
    LeavingFault::PeerPaused,
    LeavingFault::LeavingAgentPaused,
    LeavingFault::ZonePartitioned,
    LeavingFault::ZonePartitionedOneWay,
    LeavingFault::SecondLeaving,
    LeavingFault::MostLeaving,
];

/// A step of leaving, defined by its time relative to the first announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingStep {
    /// One second before the first announcement.
    Before,
    /// Together with the first announcement.
    Announcement,
    /// Half a second later, while gossip carries the announcement.
    Gossip,
    /// One and a half seconds after the announcement, when heartbeats carry it too.
    Heartbeats,
    /// Just before the limit of 3 s, [`crate::LEAVING_GRACE`].
    GraceEnd,
    /// After the limit, while the list still names the instance.
    AfterGrace,
}

/// All steps of leaving, in order.
pub const LEAVING_STEPS: [LeavingStep; 6] = [
    LeavingStep::Before,
    LeavingStep::Announcement,
    LeavingStep::Gossip,
    LeavingStep::Heartbeats,
    LeavingStep::GraceEnd,
    LeavingStep::AfterGrace,
];

impl LeavingStep {
    /// Returns the time until the next step.
    fn duration(self) -> Duration {
        Duration::from_millis(match self {
            Self::Announcement => 500,
            Self::Before | Self::Gossip => 1_000,
            Self::Heartbeats => 1_400,
            Self::GraceEnd => 2_000,
            Self::AfterGrace => 4_000,
        })
    }
}

/// The mechanisms that uphold the guarantee; each can be disabled.
#[derive(Clone, Copy, Debug)]
pub struct LeavingMechanisms {
    /// The leaving agent announces that it leaves.
    pub announcement: bool,
    /// The leaving agent forwards new flows.
    pub forward: bool,
    /// The leaving agent's gate refuses requests.
    pub gate: bool,
}

impl Default for LeavingMechanisms {
    fn default() -> Self {
        Self {
            announcement: true,
            forward: true,
            gate: true,
        }
    }
}

/// Runs the departure of one instance with the faults of a plan.
#[must_use]
pub fn run_leaving(
    plan: &FaultPlan<LeavingFault, LeavingStep>,
    mechanisms: LeavingMechanisms,
) -> MatrixHistory {
    let mut run = LeavingRun::new(plan.seed, mechanisms);
    for step in LEAVING_STEPS {
        if step == LeavingStep::Announcement {
            run.start_leaving(0);
        }
        for fault in plan.faults_at(step) {
            run.start_fault(fault, step);
        }
        run.probing = matches!(step, LeavingStep::GraceEnd | LeavingStep::AfterGrace);
        run.run_for(step.duration());
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
    /// The agents of the service; the first one leaves.
    agents: Vec<LeavingAgent>,
    fault_ends: Vec<(Moment, LeavingFault)>,
    long_faults: bool,
    /// Whether new work is offered in the current step.
    probing: bool,
    /// Routing tables by node, cached for the current interval.
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
        rig.run(SETTLE_TIME);
        let members = targets.iter().filter(|target| target.service == name);
        let agents = members.map(|target| {
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
            fault_ends: Vec::new(),
            long_faults: seed % 2 == 1,
            probing: false,
            tables: HashMap::new(),
            history: MatrixHistory::default(),
        }
    }

    fn start_leaving(&mut self, number: usize) {
        let now = self.rig.now;
        let agent = &mut self.agents[number];
        if agent.leaving {
            return;
        }
        agent.leaving = true;
        if self.mechanisms.gate {
            agent.gate.set_condition(GateCondition::Leaving, now);
        }
        if self.mechanisms.announcement {
            let member = &mut self.rig.nodes[agent.node].member;
            member.set_report(report(GateCondition::Leaving));
            member.set_leaving(now);
        }
        let address = agent.address;
        self.history
            .record(now, MatrixEvent::LeavingAnnounced(address));
    }

    fn start_fault(&mut self, fault: LeavingFault, step: LeavingStep) {
        let now = self.rig.now;
        let text = format!("{fault:?} at {step:?}");
        self.history.record(now, MatrixEvent::Fault(text));
        let duration = FAULT_DURATIONS[usize::from(self.long_faults)];
        self.fault_ends.push((now + duration, fault));
        let leaving_node = self.agents[0].node;
        let rig = &mut self.rig;
        match fault {
            LeavingFault::LostFrames => rig.network.drop = 0.5,
            LeavingFault::DuplicatedFrames => rig.network.duplicate = 0.9,
            LeavingFault::DelayedFrames => rig.network.late = 0.7,
            LeavingFault::BalancerPaused => rig.nodes[1].paused = true,
            LeavingFault::PeerPaused => rig.nodes[self.agents[1].node].paused = true,
            LeavingFault::LeavingAgentPaused => rig.nodes[leaving_node].paused = true,
            LeavingFault::ZonePartitioned | LeavingFault::ZonePartitionedOneWay => {
                let zone = rig.nodes[leaving_node].zone.clone();
                let mut zones: Vec<_> = rig.nodes.iter().map(|node| node.zone.clone()).collect();
                zones.sort_unstable();
                zones.dedup();
                for other in zones.into_iter().filter(|other| *other != zone) {
                    rig.cuts.push((zone.clone(), other.clone()));
                    if fault == LeavingFault::ZonePartitioned {
                        rig.cuts.push((other, zone.clone()));
                    }
                }
            }
            LeavingFault::SecondLeaving => self.start_leaving(1),
            LeavingFault::MostLeaving => {
                (0..self.agents.len() - 1).for_each(|one| self.start_leaving(one));
            }
        }
    }

    fn end_due_faults(&mut self) {
        let now = self.rig.now;
        let due: Vec<LeavingFault> = self
            .fault_ends
            .iter()
            .filter(|(end, _)| *end <= now)
            .map(|(_, fault)| *fault)
            .collect();
        self.fault_ends.retain(|(end, _)| *end > now);
        for fault in due {
            match fault {
                LeavingFault::BalancerPaused => self.rig.nodes[1].paused = false,
                LeavingFault::PeerPaused => self.rig.nodes[self.agents[1].node].paused = false,
                LeavingFault::LeavingAgentPaused => {
                    self.rig.nodes[self.agents[0].node].paused = false;
                }
                LeavingFault::ZonePartitioned | LeavingFault::ZonePartitionedOneWay => {
                    self.rig.cuts.clear();
                }
                LeavingFault::SecondLeaving | LeavingFault::MostLeaving => {}
                _ => self.rig.network = RigNetwork::default(),
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.rig.now + time;
        while self.rig.now < end {
            self.rig.run(PROBE_INTERVAL);
            self.end_due_faults();
            self.tables.clear();
            if !self.probing {
                continue;
            }
            for balancer in 0..BALANCERS as usize {
                for _ in 0..FLOWS_PER_PROBE {
                    self.open_flow(balancer);
                }
            }
            for agent in 0..self.agents.len() {
                self.place_request(agent);
            }
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.rig.nodes[from], &self.rig.nodes[to]);
        let pair = (from.zone.clone(), to.zone.clone());
        from.running && !from.paused && to.running && !self.rig.cuts.contains(&pair)
    }

    fn table_for(&mut self, node: usize) -> RoutingTable {
        let view = self.rig.nodes[node].member.view();
        let make = || RoutingTable::from_view(view, &RoutingTable::default());
        self.tables.entry(node).or_insert_with(make).clone()
    }

    /// Places a new flow from a balancer, using its own view.
    fn open_flow(&mut self, balancer: usize) {
        let key: [u8; 8] = self.rng.random();
        let table = self.table_for(balancer);
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
            self.handle_new_flow(balancer, agent, packet, 0);
        }
    }

    fn service_address(&self, node: usize) -> Option<SocketAddrV4> {
        let view = self.rig.nodes[node].member.view();
        let service = view.text().service("service-0")?;
        Some(service.addresses.first()?.address)
    }

    /// Handles a new flow at an agent, which accepts or forwards it.
    fn handle_new_flow(&mut self, from: usize, to: AgentAddress, packet: PacketView<'_>, hops: u8) {
        let found = self.agents.iter().position(|agent| agent.address == to);
        let Some(number) = found else { return };
        let agent = &self.agents[number];
        let node = agent.node;
        if !self.can_reach(from, node) || self.rig.nodes[node].paused {
            return;
        }
        let admission = match agent.leaving && self.mechanisms.forward {
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
        let table = self.table_for(node);
        match FlowRouter::new().route_arrival(&arrival, to, self.service, &table) {
            ArrivalDecision::Accept => {
                let now = self.rig.now;
                self.history.record(now, MatrixEvent::WorkAccepted(to));
            }
            ArrivalDecision::Forward { agent } => {
                self.handle_new_flow(node, agent, packet, hops + 1);
            }
            _ => {}
        }
    }

    /// Places a request that arrived on one of an agent's flows, even if the agent is leaving.
    fn place_request(&mut self, number: usize) {
        let now = self.rig.now;
        let node = self.agents[number].node;
        if self.rig.nodes[node].paused {
            return;
        }
        let peers = self.rig.nodes[node].member.peer_reports(now);
        let agent = &mut self.agents[number];
        let own_report = agent.gate.report(now);
        let choice = agent
            .placement
            .choose(&own_report, &peers, &[], REQUEST_TIMEOUT, now);
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
        let is_delivered =
            to == number || self.can_reach(node, to_node) && !self.rig.nodes[to_node].paused;
        if is_delivered {
            self.offer_request(to);
        }
    }

    fn offer_request(&mut self, number: usize) {
        let now = self.rig.now;
        let attempt = AttemptId(self.rng.random());
        let agent = &mut self.agents[number];
        let request = GateRequest {
            attempt,
            agency: None,
            arrived: now,
            deadline: now + REQUEST_TIMEOUT,
        };
        if agent.gate.offer(request, now) == GateVerdict::Start {
            agent.gate.finish(attempt, SlotOutcome::Served, now);
            let address = agent.address;
            self.history.record(now, MatrixEvent::WorkAccepted(address));
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
