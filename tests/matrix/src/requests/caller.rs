//! Callers: calls with their own timeout; filings that are tried again and concurrently.

use std::time::Duration;

use lovagelatch_domain::RefusalReason;
use lovagelatch_history::{CallerRecord, ObservedOutcome, RequestEnd, RequestKind, ResponseFlaw};

use super::backend::millis;
use super::job::{JobEnd, RunAnswer};
use super::world::{RequestEvent, RequestWorld};

/// Most tries of one filing.
const MOST_TRIES: u32 = 7;

/// One try of something that a caller wants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) filing: Option<u64>,
    pub(crate) ended: bool,
}

/// Something that must run at most once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filing {
    pub(crate) ticket: Option<String>,
    pub(crate) tries: u32,
    /// Tries under way.
    pub(crate) open: u32,
    /// It was told that it needs a fresh ticket. It takes one when no try with the old one is
    /// under way: an end of such a try would speak of the old ticket alone.
    pub(crate) needs_ticket: bool,
    pub(crate) done: bool,
}

impl RequestWorld {
    /// A new call, as the callers' history has it.
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

    /// One more try of a filing.
    pub(crate) fn try_filing(&mut self, filing: u64) {
        let held = &mut self.filings[usize::try_from(filing).unwrap_or(0)];
        if held.done || held.needs_ticket || held.tries >= MOST_TRIES {
            return;
        }
        let Some(ticket) = held.ticket.clone() else {
            return;
        };
        held.tries += 1;
        held.open += 1;
        let call = self.new_call(Some(filing));
        self.send_call(call, Some(ticket));
    }

    /// The caller hears of an end, or assumes it.
    pub(crate) fn told(&mut self, call: u64, end: &JobEnd) {
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
        match end {
            JobEnd::Answered(body, whole) => self.read_answer(&mut seen, call, body, *whole),
            JobEnd::NotRun(reason, _) => {
                seen.outcome = ObservedOutcome::NotRun;
                seen.reason = Some(format!("{reason:?}"));
            }
            JobEnd::Unknown => {}
        }
        let outcome = seen.outcome;
        self.history.callers.push(CallerRecord::RequestEnded {
            request: call.to_string(),
            time_ms: millis(self.queue.now()),
            end: seen,
        });
        if let Some(filing) = filing {
            self.go_on(filing, outcome, end);
        }
    }

    fn read_answer(&self, seen: &mut RequestEnd, call: u64, body: &[u8], whole: bool) {
        seen.status = 201;
        let answer = RunAnswer::from_bytes(body);
        let Some(answer) = answer.filter(|_| whole) else {
            // The caller knows the length that was announced.
            seen.flaw = Some(match whole {
                true => ResponseFlaw::CutClean,
                false => ResponseFlaw::BrokeOff,
            });
            return;
        };
        seen.outcome = ObservedOutcome::Done;
        if answer.call != call {
            seen.answered_for = Some(answer.call.to_string());
        }
    }

    /// What a caller does about its filing after one try of it has ended.
    fn go_on(&mut self, filing: u64, outcome: ObservedOutcome, end: &JobEnd) {
        let held = &mut self.filings[usize::try_from(filing).unwrap_or(0)];
        let pause = 50 + 70 * u64::from(held.tries);
        held.open -= 1;
        held.done |= outcome == ObservedOutcome::Done;
        let fresh = JobEnd::NotRun(RefusalReason::TicketNeeded, Duration::ZERO);
        held.needs_ticket |= *end == fresh;
        if held.done {
            return;
        }
        if !held.needs_ticket {
            self.queue.push(pause, RequestEvent::TryFiling(filing));
        } else if held.open == 0 {
            held.needs_ticket = false;
            held.ticket = None;
            self.queue.push(pause, RequestEvent::AskTicket(filing));
        }
    }
}
