//! Relay streams: real frames, in order, that may be late, held back or broken off.

use lovagelatch_domain::{
    AgentAddress, AttemptId, ConfigRevision, Moment, RefusalReason, ServiceName,
};
use lovagelatch_keys::RequestTicket;
use lovagelatch_wire::{FrameKind, RelayMessage, RelayRequest, open_message, seal_message};
use smallvec::SmallVec;
use std::time::Duration;

use super::RequestStep;
use super::agent::agent_address;
use super::job::{JobEnd, JobPhase, ReplyTo, RunAnswer};
use super::world::{RequestEvent, RequestWorld};

/// Milliseconds within which a peer must say that it is ready.
const READY_WAIT: u64 = 250;

/// How long after the deadline a verdict is waited for.
const VERDICT_WAIT: Duration = Duration::from_millis(20);

/// Milliseconds between two tries to reach a home.
const HOME_PAUSE: u64 = 200;

const DEFAULT_RETRY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamSide {
    Holder,
    Gate,
}

/// A request that is arriving at a gate.
#[derive(Clone, Debug)]
pub(crate) struct Arriving {
    pub(crate) request: RelayRequest,
    pub(crate) body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(crate) struct RelayLink {
    pub(crate) holder: usize,
    pub(crate) gate: usize,
    job: u64,
    pub(crate) broken: bool,
    /// Whose frames no longer arrive.
    pub(crate) silent: Option<StreamSide>,
    /// When the newest frame of each side arrives: frames do not overtake each other.
    due: [u64; 2],
    pub(crate) arriving: Option<Arriving>,
    /// The gate has taken the request; a repeated frame changes nothing.
    pub(crate) taken: bool,
}

fn now_millis(now: Moment) -> u64 {
    now.as_micros() / 1_000
}

pub(crate) fn service_id(name: &str) -> lovagelatch_domain::ServiceId {
    let name: ServiceName = name.parse().expect("a valid name");
    name.id()
}

impl RequestWorld {
    /// Offers a job to a peer over a fresh stream.
    pub(crate) fn relay(&mut self, agent: usize, id: u64, peer: AgentAddress) {
        let Some(gate) = (0..self.agents.len()).find(|number| agent_address(*number) == peer)
        else {
            return self.not_handed_over(agent, id, peer);
        };
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        let Some(job) = own.jobs.get_mut(&id) else {
            return;
        };
        let stream = self.links.len();
        job.phase = JobPhase::Offering(stream);
        let request = RelayRequest {
            attempt: job.attempt,
            service: service_id("claims"),
            revision: ConfigRevision(1),
            holder: own.address,
            agency: None,
            time_left: job.time_left(now),
            ticket: job.ticket.clone(),
            method: "POST".to_owned(),
            path: "/claims".to_owned(),
            headers: SmallVec::new(),
        };
        let body = RunAnswer {
            call: job.call,
            filing: job.filing,
            run: 0,
        };
        let start = own.start;
        self.links.push(RelayLink {
            holder: agent,
            gate,
            job: id,
            broken: false,
            silent: None,
            due: [0; 2],
            arriving: None,
            taken: false,
        });
        self.send(stream, StreamSide::Holder, &RelayMessage::Request(request));
        self.send(
            stream,
            StreamSide::Holder,
            &RelayMessage::Body(body.to_bytes()),
        );
        if !self.mechanisms.ready {
            self.send(stream, StreamSide::Holder, &RelayMessage::BodyEnd);
        }
        let event = RequestEvent::ReadyTimeout(agent, start, id, stream);
        self.queue.push(READY_WAIT, event);
    }

    /// Sends a frame from one side of a stream to the other.
    pub(crate) fn send(&mut self, stream: usize, from: StreamSide, message: &RelayMessage) {
        let link = &self.links[stream];
        let sender = match from {
            StreamSide::Holder => link.holder,
            StreamSide::Gate => link.gate,
        };
        let frame = seal_message(FrameKind::Relay, message, &self.agents[sender].keys);
        let copies = if self.frames_twice { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.due(stream, from);
            let now = now_millis(self.queue.now());
            let event = RequestEvent::Frame(stream, from, frame.clone());
            self.queue.push(due - now, event);
        }
    }

