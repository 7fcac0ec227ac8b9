//! Checks responses and determines the outcome of their requests.

use std::time::Duration;

use h3::error::StreamError;
use http::{HeaderMap, Response};
use lovagelatch_history::{ObservedOutcome, RequestEnd, ResponseFlaw, content_matches};
use serde::Deserialize;

use crate::exchange::{ExchangeRequest, ExchangeResult, ResponseCheck};

/// The HTTP/3 code of a request that was not processed (RFC 9114, section 8.1).
const H3_REQUEST_REJECTED: u64 = 0x10b;

#[derive(Deserialize)]
struct NamedResponse {
    filing: Option<String>,
    id: Option<String>,
}

/// Returns the result of a request without a response.
pub(crate) fn no_response(
    outcome: ObservedOutcome,
    reason: String,
) -> (RequestEnd, ExchangeResult) {
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

/// Returns the result of a request whose stream failed before the response headers arrived.
pub(crate) fn stream_failed(error: &StreamError) -> (RequestEnd, ExchangeResult) {
    let rejected = matches!(error, StreamError::RemoteTerminate { code, .. }
        if code.value() == H3_REQUEST_REJECTED);
    let outcome = if rejected {
        ObservedOutcome::NotRun
    } else {
        ObservedOutcome::Unknown
    };
    no_response(outcome, error.to_string())
}

/// Returns the result of a request whose response body was truncated.
pub(crate) fn truncated<E: std::fmt::Display>(
    response: &Response<()>,
    error: &E,
) -> (RequestEnd, ExchangeResult) {
    let (mut end, result) = no_response(ObservedOutcome::Unknown, error.to_string());
    end.status = response.status().as_u16();
    end.agent = header_text(response.headers(), "lovagelatch-agent");
    end.flaw = Some(ResponseFlaw::BrokeOff);
    (end, result)
}

/// Returns the value of a header if it is present and valid text.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Returns the delay before a retry that the response asks for.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name: &str| header_text(headers, name)?.parse::<u64>().ok();
    let exact = number("lovagelatch-retry-after-ms").map(Duration::from_millis);
    exact.or(number("retry-after").map(Duration::from_secs))
}

/// Returns the outcome that the response states. Without a statement, a status of success counts as
/// done and every other status as unknown.
pub(crate) fn response_outcome(response: &Response<()>) -> ObservedOutcome {
    match header_text(response.headers(), "lovagelatch-outcome").as_deref() {
        Some("done") => ObservedOutcome::Done,
        Some("not-run") => ObservedOutcome::NotRun,
        None if response.status().is_success() => ObservedOutcome::Done,
        _ => ObservedOutcome::Unknown,
    }
}

/// Checks a complete response and returns its record and the result for the caller.
pub(crate) fn check_response(
    response: &Response<()>,
    body: &[u8],
    request: &ExchangeRequest,
    id: &str,
    service: &str,
) -> (RequestEnd, ExchangeResult) {
    let headers = response.headers();
    let mut outcome = response_outcome(response);
    let mut flaw = None;
    let mut answered_for = None;
    if outcome == ObservedOutcome::Done {
        let announced_length =
            header_text(headers, "content-length").and_then(|length| length.parse().ok());
        flaw = find_flaw(response, body, announced_length, &request.check);
        if header_text(headers, "lovagelatch-service").is_some_and(|named| named != service) {
            flaw = Some(ResponseFlaw::WrongService);
        }
        if flaw == Some(ResponseFlaw::CutClean) {
            outcome = ObservedOutcome::Unknown;
        }
        answered_for =
            header_text(headers, "lovagelatch-caller-request").filter(|answered| answered != id);
    }
    let reason = (outcome != ObservedOutcome::Done).then(|| {
        let excerpt = String::from_utf8_lossy(&body[..body.len().min(200)]);
        excerpt.into_owned()
    });
    let status = response.status().as_u16();
    let end = RequestEnd {
        outcome,
        status,
        flaw,
        answered_for,
        agent: header_text(headers, "lovagelatch-agent"),
        reason,
    };
    let result = ExchangeResult {
        outcome,
        status,
        retry_after: retry_after(headers),
        ticket: header_text(headers, "lovagelatch-ticket"),
    };
    (end, result)
}

fn find_flaw(
    response: &Response<()>,
    body: &[u8],
    announced_length: Option<usize>,
    check: &ResponseCheck,
) -> Option<ResponseFlaw> {
    if announced_length.is_some_and(|length| body.len() < length) {
        return Some(ResponseFlaw::CutClean);
    }
    if !response.status().is_success() {
        return None;
    }
    match check {
        ResponseCheck::Any => None,
        ResponseCheck::Download(id, _) if !content_matches(id, body) => Some(ResponseFlaw::Crossed),
        ResponseCheck::Download(_, bytes) if body.len() < *bytes => Some(ResponseFlaw::CutClean),
        ResponseCheck::Download(..) => None,
        ResponseCheck::Filing(name) => check_name(body, name, |response| response.filing),
        ResponseCheck::Status(name) => check_name(body, name, |response| response.id),
    }
}

fn check_name(
    body: &[u8],
    name: &str,
    field: impl FnOnce(NamedResponse) -> Option<String>,
) -> Option<ResponseFlaw> {
    let Ok(response) = serde_json::from_slice::<NamedResponse>(body) else {
        return Some(ResponseFlaw::CutClean);
    };
    (field(response).as_deref() != Some(name)).then_some(ResponseFlaw::Crossed)
}
