//! The course of a run: one queue, four agents with their backend servers, callers.

use lovagelatch_domain::{AttemptId, Moment};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::agent::{FakeAgent, SLOTS};
use super::backend::{BackendVerdict, FakeBackend, millis};
use super::caller::{Call, Filing};
use super::job::{Job, JobEnd, JobPhase, ReplyTo, RunAnswer};
use super::relay::{RelayLink, StreamSide};
use super::strike::Healing;
use super::ticket::seconds;
use super::{RequestFault, RequestMechanisms, RequestStep};
use crate::history::{MatrixEvent, MatrixHistory};
use crate::plan::FaultPlan;
use crate::queue::EventQueue;
use lovagelatch_ledger::LedgerHandover;

pub(crate) const AGENTS: usize = 4;

/// Milliseconds between two heartbeats.
const HEARTBEAT: u64 = 100;

/// When everything ends, in milliseconds.
const END: u64 = 16_000;

const PLAIN_CALLS: u64 = 26;
const FILINGS: u64 = 4;

#[derive(Clone, Debug)]
pub(crate) enum RequestEvent {
    PlainCall,
    AskTicket(u64),
    TicketAt(u64, usize),
    TryFiling(u64),
    AtHolder(usize, u64, Option<String>, Moment),
    Told(u64, JobEnd),
    Frame(usize, StreamSide, Vec<u8>),
    Broken(usize, u64, usize),
    ReadyTimeout(usize, u64, u64, usize),
    VerdictTimeout(usize, u64, u64, usize),
    HomeAgain(usize, u64, u64),
    WaiterTimeout(usize, u64, AttemptId, AttemptId),
    GateWake(usize, u64),
    GiveUp(usize, u64, u64),
    AtBackend {
        backend: usize,
        agent: usize,
        start: u64,
        id: u64,
        attempt: AttemptId,
        call: u64,
        filing: Option<u64>,
    },
    RunEnds(usize, u64, usize, u64, u64),
    FromBackend(usize, u64, u64, Option<(AttemptId, Option<RunAnswer>)>),
    CancelAt(usize, usize, u64, u64, AttemptId),
    CancelEnd(usize, u64, u64, Option<usize>),
    Heartbeat,
    Heal(Healing),
    Restart(usize, &'static str),
    TakeOver(usize, Box<LedgerHandover>),
    HandOverAgain(usize, u64),
    End(usize, u64),
}

/// Agents, backend servers and callers with one queue.
pub struct RequestWorld {
    pub(crate) plan: FaultPlan<RequestFault, RequestStep>,
    pub(crate) mechanisms: RequestMechanisms,
    pub(crate) rng: SmallRng,
    pub(crate) queue: EventQueue<RequestEvent>,
    pub(crate) agents: Vec<FakeAgent>,
    pub(crate) backends: Vec<FakeBackend>,
    /// The backend server beside each agent.
    pub(crate) beside: Vec<usize>,
    pub(crate) links: Vec<RelayLink>,
    pub(crate) calls: Vec<Call>,
    pub(crate) filings: Vec<Filing>,
    /// Pairs of agents the first of which does not reach the second.
    pub(crate) cuts: Vec<(usize, usize)>,
    pub(crate) late_frames: u64,
    pub(crate) late_handover: u64,
    pub(crate) frames_twice: bool,
    pub(crate) lost_cancels: bool,
    pub(crate) slowness: u64,
    pub(crate) crossed_next: bool,
    pub(crate) lost_next: bool,
    pub(crate) untold_next: bool,
    /// The home of the filing that was struck first.
    pub(crate) home: usize,
    /// How often each step is passed before its faults strike.
    passes: Vec<(RequestStep, u32)>,
    pub(crate) history: MatrixHistory,
}

impl RequestWorld {
    /// A world at its start.
    #[must_use]
    pub fn new(plan: FaultPlan<RequestFault, RequestStep>, mechanisms: RequestMechanisms) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let agents = (0..AGENTS).map(|number| FakeAgent::new(number, 1, "claims", Moment::ZERO));
        let mut world = Self {
            mechanisms,
            queue: EventQueue::default(),
            agents: agents.collect(),
            backends: Vec::new(),
            beside: vec![0; AGENTS],
            links: Vec::new(),
            calls: Vec::new(),
            filings: Vec::new(),
            cuts: Vec::new(),
            late_frames: 0,
            late_handover: 0,
            frames_twice: false,
            lost_cancels: false,
            slowness: 1,
            crossed_next: false,
            lost_next: false,
            untold_next: false,
            home: rng.random_range(0..AGENTS),
            passes: plan
                .strikes
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
        self.beside[agent] = number;
        self.backends
            .push(FakeBackend::new(name, service, SLOTS, first_run));
    }

