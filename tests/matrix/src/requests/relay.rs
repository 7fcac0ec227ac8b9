//! Simulated relay streams: real frames, delivered in order, which may be delayed, lost or cut off
//! when the stream breaks.

use lovagelatch_domain::{
    AgentAddress, AttemptId, ConfigRevision, Moment, RefusalReason, ServiceName,
};
use lovagelatch_keys::RequestTicket;
use lovagelatch_wire::{FrameKind, RelayMessage, RelayRequest, open_message, seal_message};
use smallvec::SmallVec;
use std::time::Duration;

use super::RequestStep;
use super::agent::agent_address;
use super::job::{JobOutcome, JobPhase, ReplyTo, RunResponse};
use super::world::{RequestEvent, RequestWorld};

/// How long a holder waits for the `Ready` frame of a peer.
const READY_TIMEOUT_MS: u64 = 250;

/// How long after the deadline a holder still waits for the head of a response.
const RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// The time between two attempts to reach a home.
const HOME_RETRY_INTERVAL_MS: u64 = 200;

const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamSide {
    Holder,
    Gate,
}

/// A request whose frames are arriving at a gate.
#[derive(Clone, Debug)]
pub(crate) struct ArrivingRequest {
    pub(crate) request: RelayRequest,
    pub(crate) body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(crate) struct RelayLink {
    pub(crate) holder: usize,
    pub(crate) gate: usize,
    job: u64,
    pub(crate) broken: bool,
    /// The side whose frames no longer arrive.
    pub(crate) silent: Option<StreamSide>,
    /// When the newest frame from each side arrives, in milliseconds: frames are not reordered.
    last_arrivals: [u64; 2],
    pub(crate) arriving: Option<ArrivingRequest>,
    /// Whether the gate has accepted the request; repeated frames are then ignored.
    pub(crate) accepted: bool,
}

fn whole_millis(now: Moment) -> u64 {
    now.as_micros() / 1_000
}

pub(crate) fn service_id(name: &str) -> lovagelatch_domain::ServiceId {
    let name: ServiceName = name.parse().expect("a valid name");
    name.id()
}

impl RequestWorld {
    /// Offers a job to a peer over a new stream.
    pub(crate) fn relay(&mut self, agent: usize, id: u64, peer: AgentAddress) {
        let Some(gate) = (0..self.agents.len()).find(|number| agent_address(*number) == peer)
        else {
            return self.handle_not_sent(agent, id, peer);
        };
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        let Some(job) = local.jobs.get_mut(&id) else {
            return;
        };
        let stream = self.links.len();
        job.phase = JobPhase::Offered(stream);
        let request = RelayRequest {
            attempt: job.attempt,
            service: service_id("claims"),
            revision: ConfigRevision(1),
            holder: local.address,
            agency: None,
            time_left: job.time_left(now),
            ticket: job.ticket.clone(),
            method: "POST".to_owned(),
            path: "/claims".to_owned(),
            headers: SmallVec::new(),
        };
        let body = RunResponse {
            call: job.call,
            filing: job.filing,
            run: 0,
        };
        let start = local.start;
        self.links.push(RelayLink {
            holder: agent,
            gate,
            job: id,
            broken: false,
            silent: None,
            last_arrivals: [0; 2],
            arriving: None,
            accepted: false,
        });
        self.send(stream, StreamSide::Holder, &RelayMessage::Request(request));
        self.send(
            stream,
            StreamSide::Holder,
            &RelayMessage::Body(body.to_bytes()),
        );
        if !self.mechanisms.await_ready {
            self.send(stream, StreamSide::Holder, &RelayMessage::BodyEnd);
        }
        let event = RequestEvent::ReadyTimeout(agent, start, id, stream);
        self.queue.push(READY_TIMEOUT_MS, event);
    }

    /// Sends a frame from one side of a stream to the other.
    pub(crate) fn send(&mut self, stream: usize, from: StreamSide, message: &RelayMessage) {
        let link = &self.links[stream];
        let sender = match from {
            StreamSide::Holder => link.holder,
            StreamSide::Gate => link.gate,
        };
        let frame = seal_message(FrameKind::Relay, message, &self.agents[sender].keys);
        let copies = if self.duplicate_frames { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.next_arrival(stream, from);
            let now = whole_millis(self.queue.now());
            let event = RequestEvent::DeliverFrame(stream, from, frame.clone());
            self.queue.push(due - now, event);
        }
    }

