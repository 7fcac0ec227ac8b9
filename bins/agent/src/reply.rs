//! What callers are told.

use std::time::Duration;

use http::{HeaderMap, Response, StatusCode, header};
use lovagelatch_domain::{RefusalReason, RequestOutcome};

use crate::backend::text_value;
use crate::exchange::{Answer, Refusal};
use crate::headers;

/// When to ask again with the ticket of a request that ended unknown: about the time in which a
/// cut between two agents is noticed.
const UNKNOWN_RETRY: Duration = Duration::from_secs(2);

/// The fields that every answer carries.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplyTerms {
    /// The agent's name.
    pub(crate) agent: String,
    /// A fresh ticket, for services that have once-only routes.
    pub(crate) ticket: Option<String>,
}

impl ReplyTerms {
    fn add_to(&self, fields: &mut HeaderMap, outcome: &RequestOutcome) {
        fields.insert(headers::OUTCOME, text_value(outcome.header_value()));
        fields.insert(headers::AGENT, text_value(&self.agent));
        if let Some(ticket) = &self.ticket {
            fields.insert(headers::TICKET, text_value(ticket));
        }
    }

    /// The head of a backend server's answer.
    pub(crate) fn done(&self, answer: &Answer) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers.clone();
        self.add_to(response.headers_mut(), &RequestOutcome::Done);
        response
    }

    /// A refusal: proof that nothing ran, and when to come back.
    pub(crate) fn not_run(&self, refusal: Refusal) -> Response<()> {
        let status = match refusal.reason {
            RefusalReason::TicketNeeded => StatusCode::PRECONDITION_REQUIRED,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        self.not_run_with(status, refusal)
    }

    /// A refusal with a status of its own, for requests that are at fault themselves.
    pub(crate) fn not_run_with(&self, status: StatusCode, refusal: Refusal) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = status;
        let retry_after = refusal.retry_after;
        let fields = response.headers_mut();
        add_retry_after(fields, retry_after);
        fields.insert(header::CONTENT_LENGTH, text_value("0"));
        let outcome = RequestOutcome::NotRun {
            reason: refusal.reason,
            retry_after,
        };
        self.add_to(fields, &outcome);
        response
    }

    /// It may have run. `late`: because its deadline passed, not because an answer was lost.
    /// `ticketed`: it carried a ticket, so its caller may ask again with the same one, and is told
    /// when; nothing else that ends unknown is safe to send again.
    pub(crate) fn unknown(&self, late: bool, ticketed: bool) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = if late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        let fields = response.headers_mut();
        if ticketed {
            add_retry_after(fields, UNKNOWN_RETRY);
        }
        fields.insert(header::CONTENT_LENGTH, text_value("0"));
        self.add_to(fields, &RequestOutcome::Unknown);
        response
    }
}

fn add_retry_after(fields: &mut HeaderMap, retry_after: Duration) {
    let seconds = whole_seconds(retry_after).to_string();
    fields.insert(header::RETRY_AFTER, text_value(&seconds));
    let millis = retry_after.as_millis().to_string();
    fields.insert(headers::RETRY_AFTER_MS, text_value(&millis));
}

/// Rounded up, so that nobody comes back too early.
fn whole_seconds(duration: Duration) -> u64 {
    let part = u64::from(duration.subsec_nanos() > 0);
    duration.as_secs() + part
}
