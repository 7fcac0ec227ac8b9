//! The gate's side of a relay stream.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_keys::RequestTicket;
use lovagelatch_wire::{RelayHead, RelayMessage};
use smallvec::SmallVec;

use super::RequestStep;
use super::job::{Job, JobOutcome, JobPhase, ReplyTo, RunResponse};
use super::relay::{ArrivingRequest, StreamSide, service_id};
use super::world::RequestWorld;

/// The size of the first chunk of a response; the second chunk has the rest.
const FIRST_CHUNK_BYTES: usize = 10;

impl RequestWorld {
    pub(crate) fn handle_at_gate(
        &mut self,
        stream: usize,
        holder: usize,
        gate: usize,
        message: RelayMessage,
    ) {
        match message {
            RelayMessage::Request(request) => {
                self.reach_step(RequestStep::Relayed, holder, gate);
                let attempt = request.attempt;
                let wrong = request.service != service_id(self.agents[gate].service);
                if wrong && self.mechanisms.service_check {
                    return self.send(
                        stream,
                        StreamSide::Gate,
                        &RelayMessage::Refused {
                            attempt,
                            reason: RefusalReason::WrongService,
                            retry_after: Duration::ZERO,
                            attempts_left: None,
                            load: None,
                        },
                    );
                }
                let body = Vec::new();
                self.links[stream].arriving = Some(ArrivingRequest { request, body });
                self.send(stream, StreamSide::Gate, &RelayMessage::Ready(attempt));
            }
            RelayMessage::Body(body) => {
                if let Some(arriving) = &mut self.links[stream].arriving {
                    arriving.body = body;
                }
            }
            RelayMessage::BodyEnd => {
                self.reach_step(RequestStep::BodyReceived, holder, gate);
                self.accept_relayed(stream, gate);
            }
            _ => {}
        }
    }

    fn accept_relayed(&mut self, stream: usize, gate: usize) {
        let link = &mut self.links[stream];
        let Some(arriving) = link.arriving.clone().filter(|_| !link.broken) else {
            return;
        };
        // The ledger deduplicates filings; other requests are deduplicated here.
        if link.accepted && arriving.request.ticket.is_none() {
            return;
        }
        link.accepted = true;
        let Some(body) = RunResponse::from_bytes(&arriving.body) else {
            return;
        };
        let now = self.queue.now();
        let job = Job {
            attempt: arriving.request.attempt,
            call: body.call,
            filing: body.filing,
            ticket: None,
            home: None,
            arrived: now,
            deadline: now + arriving.request.time_left,
            tried: Vec::new(),
            retries: 2,
            reply: ReplyTo::Stream(stream),
            phase: JobPhase::New,
        };
        let Some(key) = arriving.request.ticket else {
            return self.start_job(gate, job);
        };
        match RequestTicket::open(&key, &self.agents[gate].keys) {
            Ok(ticket) => self.submit_at_home(gate, &ticket, job),
            Err(_) => self.reply(gate, job.reply, job.attempt, &JobOutcome::Unknown),
        }
    }

    /// Handles a stream that the holder closed: removes its requests from the gate's queue and
    /// cancels those that run.
    pub(crate) fn gate_stream_broken(&mut self, agent: usize, stream: usize) {
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        let jobs = local.jobs.iter();
        let ids: Vec<(u64, AttemptId, JobPhase)> = jobs
            .filter(|(_, job)| job.reply == ReplyTo::Stream(stream))
            .map(|(id, job)| (*id, job.attempt, job.phase.clone()))
            .collect();
        for (id, attempt, phase) in ids {
            match phase {
                JobPhase::Queued => {
                    self.agents[agent].gate.cancel_queued(attempt, now);
                    self.agents[agent].jobs.remove(&id);
                }
                _ => self.cancel_run(agent, id),
            }
        }
    }

    pub(crate) fn reply_to_stream(
        &mut self,
        stream: usize,
        attempt: AttemptId,
        outcome: &JobOutcome,
    ) {
        let from = StreamSide::Gate;
        match outcome {
            JobOutcome::Responded(body, complete) => {
                let head = RelayHead {
                    attempt,
                    status: 201,
                    headers: SmallVec::new(),
                };
                let (first, rest) = body.split_at(FIRST_CHUNK_BYTES.min(body.len()));
                self.send(stream, from, &RelayMessage::Head(head));
                self.send(stream, from, &RelayMessage::Chunk(first.to_vec()));
                self.send(stream, from, &RelayMessage::Chunk(rest.to_vec()));
                match complete {
                    true => {
                        let load = None;
                        self.send(stream, from, &RelayMessage::End { attempt, load });
                    }
                    false => self.break_stream(stream),
                }
            }
            JobOutcome::NotRun(reason, retry_after) => {
                let refused = RelayMessage::Refused {
                    attempt,
                    reason: *reason,
                    retry_after: *retry_after,
                    attempts_left: None,
                    load: None,
                };
                self.send(stream, from, &refused);
            }
            JobOutcome::Unknown => self.send(stream, from, &RelayMessage::Lost(attempt)),
        }
    }
}