    fn due(&mut self, stream: usize, from: StreamSide) -> u64 {
        let earliest = now_millis(self.queue.now()) + 1 + self.late_frames;
        let link = &mut self.links[stream];
        let due = &mut link.due[usize::from(from == StreamSide::Gate)];
        *due = earliest.max(*due);
        *due
    }

    pub(crate) fn frame_arrives(&mut self, stream: usize, from: StreamSide, frame: &[u8]) {
        let link = &self.links[stream];
        let lost = link.broken || link.silent == Some(from);
        if lost || self.is_cut(stream, from) {
            return;
        }
        let link = &self.links[stream];
        let (holder, gate, id) = (link.holder, link.gate, link.job);
        let receiver = match from {
            StreamSide::Holder => gate,
            StreamSide::Gate => holder,
        };
        let own = &self.agents[receiver];
        if !own.running {
            return;
        }
        let Ok(message) = open_message::<RelayMessage>(FrameKind::Relay, frame, &own.keys) else {
            return;
        };
        match from {
            StreamSide::Holder => self.at_gate(stream, holder, gate, message),
            StreamSide::Gate => self.at_holder(stream, holder, gate, id, message),
        }
    }

    fn at_holder(
        &mut self,
        stream: usize,
        holder: usize,
        gate: usize,
        id: u64,
        message: RelayMessage,
    ) {
        let Some(job) = self.agents[holder].jobs.get(&id) else {
            return;
        };
        let (attempt, phase, deadline) = (job.attempt, job.phase.clone(), job.deadline);
        let peer = agent_address(gate);
        match (message, phase) {
            (RelayMessage::Ready(named), JobPhase::Offering(on))
                if on == stream && named == attempt =>
            {
                self.reach(RequestStep::Ready, holder, gate);
                self.hand_over_to(stream, holder, id, deadline);
            }
            (
                RelayMessage::Refused {
                    attempt: named,
                    reason,
                    retry_after,
                    ..
                },
                JobPhase::Offering(on) | JobPhase::Handed(on, _),
            ) if on == stream && named == attempt => {
                self.links[stream].broken = true;
                self.refused(holder, id, peer, reason, retry_after);
            }
            (RelayMessage::Lost(named), JobPhase::Handed(on, _))
                if on == stream && named == attempt =>
            {
                self.end_job(holder, id, JobEnd::Unknown);
            }
            (RelayMessage::Head(head), JobPhase::Handed(on, None))
                if on == stream && head.attempt == attempt =>
            {
                self.reach(RequestStep::Returned, holder, gate);
                self.set_phase(holder, id, JobPhase::Handed(stream, Some(Vec::new())));
            }
            (RelayMessage::Chunk(piece), JobPhase::Handed(on, Some(mut body))) if on == stream => {
                if body.len() < RunAnswer::BYTES {
                    body.extend_from_slice(&piece);
                }
                self.set_phase(holder, id, JobPhase::Handed(stream, Some(body)));
            }
            (RelayMessage::End { attempt: named, .. }, JobPhase::Handed(on, Some(body)))
                if on == stream && named == attempt =>
            {
                self.end_job(holder, id, JobEnd::Answered(body, true));
            }
            _ => {}
        }
    }

    fn set_phase(&mut self, agent: usize, id: u64, phase: JobPhase) {
        if let Some(job) = self.agents[agent].jobs.get_mut(&id) {
            job.phase = phase;
        }
    }

    /// From here on it may run.
    fn hand_over_to(&mut self, stream: usize, holder: usize, id: u64, deadline: Moment) {
        self.set_phase(holder, id, JobPhase::Handed(stream, None));
        if self.mechanisms.ready {
            self.send(stream, StreamSide::Holder, &RelayMessage::BodyEnd);
        }
        let wait = (deadline + VERDICT_WAIT)
            .since(self.queue.now())
            .as_millis();
        let wait = u64::try_from(wait).unwrap_or(0);
        let start = self.agents[holder].start;
        let event = RequestEvent::VerdictTimeout(holder, start, id, stream);
        self.queue.push(wait, event);
    }

