//! A simulated agent: the state that its tasks keep around the shipped libraries, and its gate.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, AttemptId, GateCondition, GateReport, Incarnation, Moment, PeerReport,
    RefusalReason,
};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};
use lovagelatch_ledger::{LedgerSettings, RequestLedger};
use lovagelatch_placement::{
    BudgetSettings, GateAction, GateRequest, GateSettings, GateVerdict, PeerPlacement,
    PlacementChoice, PlacementSettings, RequestGate, RetryBudget, SlotOutcome,
};

use super::job::{Job, JobOutcome, JobPhase, ReplyTo};
use super::ticket::FilingWaiter;
use super::world::{RequestEvent, RequestWorld};
use super::{RequestStep, fault::TICKET_LIFETIME};

/// The number of requests that a backend server runs concurrently.
pub(crate) const SLOTS: u16 = 2;

/// How long a peer sends no report before it is suspected.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) fn agent_address(number: usize) -> AgentAddress {
    let port = 7_000 + u16::try_from(number).unwrap_or(0);
    AgentAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

pub(crate) fn key_ring(generations: &[u8]) -> FleetKeys {
    let secrets: Vec<KeySecret> = generations
        .iter()
        .map(|&number| KeySecret::from_bytes(KeyGeneration(number), [number; 32]))
        .collect();
    FleetKeys::new(&secrets).expect("one or two distinct secrets form a key ring")
}

pub(crate) struct FakeAgent {
    pub(crate) address: AgentAddress,
    /// The number of this start at its address, from 1.
    pub(crate) start: u64,
    pub(crate) service: &'static str,
    pub(crate) running: bool,
    pub(crate) paused_until: Moment,
    pub(crate) leaving: bool,
    pub(crate) keys: FleetKeys,
    pub(crate) gate: RequestGate,
    pub(crate) ledger: RequestLedger,
    placement: PeerPlacement,
    budget: RetryBudget,
    pub(crate) jobs: BTreeMap<u64, Job>,
    next_job: u64,
    pub(crate) waiters: HashMap<AttemptId, Vec<FilingWaiter>>,
    /// The newest report that its peers have received from it, and when.
    pub(crate) last_report: (GateReport, Moment),
}

impl FakeAgent {
    pub(crate) fn new(number: usize, start: u64, service: &'static str, now: Moment) -> Self {
        let address = agent_address(number);
        let incarnation = Incarnation(number as u64 * 1_000 + start);
        let zone = "lahore-a".parse().expect("a valid name");
        let gate = GateSettings::new(SLOTS).with_initial_service_time(Duration::from_millis(60));
        let gate = RequestGate::new(gate);
        let settings = PlacementSettings::new(address, zone).with_seed(number as u64);
        Self {
            address,
            start,
            service,
            running: true,
            paused_until: Moment::ZERO,
            leaving: false,
            keys: key_ring(&[1, 2]),
            last_report: (gate.report(now), now),
            gate,
            ledger: RequestLedger::new(LedgerSettings::new(address, incarnation, TICKET_LIFETIME)),
            placement: PeerPlacement::new(settings),
            budget: RetryBudget::new(BudgetSettings::new().with_retry_ratio(0.5)),
            jobs: BTreeMap::new(),
            next_job: 0,
            waiters: HashMap::new(),
        }
    }
}

impl RequestWorld {
    /// Starts a job: relays it to its home, or runs it at the gate that placement chooses, or at
    /// the local gate if the choice was made elsewhere.
    pub(crate) fn start_job(&mut self, agent: usize, job: Job) {
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        let id = local.next_job;
        local.next_job += 1;
        let (home, chooses_gate) = (job.home, job.chooses_gate());
        local.jobs.insert(id, job);
        if let Some(home) = home {
            return self.relay(agent, id, home);
        }
        if chooses_gate {
            local.budget.record_request(now);
            return self.place(agent, id);
        }
        self.run_at_local_gate(agent, id);
    }

    fn place(&mut self, agent: usize, id: u64) {
        let now = self.queue.now();
        let peers = self.peer_reports(agent);
        let local = &mut self.agents[agent];
        let Some(job) = local.jobs.get(&id) else {
            return;
        };
        let report = local.gate.report(now);
        let time_left = job.time_left(now);
        match local
            .placement
            .choose(&report, &peers, &job.tried, time_left, now)
        {
            PlacementChoice::Own => self.run_at_local_gate(agent, id),
            PlacementChoice::Peer(peer) => self.relay(agent, id, peer),
            PlacementChoice::Refuse {
                reason,
                retry_after,
            } => self.finish_job(agent, id, JobOutcome::NotRun(reason, retry_after)),
        }
    }

