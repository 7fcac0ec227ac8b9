//! Forwarding rules for header fields, and the names of the fields that the agent sets.

use http::HeaderMap;
use http::header::{self, HeaderName, HeaderValue};
use lovagelatch_placement::AttemptAllowance;
use lovagelatch_wire::WireHeader;
use smallvec::SmallVec;

pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("lovagelatch-outcome");
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("lovagelatch-retry-after-ms");
pub(crate) const TICKET: HeaderName = HeaderName::from_static("lovagelatch-ticket");
pub(crate) const AGENT: HeaderName = HeaderName::from_static("lovagelatch-agent");
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("lovagelatch-deadline-ms");
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("lovagelatch-attempt");
pub(crate) const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static(AttemptAllowance::HEADER);
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The caller's own request ID; forwarded in both directions.
pub(crate) const CALLER_REQUEST: HeaderName = HeaderName::from_static("lovagelatch-caller-request");

/// Prefix of the load balancer's fields. Except for [`CALLER_REQUEST`] they are not forwarded:
/// otherwise a caller could forge fields that only agents and backend servers may set.
const RESERVED_PREFIX: &str = "lovagelatch-";

/// Hop-by-hop fields (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

fn is_forwarded(name: &HeaderName) -> bool {
    if name == CALLER_REQUEST {
        return true;
    }
    let reserved = name.as_str().starts_with(RESERVED_PREFIX);
    !reserved && !HOP_BY_HOP.contains(name) && name.as_str() != "keep-alive"
}

/// The fields that are forwarded end to end.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| is_forwarded(name)) {
        forwarded.append(name, value.clone());
    }
    forwarded
}

/// Encodes fields for a relay message.
pub(crate) fn to_wire(headers: &HeaderMap) -> SmallVec<[WireHeader; 8]> {
    let fields = headers.iter().map(|(name, value)| WireHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

/// Decodes the fields of a relay message. Invalid fields are skipped.
pub(crate) fn from_wire(fields: &[WireHeader]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    end_to_end(&headers)
}

/// Parses the remaining attempts of a request from another process. A missing or invalid value
/// permits no retry, because a chain of dependency calls must not gain attempts.
pub(crate) fn parse_allowance(value: Option<&[u8]>) -> AttemptAllowance {
    let text = value.and_then(|value| std::str::from_utf8(value).ok());
    let allowance = text.and_then(|text| AttemptAllowance::from_header(text).ok());
    allowance.unwrap_or_else(|| AttemptAllowance::new().for_retry().unwrap_or_default())
}

/// The remaining attempts that a dependency returned with its refusal, if present. An invalid
/// number counts as no attempts left.
pub(crate) fn returned_allowance(headers: &HeaderMap) -> Option<AttemptAllowance> {
    let value = headers.get(ATTEMPTS_LEFT)?;
    let text = value.to_str().ok();
    let allowance = text.and_then(|text| AttemptAllowance::from_header(text).ok());
    Some(allowance.unwrap_or_else(AttemptAllowance::none))
}

/// Parses a numeric field; `None` if it is missing or invalid.
pub(crate) fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
