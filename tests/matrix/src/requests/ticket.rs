//! Filings: at home by the ledger, or on their way there.

use lovagelatch_domain::{AttemptId, Moment, RefusalReason};
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{LedgerOutcome, LedgerVerdict, StoredAnswer};
use std::time::Duration;

use super::job::{Job, JobEnd, ReplyTo};
use super::world::{RequestEvent, RequestWorld};

/// How long after its deadline an attempt waits for the run's own end.
const END_WAIT: Duration = Duration::from_millis(10);

/// An attempt that waits for the end of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FilingWaiter {
    pub(crate) attempt: AttemptId,
    pub(crate) reply: ReplyTo,
}

pub(crate) fn seconds(now: Moment) -> u64 {
    1_000 + now.as_micros() / 1_000_000
}

impl RequestWorld {
    /// A filing that came to its holder from the caller.
    pub(crate) fn file(&mut self, agent: usize, mut job: Job) {
        let key = job.ticket.clone().unwrap_or_default();
        let own = &self.agents[agent];
        let Ok(ticket) = RequestTicket::open(&key, &own.keys) else {
            let end = match self.mechanisms.unread_is_unknown {
                true => JobEnd::Unknown,
                false => JobEnd::NotRun(RefusalReason::TicketNeeded, Duration::ZERO),
            };
            return self.reply(agent, job.reply, job.attempt, &end);
        };
        if !self.mechanisms.ledger {
            job.ticket = None;
            return self.start_job(agent, job);
        }
        let here =
            ticket.home == own.address || own.ledger.answers_for(ticket.home, ticket.incarnation);
        if here {
            return self.file_here(agent, &ticket, job);
        }
        job.home = Some(ticket.home);
        self.start_job(agent, job);
    }

    /// A filing at the agent whose ledger decides.
    pub(crate) fn file_here(&mut self, agent: usize, ticket: &RequestTicket, mut job: Job) {
        let now = self.queue.now();
        let own = &mut self.agents[agent];
        let verdict = own.ledger.offer(ticket, job.attempt, seconds(now));
        let waiter = FilingWaiter {
            attempt: job.attempt,
            reply: job.reply,
        };
        let limit = (job.deadline + END_WAIT).since(now).as_millis();
        let limit = u64::try_from(limit).unwrap_or(0);
        let end = match verdict {
            LedgerVerdict::Run => {
                own.waiters.insert(job.attempt, vec![waiter]);
                self.wait_timer(agent, job.attempt, waiter, limit);
                job.reply = ReplyTo::Filing;
                job.ticket = None;
                return self.start_job(agent, job);
            }
            LedgerVerdict::Join(first) => {
                if let Some(waiters) = own.waiters.get_mut(&first) {
                    waiters.push(waiter);
                    return self.wait_timer(agent, first, waiter, limit);
                }
                JobEnd::Unknown
            }
            LedgerVerdict::Replay(stored) => JobEnd::Answered(stored.body.clone(), true),
            LedgerVerdict::NeverRun | LedgerVerdict::HandedOver => {
                JobEnd::NotRun(RefusalReason::TicketNeeded, Duration::ZERO)
            }
            LedgerVerdict::Full { retry_after } => JobEnd::NotRun(RefusalReason::Full, retry_after),
            LedgerVerdict::Unknown
            | LedgerVerdict::Expired
            | LedgerVerdict::OtherHome(_)
            | LedgerVerdict::AttemptReused => JobEnd::Unknown,
        };
        self.reply(agent, waiter.reply, waiter.attempt, &end);
    }

    fn wait_timer(&mut self, agent: usize, run: AttemptId, waiter: FilingWaiter, limit: u64) {
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
            self.reply(agent, waiter.reply, waiter.attempt, &JobEnd::Unknown);
        }
    }

    /// The run of a filing has ended: the ledger first, then all who wait.
    pub(crate) fn end_filing(&mut self, agent: usize, attempt: AttemptId, end: JobEnd) {
        let record = match &end {
            JobEnd::Answered(body, true) => {
                LedgerOutcome::Done(StoredAnswer::new(201, body.clone()))
            }
            JobEnd::NotRun(..) => LedgerOutcome::NotRun,
            JobEnd::Answered(_, false) | JobEnd::Unknown => LedgerOutcome::Unknown,
        };
        let end = match end {
            JobEnd::Answered(_, false) => JobEnd::Unknown,
            end => end,
        };
        let now = seconds(self.queue.now());
        let own = &mut self.agents[agent];
        own.ledger.finish(attempt, record, now);
        for waiter in own.waiters.remove(&attempt).unwrap_or_default() {
            self.reply(agent, waiter.reply, waiter.attempt, &end);
        }
    }
}
