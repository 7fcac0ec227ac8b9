//! What a request says of itself.

use http::HeaderMap;
use http::request::Parts;
use serde::Deserialize;

use crate::dependency::ATTEMPTS_HEADER;

/// How long a request holds a slot when it does not say, in milliseconds.
const DEFAULT_WORK_MS: u32 = 50;

/// Longest a request may hold a slot, in milliseconds.
const MAX_WORK_MS: u32 = 60_000;

/// Bytes of a download that does not say how many it wants, and the most it may want.
const DEFAULT_BYTES: usize = 16 * 1024;
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Header of the agent's attempt.
pub(crate) const ATTEMPT_HEADER: &str = "lovagelatch-attempt";

/// Header of the caller's own id of its request.
pub(crate) const REQUEST_HEADER: &str = "lovagelatch-caller-request";

/// What marks a request in the history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestMarks {
    pub(crate) attempt: Option<String>,
    pub(crate) request: Option<String>,
    pub(crate) filing: Option<String>,
    pub(crate) feed: bool,
    /// What the request says of attempts left; given back with calls that it needs.
    pub(crate) attempts_left: Option<String>,
}

impl RequestMarks {
    pub(crate) fn new(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Self {
            attempt: text(ATTEMPT_HEADER),
            request: text(REQUEST_HEADER),
            attempts_left: text(ATTEMPTS_HEADER),
            ..Self::default()
        }
    }
}

/// The body of a filing.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct FilingBody {
    pub(crate) filing: String,
    #[serde(default)]
    work_ms: Option<u32>,
}

impl FilingBody {
    pub(crate) fn work_ms(&self) -> u32 {
        self.work_ms.unwrap_or(DEFAULT_WORK_MS).min(MAX_WORK_MS)
    }
}

/// The number that a query gives a name, if it is one.
fn query_number<N: std::str::FromStr>(parts: &Parts, name: &str) -> Option<N> {
    let pairs = parts.uri.query()?.split('&');
    let found = pairs.filter_map(|pair| pair.split_once('='));
    let mut values = found.filter(|(key, _)| *key == name);
    values.next()?.1.parse().ok()
}

pub(crate) fn work_ms(parts: &Parts) -> u32 {
    let work = query_number(parts, "work_ms").unwrap_or(DEFAULT_WORK_MS);
    work.min(MAX_WORK_MS)
}

/// Whether the request needs a document of the service's dependency.
pub(crate) fn needs_dependency(parts: &Parts) -> bool {
    query_number::<u8>(parts, "fetch") == Some(1)
}

pub(crate) fn download_bytes(parts: &Parts) -> usize {
    let bytes = query_number(parts, "bytes").unwrap_or(DEFAULT_BYTES);
    bytes.min(MAX_BYTES)
}