    fn next_arrival(&mut self, stream: usize, from: StreamSide) -> u64 {
        let earliest = whole_millis(self.queue.now()) + 1 + self.frame_delay_ms;
        let link = &mut self.links[stream];
        let last_arrival = &mut link.last_arrivals[usize::from(from == StreamSide::Gate)];
        *last_arrival = earliest.max(*last_arrival);
        *last_arrival
    }

    pub(crate) fn deliver_frame(&mut self, stream: usize, from: StreamSide, frame: &[u8]) {
        let link = &self.links[stream];
        let lost = link.broken || link.silent == Some(from);
        if lost || self.silence_if_partitioned(stream, from) {
            return;
        }
        let link = &self.links[stream];
        let (holder, gate, id) = (link.holder, link.gate, link.job);
        let receiver = match from {
            StreamSide::Holder => gate,
            StreamSide::Gate => holder,
        };
        let local = &self.agents[receiver];
        if !local.running {
            return;
        }
        let Ok(message) = open_message::<RelayMessage>(FrameKind::Relay, frame, &local.keys) else {
            return;
        };
        match from {
            StreamSide::Holder => self.handle_at_gate(stream, holder, gate, message),
            StreamSide::Gate => self.handle_at_holder(stream, holder, gate, id, message),
        }
    }

    fn handle_at_holder(
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
            (RelayMessage::Ready(named), JobPhase::Offered(on))
                if on == stream && named == attempt =>
            {
                self.reach_step(RequestStep::Ready, holder, gate);
                self.commit_to_peer(stream, holder, id, deadline);
            }
            (
                RelayMessage::Refused {
                    attempt: named,
                    reason,
                    retry_after,
                    ..
                },
                JobPhase::Offered(on) | JobPhase::Relayed(on, _),
            ) if on == stream && named == attempt => {
                self.links[stream].broken = true;
                self.handle_refusal(holder, id, peer, reason, retry_after);
            }
            (RelayMessage::Lost(named), JobPhase::Relayed(on, _))
                if on == stream && named == attempt =>
            {
                self.finish_job(holder, id, JobOutcome::Unknown);
            }
            (RelayMessage::Head(head), JobPhase::Relayed(on, None))
                if on == stream && head.attempt == attempt =>
            {
                self.reach_step(RequestStep::ResponseRelayed, holder, gate);
                self.set_phase(holder, id, JobPhase::Relayed(stream, Some(Vec::new())));
            }
            (RelayMessage::Chunk(chunk), JobPhase::Relayed(on, Some(mut body))) if on == stream => {
                if body.len() < RunResponse::BYTES {
                    body.extend_from_slice(&chunk);
                }
                self.set_phase(holder, id, JobPhase::Relayed(stream, Some(body)));
            }
            (RelayMessage::End { attempt: named, .. }, JobPhase::Relayed(on, Some(body)))
                if on == stream && named == attempt =>
            {
                self.finish_job(holder, id, JobOutcome::Responded(body, true));
            }
            _ => {}
        }
    }

    fn set_phase(&mut self, agent: usize, id: u64, phase: JobPhase) {
        if let Some(job) = self.agents[agent].jobs.get_mut(&id) {
            job.phase = phase;
        }
    }

    /// Sends the end of the body to the peer. From here on the request may run.
    fn commit_to_peer(&mut self, stream: usize, holder: usize, id: u64, deadline: Moment) {
        self.set_phase(holder, id, JobPhase::Relayed(stream, None));
        if self.mechanisms.await_ready {
            self.send(stream, StreamSide::Holder, &RelayMessage::BodyEnd);
        }
        let wait = (deadline + RESPONSE_GRACE)
            .since(self.queue.now())
            .as_millis();
        let wait = u64::try_from(wait).unwrap_or(0);
        let start = self.agents[holder].start;
        let event = RequestEvent::ResponseTimeout(holder, start, id, stream);
        self.queue.push(wait, event);
    }

    pub(crate) fn ready_timeout(&mut self, agent: usize, id: u64, stream: usize) {
        let job = self.agents[agent].jobs.get(&id);
        if job.is_some_and(|job| job.phase == JobPhase::Offered(stream)) {
            let peer = agent_address(self.links[stream].gate);
            self.break_stream(stream);
            self.handle_not_sent(agent, id, peer);
        }
    }

