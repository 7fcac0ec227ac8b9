//! Sends one request over a flow and checks its response.

use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::error::StreamError;
use http::{Method, Request};
use lovagelatch_history::{CallerRecord, ObservedOutcome, RequestEnd, RequestKind};

use crate::context::{CallerContext, now_ms};
use crate::flow::CallerFlow;
use crate::response::{check_response, no_response, stream_failed, truncated};

/// How long a caller waits for the response after the deadline of its request.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// The expected content of a complete response.
#[derive(Clone, Debug)]
pub(crate) enum ResponseCheck {
    /// JSON with this name in `filing`.
    Filing(String),
    /// JSON with this name in `id`.
    Status(String),
    /// The generated content of this id, with this length in bytes.
    Download(String, usize),
    /// Any content.
    Any,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct ExchangeRequest {
    pub(crate) kind: RequestKind,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Option<Bytes>,
    pub(crate) ticket: Option<String>,
    pub(crate) filing: Option<String>,
    pub(crate) work_ms: u32,
    pub(crate) arrived_ms: f64,
    pub(crate) check: ResponseCheck,
}

/// The service that a request is for, and the agency that sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeScope<'a> {
    pub(crate) service: &'a str,
    pub(crate) server_name: &'a str,
    pub(crate) agency: Option<&'a str>,
}

/// The result of a request, as far as the caller's next step depends on it.
#[derive(Clone, Debug)]
pub(crate) struct ExchangeResult {
    pub(crate) outcome: ObservedOutcome,
    pub(crate) status: u16,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) ticket: Option<String>,
}

/// Sends a request over a flow and waits for its end. Records both in the history.
pub(crate) async fn exchange(
    context: &CallerContext,
    flow: &CallerFlow,
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
) -> ExchangeResult {
    let id = context.new_request_id();
    record_sent(context, flow, scope, request, &id);
    let _in_flight = flow.track_in_flight();
    let deadline = Duration::from_millis(context.plan.deadline_ms);
    let timeout = deadline + DEADLINE_GRACE;
    let sent = send(flow, scope, request, &id, deadline);
    let (end, result) = match tokio::time::timeout(timeout, sent).await {
        Ok(ended) => ended,
        Err(_) => no_response(ObservedOutcome::Unknown, "no answer in time".to_owned()),
    };
    context.counters.record_outcome(end.outcome);
    context.write(&CallerRecord::RequestEnded {
        request: id,
        time_ms: now_ms(),
        end,
    });
    result
}

pub(crate) fn record_sent(
    context: &CallerContext,
    flow: &CallerFlow,
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
    id: &str,
) {
    let requests = &context.counters.requests;
    requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    context.write(&CallerRecord::RequestSent {
        request: id.to_owned(),
        time_ms: now_ms(),
        arrived_ms: request.arrived_ms,
        flow: flow.number,
        service: scope.service.to_owned(),
        agency: scope.agency.map(str::to_owned),
        kind: request.kind,
        filing: request.filing.clone(),
        work_ms: request.work_ms,
    });
}

pub(crate) fn build_head(
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
    id: &str,
    deadline: Option<Duration>,
) -> Result<Request<()>, http::Error> {
    let uri = format!("https://{}{}", scope.server_name, request.path);
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(uri)
        .header("lovagelatch-caller-request", id);
    if let Some(deadline) = deadline {
        builder = builder.header("lovagelatch-deadline-ms", deadline.as_millis().to_string());
    }
    if let Some(ticket) = &request.ticket {
        builder = builder.header("idempotency-key", ticket);
    }
    if let Some(body) = &request.body {
        builder = builder
            .header("content-type", "application/json")
            .header("content-length", body.len());
    }
    if request.kind == RequestKind::Feed {
        builder = builder.header("accept", "text/event-stream");
    }
    builder.body(())
}

async fn send(
    flow: &CallerFlow,
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
    id: &str,
    deadline: Duration,
) -> (RequestEnd, ExchangeResult) {
    let head = match build_head(scope, request, id, Some(deadline)) {
        Ok(head) => head,
        Err(error) => return no_response(ObservedOutcome::NotRun, error.to_string()),
    };
    let mut stream = match flow.sender().send_request(head).await {
        Ok(stream) => stream,
        Err(StreamError::RemoteClosing { .. }) => {
            flow.retire();
            let (end, mut result) = no_response(ObservedOutcome::NotRun, "going away".to_owned());
            result.retry_after = Some(Duration::ZERO);
            return (end, result);
        }
        Err(error) => return stream_failed(&error),
    };
    if let Some(body) = &request.body
        && let Err(error) = stream.send_data(body.clone()).await
        && !is_early_response(&error)
    {
        return stream_failed(&error);
    }
    if let Err(error) = stream.finish().await
        && !is_early_response(&error)
    {
        return stream_failed(&error);
    }
    let response = match stream.recv_response().await {
        Ok(response) => response,
        Err(error) => return stream_failed(&error),
    };
    let mut body = Vec::new();
    loop {
        match stream.recv_data().await {
            Ok(Some(mut chunk)) => body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining())),
            Ok(None) => break,
            Err(error) => return truncated(&response, &error),
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return truncated(&response, &"answer too long");
        }
    }
    check_response(&response, &body, request, id, scope.service)
}

/// Whether the server responded and stopped reading before the end of the request body. Its
/// response is still valid.
fn is_early_response(error: &StreamError) -> bool {
    matches!(error, StreamError::RemoteTerminate { code, .. } if *code == h3::error::Code::H3_NO_ERROR)
}
