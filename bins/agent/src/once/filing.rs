//! Filing a once-only request: here, or at the home that its ticket names.

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
use crate::once::ledger::{EndReceiver, EndSender, FilingEnd, HomeStep};
use crate::relay::RelayEnd;

/// The longest answer to a filing, in bytes. A longer one counts as lost.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The part of the time left for which a home that cannot be reached is tried, as a divisor.
const HOME_WAIT_PART: u32 = 2;

/// The pause between two tries to reach a home.
const HOME_PAUSE: Duration = Duration::from_millis(200);

/// How long after its deadline an attempt waits for the run's own end.
const END_WAIT: Duration = Duration::from_millis(10);

impl Agent {
    /// Files a once-only request with the key that its caller gave.
    pub(crate) async fn file(
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
            // No agent made it, so nothing can have run under it.
            Err(TicketError::Malformed | TicketError::InvalidTag) => {
                return AttemptOutcome::NotRun(refusal);
            }
            // Its key generation was dropped, or its address passed to this service: its filing
            // may have run. Told "not run", the caller would file anew and it would run twice.
            Ok(_) | Err(TicketError::UnknownGeneration { .. }) => return AttemptOutcome::Unknown,
        };
        if ticket.home == self.address() || self.once.answers_for(&ticket) {
            return self.file_here(&ticket, request, attempt).await;
        }
        self.file_at(&ticket, key, request, attempt).await
    }

    /// Files a request that a peer relayed because its ticket names this agent.
    pub(crate) async fn file_at_home(
        self: &Arc<Self>,
        key: &str,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        match RequestTicket::open(key, &self.keys.load()) {
            Ok(ticket) if ticket.service == self.service => {
                self.file_here(&ticket, request, attempt).await
            }
            // The peer could read it and this agent cannot: the keys are being rotated. Whether
            // it ran before is not known here.
            _ => AttemptOutcome::Unknown,
        }
    }

    async fn file_at(
        self: &Arc<Self>,
        ticket: &RequestTicket,
        key: &str,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let home = ticket.home;
        info!(self.log, "filing relayed to its home"; "decision" => DecisionKind::RequestRelayed,
            "attempt" => attempt.to_string(), "home" => home.to_string());
        // An attempt that was not handed over may be offered to the same home again; a home that
        // is paused or cut off for a moment then still runs it.
        let give_up = Instant::now() + request.time_left() / HOME_WAIT_PART;
        loop {
            let terms = self.relay_terms(attempt, Some(key.to_owned()));
            let end = self.relays.relay(home, &request, terms).await;
            self.metrics.relays.count(end.word());
            let reached = !matches!(end, RelayEnd::NotHandedOver);
            self.fleet.record_exchange(home, reached);
            if let RelayEnd::Ended(end) = end {
                return end;
            }
            if self.once.answers_for(ticket) {
                return self.file_here(ticket, request, attempt).await;
            }
            if !self.may_return(home) || Instant::now() + HOME_PAUSE >= give_up {
                return AttemptOutcome::Unknown;
            }
            tokio::time::sleep(HOME_PAUSE).await;
        }
    }

    /// Whether an agent that cannot be reached is still held to be alive.
    fn may_return(&self, home: AgentAddress) -> bool {
        let view = self.fleet.view();
        let mut targets = view.targets(self.service).iter();
        let listed = targets.find(|target| target.agent == home);
        listed.is_some_and(|target| target.standing != TargetStanding::Suspected)
    }

    async fn file_here(
        self: &Arc<Self>,
        ticket: &RequestTicket,
        request: CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        match self.once.step(ticket, attempt, &request) {
            HomeStep::End(end) => end,
            HomeStep::Join(receiver) => wait_for(receiver, &request, false).await,
            HomeStep::Run(sender, receiver) => {
                // A task of its own: the run goes on when the attempt's caller leaves, because
                // the next attempt with the same ticket comes for its answer.
                let run = run_filing(Arc::clone(self), request.clone(), attempt, sender);
                tokio::spawn(run);
                wait_for(receiver, &request, true).await
            }
        }
    }
}

async fn run_filing(
    agent: Arc<Agent>,
    request: CallerRequest,
    attempt: AttemptId,
    sender: EndSender,
) {
    let _running = agent.drain.start_work();
    let end = match agent.dispatch(&request, attempt).await {
        AttemptOutcome::Answered(answer) => store(answer).await,
        AttemptOutcome::NotRun(refusal) => FilingEnd::NotRun(refusal),
        AttemptOutcome::Unknown => FilingEnd::Unknown,
    };
    agent.once.finish(attempt, &end);
    sender.send_replace(Some(end));
}

async fn store(mut answer: AttemptResponse) -> FilingEnd {
    let Ok(body) = answer.body.collect(MAX_ANSWER_BYTES).await else {
        return FilingEnd::Unknown;
    };
    let fields = answer.headers.iter().map(|(name, value)| AnswerHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    FilingEnd::Done(Arc::new(StoredAnswer {
        status: answer.status.as_u16(),
        headers: fields.collect(),
        body,
    }))
}

async fn wait_for(
    mut receiver: EndReceiver,
    request: &CallerRequest,
    first: bool,
) -> AttemptOutcome {
    let limit = request.deadline + END_WAIT;
    let ended = receiver.wait_for(Option::is_some);
    let end = match tokio::time::timeout_at(limit, ended).await {
        Ok(Ok(end)) => end.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    match end {
        Some(FilingEnd::Done(stored)) if first => AttemptOutcome::Answered(to_answer(&stored)),
        Some(FilingEnd::Done(stored)) => AttemptOutcome::Answered(replay(&stored, request)),
        Some(FilingEnd::NotRun(refusal)) => AttemptOutcome::NotRun(refusal),
        Some(FilingEnd::Unknown) | None => AttemptOutcome::Unknown,
    }
}

fn to_answer(stored: &StoredAnswer) -> AttemptResponse {
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

/// The stored answer for another attempt: it carries that attempt's own caller number, or its
/// caller would take it for a crossed answer.
pub(crate) fn replay(stored: &StoredAnswer, request: &CallerRequest) -> AttemptResponse {
    let mut answer = to_answer(stored);
    answer.headers.remove(headers::CALLER_REQUEST);
    if let Some(number) = request.headers.get(headers::CALLER_REQUEST) {
        answer
            .headers
            .insert(headers::CALLER_REQUEST, number.clone());
    }
    answer
}
