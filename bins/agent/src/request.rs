//! Serves one HTTP/3 request of a flow, from its head to the last byte of the response.

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
use crate::backend::to_header_value;
use crate::drain::wait_true;
use crate::exchange::{AttemptOutcome, AttemptResponse, CallerRequest, Refusal, new_attempt};
use crate::feed::EventBoundary;
use crate::headers;
use crate::metrics::{OpenGuard, RouteKind, reason_label};
use crate::once::{TICKET_PATH, ticket_response};
use crate::path::normalize_path;
use crate::reply::ReplyContext;

/// Prefix of the paths reserved for the load balancer. A caller that could reach the backend
/// server's control endpoints could cancel other callers' requests.
const RESERVED_PATHS: &str = "/.well-known/lovagelatch";

/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

type CallerStream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Why a request could not be read.
#[derive(Debug, Error)]
enum ReadError {
    #[error("caller's stream failed")]
    Stream(#[from] h3::error::StreamError),
    #[error("request body too long")]
    TooLong,
    #[error("request body does not match its content-length")]
    WrongLength,
    #[error("request body not received before the deadline")]
    Late,
}

/// Serves one request. An error on the caller's stream ends it.
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
    let deadline = arrived + requested_deadline(agent, &head);
    let attempt = new_attempt();
    let mut context = ReplyContext {
        agent: agent.settings.common.name.clone(),
        ticket: None,
    };
    let body = match read_body(agent, &head, &mut stream, deadline).await {
        Ok(body) => body,
        Err(error) => return refuse_unreadable(agent, &context, stream, &error).await,
    };
    let request = build_request(agency, head, body, (arrived, deadline));
    if agent.has_once_routes() && !request.is_feed() {
        context.ticket = agent.new_ticket();
    }
    if normalize_path(&request.path).starts_with(RESERVED_PATHS) {
        return serve_reserved_path(agent, context, &request, stream).await;
    }
    let outcome = run_request(agent, &request, attempt).await;
    send_outcome(agent, &context, &request, attempt, outcome, stream).await;
}

/// Runs the request, through the ledger if its route is once-only.
async fn run_request(
    agent: &Arc<Agent>,
    request: &CallerRequest,
    attempt: AttemptId,
) -> AttemptOutcome {
    if !agent.is_once_only(&request.method, &request.path) {
        return agent.dispatch(request, attempt).await;
    }
    let key = request.headers.get(headers::IDEMPOTENCY_KEY);
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    agent
        .submit_once(key.as_deref(), request.clone(), attempt)
        .await
}

fn requested_deadline(agent: &Agent, head: &Request<()>) -> Duration {
    let requested = headers::parse_number(head.headers(), &headers::DEADLINE_MS);
    let requested = requested.map(Duration::from_millis);
    let limit = requested.unwrap_or(agent.settings.common.limits.request_deadline);
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
    let length = headers::parse_number(head.headers(), &header::CONTENT_LENGTH);
    if length.is_some_and(|length| length != body.len() as u64) {
        return Err(ReadError::WrongLength);
    }
    Ok(body)
}

async fn collect_body(stream: &mut CallerStream, limit: usize) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while let Some(mut chunk) = stream.recv_data().await? {
        if body.len() + chunk.remaining() > limit {
            return Err(ReadError::TooLong);
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(body.freeze())
}

fn build_request(
    agency: Option<AgencyName>,
    head: Request<()>,
    body: Bytes,
    (arrived, deadline): (Instant, Instant),
) -> CallerRequest {
    let (parts, ()) = head.into_parts();
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    let mut fields = headers::end_to_end(&parts.headers);
    // The HTTP client sets the length when it sends the request to the backend server.
    fields.remove(header::CONTENT_LENGTH);
    if let Some(authority) = parts.uri.authority() {
        fields.insert(header::HOST, to_header_value(authority.as_str()));
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

async fn refuse_unreadable(
    agent: &Agent,
    context: &ReplyContext,
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
    send_head(stream, context.not_run_with(status, refusal)).await;
}

/// Serves the reserved paths: only the ticket endpoint exists for callers.
async fn serve_reserved_path(
    agent: &Arc<Agent>,
    mut context: ReplyContext,
    request: &CallerRequest,
    stream: CallerStream,
) {
    let is_ticket = normalize_path(&request.path) == TICKET_PATH && request.method == Method::GET;
    if !is_ticket {
        let refusal = Refusal::new(RefusalReason::NoTarget, Duration::ZERO);
        let response = context.not_run_with(StatusCode::NOT_FOUND, refusal);
        return send_head(stream, response).await;
    }
    let outcome = match agent.fetch_ticket(request).await {
        Ok(ticket) => {
            context.ticket = Some(ticket.clone());
            AttemptOutcome::Answered(ticket_response(&ticket))
        }
        Err(refusal) => AttemptOutcome::NotRun(refusal),
    };
    send_outcome(agent, &context, request, new_attempt(), outcome, stream).await;
}

/// Sends the outcome to the caller, then records and logs it.
async fn send_outcome(
    agent: &Agent,
    context: &ReplyContext,
    request: &CallerRequest,
    attempt: AttemptId,
    outcome: AttemptOutcome,
    stream: CallerStream,
) {
    let outcome = match outcome {
        AttemptOutcome::Answered(response) => {
            send_response(agent, context, response, request, stream).await
        }
        AttemptOutcome::NotRun(refusal) => {
            agent.metrics.refusals.count(reason_label(refusal.reason));
            send_head(stream, context.not_run(refusal)).await;
            "not-run"
        }
        AttemptOutcome::Unknown => {
            let ticketed = request.headers.contains_key(headers::IDEMPOTENCY_KEY);
            send_head(stream, context.unknown(request.is_late(), ticketed)).await;
            "unknown"
        }
    };
    let took = request.arrived.elapsed();
    let route = route_kind(agent, request);
    agent.metrics.count_request(outcome, route, took);
    info!(agent.log, "request ended"; "decision" => DecisionKind::RequestEnded,
        "attempt" => attempt.to_string(), "method" => request.method.as_str(),
        "path" => &request.path, "route" => route.as_str(), "outcome" => outcome,
        "took_ms" => u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
}

fn route_kind(agent: &Agent, request: &CallerRequest) -> RouteKind {
    if normalize_path(&request.path).starts_with(RESERVED_PATHS) {
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

/// Forwards the response to the caller. Returns the outcome's label for logs and metrics.
async fn send_response(
    agent: &Agent,
    context: &ReplyContext,
    mut response: AttemptResponse,
    request: &CallerRequest,
    mut stream: CallerStream,
) -> &'static str {
    if stream.send_response(context.done(&response)).await.is_err() {
        return "caller-gone";
    }
    let mut closing = agent.drain.watch_feed_close();
    let mut boundary = EventBoundary::new();
    let is_feed = request.is_feed();
    let _open = is_feed.then(|| OpenGuard::new(&agent.metrics.feeds_open));
    loop {
        let chunk = tokio::select! {
            chunk = response.body.next() => chunk,
            () = wait_true(&mut closing), if is_feed && boundary.is_at_boundary() => Ok(None),
        };
        match chunk {
            Ok(Some(chunk)) => {
                boundary.scan(&chunk);
                if stream.send_data(chunk).await.is_err() {
                    return "caller-gone";
                }
            }
            Ok(None) => {
                let _ = stream.finish().await;
                return "done";
            }
            Err(_) => {
                // A clean end here would make a truncated response look complete.
                agent.metrics.answers.count("cut");
                stream.stop_stream(Code::H3_INTERNAL_ERROR);
                return "cut";
            }
        }
    }
}
