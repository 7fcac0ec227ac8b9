//! What a caller makes of an answer.

use std::time::Duration;

use h3::error::StreamError;
use http::{HeaderMap, Response};
use lovagelatch_history::{ObservedOutcome, RequestEnd, ResponseFlaw, content_matches};
use serde::Deserialize;

use crate::exchange::{AnswerCheck, ExchangeRequest, ExchangeResult};

/// HTTP/3's code for a request that was not processed at all (RFC 9114, section 8.1).
const H3_REQUEST_REJECTED: u64 = 0x10b;

#[derive(Deserialize)]
struct NamedAnswer {
    filing: Option<String>,
    id: Option<String>,
}

pub(crate) fn unanswered(outcome: ObservedOutcome, reason: String) -> (RequestEnd, ExchangeResult) {
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

pub(crate) fn broken(error: &StreamError) -> (RequestEnd, ExchangeResult) {
    let rejected = matches!(error, StreamError::RemoteTerminate { code, .. }
        if code.value() == H3_REQUEST_REJECTED);
    let outcome = if rejected {
        ObservedOutcome::NotRun
    } else {
        ObservedOutcome::Unknown
    };
    unanswered(outcome, error.to_string())
}

pub(crate) fn broke_off<E: std::fmt::Display>(
    answer: &Response<()>,
    error: &E,
) -> (RequestEnd, ExchangeResult) {
    let (mut end, result) = unanswered(ObservedOutcome::Unknown, error.to_string());
    end.status = answer.status().as_u16();
    end.agent = text(answer.headers(), "lovagelatch-agent");
    end.flaw = Some(ResponseFlaw::BrokeOff);
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
pub(crate) fn outcome_of(answer: &Response<()>) -> ObservedOutcome {
    match text(answer.headers(), "lovagelatch-outcome").as_deref() {
        Some("done") => ObservedOutcome::Done,
        Some("not-run") => ObservedOutcome::NotRun,
        None if answer.status().is_success() => ObservedOutcome::Done,
        _ => ObservedOutcome::Unknown,
    }
}

pub(crate) fn judge(
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
    if outcome == ObservedOutcome::Done {
        let announced = text(headers, "content-length").and_then(|length| length.parse().ok());
        flaw = flaw_of(answer, body, announced, &request.check);
        if text(headers, "lovagelatch-service").is_some_and(|named| named != service) {
            flaw = Some(ResponseFlaw::WrongService);
        }
        if flaw == Some(ResponseFlaw::CutClean) {
            outcome = ObservedOutcome::Unknown;
        }
        answered_for =
            text(headers, "lovagelatch-caller-request").filter(|answered| answered != id);
    }
    let said = (outcome != ObservedOutcome::Done).then(|| {
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
) -> Option<ResponseFlaw> {
    if announced.is_some_and(|length| body.len() < length) {
        return Some(ResponseFlaw::CutClean);
    }
    if !answer.status().is_success() {
        return None;
    }
    match check {
        AnswerCheck::Any => None,
        AnswerCheck::Download(id, _) if !content_matches(id, body) => Some(ResponseFlaw::Crossed),
        AnswerCheck::Download(_, bytes) if body.len() < *bytes => Some(ResponseFlaw::CutClean),
        AnswerCheck::Download(..) => None,
        AnswerCheck::Filing(name) => name_flaw(body, name, |answer| answer.filing),
        AnswerCheck::Status(name) => name_flaw(body, name, |answer| answer.id),
    }
}

fn name_flaw(
    body: &[u8],
    name: &str,
    field: impl FnOnce(NamedAnswer) -> Option<String>,
) -> Option<ResponseFlaw> {
    let Ok(answer) = serde_json::from_slice::<NamedAnswer>(body) else {
        return Some(ResponseFlaw::CutClean);
    };
    (field(answer).as_deref() != Some(name)).then_some(ResponseFlaw::Crossed)
}
