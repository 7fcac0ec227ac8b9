//! Simulated callers: calls with a timeout, and filings that are submitted repeatedly and
//! concurrently.

use std::time::Duration;

use lovagelatch_domain::RefusalReason;
use lovagelatch_history::{CallerRecord, ObservedOutcome, RequestEnd, RequestKind, ResponseFlaw};

use super::backend::millis;
use super::job::{JobOutcome, RunResponse};
use super::world::{RequestEvent, RequestWorld};

/// The maximum number of submissions of one filing.
const MAX_SUBMISSIONS: u32 = 7;

/// One plain request, or one submission of a filing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) filing: Option<u64>,
    pub(crate) ended: bool,
}

/// A filing, which must run at most once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filing {
    pub(crate) ticket: Option<String>,
    pub(crate) submissions: u32,
    /// Submissions in flight.
    pub(crate) in_flight: u32,
    /// Whether a refusal asked for a new ticket. It is fetched once no submission with the old
    /// ticket is in flight, because the outcome of such a submission concerns the old ticket only.
    pub(crate) needs_ticket: bool,
    pub(crate) done: bool,
}

impl RequestWorld {
    /// Creates a call and records it in the callers' history.
    pub(crate) fn new_call(&mut self, filing: Option<u64>) -> u64 {
        let call = self.calls.len() as u64;
        self.calls.push(Call {
            filing,
            ended: false,
        });
        let time_ms = millis(self.queue.now());
        self.history.callers.push(CallerRecord::RequestSent {
            request: call.to_string(),
            time_ms,
            arrived_ms: time_ms,
            flow: call,
            service: "claims".to_owned(),
            agency: None,
            kind: match filing {
                Some(_) => RequestKind::Filing,
                None => RequestKind::Status,
            },
            filing: filing.map(|filing| filing.to_string()),
            work_ms: 0,
        });
        call
    }

    /// Submits a filing once more.
    pub(crate) fn submit_filing(&mut self, filing: u64) {
        let state = &mut self.filings[usize::try_from(filing).unwrap_or(0)];
        if state.done || state.needs_ticket || state.submissions >= MAX_SUBMISSIONS {
            return;
        }
        let Some(ticket) = state.ticket.clone() else {
            return;
        };
        state.submissions += 1;
        state.in_flight += 1;
        let call = self.new_call(Some(filing));
        self.send_call(call, Some(ticket));
    }

    /// Ends a call with the outcome that the caller received or assumes.
    pub(crate) fn complete_call(&mut self, call: u64, job_outcome: &JobOutcome) {
        let index = usize::try_from(call).unwrap_or(0);
        if std::mem::replace(&mut self.calls[index].ended, true) {
            return;
        }
        let filing = self.calls[index].filing;
        let mut seen = RequestEnd {
            outcome: ObservedOutcome::Unknown,
            status: 0,
            flaw: None,
            answered_for: None,
            agent: None,
            reason: None,
        };
        match job_outcome {
            JobOutcome::Responded(body, complete) => {
                self.read_response(&mut seen, call, body, *complete);
            }
            JobOutcome::NotRun(reason, _) => {
                seen.outcome = ObservedOutcome::NotRun;
                seen.reason = Some(format!("{reason:?}"));
            }
            JobOutcome::Unknown => {}
        }
        let outcome = seen.outcome;
        self.history.callers.push(CallerRecord::RequestEnded {
            request: call.to_string(),
            time_ms: millis(self.queue.now()),
            end: seen,
        });
        if let Some(filing) = filing {
            self.continue_filing(filing, outcome, job_outcome);
        }
    }

    fn read_response(&self, seen: &mut RequestEnd, call: u64, body: &[u8], complete: bool) {
        seen.status = 201;
        let response = RunResponse::from_bytes(body);
        let Some(response) = response.filter(|_| complete) else {
            // The caller knows the announced length of the response.
            seen.flaw = Some(match complete {
                true => ResponseFlaw::CutClean,
                false => ResponseFlaw::BrokeOff,
            });
            return;
        };
        seen.outcome = ObservedOutcome::Done;
        if response.call != call {
            seen.answered_for = Some(response.call.to_string());
        }
    }

    /// Schedules what a caller does about its filing after a submission of it has ended.
    fn continue_filing(&mut self, filing: u64, outcome: ObservedOutcome, job_outcome: &JobOutcome) {
        let state = &mut self.filings[usize::try_from(filing).unwrap_or(0)];
        let backoff_ms = 50 + 70 * u64::from(state.submissions);
        state.in_flight -= 1;
        state.done |= outcome == ObservedOutcome::Done;
        let needs_ticket = JobOutcome::NotRun(RefusalReason::TicketNeeded, Duration::ZERO);
        state.needs_ticket |= *job_outcome == needs_ticket;
        if state.done {
            return;
        }
        if !state.needs_ticket {
            self.queue
                .push(backoff_ms, RequestEvent::SubmitFiling(filing));
        } else if state.in_flight == 0 {
            state.needs_ticket = false;
            state.ticket = None;
            self.queue
                .push(backoff_ms, RequestEvent::FetchTicket(filing));
        }
    }
}