    /// Plays to the end.
    #[must_use]
    pub fn play(mut self, filings: bool) -> MatrixHistory {
        for number in 0..PLAIN_CALLS {
            // Bursts, so that gates queue and relay.
            let at = 40 + number / 6 * 160 + self.rng.random_range(0..40);
            self.queue.push(at, RequestEvent::PlainCall);
        }
        for filing in 0..if filings { FILINGS } else { 0 } {
            self.filings.push(Filing::default());
            let at = self.rng.random_range(0..400);
            self.queue.push(at, RequestEvent::AskTicket(filing));
        }
        self.queue.push(0, RequestEvent::Heartbeat);
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > Moment::from_millis(END) {
                break;
            }
            self.handle(event);
        }
        let backends = std::mem::take(&mut self.backends);
        self.history.backends = backends.into_iter().map(|one| one.history).collect();
        self.history
    }

    /// The faults of a step strike once, when it was passed as often as the seed says.
    pub(crate) fn reach(&mut self, step: RequestStep, holder: usize, gate: usize) {
        for index in 0..self.passes.len() {
            let (at, left) = self.passes[index];
            if at != step || left == u32::MAX {
                continue;
            }
            if left > 0 {
                self.passes[index].1 -= 1;
                continue;
            }
            self.passes[index].1 = u32::MAX;
            let fault = self.plan.strikes[index].0;
            let text = format!("{fault:?} at {step:?}, holder {holder}, gate {gate}");
            self.history
                .note(self.queue.now(), MatrixEvent::Fault(text));
            let since = &mut self.history.facts.unplanned_since_ms;
            *since = Some(since.unwrap_or(millis(self.queue.now())));
            self.strike(fault, holder, gate);
        }
    }

    /// Events of an agent that is paused wait until it wakes; those of one that died are lost.
    fn agent_of(event: &RequestEvent) -> Option<(usize, Option<u64>)> {
        match event {
            RequestEvent::AtHolder(agent, ..) | RequestEvent::TicketAt(_, agent) => {
                Some((*agent, None))
            }
            RequestEvent::TakeOver(agent, _) => Some((*agent, None)),
            RequestEvent::Broken(agent, start, _)
            | RequestEvent::ReadyTimeout(agent, start, ..)
            | RequestEvent::VerdictTimeout(agent, start, ..)
            | RequestEvent::HomeAgain(agent, start, _)
            | RequestEvent::WaiterTimeout(agent, start, ..)
            | RequestEvent::GateWake(agent, start)
            | RequestEvent::GiveUp(agent, start, _)
            | RequestEvent::FromBackend(agent, start, ..)
            | RequestEvent::CancelEnd(agent, start, ..)
            | RequestEvent::HandOverAgain(agent, start)
            | RequestEvent::End(agent, start) => Some((*agent, Some(*start))),
            _ => None,
        }
    }

    fn handle(&mut self, event: RequestEvent) {
        let mut owner = Self::agent_of(&event);
        if let RequestEvent::Frame(stream, from, _) = &event {
            let link = &self.links[*stream];
            let receiver = match from {
                StreamSide::Holder => link.gate,
                StreamSide::Gate => link.holder,
            };
            owner = Some((receiver, None));
        }
        if let Some((agent, start)) = owner {
            let own = &self.agents[agent];
            if !own.running || start.is_some_and(|start| start != own.start) {
                return;
            }
            let wait = own.paused_until.since(self.queue.now()).as_millis();
            if wait > 0 {
                self.queue.push(u64::try_from(wait).unwrap_or(0) + 1, event);
                return;
            }
        }
        self.carry_out(event);
    }