    pub(crate) fn response_timeout(&mut self, agent: usize, id: u64, stream: usize) {
        let job = self.agents[agent].jobs.get(&id);
        let waiting = job.is_some_and(|job| job.phase == JobPhase::Relayed(stream, None));
        if waiting {
            self.break_stream(stream);
            self.finish_job(agent, id, JobOutcome::Unknown);
        }
    }

    /// Handles a job that a peer has not run: it runs nothing before it has the end of the body.
    fn handle_not_sent(&mut self, agent: usize, id: u64, peer: AgentAddress) {
        let now = self.queue.now();
        let Some(job) = self.agents[agent].jobs.get(&id) else {
            return;
        };
        if job.home.is_none() {
            return self.handle_refusal(
                agent,
                id,
                peer,
                RefusalReason::NoTarget,
                DEFAULT_RETRY_AFTER,
            );
        }
        let total = job.deadline.since(job.arrived);
        if job.time_left(now) < total / 2 {
            return self.finish_job(agent, id, JobOutcome::Unknown);
        }
        let start = self.agents[agent].start;
        let event = RequestEvent::RetryHome(agent, start, id);
        self.queue.push(HOME_RETRY_INTERVAL_MS, event);
    }

    /// Tries again to reach a home, unless its ledger was handed over to this agent meanwhile.
    pub(crate) fn retry_home(&mut self, agent: usize, id: u64) {
        let local = &self.agents[agent];
        let Some(job) = local.jobs.get(&id) else {
            return;
        };
        let (key, home) = (job.ticket.clone().unwrap_or_default(), job.home);
        let ticket = RequestTicket::open(&key, &local.keys);
        let adopted = ticket
            .as_ref()
            .is_ok_and(|ticket| local.ledger.answers_for(ticket.home, ticket.incarnation));
        if let (Ok(ticket), true) = (ticket, adopted) {
            if let Some(mut job) = self.agents[agent].jobs.remove(&id) {
                job.home = None;
                self.submit_at_home(agent, &ticket, job);
            }
            return;
        }
        if let Some(home) = home {
            self.relay(agent, id, home);
        }
    }

    /// Breaks a stream; both sides notice it 1 ms later.
    pub(crate) fn break_stream(&mut self, stream: usize) {
        if std::mem::replace(&mut self.links[stream].broken, true) {
            return;
        }
        let link = self.links[stream].clone();
        for agent in [link.holder, link.gate] {
            let start = self.agents[agent].start;
            let event = RequestEvent::StreamBroken(agent, start, stream);
            self.queue.push(1, event);
        }
    }

    /// Handles a broken stream at one of its sides.
    pub(crate) fn handle_broken_stream(&mut self, agent: usize, stream: usize) {
        let link = self.links[stream].clone();
        if link.holder == agent {
            self.holder_stream_broken(agent, link.job, stream);
        }
        if link.gate == agent {
            self.gate_stream_broken(agent, stream);
        }
    }

    fn holder_stream_broken(&mut self, agent: usize, id: u64, stream: usize) {
        let phase = self.agents[agent].jobs.get(&id).map(|job| &job.phase);
        let outcome = match phase {
            Some(JobPhase::Offered(on)) if *on == stream => {
                let peer = agent_address(self.links[stream].gate);
                return self.handle_not_sent(agent, id, peer);
            }
            Some(JobPhase::Relayed(on, Some(body))) if *on == stream => {
                JobOutcome::Responded(body.clone(), !self.mechanisms.complete_responses)
            }
            Some(JobPhase::Relayed(on, None)) if *on == stream => JobOutcome::Unknown,
            _ => return,
        };
        self.finish_job(agent, id, outcome);
    }

    /// Sends the outcome of a job to whatever waits for it.
    pub(crate) fn reply(
        &mut self,
        agent: usize,
        to: ReplyTo,
        attempt: AttemptId,
        outcome: &JobOutcome,
    ) {
        match to {
            ReplyTo::Caller(call) => self.reply_to_caller(agent, call, outcome.clone()),
            ReplyTo::Stream(stream) => self.reply_to_stream(stream, attempt, outcome),
            ReplyTo::Filing => self.finish_filing(agent, attempt, outcome.clone()),
        }
    }
}
