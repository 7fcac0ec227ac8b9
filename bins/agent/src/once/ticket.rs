//! Issues request tickets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use lovagelatch_domain::RefusalReason;
use serde::{Deserialize, Serialize};

use crate::agent::Agent;
use crate::exchange::{
    AttemptOutcome, AttemptResponse, CallerRequest, Refusal, ResponseBody, new_attempt,
};

/// The path at which callers fetch a ticket.
pub(crate) const TICKET_PATH: &str = "/.well-known/lovagelatch/ticket";

/// Largest response with a ticket.
const MAX_TICKET_BYTES: usize = 1024;

/// Retry delay for a ticket while the agent is leaving.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Agent {
    /// Issues a sealed ticket whose home is this agent; `None` while the agent is leaving, because
    /// its ledger would be gone before the ticket is used.
    pub(crate) fn new_ticket(&self) -> Option<String> {
        if self.drain.is_leaving() {
            return None;
        }
        let ticket = self.once.issue(self.service);
        Some(ticket.seal(&self.keys.load()))
    }

    /// Issues a ticket to a peer.
    pub(crate) fn issue_peer_ticket(&self) -> AttemptOutcome {
        match self.new_ticket() {
            Some(ticket) => AttemptOutcome::Answered(ticket_response(&ticket)),
            None => AttemptOutcome::NotRun(leaving_refusal()),
        }
    }

    /// Returns a ticket for a caller: the agent's own, or a peer's while this agent is leaving.
    pub(crate) async fn fetch_ticket(
        self: &Arc<Self>,
        request: &CallerRequest,
    ) -> Result<String, Refusal> {
        if let Some(ticket) = self.new_ticket() {
            return Ok(ticket);
        }
        match self.dispatch(request, new_attempt()).await {
            AttemptOutcome::Answered(mut response) => {
                let body = response.body.collect(MAX_TICKET_BYTES).await;
                let issued = body
                    .ok()
                    .and_then(|body| serde_json::from_slice(&body).ok());
                issued
                    .map(|issued: IssuedTicket| issued.ticket)
                    .ok_or(leaving_refusal())
            }
            AttemptOutcome::NotRun(refusal) => Err(refusal),
            AttemptOutcome::Unknown => Err(leaving_refusal()),
        }
    }
}

/// The JSON body of a response with a ticket.
#[derive(Debug, Serialize, Deserialize)]
struct IssuedTicket {
    ticket: String,
}

/// Builds a response with a ticket, which must not be cached.
pub(crate) fn ticket_response(ticket: &str) -> AttemptResponse {
    let issued = IssuedTicket {
        ticket: ticket.to_owned(),
    };
    let body = serde_json::to_vec(&issued).unwrap_or_default();
    let mut fields = HeaderMap::new();
    fields.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let json = HeaderValue::from_static("application/json");
    fields.insert(header::CONTENT_TYPE, json);
    fields.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    AttemptResponse {
        status: StatusCode::OK,
        headers: fields,
        body: ResponseBody::Buffered(Some(Bytes::from(body))),
    }
}

fn leaving_refusal() -> Refusal {
    Refusal::new(RefusalReason::Leaving, LEAVING_RETRY_AFTER)
}