    fn carry_out(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::PlainCall => {
                let call = self.new_call(None);
                self.send_call(call, None);
            }
            RequestEvent::AskTicket(filing) => self.ask_ticket(filing),
            RequestEvent::TicketAt(filing, agent) => self.issue_ticket(filing, agent),
            RequestEvent::TryFiling(filing) => self.try_filing(filing),
            RequestEvent::AtHolder(agent, call, ticket, deadline) => {
                self.at_agent(agent, call, ticket, deadline);
            }
            RequestEvent::Told(call, end) => {
                self.reach(RequestStep::Told, self.home, self.home);
                self.told(call, &end);
            }
            RequestEvent::Frame(stream, from, frame) => self.frame_arrives(stream, from, &frame),
            RequestEvent::Broken(agent, _, stream) => self.notice_broken(agent, stream),
            RequestEvent::ReadyTimeout(agent, _, id, stream) => {
                self.ready_timeout(agent, id, stream);
            }
            RequestEvent::VerdictTimeout(agent, _, id, stream) => {
                self.verdict_timeout(agent, id, stream);
            }
            RequestEvent::HomeAgain(agent, _, id) => self.home_again(agent, id),
            RequestEvent::WaiterTimeout(agent, _, run, attempt) => {
                self.waiter_timeout(agent, run, attempt);
            }
            RequestEvent::GateWake(agent, _) => self.gate_wakes(agent),
            RequestEvent::GiveUp(agent, _, id) => self.give_up(agent, id),
            RequestEvent::AtBackend {
                backend,
                agent,
                start,
                id,
                attempt,
                call,
                filing,
            } => self.at_backend(backend, (agent, start, id), attempt, call, filing),
            RequestEvent::RunEnds(backend, run, agent, start, id) => {
                self.run_ends(backend, run, agent, start, id);
            }
            RequestEvent::FromBackend(agent, _, id, answer) => {
                self.backend_answered(agent, id, answer);
            }
            RequestEvent::CancelAt(backend, agent, start, id, attempt) => {
                let now = self.queue.now();
                let server = &mut self.backends[backend];
                if server.running {
                    let confirmed = server.cancel(attempt, now);
                    let by = confirmed.then_some(backend);
                    let event = RequestEvent::CancelEnd(agent, start, id, by);
                    self.queue.push(2, event);
                }
            }
            RequestEvent::CancelEnd(agent, _, id, by) => self.cancel_ended(agent, id, by),
            RequestEvent::Heartbeat => self.heartbeat(),
            RequestEvent::Heal(healing) => self.heal(healing),
            RequestEvent::Restart(agent, service) => self.restart(agent, service),
            RequestEvent::TakeOver(agent, handover) => {
                let now = seconds(self.queue.now());
                self.agents[agent].ledger.take_over(*handover, now);
            }
            RequestEvent::HandOverAgain(agent, _) => self.hand_over(agent, 1),
            RequestEvent::End(agent, _) => self.end_agent(agent),
        }
    }

    fn heartbeat(&mut self) {
        let now = self.queue.now();
        for own in &mut self.agents {
            let awake = own.running && own.paused_until <= now && own.service == "claims";
            if awake {
                own.reported = (own.gate.report(now), now);
            }
        }
        self.queue.push(HEARTBEAT, RequestEvent::Heartbeat);
    }

    /// Sends a call to an agent that the fabric picks.
    pub(crate) fn send_call(&mut self, call: u64, ticket: Option<String>) {
        let agent = self.rng.random_range(0..AGENTS);
        let patience = self.rng.random_range(300..900);
        let deadline = Moment::from_micros(self.queue.now().as_micros() + patience * 1_000);
        let event = RequestEvent::AtHolder(agent, call, ticket, deadline);
        self.queue.push(1, event);
        // The caller's own timeout: it must assume that the request may have run.
        let assumed = RequestEvent::Told(call, JobEnd::Unknown);
        self.queue.push(patience + 150, assumed);
    }

    fn at_agent(&mut self, agent: usize, call: u64, ticket: Option<String>, deadline: Moment) {
        let now = self.queue.now();
        // Flows of an instance of another service are refused at the packet level.
        if self.agents[agent].service != "claims" || deadline <= now {
            return;
        }
        self.reach(RequestStep::Offered, agent, agent);
        let own = &self.agents[agent];
        if !own.running || own.service != "claims" {
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
            Some(_) => self.file(agent, job),
            None => self.start_job(agent, job),
        }
    }

    /// Answers a caller over the flow that its holder ends; a holder that died answers nothing.
    pub(crate) fn answer_caller(&mut self, agent: usize, call: u64, end: JobEnd) {
        let untold = std::mem::take(&mut self.untold_next);
        if self.agents[agent].running && !untold {
            self.queue.push(1, RequestEvent::Told(call, end));
        }
    }

    fn ask_ticket(&mut self, filing: u64) {
        let held = &self.filings[usize::try_from(filing).unwrap_or(0)];
        if held.ticket.is_some() || held.done {
            return;
        }
        let agent = self.rng.random_range(0..AGENTS);
        self.queue.push(1, RequestEvent::TicketAt(filing, agent));
        // Should the agent be dead, another is asked.
        self.queue.push(1_000, RequestEvent::AskTicket(filing));
    }

    fn issue_ticket(&mut self, filing: u64, agent: usize) {
        let now = seconds(self.queue.now());
        let own = &mut self.agents[agent];
        let held = &mut self.filings[usize::try_from(filing).unwrap_or(0)];
        if held.ticket.is_some() || held.done || own.service != "claims" {
            return;
        }
        let service = "claims"
            .parse()
            .map(|name: lovagelatch_domain::ServiceName| name.id());
        let ticket = own.ledger.issue(service.unwrap_or_default(), now);
        held.ticket = Some(ticket.seal(&own.keys));
        self.home = agent;
        // Two tries at once, over two flows.
        let second = self.rng.random_range(0..200);
        self.queue.push(5, RequestEvent::TryFiling(filing));
        self.queue.push(5 + second, RequestEvent::TryFiling(filing));
    }

    fn at_backend(
        &mut self,
        backend: usize,
        (agent, start, id): (usize, u64, u64),
        attempt: AttemptId,
        call: u64,
        filing: Option<u64>,
    ) {
        let now = self.queue.now();
        if !self.backends[backend].running {
            let lost = RequestEvent::FromBackend(agent, start, id, None);
            return self.queue.push(1, lost);
        }
        match self.backends[backend].receive(attempt, call, filing, now) {
            BackendVerdict::Started(run) => {
                let work = self.rng.random_range(20..140) * self.slowness;
                let ends = RequestEvent::RunEnds(backend, run, agent, start, id);
                self.queue.push(work, ends);
                self.reach(RequestStep::Started, agent, agent);
            }
            BackendVerdict::Shed => {
                let shed = RequestEvent::FromBackend(agent, start, id, Some((attempt, None)));
                self.queue.push(1, shed);
            }
            BackendVerdict::Cancelled => {}
        }
    }

    fn run_ends(&mut self, backend: usize, run: u64, agent: usize, start: u64, id: u64) {
        let now = self.queue.now();
        if !self.backends[backend].running {
            return;
        }
        let Some((mut attempt, mut answer)) = self.backends[backend].end(run, now) else {
            return;
        };
        if std::mem::take(&mut self.crossed_next) {
            attempt.0 ^= 1;
            answer.call ^= 1;
        }
        let lost = std::mem::take(&mut self.lost_next);
        let answer = (!lost).then_some((attempt, Some(answer)));
        let event = RequestEvent::FromBackend(agent, start, id, answer);
        self.queue.push(1, event);
    }
}
