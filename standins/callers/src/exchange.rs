//! One request and its answer over a flow, with the answer checked.

use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::error::StreamError;
use http::{HeaderMap, Method, Request, Response};
use lovagelatch_history::{
    AnswerFlaw, CallerRecord, RequestEnd, RequestKind, SeenOutcome, content_matches,
};
use serde::Deserialize;

use crate::context::{CallerContext, now_ms};
use crate::flow::CallerFlow;

/// How much longer than the deadline a caller waits.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// The largest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// HTTP/3's code for a request that was not processed at all (RFC 9114, section 8.1).
const H3_REQUEST_REJECTED: u64 = 0x10b;

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
    pub(crate) outcome: SeenOutcome,
    pub(crate) status: u16,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) ticket: Option<String>,
}

#[derive(Deserialize)]
struct NamedAnswer {
    filing: Option<String>,
    id: Option<String>,
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
        Err(_) => unanswered(SeenOutcome::Unknown, "no answer in time".to_owned()),
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
        Err(error) => return unanswered(SeenOutcome::NotRun, error.to_string()),
    };
    let mut stream = match flow.sender().send_request(head).await {
        Ok(stream) => stream,
        Err(StreamError::RemoteClosing { .. }) => {
            flow.retire();
            let (end, mut result) = unanswered(SeenOutcome::NotRun, "going away".to_owned());
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

fn unanswered(outcome: SeenOutcome, reason: String) -> (RequestEnd, ExchangeResult) {
    let end = RequestEnd {
        outcome,
        status: 0,
        flaw: None,
        answered_for: None,
        agent: None,
        reason: Some(reason),
    };
    let result = ExchangeResult {
        outcome,
        status: 0,
        retry_after: None,
        ticket: None,
    };
    (end, result)
}

fn broken(error: &StreamError) -> (RequestEnd, ExchangeResult) {
    let rejected = matches!(error, StreamError::RemoteTerminate { code, .. }
        if code.value() == H3_REQUEST_REJECTED);
    let outcome = if rejected {
        SeenOutcome::NotRun
    } else {
        SeenOutcome::Unknown
    };
    unanswered(outcome, error.to_string())
}

fn broke_off<E: std::fmt::Display>(
    answer: &Response<()>,
    error: &E,
) -> (RequestEnd, ExchangeResult) {
    let (mut end, result) = unanswered(SeenOutcome::Unknown, error.to_string());
    end.status = answer.status().as_u16();
    end.agent = text(answer.headers(), "lovagelatch-agent");
    end.flaw = Some(AnswerFlaw::BrokeOff);
    (end, result)
}

/// The text of a header, if it has any.
pub(crate) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// How long the answer asks to wait before a retry.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name: &str| text(headers, name)?.parse::<u64>().ok();
    let exact = number("lovagelatch-retry-after-ms").map(Duration::from_millis);
    exact.or(number("retry-after").map(Duration::from_secs))
}

/// What the answer says of the request; without a word of it, only success is plain.
pub(crate) fn outcome_of(answer: &Response<()>) -> SeenOutcome {
    match text(answer.headers(), "lovagelatch-outcome").as_deref() {
        Some("done") => SeenOutcome::Done,
        Some("not-run") => SeenOutcome::NotRun,
        None if answer.status().is_success() => SeenOutcome::Done,
        _ => SeenOutcome::Unknown,
    }
}

fn judge(
    answer: &Response<()>,
    body: &[u8],
    request: &ExchangeRequest,
    id: &str,
    service: &str,
) -> (RequestEnd, ExchangeResult) {
    let headers = answer.headers();
    let mut outcome = outcome_of(answer);
    let mut flaw = None;
    let mut answered_for = None;
    if outcome == SeenOutcome::Done {
        let announced = text(headers, "content-length").and_then(|length| length.parse().ok());
        flaw = flaw_of(answer, body, announced, &request.check);
        if text(headers, "lovagelatch-service").is_some_and(|named| named != service) {
            flaw = Some(AnswerFlaw::WrongService);
        }
        if flaw == Some(AnswerFlaw::CutClean) {
            outcome = SeenOutcome::Unknown;
        }
        answered_for =
            text(headers, "lovagelatch-caller-request").filter(|answered| answered != id);
    }
    let said = (outcome != SeenOutcome::Done).then(|| {
        let said = String::from_utf8_lossy(&body[..body.len().min(200)]);
        said.into_owned()
    });
    let status = answer.status().as_u16();
    let end = RequestEnd {
        outcome,
        status,
        flaw,
        answered_for,
        agent: text(headers, "lovagelatch-agent"),
        reason: said,
    };
    let result = ExchangeResult {
        outcome,
        status,
        retry_after: retry_after(headers),
        ticket: text(headers, "lovagelatch-ticket"),
    };
    (end, result)
}

fn flaw_of(
    answer: &Response<()>,
    body: &[u8],
    announced: Option<usize>,
    check: &AnswerCheck,
) -> Option<AnswerFlaw> {
    if announced.is_some_and(|length| body.len() < length) {
        return Some(AnswerFlaw::CutClean);
    }
    if !answer.status().is_success() {
        return None;
    }
    match check {
        AnswerCheck::Any => None,
        AnswerCheck::Download(id, _) if !content_matches(id, body) => Some(AnswerFlaw::Crossed),
        AnswerCheck::Download(_, bytes) if body.len() < *bytes => Some(AnswerFlaw::CutClean),
        AnswerCheck::Download(..) => None,
        AnswerCheck::Filing(name) => name_flaw(body, name, |answer| answer.filing),
        AnswerCheck::Status(name) => name_flaw(body, name, |answer| answer.id),
    }
}

fn name_flaw(
    body: &[u8],
    name: &str,
    field: impl FnOnce(NamedAnswer) -> Option<String>,
) -> Option<AnswerFlaw> {
    let Ok(answer) = serde_json::from_slice::<NamedAnswer>(body) else {
        return Some(AnswerFlaw::CutClean);
    };
    (field(answer).as_deref() != Some(name)).then_some(AnswerFlaw::Crossed)
}
