//! Executes a once-only request here or at the home that its ticket names.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use lovagelatch_domain::{AgentAddress, AttemptId, RefusalReason};
use lovagelatch_keys::{RequestTicket, TicketError};
use lovagelatch_ledger::{AnswerHeader, StoredAnswer};
use lovagelatch_membership::TargetStanding;
use lovagelatch_telemetry::{DecisionKind, info};
use lovagelatch_wire::WireHeader;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::exchange::{AttemptOutcome, AttemptResponse, CallerRequest, Refusal, ResponseBody};
use crate::headers;
use crate::once::ledger::{FilingOutcome, HomeStep, OutcomeReceiver, OutcomeSender};
use crate::relay::RelayOutcome;

/// Largest response to a filing. A larger one counts as lost.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// An unreachable home is retried for the remaining time divided by this.
const HOME_RETRY_DIVISOR: u32 = 2;

/// Interval between attempts to reach a home.
const HOME_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How long after its deadline an attempt still waits for the outcome of the run.
const OUTCOME_GRACE: Duration = Duration::from_millis(10);

impl Agent {
    /// Executes a once-only request under the idempotency key that its caller sent.
    pub(crate) async fn submit_once(
        self: &Arc<Self>,
        key: Option<&str>,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let refusal = Refusal::new(RefusalReason::TicketNeeded, Duration::ZERO);
        let Some(key) = key else {
            return AttemptOutcome::NotRun(refusal);
        };
        let ticket = match RequestTicket::open(key, &self.keys.load()) {
            Ok(ticket) if ticket.service == self.service => ticket,
            // No agent issued it, so nothing can have run under it.
            Err(TicketError::Malformed | TicketError::InvalidTag) => {
                return AttemptOutcome::NotRun(refusal);
            }
            // Its key generation was removed, or its address was reassigned to this service, so
            // the filing may have run. After "not run" the caller would file again, and it would
            // run twice.
            Ok(_) | Err(TicketError::UnknownGeneration { .. }) => return AttemptOutcome::Unknown,
        };
        if ticket.home == self.address() || self.once.answers_for(&ticket) {
            return self.submit_locally(&ticket, request, attempt).await;
        }
        self.relay_to_home(&ticket, key, request, attempt).await
    }

    /// Executes a request that a peer relayed because its ticket names this agent.
    pub(crate) async fn submit_at_home(
        self: &Arc<Self>,
        key: &str,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        match RequestTicket::open(key, &self.keys.load()) {
            Ok(ticket) if ticket.service == self.service => {
                self.submit_locally(&ticket, request, attempt).await
            }
            // The peer could open the ticket and this agent cannot: the keys are being rotated.
            // Whether the filing ran before is not known here.
            _ => AttemptOutcome::Unknown,
        }
    }

    async fn relay_to_home(
        self: &Arc<Self>,
        ticket: &RequestTicket,
        key: &str,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let home = ticket.home;
        info!(self.log, "filing relayed to its home"; "decision" => DecisionKind::RequestRelayed,
            "attempt" => attempt.to_string(), "home" => home.to_string());
        // An attempt that was not sent may be retried at the same home; a home that is paused or
        // partitioned for a moment then still runs it.
        let retry_until = Instant::now() + request.time_left() / HOME_RETRY_DIVISOR;
        loop {
            let context = self.relay_context(attempt, Some(key.to_owned()));
            let outcome = self.relays.relay(home, &request, context).await;
            self.metrics.relays.count(outcome.label());
            let reached = !matches!(outcome, RelayOutcome::PeerUnreachable);
            self.fleet.record_exchange(home, reached);
            if let RelayOutcome::Ended(outcome) = outcome {
                return outcome;
            }
            if self.once.answers_for(ticket) {
                return self.submit_locally(ticket, request, attempt).await;
            }
            if !self.may_be_alive(home) || Instant::now() + HOME_RETRY_INTERVAL >= retry_until {
                return AttemptOutcome::Unknown;
            }
            tokio::time::sleep(HOME_RETRY_INTERVAL).await;
        }
    }

