//! Which header fields go through, and the names of those the agent sets itself.

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

/// The caller's own number for a request, which passes both ways.
pub(crate) const CALLER_REQUEST: HeaderName = HeaderName::from_static("lovagelatch-caller-request");

/// The prefix of fields that only the system sets. A caller that set them could pass for it.
const OWN_PREFIX: &str = "lovagelatch-";

/// Fields about one connection, not about the message (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

fn passes(name: &HeaderName) -> bool {
    if name == CALLER_REQUEST {
        return true;
    }
    let own = name.as_str().starts_with(OWN_PREFIX);
    !own && !HOP_BY_HOP.contains(name) && name.as_str() != "keep-alive"
}

/// The fields that pass from one side to the other.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| passes(name)) {
        passed.append(name, value.clone());
    }
    passed
}

/// Fields as they travel between agents.
pub(crate) fn to_wire(headers: &HeaderMap) -> SmallVec<[WireHeader; 8]> {
    let fields = headers.iter().map(|(name, value)| WireHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

/// Fields from another agent; unreadable ones are left out.
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

/// The attempts left of a request that another part of the system sent. One that says nothing
/// readable gets none: a chain of dependencies must not gain attempts on its way.
pub(crate) fn allowance_of(value: Option<&[u8]>) -> AttemptAllowance {
    let text = value.and_then(|value| std::str::from_utf8(value).ok());
    let allowance = text.and_then(|text| AttemptAllowance::from_header(text).ok());
    allowance.unwrap_or_else(|| AttemptAllowance::new().for_retry().unwrap_or_default())
}

/// The attempts that a refusal brings back from further down, if it names any. An unreadable
/// number counts as none left.
pub(crate) fn returned_by(headers: &HeaderMap) -> Option<AttemptAllowance> {
    let value = headers.get(ATTEMPTS_LEFT)?;
    let text = value.to_str().ok();
    let allowance = text.and_then(|text| AttemptAllowance::from_header(text).ok());
    Some(allowance.unwrap_or_else(AttemptAllowance::none))
}

/// A field that holds a number.
pub(crate) fn number_of(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
