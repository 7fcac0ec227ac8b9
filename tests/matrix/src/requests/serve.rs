//! The gate's side of a relay stream.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_keys::RequestTicket;
use lovagelatch_wire::{RelayHead, RelayMessage};
use smallvec::SmallVec;

use super::RequestStep;
use super::job::{Job, JobEnd, JobPhase, ReplyTo, RunAnswer};
use super::relay::{Arriving, StreamSide, service_id};
use super::world::RequestWorld;

/// Bytes of an answer in its first chunk; the rest follows.
const FIRST_CHUNK: usize = 10;

impl RequestWorld {
    pub(crate) fn at_gate(
        &mut self,
        stream: usize,
        holder: usize,
        gate: usize,
        message: RelayMessage,
    ) {
        match message {
            RelayMessage::Request(request) => {
                self.reach(RequestStep::Relayed, holder, gate);
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
                self.links[stream].arriving = Some(Arriving { request, body });
                self.send(stream, StreamSide::Gate, &RelayMessage::Ready(attempt));
            }
            RelayMessage::Body(piece) => {
                if let Some(arriving) = &mut self.links[stream].arriving {
                    arriving.body = piece;
                }
            }
            RelayMessage::BodyEnd => {
                self.reach(RequestStep::HandedOver, holder, gate);
                self.take_relayed(stream, gate);
            }
            _ => {}
        }
    }

    fn take_relayed(&mut self, stream: usize, gate: usize) {
        let link = &mut self.links[stream];
        let Some(arriving) = link.arriving.clone().filter(|_| !link.broken) else {
            return;
        };
        // A filing that comes twice is the ledger's to judge; anything else the gate's.
        if link.taken && arriving.request.ticket.is_none() {
            return;
        }
        link.taken = true;
        let Some(body) = RunAnswer::from_bytes(&arriving.body) else {
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
            Ok(ticket) => self.file_here(gate, &ticket, job),
            Err(_) => self.reply(gate, job.reply, job.attempt, &JobEnd::Unknown),
        }
    }

    /// The holder gave up: what waits is withdrawn, what runs is cancelled.
    pub(crate) fn gate_cut(&mut self, agent: usize, stream: usize) {
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        let jobs = own.jobs.iter();
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
                _ => self.give_up(agent, id),
            }
        }
    }

    pub(crate) fn answer_stream(&mut self, stream: usize, attempt: AttemptId, end: &JobEnd) {
        let from = StreamSide::Gate;
        match end {
            JobEnd::Answered(body, whole) => {
                let head = RelayHead {
                    attempt,
                    status: 201,
                    headers: SmallVec::new(),
                };
                let (first, rest) = body.split_at(FIRST_CHUNK.min(body.len()));
                self.send(stream, from, &RelayMessage::Head(head));
                self.send(stream, from, &RelayMessage::Chunk(first.to_vec()));
                self.send(stream, from, &RelayMessage::Chunk(rest.to_vec()));
                match whole {
                    true => {
                        let load = None;
                        self.send(stream, from, &RelayMessage::End { attempt, load });
                    }
                    false => self.break_stream(stream),
                }
            }
            JobEnd::NotRun(reason, retry_after) => {
                let refused = RelayMessage::Refused {
                    attempt,
                    reason: *reason,
                    retry_after: *retry_after,
                    attempts_left: None,
                    load: None,
                };
                self.send(stream, from, &refused);
            }
            JobEnd::Unknown => self.send(stream, from, &RelayMessage::Lost(attempt)),
        }
    }
}
