//! Handing tickets out.

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

/// Where a caller fetches a ticket.
pub(crate) const TICKET_PATH: &str = "/.well-known/lovagelatch/ticket";

/// The longest answer with a ticket, in bytes.
const MAX_TICKET_BYTES: usize = 1024;

/// When to come back for a ticket to a service whose agent leaves.
const LEAVING_RETRY: Duration = Duration::from_millis(500);

impl Agent {
    /// A fresh sealed ticket whose home is this agent; `None` while it leaves, since its ledger
    /// would be gone before the ticket is used.
    pub(crate) fn new_ticket(&self) -> Option<String> {
        if self.drain.is_leaving() {
            return None;
        }
        let ticket = self.once.issue(self.service);
        Some(ticket.seal(&self.keys.load()))
    }

    /// A fresh ticket as an answer to a peer.
    pub(crate) fn answer_ticket(&self) -> AttemptOutcome {
        match self.new_ticket() {
            Some(ticket) => AttemptOutcome::Answered(ticket_answer(&ticket)),
            None => AttemptOutcome::NotRun(leaving()),
        }
    }

    /// A fresh ticket for a caller: the agent's own, or a peer's while this agent leaves.
    pub(crate) async fn fetch_ticket(
        self: &Arc<Self>,
        request: &CallerRequest,
    ) -> Result<String, Refusal> {
        if let Some(ticket) = self.new_ticket() {
            return Ok(ticket);
        }
        match self.dispatch(request, new_attempt()).await {
            AttemptOutcome::Answered(mut answer) => {
                let body = answer.body.collect(MAX_TICKET_BYTES).await;
                let issued = body
                    .ok()
                    .and_then(|body| serde_json::from_slice(&body).ok());
                issued
                    .map(|issued: IssuedTicket| issued.ticket)
                    .ok_or(leaving())
            }
            AttemptOutcome::NotRun(refusal) => Err(refusal),
            AttemptOutcome::Unknown => Err(leaving()),
        }
    }
}

/// The body of an answer with a ticket.
#[derive(Debug, Serialize, Deserialize)]
struct IssuedTicket {
    ticket: String,
}

/// An answer that hands a ticket out.
pub(crate) fn ticket_answer(ticket: &str) -> AttemptResponse {
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

fn leaving() -> Refusal {
    Refusal::new(RefusalReason::Leaving, LEAVING_RETRY)
}
