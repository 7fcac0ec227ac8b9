//! An agent's exchange with its own backend server: handing over, cancelling, the answer.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_placement::SlotOutcome;

use super::RequestStep;
use super::job::{JobEnd, JobPhase, RunAnswer};
use super::world::{RequestEvent, RequestWorld};

/// When to come back to a backend server that cannot be reached.
const UNREACHED_RETRY: Duration = Duration::from_secs(1);

impl RequestWorld {
    pub(crate) fn hand_to_backend(&mut self, agent: usize, id: u64) {
        let now = self.queue.now();
        let start = self.agents[agent].start;
        let Some(job) = self.agents[agent].jobs.get_mut(&id) else {
            return;
        };
        let backend = self.beside[agent];
        job.phase = JobPhase::Running {
            backend,
            cancelling: false,
        };
        let (attempt, call, filing) = (job.attempt, job.call, job.filing);
        let limit = job.time_left(now).saturating_sub(job.reserve());
        let limit = u64::try_from(limit.as_millis()).unwrap_or(0);
        if !self.backends[self.beside[agent]].running {
            self.free_slot(agent, attempt, SlotOutcome::Lost);
            let address = self.agents[agent].address;
            return self.refused(agent, id, address, RefusalReason::NoTarget, UNREACHED_RETRY);
        }
        let delay = 1 + self.late_handover;
        let backend = self.beside[agent];
        let arrival = RequestEvent::AtBackend {
            backend,
            agent,
            start,
            id,
            attempt,
            call,
            filing,
        };
        self.queue.push(delay, arrival);
        self.queue
            .push(limit, RequestEvent::GiveUp(agent, start, id));
    }

    /// The backend server's end breaks all connections to it.
    pub(crate) fn kill_backend(&mut self, agent: usize) {
        let killed = self.beside[agent];
        self.backends[killed].running = false;
        let own = &self.agents[agent];
        let at_it = own.jobs.iter().filter(
            |(_, job)| matches!(job.phase, JobPhase::Running { backend, .. } if backend == killed),
        );
        let lost: Vec<u64> = at_it.map(|(id, _)| *id).collect();
        for id in lost {
            let event = RequestEvent::FromBackend(agent, own.start, id, None);
            self.queue.push(1, event);
        }
    }

    /// The time for an answer is over: ask the backend server to cancel.
    pub(crate) fn give_up(&mut self, agent: usize, id: u64) {
        let own = &mut self.agents[agent];
        let Some(job) = own.jobs.get_mut(&id) else {
            return;
        };
        let JobPhase::Running {
            backend,
            cancelling: false,
        } = job.phase
        else {
            return;
        };
        job.phase = JobPhase::Running {
            backend,
            cancelling: true,
        };
        let attempt = job.attempt;
        let limit = u64::try_from(job.reserve().as_millis()).unwrap_or(0);
        let start = own.start;
        let timeout = RequestEvent::CancelEnd(agent, start, id, None);
        self.queue.push(limit, timeout);
        if !self.lost_cancels {
            let backend = self.beside[agent];
            let event = RequestEvent::CancelAt(backend, agent, start, id, attempt);
            self.queue.push(2, event);
        }
    }

    pub(crate) fn cancel_ended(&mut self, agent: usize, id: u64, by: Option<usize>) {
        let Some(job) = self.agents[agent].jobs.get(&id) else {
            return;
        };
        let JobPhase::Running {
            backend,
            cancelling: true,
        } = job.phase
        else {
            return;
        };
        let attempt = job.attempt;
        let confirmed = by.is_some_and(|by| by == backend || !self.mechanisms.same_server);
        self.free_slot(agent, attempt, SlotOutcome::Lost);
        let end = match confirmed || !self.mechanisms.cancel_proof {
            true => JobEnd::NotRun(RefusalReason::TooLate, UNREACHED_RETRY),
            false => JobEnd::Unknown,
        };
        match end {
            JobEnd::NotRun(reason, retry_after) => {
                let address = self.agents[agent].address;
                self.refused(agent, id, address, reason, retry_after);
            }
            end => self.end_job(agent, id, end),
        }
    }

    /// What came back from the backend server; `None`: the connection broke.
    pub(crate) fn backend_answered(
        &mut self,
        agent: usize,
        id: u64,
        answer: Option<(AttemptId, Option<RunAnswer>)>,
    ) {
        let Some(job) = self.agents[agent].jobs.get(&id) else {
            return;
        };
        if !matches!(job.phase, JobPhase::Running { .. }) {
            return;
        }
        let attempt = job.attempt;
        self.reach(RequestStep::Answered, agent, agent);
        let matching = self.mechanisms.matching;
        match answer {
            Some((_, None)) => {
                self.free_slot(agent, attempt, SlotOutcome::Shed);
                let address = self.agents[agent].address;
                self.refused(agent, id, address, RefusalReason::Shed, UNREACHED_RETRY);
            }
            Some((named, Some(answer))) if named == attempt || !matching => {
                self.free_slot(agent, attempt, SlotOutcome::Served);
                self.end_job(agent, id, JobEnd::Answered(answer.to_bytes(), true));
            }
            // The request may have run; whoever listens there now cannot tell.
            Some(_) | None if self.mechanisms.same_server => {
                self.free_slot(agent, attempt, SlotOutcome::Lost);
                self.end_job(agent, id, JobEnd::Unknown);
            }
            Some(_) | None => self.give_up(agent, id),
        }
    }
}
