//! Simulates one run: agents with the shipped gates and placements, and simulated servers, callers
//! and network.
//!
//! ```text
//!   arrivals --> holder: placement.choose --> local gate ----------> fake server
//!                   ^        |                                          |
//!                   |        +-- one way --> peer's gate --> fake server|
//!                   +-- response, refusal (with the gate's report) <----+
//! ```

mod agent;
mod arrivals;
mod heartbeats;
mod servers;

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{
    AgencyName, AgentAddress, AttemptId, GateCondition, GateReport, Moment, RefusalReason,
};
use lovagelatch_placement::{
    ExchangeOutcome, GateRequest, GateVerdict, PlacementChoice, PlacementPolicy, PlacementSettings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use self::agent::{
    CROSS_ZONE_DELAY, SAME_ZONE_DELAY, SimAgent, agent_address, agent_index, new_agent,
    visible_report,
};
use crate::event::{EventQueue, SimEvent};
use crate::metrics::{RunMetrics, RunResult};
use crate::scenario::{Fairness, Scenario, TargetFault};

/// Share of a run that passes before the measurement starts.
const WARM_UP_SHARE: f64 = 0.1;

struct SimRequest {
    holder: usize,
    class: usize,
    arrived: Moment,
    deadline: Moment,
    size: Duration,
    tried: SmallVec<[AgentAddress; 4]>,
    counted: bool,
}

struct SimAttempt {
    request: SimRequest,
    sent_at: Moment,
    started_at: Moment,
}

pub(crate) struct PolicySimulation<P> {
    scenario: Scenario,
    agencies: Vec<AgencyName>,
    agents: Vec<SimAgent<P>>,
    attempts: HashMap<AttemptId, SimAttempt>,
    next_attempt: u128,
    events: EventQueue,
    random: StdRng,
    metrics: RunMetrics,
    now: Moment,
    halfway: Moment,
}

/// Runs a scenario with the placement that `make` creates for each agent.
pub(crate) fn run<P: PlacementPolicy>(
    scenario: &Scenario,
    policy: &'static str,
    make: impl Fn(PlacementSettings) -> P,
) -> RunResult {
    let mut simulation = PolicySimulation::new(scenario.clone(), make);
    simulation.run();
    simulation.metrics.finish(scenario, policy)
}

fn moment(seconds: f64) -> Moment {
    Moment::ZERO + Duration::from_secs_f64(seconds)
}

impl<P: PlacementPolicy> PolicySimulation<P> {
    fn new(scenario: Scenario, make: impl Fn(PlacementSettings) -> P) -> Self {
        let length = scenario.length();
        let agents = (0..scenario.deployment.targets)
            .map(|index| new_agent(index, &scenario, &make))
            .collect();
        let agencies = scenario
            .agencies
            .iter()
            .map(|agency| {
                agency
                    .name
                    .parse()
                    .expect("agency names are valid constants")
            })
            .collect();
        let measured_from = if scenario.fault == TargetFault::Recovery {
            length / 2.0
        } else {
            length * WARM_UP_SHARE
        };
        Self {
            metrics: RunMetrics::new(&scenario, moment(measured_from), moment(length)),
            random: StdRng::seed_from_u64(scenario.seed),
            halfway: moment(length / 2.0),
            scenario,
            agencies,
            agents,
            attempts: HashMap::new(),
            next_attempt: 0,
            events: EventQueue::default(),
            now: Moment::ZERO,
        }
    }

    fn run(&mut self) {
        self.events.push(Moment::ZERO, SimEvent::Arrival);
        for gate in 0..self.agents.len() {
            let phase = self.report_interval().mul_f64(self.random.random::<f64>());
            self.events
                .push(Moment::ZERO + phase, SimEvent::LoadSample { gate });
        }
        match self.scenario.fault {
            TargetFault::Leaving => self.events.push(self.halfway, SimEvent::Leave),
            TargetFault::Cold => self
                .events
                .push(Moment::ZERO, SimEvent::ConditionChange { cold: true }),
            _ => {}
        }
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::GateArrival { attempt, gate } => self.reach_gate(attempt, gate),
            SimEvent::ServiceEnd { attempt, gate } => self.end_service(attempt, gate),
            SimEvent::Wakeup { gate } => self.wake_gate(gate),
            SimEvent::Response {
                attempt,
                gate,
                report,
            } => self.handle_response(attempt, gate, report),
            SimEvent::Refusal {
                attempt,
                gate,
                reason,
                retry_after,
            } => self.handle_refusal(attempt, gate, reason, retry_after),
            SimEvent::LoadSample { gate } => self.sample_load(gate),
            SimEvent::LoadReport { gate, report } => self.deliver_report(gate, report),
            SimEvent::ConditionChange { cold } => self.change_condition(cold),
            SimEvent::Leave => {
                let actions = self.agents[0]
                    .gate
                    .set_condition(GateCondition::Leaving, self.now);
                self.apply(0, actions);
            }
        }
    }

    fn agency_for(&self, class: usize) -> Option<AgencyName> {
        let is_fair = self.scenario.fairness == Fairness::PerAgency;
        self.agencies.get(class).filter(|_| is_fair).cloned()
    }

    fn is_over(&self) -> bool {
        self.now >= self.metrics.measured_until
    }

    fn place(&mut self, request: SimRequest) {
        let agent = &mut self.agents[request.holder];
        let local = visible_report(&agent.gate, request.holder, self.scenario.fault, self.now);
        let time_left = request.deadline.since(self.now);
        let choice =
            agent
                .placement
                .choose(&local, &agent.peers, &request.tried, time_left, self.now);
        match choice {
            PlacementChoice::Own => self.send(request, None),
            PlacementChoice::Peer(peer) => self.send(request, Some(peer)),
            PlacementChoice::Refuse { .. } => self.give_up(&request),
        }
    }

    fn send(&mut self, request: SimRequest, peer: Option<AgentAddress>) {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        self.metrics.attempts += u64::from(request.counted);
        let holder = request.holder;
        let gate = peer.map_or(holder, agent_index);
        let at = self.now + self.one_way_delay(holder, gate);
        if let Some(peer) = peer {
            self.agents[holder].placement.record_sent(peer, self.now);
        }
        let entry = SimAttempt {
            request,
            sent_at: self.now,
            started_at: self.now,
        };
        self.attempts.insert(attempt, entry);
        if gate == holder {
            self.reach_gate(attempt, gate);
        } else {
            self.events
                .push(at, SimEvent::GateArrival { attempt, gate });
        }
    }

    fn reach_gate(&mut self, attempt: AttemptId, gate: usize) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        let request = GateRequest {
            attempt,
            agency: self.agency_for(entry.request.class),
            arrived: self.now,
            deadline: entry.request.deadline,
        };
        let verdict = self.agents[gate].gate.offer(request, self.now);
        match verdict {
            GateVerdict::Start => self.start_attempt(attempt, gate),
            GateVerdict::Queued => self.schedule_wakeup(gate),
            GateVerdict::Refused {
                reason,
                retry_after,
            } => self.refuse_attempt(attempt, gate, reason, retry_after),
            GateVerdict::Duplicate => {}
        }
    }

    fn refuse_attempt(
        &mut self,
        attempt: AttemptId,
        gate: usize,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        let at = self.now + self.one_way_delay(entry.request.holder, gate);
        let refusal = SimEvent::Refusal {
            attempt,
            gate,
            reason,
            retry_after,
        };
        self.events.push(at, refusal);
    }

    fn handle_response(&mut self, attempt: AttemptId, gate: usize, report: GateReport) {
        let Some(entry) = self.attempts.remove(&attempt) else {
            return;
        };
        let response_time = self.now.since(entry.sent_at);
        let outcome = ExchangeOutcome::Answered {
            response_time,
            report: Some(report).filter(|_| self.scenario.answer_reports),
        };
        self.record_exchange(entry.request.holder, gate, outcome);
        let request = entry.request;
        if request.counted {
            self.metrics
                .record_done(request.class, request.arrived, request.deadline, self.now);
        }
    }

    fn handle_refusal(
        &mut self,
        attempt: AttemptId,
        gate: usize,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let Some(entry) = self.attempts.remove(&attempt) else {
            return;
        };
        let outcome = ExchangeOutcome::Refused {
            reason,
            retry_after,
        };
        let mut request = entry.request;
        self.record_exchange(request.holder, gate, outcome);
        request.tried.push(agent_address(gate));
        let in_time = request.deadline > self.now;
        let agency = self.agency_for(request.class);
        let budgets = &mut self.agents[request.holder].budgets;
        if in_time && budgets.try_spend(agency.as_ref(), self.now) {
            self.place(request);
        } else {
            self.give_up(&request);
        }
    }

    fn record_exchange(&mut self, holder: usize, gate: usize, outcome: ExchangeOutcome) {
        if gate == holder {
            return;
        }
        let placement = &mut self.agents[holder].placement;
        placement.record_ended(agent_address(gate), self.now);
        placement.record_outcome(agent_address(gate), outcome, self.now);
    }

    fn give_up(&mut self, request: &SimRequest) {
        if request.counted {
            self.metrics.classes[request.class].refused += 1;
        }
    }

    fn one_way_delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        if self.agents[from].zone == self.agents[to].zone {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        }
    }
}
