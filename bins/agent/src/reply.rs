//! Builds the heads of responses to callers.

use std::time::Duration;

use http::{HeaderMap, Response, StatusCode, header};
use lovagelatch_domain::{RefusalReason, RequestOutcome};

use crate::backend::to_header_value;
use crate::exchange::{AttemptResponse, Refusal};
use crate::headers;

/// Retry-after for a request with a ticket that ended unknown: about the time it takes to detect
/// a network partition between two agents.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Values of the header fields that every response carries.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplyContext {
    /// The agent's name, for the agent field.
    pub(crate) agent: String,
    /// A new ticket, for services that have once-only routes.
    pub(crate) ticket: Option<String>,
}

impl ReplyContext {
    fn add_to(&self, fields: &mut HeaderMap, outcome: &RequestOutcome) {
        fields.insert(headers::OUTCOME, to_header_value(outcome.header_value()));
        fields.insert(headers::AGENT, to_header_value(&self.agent));
        if let Some(ticket) = &self.ticket {
            fields.insert(headers::TICKET, to_header_value(ticket));
        }
    }

    /// The head of a backend server's response.
    pub(crate) fn done(&self, received: &AttemptResponse) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = received.status;
        *response.headers_mut() = received.headers.clone();
        self.add_to(response.headers_mut(), &RequestOutcome::Done);
        response
    }

    /// A refusal: proof that nothing ran, with a retry-after.
    pub(crate) fn not_run(&self, refusal: Refusal) -> Response<()> {
        let status = match refusal.reason {
            RefusalReason::TicketNeeded => StatusCode::PRECONDITION_REQUIRED,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        self.not_run_with(status, refusal)
    }

    /// A refusal with an explicit status, for invalid requests.
    pub(crate) fn not_run_with(&self, status: StatusCode, refusal: Refusal) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = status;
        let retry_after = refusal.retry_after;
        let fields = response.headers_mut();
        add_retry_after(fields, retry_after);
        fields.insert(header::CONTENT_LENGTH, to_header_value("0"));
        let outcome = RequestOutcome::NotRun {
            reason: refusal.reason,
            retry_after,
        };
        self.add_to(fields, &outcome);
        response
    }

    /// The request may have run. `late`: its deadline passed, rather than a response being lost.
    /// `ticketed`: it carried a ticket, so the caller may safely retry with the same one and gets a
    /// retry-after. Without a ticket a retry after an unknown outcome is not safe.
    pub(crate) fn unknown(&self, late: bool, ticketed: bool) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = if late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        let fields = response.headers_mut();
        if ticketed {
            add_retry_after(fields, UNKNOWN_RETRY_AFTER);
        }
        fields.insert(header::CONTENT_LENGTH, to_header_value("0"));
        self.add_to(fields, &RequestOutcome::Unknown);
        response
    }
}

fn add_retry_after(fields: &mut HeaderMap, retry_after: Duration) {
    let seconds = ceil_seconds(retry_after).to_string();
    fields.insert(header::RETRY_AFTER, to_header_value(&seconds));
    let millis = retry_after.as_millis().to_string();
    fields.insert(headers::RETRY_AFTER_MS, to_header_value(&millis));
}

/// Rounds up, so that callers do not retry too early.
fn ceil_seconds(duration: Duration) -> u64 {
    let fraction = u64::from(duration.subsec_nanos() > 0);
    duration.as_secs() + fraction
}
