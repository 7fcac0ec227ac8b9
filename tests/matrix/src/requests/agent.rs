//! An agent: what its tasks hold around the shipped decisions, and its own gate.

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

use super::job::{Job, JobEnd, JobPhase, ReplyTo};
use super::ticket::FilingWaiter;
use super::world::{RequestEvent, RequestWorld};
use super::{RequestStep, strike::TICKET_LIFETIME};

/// Requests that a backend server runs at once.
pub(crate) const SLOTS: u16 = 2;

/// After this time without a report a peer is suspected.
const SUSPECT: Duration = Duration::from_secs(1);

pub(crate) fn agent_address(number: usize) -> AgentAddress {
    let port = 7_000 + u16::try_from(number).unwrap_or(0);
    AgentAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

pub(crate) fn key_ring(generations: &[u8]) -> FleetKeys {
    let secrets: Vec<KeySecret> = generations
        .iter()
        .map(|&number| KeySecret::from_bytes(KeyGeneration(number), [number; 32]))
        .collect();
    FleetKeys::new(&secrets).expect("one or two unlike secrets are a ring")
}

pub(crate) struct FakeAgent {
    pub(crate) address: AgentAddress,
    /// Which start at its address.
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
    /// The newest report that its peers have of it.
    pub(crate) reported: (GateReport, Moment),
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
            reported: (gate.report(now), now),
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
    /// Takes a job in and runs it: at its home, or at the gate that placement chooses.
    pub(crate) fn start_job(&mut self, agent: usize, job: Job) {
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        let id = own.next_job;
        own.next_job += 1;
        let (home, dispatches) = (job.home, job.dispatches());
        own.jobs.insert(id, job);
        if let Some(home) = home {
            return self.relay(agent, id, home);
        }
        if dispatches {
            own.budget.record_request(now);
            return self.place(agent, id);
        }
        self.run_own(agent, id);
    }

    fn place(&mut self, agent: usize, id: u64) {
        let now = self.queue.now();
        let peers = self.peer_reports(agent);
        let own = &mut self.agents[agent];
        let Some(job) = own.jobs.get(&id) else { return };
        let report = own.gate.report(now);
        let left = job.time_left(now);
        match own.placement.choose(&report, &peers, &job.tried, left, now) {
            PlacementChoice::Own => self.run_own(agent, id),
            PlacementChoice::Peer(peer) => self.relay(agent, id, peer),
            PlacementChoice::Refuse {
                reason,
                retry_after,
            } => self.end_job(agent, id, JobEnd::NotRun(reason, retry_after)),
        }
    }

    fn peer_reports(&self, agent: usize) -> Vec<PeerReport> {
        let now = self.queue.now();
        let peers = self.agents.iter().enumerate();
        let peers = peers.filter(|(number, _)| *number != agent);
        let reports = peers.map(|(_, peer)| PeerReport {
            agent: peer.address,
            zone: "lahore-a".parse().expect("a valid name"),
            report: peer.reported.0,
            received: peer.reported.1,
            suspected: now.since(peer.reported.1) > SUSPECT,
        });
        reports.collect()
    }

    /// After a proof that it did not run: once more elsewhere, while budget and time last.
    pub(crate) fn refused(
        &mut self,
        agent: usize,
        id: u64,
        gate: AgentAddress,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        let Some(job) = own.jobs.get_mut(&id) else {
            return;
        };
        job.tried.push(gate);
        let in_time = job.time_left(now) > job.reserve();
        let again = job.dispatches() && in_time && job.retries > 0 && own.budget.try_spend(now);
        if again {
            job.retries -= 1;
            job.phase = JobPhase::New;
            return self.place(agent, id);
        }
        self.end_job(agent, id, JobEnd::NotRun(reason, retry_after));
    }

    pub(crate) fn run_own(&mut self, agent: usize, id: u64) {
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        let Some(job) = own.jobs.get_mut(&id) else {
            return;
        };
        let request = GateRequest {
            attempt: job.attempt,
            agency: None,
            arrived: job.arrived,
            deadline: job.deadline,
        };
        let address = own.address;
        match own.gate.offer(request, now) {
            GateVerdict::Start => self.hand_to_backend(agent, id),
            GateVerdict::Queued => {
                job.phase = JobPhase::Queued;
                self.reach(RequestStep::Queued, agent, agent);
                self.wake_gate(agent);
            }
            GateVerdict::Refused {
                reason,
                retry_after,
            } => self.refused(agent, id, address, reason, retry_after),
            GateVerdict::Duplicate => self.end_job(agent, id, JobEnd::Unknown),
        }
    }

    fn wake_gate(&mut self, agent: usize) {
        let own = &self.agents[agent];
        if let Some(at) = own.gate.next_wakeup() {
            let wait = at.since(self.queue.now()).as_millis();
            let wait = u64::try_from(wait).unwrap_or(0) + 1;
            let event = RequestEvent::GateWake(agent, own.start);
            self.queue.push(wait, event);
        }
    }

    pub(crate) fn gate_wakes(&mut self, agent: usize) {
        let now = self.queue.now();
        let actions = self.agents[agent].gate.advance(now);
        self.act(agent, &actions);
    }

    pub(crate) fn set_leaving(&mut self, agent: usize) {
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        own.leaving = true;
        let actions = own.gate.set_condition(GateCondition::Leaving, now);
        self.act(agent, &actions);
    }

    fn act(&mut self, agent: usize, actions: &[GateAction]) {
        for action in actions {
            let (GateAction::Start(attempt) | GateAction::Refuse { attempt, .. }) = *action;
            let jobs = self.agents[agent].jobs.iter();
            let mut queued =
                jobs.filter(|(_, job)| job.attempt == attempt && job.phase == JobPhase::Queued);
            let Some(id) = queued.next().map(|(id, _)| *id) else {
                if matches!(action, GateAction::Start(_)) {
                    self.free_slot(agent, attempt, SlotOutcome::Lost);
                }
                continue;
            };
            match *action {
                GateAction::Start(_) => self.hand_to_backend(agent, id),
                GateAction::Refuse {
                    reason,
                    retry_after,
                    ..
                } => {
                    let address = self.agents[agent].address;
                    self.refused(agent, id, address, reason, retry_after);
                }
            }
        }
    }

    pub(crate) fn free_slot(&mut self, agent: usize, attempt: AttemptId, end: SlotOutcome) {
        let now = self.queue.now();
        let actions = self.agents[agent].gate.finish(attempt, end, now);
        self.act(agent, &actions);
        self.wake_gate(agent);
    }

    /// Takes a job out and tells its end.
    pub(crate) fn end_job(&mut self, agent: usize, id: u64, end: JobEnd) {
        let unknown = matches!(end, JobEnd::Unknown | JobEnd::Answered(_, false));
        if unknown && !self.mechanisms.unknown_is_final {
            let again = self.agents[agent].jobs.get_mut(&id);
            if let Some(job) = again.filter(|job| job.dispatches() && job.retries > 0) {
                job.retries -= 1;
                job.phase = JobPhase::New;
                return self.place(agent, id);
            }
        }
        let Some(job) = self.agents[agent].jobs.remove(&id) else {
            return;
        };
        match job.reply {
            ReplyTo::Filing => self.end_filing(agent, job.attempt, end),
            reply => self.reply(agent, reply, job.attempt, &end),
        }
    }
}