    pub(crate) fn ready_timeout(&mut self, agent: usize, id: u64, stream: usize) {
        let job = self.agents[agent].jobs.get(&id);
        if job.is_some_and(|job| job.phase == JobPhase::Offering(stream)) {
            let peer = agent_address(self.links[stream].gate);
            self.break_stream(stream);
            self.not_handed_over(agent, id, peer);
        }
    }

    pub(crate) fn verdict_timeout(&mut self, agent: usize, id: u64, stream: usize) {
        let job = self.agents[agent].jobs.get(&id);
        let waits = job.is_some_and(|job| job.phase == JobPhase::Handed(stream, None));
        if waits {
            self.break_stream(stream);
            self.end_job(agent, id, JobEnd::Unknown);
        }
    }

    /// The peer runs nothing before it has the end of the body.
    fn not_handed_over(&mut self, agent: usize, id: u64, peer: AgentAddress) {
        let now = self.queue.now();
        let Some(job) = self.agents[agent].jobs.get(&id) else {
            return;
        };
        if job.home.is_none() {
            return self.refused(agent, id, peer, RefusalReason::NoTarget, DEFAULT_RETRY);
        }
        let whole = job.deadline.since(job.arrived);
        if job.time_left(now) < whole / 2 {
            return self.end_job(agent, id, JobEnd::Unknown);
        }
        let start = self.agents[agent].start;
        let event = RequestEvent::HomeAgain(agent, start, id);
        self.queue.push(HOME_PAUSE, event);
    }

    /// Another try to reach a home; a handover may have come in the meantime.
    pub(crate) fn home_again(&mut self, agent: usize, id: u64) {
        let own = &self.agents[agent];
        let Some(job) = own.jobs.get(&id) else { return };
        let (key, home) = (job.ticket.clone().unwrap_or_default(), job.home);
        let ticket = RequestTicket::open(&key, &own.keys);
        let adopted = ticket
            .as_ref()
            .is_ok_and(|ticket| own.ledger.answers_for(ticket.home, ticket.incarnation));
        if let (Ok(ticket), true) = (ticket, adopted) {
            if let Some(mut job) = self.agents[agent].jobs.remove(&id) {
                job.home = None;
                self.file_here(agent, &ticket, job);
            }
            return;
        }
        if let Some(home) = home {
            self.relay(agent, id, home);
        }
    }

    /// Breaks a stream; both sides notice at once.
    pub(crate) fn break_stream(&mut self, stream: usize) {
        if std::mem::replace(&mut self.links[stream].broken, true) {
            return;
        }
        let link = self.links[stream].clone();
        for agent in [link.holder, link.gate] {
            let start = self.agents[agent].start;
            let event = RequestEvent::Broken(agent, start, stream);
            self.queue.push(1, event);
        }
    }

    /// One side notices that its stream is gone.
    pub(crate) fn notice_broken(&mut self, agent: usize, stream: usize) {
        let link = self.links[stream].clone();
        if link.holder == agent {
            self.holder_cut(agent, link.job, stream);
        }
        if link.gate == agent {
            self.gate_cut(agent, stream);
        }
    }

    fn holder_cut(&mut self, agent: usize, id: u64, stream: usize) {
        let phase = self.agents[agent].jobs.get(&id).map(|job| &job.phase);
        let end = match phase {
            Some(JobPhase::Offering(on)) if *on == stream => {
                let peer = agent_address(self.links[stream].gate);
                return self.not_handed_over(agent, id, peer);
            }
            Some(JobPhase::Handed(on, Some(body))) if *on == stream => {
                JobEnd::Answered(body.clone(), !self.mechanisms.whole_answers)
            }
            Some(JobPhase::Handed(on, None)) if *on == stream => JobEnd::Unknown,
            _ => return,
        };
        self.end_job(agent, id, end);
    }

    /// Tells an end to whoever waits for it.
    pub(crate) fn reply(&mut self, agent: usize, to: ReplyTo, attempt: AttemptId, end: &JobEnd) {
        match to {
            ReplyTo::Caller(call) => self.answer_caller(agent, call, end.clone()),
            ReplyTo::Stream(stream) => self.answer_stream(stream, attempt, end),
            ReplyTo::Filing => self.end_filing(agent, attempt, end.clone()),
        }
    }
}
