//! One request and its answer over a flow, with the answer checked.

use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::error::StreamError;
use http::{Method, Request};
use lovagelatch_history::{CallerRecord, ObservedOutcome, RequestEnd, RequestKind};

use crate::context::{CallerContext, now_ms};
use crate::flow::CallerFlow;
use crate::judge::{broke_off, broken, judge, unanswered};

/// How much longer than the deadline a caller waits.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// The largest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What the whole answer must be.
#[derive(Clone, Debug)]
pub(crate) enum AnswerCheck {
    /// JSON that names this filing.
    Filing(String),
    /// JSON that names this id.
    Status(String),
    /// The content of this id, of this length.
    Download(String, usize),
    /// Anything.
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
    pub(crate) check: AnswerCheck,
}

/// Whom a request is for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeScope<'a> {
    pub(crate) service: &'a str,
    pub(crate) server_name: &'a str,
    pub(crate) agency: Option<&'a str>,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub(crate) struct ExchangeResult {
    pub(crate) outcome: ObservedOutcome,
    pub(crate) status: u16,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) ticket: Option<String>,
}

/// Sends a request over a flow and waits for its end; the history tells of both.
pub(crate) async fn exchange(
    context: &CallerContext,
    flow: &CallerFlow,
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
) -> ExchangeResult {
    let id = context.new_request_id();
    note_sent(context, flow, scope, request, &id);
    let _in_flight = flow.note_in_flight();
    let deadline = Duration::from_millis(context.plan.deadline_ms);
    let limit = deadline + DEADLINE_GRACE;
    let sent = send(flow, scope, request, &id, deadline);
    let (end, result) = match tokio::time::timeout(limit, sent).await {
        Ok(ended) => ended,
        Err(_) => unanswered(ObservedOutcome::Unknown, "no answer in time".to_owned()),
    };
    context.counters.note_outcome(end.outcome);
    context.write(&CallerRecord::RequestEnded {
        request: id,
        time_ms: now_ms(),
        end,
    });
    result
}

pub(crate) fn note_sent(
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

pub(crate) fn head_of(
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
    let head = match head_of(scope, request, id, Some(deadline)) {
        Ok(head) => head,
        Err(error) => return unanswered(ObservedOutcome::NotRun, error.to_string()),
    };
    let mut stream = match flow.sender().send_request(head).await {
        Ok(stream) => stream,
        Err(StreamError::RemoteClosing { .. }) => {
            flow.retire();
            let (end, mut result) = unanswered(ObservedOutcome::NotRun, "going away".to_owned());
            result.retry_after = Some(Duration::ZERO);
            return (end, result);
        }
        Err(error) => return broken(&error),
    };
    if let Some(body) = &request.body
        && let Err(error) = stream.send_data(body.clone()).await
        && !is_early_answer(&error)
    {
        return broken(&error);
    }
    if let Err(error) = stream.finish().await
        && !is_early_answer(&error)
    {
        return broken(&error);
    }
    let answer = match stream.recv_response().await {
        Ok(answer) => answer,
        Err(error) => return broken(&error),
    };
    let mut body = Vec::new();
    loop {
        match stream.recv_data().await {
            Ok(Some(mut part)) => body.extend_from_slice(&part.copy_to_bytes(part.remaining())),
            Ok(None) => break,
            Err(error) => return broke_off(&answer, &error),
        }
        if body.len() > MAX_ANSWER_BYTES {
            return broke_off(&answer, &"answer too long");
        }
    }
    judge(&answer, &body, request, id, scope.service)
}

/// A server may answer and stop reading before it has the whole body; the answer counts.
fn is_early_answer(error: &StreamError) -> bool {
    matches!(error, StreamError::RemoteTerminate { code, .. } if *code == h3::error::Code::H3_NO_ERROR)
}