    /// Whether the view still lists an unreachable agent without suspicion.
    fn may_be_alive(&self, home: AgentAddress) -> bool {
        let view = self.fleet.view();
        let mut targets = view.targets(self.service).iter();
        let listed = targets.find(|target| target.agent == home);
        listed.is_some_and(|target| target.standing != TargetStanding::Suspected)
    }

    async fn submit_locally(
        self: &Arc<Self>,
        ticket: &RequestTicket,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        match self.once.begin(ticket, attempt, &request) {
            HomeStep::Reply(outcome) => outcome,
            HomeStep::Join(receiver) => wait_for_outcome(receiver, &request, false).await,
            HomeStep::Run(sender, receiver) => {
                // A separate task: the run continues when its caller leaves, because the next
                // attempt with the same ticket needs its response.
                let run = run_filing(Arc::clone(self), request.clone(), attempt, sender);
                tokio::spawn(run);
                wait_for_outcome(receiver, &request, true).await
            }
        }
    }
}

async fn run_filing(
    agent: Arc<Agent>,
    request: CallerRequest,
    attempt: AttemptId,
    sender: OutcomeSender,
) {
    let _running = agent.drain.start_work();
    let outcome = match agent.dispatch(&request, attempt).await {
        AttemptOutcome::Answered(response) => buffer_response(response).await,
        AttemptOutcome::NotRun(refusal) => FilingOutcome::NotRun(refusal),
        AttemptOutcome::Unknown => FilingOutcome::Unknown,
    };
    agent.once.finish(attempt, &outcome);
    sender.send_replace(Some(outcome));
}

async fn buffer_response(mut response: AttemptResponse) -> FilingOutcome {
    let Ok(body) = response.body.collect(MAX_RESPONSE_BYTES).await else {
        return FilingOutcome::Unknown;
    };
    let fields = response.headers.iter().map(|(name, value)| AnswerHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    FilingOutcome::Done(Arc::new(StoredAnswer {
        status: response.status.as_u16(),
        headers: fields.collect(),
        body,
    }))
}

async fn wait_for_outcome(
    mut receiver: OutcomeReceiver,
    request: &CallerRequest,
    first: bool,
) -> AttemptOutcome {
    let limit = request.deadline + OUTCOME_GRACE;
    let finished = receiver.wait_for(Option::is_some);
    let outcome = match tokio::time::timeout_at(limit, finished).await {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    match outcome {
        Some(FilingOutcome::Done(stored)) if first => {
            AttemptOutcome::Answered(to_response(&stored))
        }
        Some(FilingOutcome::Done(stored)) => AttemptOutcome::Answered(replay(&stored, request)),
        Some(FilingOutcome::NotRun(refusal)) => AttemptOutcome::NotRun(refusal),
        Some(FilingOutcome::Unknown) | None => AttemptOutcome::Unknown,
    }
}

fn to_response(stored: &StoredAnswer) -> AttemptResponse {
    let fields: Vec<WireHeader> = stored
        .headers
        .iter()
        .map(|field| WireHeader {
            name: field.name.clone(),
            value: field.value.clone(),
        })
        .collect();
    AttemptResponse {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
        headers: headers::from_wire(&fields),
        body: ResponseBody::Buffered(Some(Bytes::from(stored.body.clone()))),
    }
}

/// Builds the response to another attempt from the stored one, with that attempt's own
/// caller-request number; with the first attempt's, its caller would consider it crossed.
pub(crate) fn replay(stored: &StoredAnswer, request: &CallerRequest) -> AttemptResponse {
    let mut response = to_response(stored);
    response.headers.remove(headers::CALLER_REQUEST);
    if let Some(number) = request.headers.get(headers::CALLER_REQUEST) {
        response
            .headers
            .insert(headers::CALLER_REQUEST, number.clone());
    }
    response
}
