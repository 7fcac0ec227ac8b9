//! One request of a flow, from its head to the last byte of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::error::Code;
use h3::server::{RequestResolver, RequestStream};
use h3_quinn::BidiStream;
use http::{Method, Request, Response, StatusCode, header};
use lovagelatch_domain::{AgencyName, AttemptId, RefusalReason};
use lovagelatch_placement::AttemptAllowance;
use lovagelatch_telemetry::{DecisionKind, info};
use thiserror::Error;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::backend::text_value;
use crate::drain::wait_true;
use crate::exchange::{Answer, AttemptEnd, CallerRequest, Refusal, new_attempt};
use crate::feed::EventBoundary;
use crate::headers;
use crate::metrics::{OpenNote, RouteKind, reason_word};
use crate::once::{TICKET_PATH, ticket_answer};
use crate::path::plain_path;
use crate::reply::ReplyTerms;

/// Paths that are the system's own. A caller that reached the backend server's control
/// endpoints could cancel other callers' requests.
const OWN_PATHS: &str = "/.well-known/lovagelatch";

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

type CallerStream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Why a request could not be read.
#[derive(Debug, Error)]
enum ReadError {
    #[error("the caller's stream broke")]
    Stream(#[from] h3::error::StreamError),
    #[error("the body is too long")]
    TooLong,
    #[error("the body is not as long as its content-length")]
    WrongLength,
    #[error("the body did not come in time")]
    Late,
}

/// Serves one request. What went wrong on the caller's stream ends it.
pub(crate) async fn serve_request(
    agent: &Arc<Agent>,
    agency: Option<AgencyName>,
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
) {
    let limit = agent.settings.common.limits.request_deadline;
    let resolving = tokio::time::timeout(limit, resolver.resolve_request());
    let Ok(Ok((head, mut stream))) = resolving.await else {
        return;
    };
    let arrived = Instant::now();
    let deadline = arrived + deadline_of(agent, &head);
    let attempt = new_attempt();
    let mut terms = ReplyTerms {
        agent: agent.settings.common.name.clone(),
        ticket: None,
    };
    let body = match read_body(agent, &head, &mut stream, deadline).await {
        Ok(body) => body,
        Err(error) => return refuse_unread(agent, &terms, stream, &error).await,
    };
    let request = to_request(agency, head, body, (arrived, deadline));
    if agent.has_once_routes() && !request.is_feed() {
        terms.ticket = agent.new_ticket();
    }
    if plain_path(&request.path).starts_with(OWN_PATHS) {
        return serve_own_path(agent, terms, &request, stream).await;
    }
    let end = answer(agent, &request, attempt).await;
    deliver(agent, &terms, &request, attempt, end, stream).await;
}

/// Runs the request, as a once-only one where its route says so.
async fn answer(agent: &Arc<Agent>, request: &CallerRequest, attempt: AttemptId) -> AttemptEnd {
    if !agent.is_once_only(&request.method, &request.path) {
        return agent.dispatch(request, attempt).await;
    }
    let key = request.headers.get(headers::IDEMPOTENCY_KEY);
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    agent.file(key.as_deref(), request.clone(), attempt).await
}

fn deadline_of(agent: &Agent, head: &Request<()>) -> Duration {
    let asked = headers::number_of(head.headers(), &headers::DEADLINE_MS);
    let asked = asked.map(Duration::from_millis);
    let limit = asked.unwrap_or(agent.settings.common.limits.request_deadline);
    limit.min(MAX_DEADLINE)
}

async fn read_body(
    agent: &Agent,
    head: &Request<()>,
    stream: &mut CallerStream,
    deadline: Instant,
) -> Result<Bytes, ReadError> {
    let limit = agent.settings.common.limits.body_bytes;
    let reading = collect_body(stream, limit);
    let body = tokio::time::timeout_at(deadline, reading).await;
    let body = body.map_err(|_| ReadError::Late)??;
    let length = headers::number_of(head.headers(), &header::CONTENT_LENGTH);
    if length.is_some_and(|length| length != body.len() as u64) {
        return Err(ReadError::WrongLength);
    }
    Ok(body)
}

async fn collect_body(stream: &mut CallerStream, limit: usize) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while let Some(mut piece) = stream.recv_data().await? {
        if body.len() + piece.remaining() > limit {
            return Err(ReadError::TooLong);
        }
        body.extend_from_slice(&piece.copy_to_bytes(piece.remaining()));
    }
    Ok(body.freeze())
}

fn to_request(
    agency: Option<AgencyName>,
    head: Request<()>,
    body: Bytes,
    (arrived, deadline): (Instant, Instant),
) -> CallerRequest {
    let (parts, ()) = head.into_parts();
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    let mut fields = headers::end_to_end(&parts.headers);
    // The library that writes the request to the backend server sets the length itself.
    fields.remove(header::CONTENT_LENGTH);
    if let Some(authority) = parts.uri.authority() {
        fields.insert(header::HOST, text_value(authority.as_str()));
    }
    CallerRequest {
        method: parts.method,
        path,
        headers: fields,
        body,
        agency,
        allowance: AttemptAllowance::new(),
        arrived,
        deadline,
    }
}

