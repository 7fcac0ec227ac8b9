//! Filings: the ledger of their home decides on them; other agents relay them to the home.

use lovagelatch_domain::{AttemptId, Moment, RefusalReason};
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{LedgerOutcome, LedgerVerdict, StoredAnswer};
use std::time::Duration;

use super::job::{Job, JobOutcome, ReplyTo};
use super::world::{RequestEvent, RequestWorld};

/// How long after its deadline an attempt still waits for its run to end.
const RUN_END_GRACE: Duration = Duration::from_millis(10);

/// An attempt that waits for a run to end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FilingWaiter {
    pub(crate) attempt: AttemptId,
    pub(crate) reply: ReplyTo,
}

pub(crate) fn ledger_seconds(now: Moment) -> u64 {
    1_000 + now.as_micros() / 1_000_000
}

impl RequestWorld {
    /// Handles a filing at its holder: submits it here if this agent's ledger is responsible for
    /// the ticket, otherwise relays it to the home.
    pub(crate) fn submit_once(&mut self, agent: usize, mut job: Job) {
        let key = job.ticket.clone().unwrap_or_default();
        let local = &self.agents[agent];
        let Ok(ticket) = RequestTicket::open(&key, &local.keys) else {
            let outcome = match self.mechanisms.unreadable_is_unknown {
                true => JobOutcome::Unknown,
                false => JobOutcome::NotRun(RefusalReason::TicketNeeded, Duration::ZERO),
            };
            return self.reply(agent, job.reply, job.attempt, &outcome);
        };
        if !self.mechanisms.ledger {
            job.ticket = None;
            return self.start_job(agent, job);
        }
        let here = ticket.home == local.address
            || local.ledger.answers_for(ticket.home, ticket.incarnation);
        if here {
            return self.submit_at_home(agent, &ticket, job);
        }
        job.home = Some(ticket.home);
        self.start_job(agent, job);
    }

    /// Submits a filing to the ledger of this agent, which is responsible for its ticket.
    pub(crate) fn submit_at_home(&mut self, agent: usize, ticket: &RequestTicket, mut job: Job) {
        let now = self.queue.now();
        let local = &mut self.agents[agent];
        let verdict = local.ledger.offer(ticket, job.attempt, ledger_seconds(now));
        let waiter = FilingWaiter {
            attempt: job.attempt,
            reply: job.reply,
        };
        let limit = (job.deadline + RUN_END_GRACE).since(now).as_millis();
        let limit = u64::try_from(limit).unwrap_or(0);
        let outcome = match verdict {
            LedgerVerdict::Run => {
                local.waiters.insert(job.attempt, vec![waiter]);
                self.start_waiter_timer(agent, job.attempt, waiter, limit);
                job.reply = ReplyTo::Filing;
                job.ticket = None;
                return self.start_job(agent, job);
            }
            LedgerVerdict::Join(first) => {
                if let Some(waiters) = local.waiters.get_mut(&first) {
                    waiters.push(waiter);
                    return self.start_waiter_timer(agent, first, waiter, limit);
                }
                JobOutcome::Unknown
            }
            LedgerVerdict::Replay(stored) => JobOutcome::Responded(stored.body.clone(), true),
            LedgerVerdict::NeverRun | LedgerVerdict::HandedOver => {
                JobOutcome::NotRun(RefusalReason::TicketNeeded, Duration::ZERO)
            }
            LedgerVerdict::Full { retry_after } => {
                JobOutcome::NotRun(RefusalReason::Full, retry_after)
            }
            LedgerVerdict::Unknown
            | LedgerVerdict::Expired
            | LedgerVerdict::OtherHome(_)
            | LedgerVerdict::AttemptReused => JobOutcome::Unknown,
        };
        self.reply(agent, waiter.reply, waiter.attempt, &outcome);
    }

    fn start_waiter_timer(
        &mut self,
        agent: usize,
        run: AttemptId,
        waiter: FilingWaiter,
        limit: u64,
    ) {
        let start = self.agents[agent].start;
        let event = RequestEvent::WaiterTimeout(agent, start, run, waiter.attempt);
        self.queue.push(limit, event);
    }

    pub(crate) fn waiter_timeout(&mut self, agent: usize, run: AttemptId, attempt: AttemptId) {
        let Some(waiters) = self.agents[agent].waiters.get_mut(&run) else {
            return;
        };
        let late = waiters.iter().position(|waiter| waiter.attempt == attempt);
        if let Some(late) = late {
            let waiter = waiters.remove(late);
            self.reply(agent, waiter.reply, waiter.attempt, &JobOutcome::Unknown);
        }
    }

    /// Ends the run of a filing: records the outcome in the ledger first, then sends it to all
    /// waiters.
    pub(crate) fn finish_filing(&mut self, agent: usize, attempt: AttemptId, outcome: JobOutcome) {
        let record = match &outcome {
            JobOutcome::Responded(body, true) => {
                LedgerOutcome::Done(StoredAnswer::new(201, body.clone()))
            }
            JobOutcome::NotRun(..) => LedgerOutcome::NotRun,
            JobOutcome::Responded(_, false) | JobOutcome::Unknown => LedgerOutcome::Unknown,
        };
        let outcome = match outcome {
            JobOutcome::Responded(_, false) => JobOutcome::Unknown,
            outcome => outcome,
        };
        let now = ledger_seconds(self.queue.now());
        let local = &mut self.agents[agent];
        local.ledger.finish(attempt, record, now);
        for waiter in local.waiters.remove(&attempt).unwrap_or_default() {
            self.reply(agent, waiter.reply, waiter.attempt, &outcome);
        }
    }
}
