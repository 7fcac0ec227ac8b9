//! The simulation loop: one event queue, callers, and four agents with their backend servers.

use lovagelatch_domain::{AttemptId, Moment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agent::{FakeAgent, SLOTS};
use super::backend::{BackendVerdict, FakeBackend, millis};
use super::caller::{Call, Filing};
use super::fault::{HandoverDelivery, Healing};
use super::job::{Job, JobOutcome, JobPhase, ReplyTo, RunResponse};
use super::relay::{RelayLink, StreamSide};
use super::ticket::ledger_seconds;
use super::{RequestFault, RequestMechanisms, RequestStep};
use crate::history::{MatrixEvent, MatrixHistory};
use crate::plan::FaultPlan;
use crate::queue::EventQueue;
use lovagelatch_ledger::LedgerHandover;

pub(crate) const AGENTS: usize = 4;

const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// The simulated time at which a run stops.
const RUN_DURATION_MS: u64 = 16_000;

const PLAIN_CALLS: u64 = 26;
const FILINGS: u64 = 4;

#[derive(Clone, Debug)]
pub(crate) enum RequestEvent {
    PlainCall,
    FetchTicket(u64),
    IssueTicket(u64, usize),
    SubmitFiling(u64),
    DeliverCall(usize, u64, Option<String>, Moment),
    DeliverOutcome(u64, JobOutcome),
    DeliverFrame(usize, StreamSide, Vec<u8>),
    StreamBroken(usize, u64, usize),
    ReadyTimeout(usize, u64, u64, usize),
    ResponseTimeout(usize, u64, u64, usize),
    RetryHome(usize, u64, u64),
    WaiterTimeout(usize, u64, AttemptId, AttemptId),
    AdvanceGate(usize, u64),
    CancelRun(usize, u64, u64),
    DeliverToBackend {
        backend: usize,
        agent: usize,
        start: u64,
        id: u64,
        attempt: AttemptId,
        call: u64,
        filing: Option<u64>,
    },
    FinishRun(usize, u64, usize, u64, u64),
    DeliverResponse(usize, u64, u64, Option<(AttemptId, Option<RunResponse>)>),
    DeliverCancel(usize, usize, u64, u64, AttemptId),
    CancelOutcome(usize, u64, u64, Option<usize>),
    Heartbeat,
    Heal(Healing),
    Restart(usize, &'static str),
    DeliverHandover(usize, Box<LedgerHandover>),
    RepeatHandover(usize, u64, HandoverDelivery),
    StopAgent(usize, u64),
}

/// Simulated agents, backend servers and callers, driven by one event queue.
pub struct RequestWorld {
    pub(crate) plan: FaultPlan<RequestFault, RequestStep>,
    pub(crate) mechanisms: RequestMechanisms,
    pub(crate) rng: SmallRng,
    pub(crate) queue: EventQueue<RequestEvent>,
    pub(crate) agents: Vec<FakeAgent>,
    pub(crate) backends: Vec<FakeBackend>,
    /// The index of the backend server beside each agent.
    pub(crate) local_backends: Vec<usize>,
    pub(crate) links: Vec<RelayLink>,
    pub(crate) calls: Vec<Call>,
    pub(crate) filings: Vec<Filing>,
    /// Pairs of agents of which the first cannot reach the second.
    pub(crate) partitions: Vec<(usize, usize)>,
    pub(crate) frame_delay_ms: u64,
    pub(crate) backend_delay_ms: u64,
    pub(crate) duplicate_frames: bool,
    pub(crate) drop_cancels: bool,
    pub(crate) slowdown: u64,
    pub(crate) cross_next_response: bool,
    pub(crate) drop_next_response: bool,
    pub(crate) drop_next_reply: bool,
    /// The agent that issued the newest ticket; before the first one, a random agent.
    pub(crate) home: usize,
    /// For each planned fault, its step and how many more times the step is skipped before the
    /// fault is injected; `u32::MAX` once it was injected.
    skips_left: Vec<(RequestStep, u32)>,
    pub(crate) history: MatrixHistory,
}

impl RequestWorld {
    /// Creates a world in which every process runs and no request has been sent yet.
    #[must_use]
    pub fn new(plan: FaultPlan<RequestFault, RequestStep>, mechanisms: RequestMechanisms) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let agents = (0..AGENTS).map(|number| FakeAgent::new(number, 1, "claims", Moment::ZERO));
        let mut world = Self {
            mechanisms,
            queue: EventQueue::default(),
            agents: agents.collect(),
            backends: Vec::new(),
            local_backends: vec![0; AGENTS],
            links: Vec::new(),
            calls: Vec::new(),
            filings: Vec::new(),
            partitions: Vec::new(),
            frame_delay_ms: 0,
            backend_delay_ms: 0,
            duplicate_frames: false,
            drop_cancels: false,
            slowdown: 1,
            cross_next_response: false,
            drop_next_response: false,
            drop_next_reply: false,
            home: rng.random_range(0..AGENTS),
            skips_left: plan
                .faults
                .iter()
                .map(|(_, step)| (*step, rng.random_range(0..3)))
                .collect(),
            history: MatrixHistory::default(),
            rng,
            plan,
        };
        for number in 0..AGENTS {
            world.start_backend(number, "claims");
        }
        world
    }

    pub(crate) fn start_backend(&mut self, agent: usize, service: &str) {
        let number = self.backends.len();
        let name = format!("{service}-{agent}-{number}");
        let first_run = number as u64 * 1_000;
        self.local_backends[agent] = number;
        self.backends
            .push(FakeBackend::new(name, service, SLOTS, first_run));
    }

    /// Runs until `RUN_DURATION_MS` and returns what happened.
    #[must_use]
    pub fn run(mut self, filings: bool) -> MatrixHistory {
        for number in 0..PLAIN_CALLS {
            // Bursts make gates queue and agents relay requests.
            let at = 40 + number / 6 * 160 + self.rng.random_range(0..40);
            self.queue.push(at, RequestEvent::PlainCall);
        }
        for filing in 0..if filings { FILINGS } else { 0 } {
            self.filings.push(Filing::default());
            let at = self.rng.random_range(0..400);
            self.queue.push(at, RequestEvent::FetchTicket(filing));
        }
        self.queue.push(0, RequestEvent::Heartbeat);
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > Moment::from_millis(RUN_DURATION_MS) {
                break;
            }
            self.handle(event);
        }
        let backends = std::mem::take(&mut self.backends);
        self.history.backends = backends.into_iter().map(|one| one.history).collect();
        self.history
    }

    /// Injects the faults planned for a step, each once, after the step was skipped as often as
    /// the seed determines.
    pub(crate) fn reach_step(&mut self, step: RequestStep, holder: usize, gate: usize) {
        for index in 0..self.skips_left.len() {
            let (at, left) = self.skips_left[index];
            if at != step || left == u32::MAX {
                continue;
            }
            if left > 0 {
                self.skips_left[index].1 -= 1;
                continue;
            }
            self.skips_left[index].1 = u32::MAX;
            let fault = self.plan.faults[index].0;
            let text = format!("{fault:?} at {step:?}, holder {holder}, gate {gate}");
            self.history
                .record(self.queue.now(), MatrixEvent::Fault(text));
            let since = &mut self.history.facts.unplanned_since_ms;
            *since = Some(since.unwrap_or(millis(self.queue.now())));
            self.inject(fault, holder, gate);
        }
    }

    /// Returns the agent that handles an event, and the start of it for which the event is meant.
    /// Events of a paused agent are deferred until it resumes; those of a stopped one are lost.
    fn receiving_agent(event: &RequestEvent) -> Option<(usize, Option<u64>)> {
        match event {
            RequestEvent::DeliverCall(agent, ..) | RequestEvent::IssueTicket(_, agent) => {
                Some((*agent, None))
            }
            RequestEvent::DeliverHandover(agent, _) => Some((*agent, None)),
            RequestEvent::StreamBroken(agent, start, _)
            | RequestEvent::ReadyTimeout(agent, start, ..)
            | RequestEvent::ResponseTimeout(agent, start, ..)
            | RequestEvent::RetryHome(agent, start, _)
            | RequestEvent::WaiterTimeout(agent, start, ..)
            | RequestEvent::AdvanceGate(agent, start)
            | RequestEvent::CancelRun(agent, start, _)
            | RequestEvent::DeliverResponse(agent, start, ..)
            | RequestEvent::CancelOutcome(agent, start, ..)
            | RequestEvent::RepeatHandover(agent, start, _)
            | RequestEvent::StopAgent(agent, start) => Some((*agent, Some(*start))),
            _ => None,
        }
    }

    fn handle(&mut self, event: RequestEvent) {
        let mut owner = Self::receiving_agent(&event);
        if let RequestEvent::DeliverFrame(stream, from, _) = &event {
            let link = &self.links[*stream];
            let receiver = match from {
                StreamSide::Holder => link.gate,
                StreamSide::Gate => link.holder,
            };
            owner = Some((receiver, None));
        }
        if let Some((agent, start)) = owner {
            let local = &self.agents[agent];
            if !local.running || start.is_some_and(|start| start != local.start) {
                return;
            }
            let wait = local.paused_until.since(self.queue.now()).as_millis();
            if wait > 0 {
                self.queue.push(u64::try_from(wait).unwrap_or(0) + 1, event);
                return;
            }
        }
        self.execute(event);
    }

    fn execute(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::PlainCall => {
                let call = self.new_call(None);
                self.send_call(call, None);
            }
            RequestEvent::FetchTicket(filing) => self.fetch_ticket(filing),
            RequestEvent::IssueTicket(filing, agent) => self.issue_ticket(filing, agent),
            RequestEvent::SubmitFiling(filing) => self.submit_filing(filing),
            RequestEvent::DeliverCall(agent, call, ticket, deadline) => {
                self.accept_call(agent, call, ticket, deadline);
            }
            RequestEvent::DeliverOutcome(call, outcome) => {
                self.reach_step(RequestStep::Completed, self.home, self.home);
                self.complete_call(call, &outcome);
            }
            RequestEvent::DeliverFrame(stream, from, frame) => {
                self.deliver_frame(stream, from, &frame);
            }
            RequestEvent::StreamBroken(agent, _, stream) => {
                self.handle_broken_stream(agent, stream);
            }
            RequestEvent::ReadyTimeout(agent, _, id, stream) => {
                self.ready_timeout(agent, id, stream);
            }
            RequestEvent::ResponseTimeout(agent, _, id, stream) => {
                self.response_timeout(agent, id, stream);
            }
            RequestEvent::RetryHome(agent, _, id) => self.retry_home(agent, id),
            RequestEvent::WaiterTimeout(agent, _, run, attempt) => {
                self.waiter_timeout(agent, run, attempt);
            }
            RequestEvent::AdvanceGate(agent, _) => self.advance_gate(agent),
            RequestEvent::CancelRun(agent, _, id) => self.cancel_run(agent, id),
            RequestEvent::DeliverToBackend {
                backend,
                agent,
                start,
                id,
                attempt,
                call,
                filing,
            } => self.deliver_to_backend(backend, (agent, start, id), attempt, call, filing),
            RequestEvent::FinishRun(backend, run, agent, start, id) => {
                self.finish_run(backend, run, agent, start, id);
            }
            RequestEvent::DeliverResponse(agent, _, id, response) => {
                self.handle_backend_response(agent, id, response);
            }
            RequestEvent::DeliverCancel(backend, agent, start, id, attempt) => {
                let now = self.queue.now();
                let server = &mut self.backends[backend];
                if server.running {
                    let confirmed = server.cancel(attempt, now);
                    let by = confirmed.then_some(backend);
                    let event = RequestEvent::CancelOutcome(agent, start, id, by);
                    self.queue.push(2, event);
                }
            }
            RequestEvent::CancelOutcome(agent, _, id, by) => {
                self.handle_cancel_outcome(agent, id, by);
            }
            RequestEvent::Heartbeat => self.heartbeat(),
            RequestEvent::Heal(healing) => self.heal(healing),
            RequestEvent::Restart(agent, service) => self.restart(agent, service),
            RequestEvent::DeliverHandover(agent, handover) => {
                let now = ledger_seconds(self.queue.now());
                self.agents[agent].ledger.take_over(*handover, now);
            }
            RequestEvent::RepeatHandover(agent, _, delivery) => self.hand_over(agent, delivery),
            RequestEvent::StopAgent(agent, _) => self.stop_agent(agent),
        }
    }

    fn heartbeat(&mut self) {
        let now = self.queue.now();
        for agent in &mut self.agents {
            let awake = agent.running && agent.paused_until <= now && agent.service == "claims";
            if awake {
                agent.last_report = (agent.gate.report(now), now);
            }
        }
        self.queue
            .push(HEARTBEAT_INTERVAL_MS, RequestEvent::Heartbeat);
    }

    /// Sends a call to a random agent, as a fabric would, and schedules the timeout of its caller.
    pub(crate) fn send_call(&mut self, call: u64, ticket: Option<String>) {
        let agent = self.rng.random_range(0..AGENTS);
        let timeout_ms = self.rng.random_range(300..900);
        let deadline = Moment::from_micros(self.queue.now().as_micros() + timeout_ms * 1_000);
        let event = RequestEvent::DeliverCall(agent, call, ticket, deadline);
        self.queue.push(1, event);
        // After its own timeout the caller must assume that the request may have run.
        let assumed = RequestEvent::DeliverOutcome(call, JobOutcome::Unknown);
        self.queue.push(timeout_ms + 150, assumed);
    }

    fn accept_call(&mut self, agent: usize, call: u64, ticket: Option<String>, deadline: Moment) {
        let now = self.queue.now();
        // An instance of another service refuses flows at the packet level.
        if self.agents[agent].service != "claims" || deadline <= now {
            return;
        }
        self.reach_step(RequestStep::Arrived, agent, agent);
        let local = &self.agents[agent];
        if !local.running || local.service != "claims" {
            return;
        }
        let job = Job {
            attempt: AttemptId(self.rng.random()),
            call,
            filing: self.calls[usize::try_from(call).unwrap_or(0)].filing,
            ticket: ticket.clone(),
            home: None,
            arrived: now,
            deadline,
            tried: Vec::new(),
            retries: 2,
            reply: ReplyTo::Caller(call),
            phase: JobPhase::New,
        };
        match ticket {
            Some(_) => self.submit_once(agent, job),
            None => self.start_job(agent, job),
        }
    }

    /// Sends an outcome to the caller over its flow, unless the holder has stopped.
    pub(crate) fn reply_to_caller(&mut self, agent: usize, call: u64, outcome: JobOutcome) {
        let dropped = std::mem::take(&mut self.drop_next_reply);
        if self.agents[agent].running && !dropped {
            self.queue
                .push(1, RequestEvent::DeliverOutcome(call, outcome));
        }
    }

    fn fetch_ticket(&mut self, filing: u64) {
        let state = &self.filings[usize::try_from(filing).unwrap_or(0)];
        if state.ticket.is_some() || state.done {
            return;
        }
        let agent = self.rng.random_range(0..AGENTS);
        self.queue.push(1, RequestEvent::IssueTicket(filing, agent));
        // If there is no ticket by then, the agent may have stopped: ask another one.
        self.queue.push(1_000, RequestEvent::FetchTicket(filing));
    }

    fn issue_ticket(&mut self, filing: u64, agent: usize) {
        let now = ledger_seconds(self.queue.now());
        let local = &mut self.agents[agent];
        let state = &mut self.filings[usize::try_from(filing).unwrap_or(0)];
        if state.ticket.is_some() || state.done || local.service != "claims" {
            return;
        }
        let service = "claims"
            .parse()
            .map(|name: lovagelatch_domain::ServiceName| name.id());
        let ticket = local.ledger.issue(service.unwrap_or_default(), now);
        state.ticket = Some(ticket.seal(&local.keys));
        self.home = agent;
        // Two concurrent submissions, over two flows.
        let second = self.rng.random_range(0..200);
        self.queue.push(5, RequestEvent::SubmitFiling(filing));
        self.queue
            .push(5 + second, RequestEvent::SubmitFiling(filing));
    }

    fn deliver_to_backend(
        &mut self,
        backend: usize,
        (agent, start, id): (usize, u64, u64),
        attempt: AttemptId,
        call: u64,
        filing: Option<u64>,
    ) {
        let now = self.queue.now();
        if !self.backends[backend].running {
            let lost = RequestEvent::DeliverResponse(agent, start, id, None);
            return self.queue.push(1, lost);
        }
        match self.backends[backend].receive(attempt, call, filing, now) {
            BackendVerdict::Started(run) => {
                let work_ms = self.rng.random_range(20..140) * self.slowdown;
                let finish = RequestEvent::FinishRun(backend, run, agent, start, id);
                self.queue.push(work_ms, finish);
                self.reach_step(RequestStep::Started, agent, agent);
            }
            BackendVerdict::Shed => {
                let shed = RequestEvent::DeliverResponse(agent, start, id, Some((attempt, None)));
                self.queue.push(1, shed);
            }
            BackendVerdict::Cancelled => {}
        }
    }

    fn finish_run(&mut self, backend: usize, run: u64, agent: usize, start: u64, id: u64) {
        let now = self.queue.now();
        if !self.backends[backend].running {
            return;
        }
        let Some((mut attempt, mut response)) = self.backends[backend].finish_run(run, now) else {
            return;
        };
        if std::mem::take(&mut self.cross_next_response) {
            attempt.0 ^= 1;
            response.call ^= 1;
        }
        let lost = std::mem::take(&mut self.drop_next_response);
        let response = (!lost).then_some((attempt, Some(response)));
        let event = RequestEvent::DeliverResponse(agent, start, id, response);
        self.queue.push(1, event);
    }
}