    fn peer_reports(&self, agent: usize) -> Vec<PeerReport> {
        let now = self.queue.now();
        let peers = self.agents.iter().enumerate();
        let peers = peers.filter(|(number, _)| *number != agent);
        let reports = peers.map(|(_, peer)| PeerReport {
            agent: peer.address,
            zone: "lahore-a".parse().expect("a valid name"),
            report: peer.last_report.0,
            received: peer.last_report.1,
            suspected: now.since(peer.last_report.1) > SUSPICION_TIMEOUT,
        });
        reports.collect()
    }

    /// Handles a refusal, which proves that the job has not run: retries it at another gate while
    /// retry budget and time allow.
    pub(crate) fn handle_refusal(
        &mut self,
        agent: usize,
        id: u64,
        gate: AgentAddress,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        let Some(job) = local.jobs.get_mut(&id) else {
            return;
        };
        job.tried.push(gate);
        let in_time = job.time_left(now) > job.cancel_reserve();
        let retry = job.chooses_gate() && in_time && job.retries > 0 && local.budget.try_spend(now);
        if retry {
            job.retries -= 1;
            job.phase = JobPhase::New;
            return self.place(agent, id);
        }
        self.finish_job(agent, id, JobOutcome::NotRun(reason, retry_after));
    }

    pub(crate) fn run_at_local_gate(&mut self, agent: usize, id: u64) {
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        let Some(job) = local.jobs.get_mut(&id) else {
            return;
        };
        let request = GateRequest {
            attempt: job.attempt,
            agency: None,
            arrived: job.arrived,
            deadline: job.deadline,
        };
        let address = local.address;
        match local.gate.offer(request, now) {
            GateVerdict::Start => self.send_to_backend(agent, id),
            GateVerdict::Queued => {
                job.phase = JobPhase::Queued;
                self.reach_step(RequestStep::Queued, agent, agent);
                self.schedule_gate_wakeup(agent);
            }
            GateVerdict::Refused {
                reason,
                retry_after,
            } => self.handle_refusal(agent, id, address, reason, retry_after),
            GateVerdict::Duplicate => self.finish_job(agent, id, JobOutcome::Unknown),
        }
    }

    fn schedule_gate_wakeup(&mut self, agent: usize) {
        let local = &self.agents[agent];
        if let Some(at) = local.gate.next_wakeup() {
            let wait = at.since(self.queue.now()).as_millis();
            let wait = u64::try_from(wait).unwrap_or(0) + 1;
            let event = RequestEvent::AdvanceGate(agent, local.start);
            self.queue.push(wait, event);
        }
    }

    pub(crate) fn advance_gate(&mut self, agent: usize) {
        let now = self.queue.now();
        let actions = self.agents[agent].gate.advance(now);
        self.execute_gate_actions(agent, &actions);
    }

    pub(crate) fn set_leaving(&mut self, agent: usize) {
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        local.leaving = true;
        let actions = local.gate.set_condition(GateCondition::Leaving, now);
        self.execute_gate_actions(agent, &actions);
    }

    fn execute_gate_actions(&mut self, agent: usize, actions: &[GateAction]) {
        for action in actions {
            let (GateAction::Start(attempt) | GateAction::Refuse { attempt, .. }) = *action;
            let jobs = self.agents[agent].jobs.iter();
            let mut queued =
                jobs.filter(|(_, job)| job.attempt == attempt && job.phase == JobPhase::Queued);
            let Some(id) = queued.next().map(|(id, _)| *id) else {
                if matches!(action, GateAction::Start(_)) {
                    self.release_slot(agent, attempt, SlotOutcome::Lost);
                }
                continue;
            };
            match *action {
                GateAction::Start(_) => self.send_to_backend(agent, id),
                GateAction::Refuse {
                    reason,
                    retry_after,
                    ..
                } => {
                    let address = self.agents[agent].address;
                    self.handle_refusal(agent, id, address, reason, retry_after);
                }
            }
        }
    }

    pub(crate) fn release_slot(&mut self, agent: usize, attempt: AttemptId, outcome: SlotOutcome) {
        let now = self.queue.now();
        let actions = self.agents[agent].gate.finish(attempt, outcome, now);
        self.execute_gate_actions(agent, &actions);
        self.schedule_gate_wakeup(agent);
    }

    /// Removes a job and sends its outcome.
    pub(crate) fn finish_job(&mut self, agent: usize, id: u64, outcome: JobOutcome) {
        let unknown = matches!(
            outcome,
            JobOutcome::Unknown | JobOutcome::Responded(_, false)
        );
        if unknown && !self.mechanisms.unknown_is_final {
            let job = self.agents[agent].jobs.get_mut(&id);
            if let Some(job) = job.filter(|job| job.chooses_gate() && job.retries > 0) {
                job.retries -= 1;
                job.phase = JobPhase::New;
                return self.place(agent, id);
            }
        }
        let Some(job) = self.agents[agent].jobs.remove(&id) else {
            return;
        };
        match job.reply {
            ReplyTo::Filing => self.finish_filing(agent, job.attempt, outcome),
            reply => self.reply(agent, reply, job.attempt, &outcome),
        }
    }
}
