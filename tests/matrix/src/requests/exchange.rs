//! An agent's exchanges with its local backend server: sending, cancelling, the response.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_placement::SlotOutcome;

use super::RequestStep;
use super::job::{JobOutcome, JobPhase, RunResponse};
use super::world::{RequestEvent, RequestWorld};

/// The retry delay for refusals that involve the local backend server.
const BACKEND_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestWorld {
    pub(crate) fn send_to_backend(&mut self, agent: usize, id: u64) {
        let now = self.queue.now();
        let start = self.agents[agent].start;
        let Some(job) = self.agents[agent].jobs.get_mut(&id) else {
            return;
        };
        let backend = self.local_backends[agent];
        job.phase = JobPhase::Running {
            backend,
            cancelling: false,
        };
        let (attempt, call, filing) = (job.attempt, job.call, job.filing);
        let limit = job.time_left(now).saturating_sub(job.cancel_reserve());
        let limit = u64::try_from(limit.as_millis()).unwrap_or(0);
        if !self.backends[self.local_backends[agent]].running {
            self.release_slot(agent, attempt, SlotOutcome::Lost);
            let address = self.agents[agent].address;
            return self.handle_refusal(
                agent,
                id,
                address,
                RefusalReason::NoTarget,
                BACKEND_RETRY_AFTER,
            );
        }
        let delay = 1 + self.backend_delay_ms;
        let backend = self.local_backends[agent];
        let arrival = RequestEvent::DeliverToBackend {
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
            .push(limit, RequestEvent::CancelRun(agent, start, id));
    }

    /// Kills the local backend server; all connections to it break.
    pub(crate) fn kill_backend(&mut self, agent: usize) {
        let killed = self.local_backends[agent];
        self.backends[killed].running = false;
        let local = &self.agents[agent];
        let running = local.jobs.iter().filter(
            |(_, job)| matches!(job.phase, JobPhase::Running { backend, .. } if backend == killed),
        );
        let interrupted: Vec<u64> = running.map(|(id, _)| *id).collect();
        for id in interrupted {
            let event = RequestEvent::DeliverResponse(agent, local.start, id, None);
            self.queue.push(1, event);
        }
    }

    /// Asks the backend server to cancel a run, because its response did not arrive in time or its
    /// caller is gone.
    pub(crate) fn cancel_run(&mut self, agent: usize, id: u64) {
        let local = &mut self.agents[agent];
        let Some(job) = local.jobs.get_mut(&id) else {
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
        let limit = u64::try_from(job.cancel_reserve().as_millis()).unwrap_or(0);
        let start = local.start;
        let timeout = RequestEvent::CancelOutcome(agent, start, id, None);
        self.queue.push(limit, timeout);
        if !self.drop_cancels {
            let backend = self.local_backends[agent];
            let event = RequestEvent::DeliverCancel(backend, agent, start, id, attempt);
            self.queue.push(2, event);
        }
    }

    pub(crate) fn handle_cancel_outcome(&mut self, agent: usize, id: u64, by: Option<usize>) {
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
        let confirmed = by.is_some_and(|by| by == backend || !self.mechanisms.same_server_cancel);
        self.release_slot(agent, attempt, SlotOutcome::Lost);
        let outcome = match confirmed || !self.mechanisms.confirmed_cancel {
            true => JobOutcome::NotRun(RefusalReason::TooLate, BACKEND_RETRY_AFTER),
            false => JobOutcome::Unknown,
        };
        match outcome {
            JobOutcome::NotRun(reason, retry_after) => {
                let address = self.agents[agent].address;
                self.handle_refusal(agent, id, address, reason, retry_after);
            }
            outcome => self.finish_job(agent, id, outcome),
        }
    }

    /// Handles the response of the backend server; `None` if the connection broke, an inner `None`
    /// if the request was shed.
    pub(crate) fn handle_backend_response(
        &mut self,
        agent: usize,
        id: u64,
        response: Option<(AttemptId, Option<RunResponse>)>,
    ) {
        let Some(job) = self.agents[agent].jobs.get(&id) else {
            return;
        };
        if !matches!(job.phase, JobPhase::Running { .. }) {
            return;
        }
        let attempt = job.attempt;
        self.reach_step(RequestStep::Responded, agent, agent);
        let attempt_matching = self.mechanisms.attempt_matching;
        match response {
            Some((_, None)) => {
                self.release_slot(agent, attempt, SlotOutcome::Shed);
                let address = self.agents[agent].address;
                self.handle_refusal(agent, id, address, RefusalReason::Shed, BACKEND_RETRY_AFTER);
            }
            Some((named, Some(response))) if named == attempt || !attempt_matching => {
                self.release_slot(agent, attempt, SlotOutcome::Served);
                self.finish_job(agent, id, JobOutcome::Responded(response.to_bytes(), true));
            }
            // The request may have run; the process that now listens there cannot know.
            Some(_) | None if self.mechanisms.same_server_cancel => {
                self.release_slot(agent, attempt, SlotOutcome::Lost);
                self.finish_job(agent, id, JobOutcome::Unknown);
            }
            Some(_) | None => self.cancel_run(agent, id),
        }
    }
}