async fn refuse_unread(
    agent: &Agent,
    terms: &ReplyTerms,
    mut stream: CallerStream,
    error: &ReadError,
) {
    let status = match error {
        ReadError::Stream(_) => return,
        ReadError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::WrongLength => StatusCode::BAD_REQUEST,
        ReadError::Late => StatusCode::REQUEST_TIMEOUT,
    };
    info!(agent.log, "request refused"; "decision" => DecisionKind::RequestRefused,
        "reason" => error.to_string());
    agent
        .metrics
        .count_request("not-run", RouteKind::Plain, Duration::ZERO);
    let refusal = Refusal::new(RefusalReason::TooLate, Duration::ZERO);
    stream.stop_sending(Code::H3_NO_ERROR);
    send_head(stream, terms.not_run_with(status, refusal)).await;
}

/// Answers for the system's own paths: a ticket alone, and nothing else.
async fn serve_own_path(
    agent: &Arc<Agent>,
    mut terms: ReplyTerms,
    request: &CallerRequest,
    stream: CallerStream,
) {
    let is_ticket = plain_path(&request.path) == TICKET_PATH && request.method == Method::GET;
    if !is_ticket {
        let refusal = Refusal::new(RefusalReason::NoTarget, Duration::ZERO);
        let response = terms.not_run_with(StatusCode::NOT_FOUND, refusal);
        return send_head(stream, response).await;
    }
    let end = match agent.fetch_ticket(request).await {
        Ok(ticket) => {
            terms.ticket = Some(ticket.clone());
            AttemptEnd::Answered(ticket_answer(&ticket))
        }
        Err(refusal) => AttemptEnd::NotRun(refusal),
    };
    deliver(agent, &terms, request, new_attempt(), end, stream).await;
}

async fn deliver(
    agent: &Agent,
    terms: &ReplyTerms,
    request: &CallerRequest,
    attempt: AttemptId,
    end: AttemptEnd,
    stream: CallerStream,
) {
    let outcome = match end {
        AttemptEnd::Answered(answer) => send_answer(agent, terms, answer, request, stream).await,
        AttemptEnd::NotRun(refusal) => {
            agent.metrics.refusals.count(reason_word(refusal.reason));
            send_head(stream, terms.not_run(refusal)).await;
            "not-run"
        }
        AttemptEnd::Unknown => {
            let ticketed = request.headers.contains_key(headers::IDEMPOTENCY_KEY);
            send_head(stream, terms.unknown(request.is_late(), ticketed)).await;
            "unknown"
        }
    };
    let took = request.arrived.elapsed();
    let route = route_of(agent, request);
    agent.metrics.count_request(outcome, route, took);
    info!(agent.log, "request ended"; "decision" => DecisionKind::RequestEnded,
        "attempt" => attempt.to_string(), "method" => request.method.as_str(),
        "path" => &request.path, "route" => route.as_str(), "outcome" => outcome,
        "took_ms" => u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
}

fn route_of(agent: &Agent, request: &CallerRequest) -> RouteKind {
    if plain_path(&request.path).starts_with(OWN_PATHS) {
        RouteKind::System
    } else if agent.is_once_only(&request.method, &request.path) {
        RouteKind::Once
    } else if request.is_feed() {
        RouteKind::Feed
    } else {
        RouteKind::Plain
    }
}

async fn send_head(mut stream: CallerStream, response: Response<()>) {
    if stream.send_response(response).await.is_ok() {
        let _ = stream.finish().await;
    }
}

/// Passes the answer through; returns the word for the log.
async fn send_answer(
    agent: &Agent,
    terms: &ReplyTerms,
    mut answer: Answer,
    request: &CallerRequest,
    mut stream: CallerStream,
) -> &'static str {
    if stream.send_response(terms.done(&answer)).await.is_err() {
        return "caller-gone";
    }
    let mut ending = agent.drain.watch_ending();
    let mut boundary = EventBoundary::new();
    let is_feed = request.is_feed();
    let _open = is_feed.then(|| OpenNote::new(&agent.metrics.feeds_open));
    loop {
        let piece = tokio::select! {
            piece = answer.body.next() => piece,
            () = wait_true(&mut ending), if is_feed && boundary.is_between() => Ok(None),
        };
        match piece {
            Ok(Some(piece)) => {
                boundary.note(&piece);
                if stream.send_data(piece).await.is_err() {
                    return "caller-gone";
                }
            }
            Ok(None) => {
                let _ = stream.finish().await;
                return "done";
            }
            Err(_) => {
                // A clean end here would make half an answer look whole.
                agent.metrics.answers.count("cut");
                stream.stop_stream(Code::H3_INTERNAL_ERROR);
                return "cut";
            }
        }
    }
}
