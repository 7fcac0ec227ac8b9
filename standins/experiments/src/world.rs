//! One run: agents with the shipped gates and placements, fake servers, callers and network.
//!
//! ```text
//!   arrivals --> holder: placement.choose --> own gate ------------> fake server
//!                   ^        |                                          |
//!                   |        +-- one way --> peer's gate --> fake server|
//!                   +-- answer, refusal (with the gate's report) <------+
//! ```

mod agent;
mod callers;
mod reports;
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

use self::agent::{LOCAL_WAY, SimAgent, ZONE_WAY, address_of, index_of, new_agent, shown_report};
use crate::event::{Event, EventList};
use crate::scenario::{Fairness, Scenario, TargetFault};
use crate::tally::{RunResult, RunTally};

/// The first part of each run that is not measured.
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

pub(crate) struct World<P> {
    scenario: Scenario,
    agencies: Vec<AgencyName>,
    agents: Vec<SimAgent<P>>,
    attempts: HashMap<AttemptId, SimAttempt>,
    next_attempt: u128,
    events: EventList,
    random: StdRng,
    tally: RunTally,
    now: Moment,
    half_time: Moment,
}

/// Runs a scenario with the placement that `make` makes for each agent.
pub(crate) fn run<P: PlacementPolicy>(
    scenario: &Scenario,
    policy: &'static str,
    make: impl Fn(PlacementSettings) -> P,
) -> RunResult {
    let mut world = World::new(scenario.clone(), make);
    world.run();
    world.tally.finish(scenario, policy)
}

fn moment(seconds: f64) -> Moment {
    Moment::ZERO + Duration::from_secs_f64(seconds)
}

impl<P: PlacementPolicy> World<P> {
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
            tally: RunTally::new(&scenario, moment(measured_from), moment(length)),
            random: StdRng::seed_from_u64(scenario.seed),
            half_time: moment(length / 2.0),
            scenario,
            agencies,
            agents,
            attempts: HashMap::new(),
            next_attempt: 0,
            events: EventList::default(),
            now: Moment::ZERO,
        }
    }

    fn run(&mut self) {
        self.events.push(Moment::ZERO, Event::Arrival);
        for gate in 0..self.agents.len() {
            let phase = self.report_interval().mul_f64(self.random.random::<f64>());
            self.events
                .push(Moment::ZERO + phase, Event::Sample { gate });
        }
        match self.scenario.fault {
            TargetFault::Leaving => self.events.push(self.half_time, Event::Leave),
            TargetFault::Cold => self
                .events
                .push(Moment::ZERO, Event::Condition { cold: true }),
            _ => {}
        }
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Reach { attempt, gate } => self.reach(attempt, gate),
            Event::End { attempt, gate } => self.end(attempt, gate),
            Event::Wake { gate } => self.wake(gate),
            Event::Answer {
                attempt,
                gate,
                report,
            } => self.answer(attempt, gate, report),
            Event::Refusal {
                attempt,
                gate,
                reason,
                retry_after,
            } => self.refusal(attempt, gate, reason, retry_after),
            Event::Sample { gate } => self.sample(gate),
            Event::Report { gate, report } => self.spread(gate, report),
            Event::Condition { cold } => self.change_condition(cold),
            Event::Leave => {
                let actions = self.agents[0]
                    .gate
                    .set_condition(GateCondition::Leaving, self.now);
                self.apply(0, actions);
            }
        }
    }

    fn agency_of(&self, class: usize) -> Option<AgencyName> {
        let is_fair = self.scenario.fairness == Fairness::PerAgency;
        self.agencies.get(class).filter(|_| is_fair).cloned()
    }

    fn is_over(&self) -> bool {
        self.now >= self.tally.until
    }

    fn place(&mut self, request: SimRequest) {
        let agent = &mut self.agents[request.holder];
        let own = shown_report(&agent.gate, request.holder, self.scenario.fault, self.now);
        let time_left = request.deadline.since(self.now);
        let choice =
            agent
                .placement
                .choose(&own, &agent.peers, &request.tried, time_left, self.now);
        match choice {
            PlacementChoice::Own => self.send(request, None),
            PlacementChoice::Peer(peer) => self.send(request, Some(peer)),
            PlacementChoice::Refuse { .. } => self.give_up(&request),
        }
    }

    fn send(&mut self, request: SimRequest, peer: Option<AgentAddress>) {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        self.tally.attempts += u64::from(request.counted);
        let holder = request.holder;
        let gate = peer.map_or(holder, index_of);
        let at = self.now + self.way(holder, gate);
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
            self.reach(attempt, gate);
        } else {
            self.events.push(at, Event::Reach { attempt, gate });
        }
    }

    fn reach(&mut self, attempt: AttemptId, gate: usize) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        let request = GateRequest {
            attempt,
            agency: self.agency_of(entry.request.class),
            arrived: self.now,
            deadline: entry.request.deadline,
        };
        let verdict = self.agents[gate].gate.offer(request, self.now);
        match verdict {
            GateVerdict::Start => self.start(attempt, gate),
            GateVerdict::Queued => self.plan_wake(gate),
            GateVerdict::Refused {
                reason,
                retry_after,
            } => self.refuse(attempt, gate, reason, retry_after),
            GateVerdict::Duplicate => {}
        }
    }

    fn refuse(
        &mut self,
        attempt: AttemptId,
        gate: usize,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        let at = self.now + self.way(entry.request.holder, gate);
        let refusal = Event::Refusal {
            attempt,
            gate,
            reason,
            retry_after,
        };
        self.events.push(at, refusal);
    }

    fn answer(&mut self, attempt: AttemptId, gate: usize, report: GateReport) {
        let Some(entry) = self.attempts.remove(&attempt) else {
            return;
        };
        let response_time = self.now.since(entry.sent_at);
        let end = ExchangeOutcome::Answered {
            response_time,
            report: Some(report).filter(|_| self.scenario.answer_reports),
        };
        self.note_exchange(entry.request.holder, gate, end);
        let request = entry.request;
        if request.counted {
            self.tally
                .note_done(request.class, request.arrived, request.deadline, self.now);
        }
    }

    fn refusal(
        &mut self,
        attempt: AttemptId,
        gate: usize,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let Some(entry) = self.attempts.remove(&attempt) else {
            return;
        };
        let end = ExchangeOutcome::Refused {
            reason,
            retry_after,
        };
        let mut request = entry.request;
        self.note_exchange(request.holder, gate, end);
        request.tried.push(address_of(gate));
        let in_time = request.deadline > self.now;
        let agency = self.agency_of(request.class);
        let budgets = &mut self.agents[request.holder].budgets;
        if in_time && budgets.try_spend(agency.as_ref(), self.now) {
            self.place(request);
        } else {
            self.give_up(&request);
        }
    }

    fn note_exchange(&mut self, holder: usize, gate: usize, end: ExchangeOutcome) {
        if gate == holder {
            return;
        }
        let placement = &mut self.agents[holder].placement;
        placement.record_ended(address_of(gate), self.now);
        placement.record_outcome(address_of(gate), end, self.now);
    }

    fn give_up(&mut self, request: &SimRequest) {
        if request.counted {
            self.tally.classes[request.class].refused += 1;
        }
    }

    fn way(&self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        if self.agents[from].zone == self.agents[to].zone {
            LOCAL_WAY
        } else {
            ZONE_WAY
        }
    }
}
