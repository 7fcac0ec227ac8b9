//! Reads the parameters and ids of a request.

use http::HeaderMap;
use http::request::Parts;
use serde::Deserialize;

use crate::dependency::ATTEMPTS_LEFT_HEADER;

/// How long a request without `work_ms` holds its slot.
const DEFAULT_WORK_MS: u32 = 50;

/// Upper limit of `work_ms`.
const MAX_WORK_MS: u32 = 60_000;

/// Size of a download without `bytes`.
const DEFAULT_DOWNLOAD_BYTES: usize = 16 * 1024;

/// Upper limit of `bytes`.
const MAX_DOWNLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Header with the agent's id of the attempt.
pub(crate) const ATTEMPT_HEADER: &str = "lovagelatch-attempt";

/// Header with the caller's id of the request.
pub(crate) const REQUEST_HEADER: &str = "lovagelatch-caller-request";

/// The ids that identify a request in the history, and what its calls pass on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestMetadata {
    pub(crate) attempt: Option<String>,
    pub(crate) request: Option<String>,
    pub(crate) filing: Option<String>,
    pub(crate) feed: bool,
    /// The value of [`ATTEMPTS_LEFT_HEADER`], copied to the calls that the request causes.
    pub(crate) attempts_left: Option<String>,
}

impl RequestMetadata {
    pub(crate) fn new(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Self {
            attempt: text(ATTEMPT_HEADER),
            request: text(REQUEST_HEADER),
            attempts_left: text(ATTEMPTS_LEFT_HEADER),
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

/// Returns the number that the query gives for `name`, if it is valid.
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

/// Whether the request causes a call to the dependency.
pub(crate) fn needs_dependency(parts: &Parts) -> bool {
    query_number::<u8>(parts, "fetch") == Some(1)
}

pub(crate) fn download_bytes(parts: &Parts) -> usize {
    let bytes = query_number(parts, "bytes").unwrap_or(DEFAULT_DOWNLOAD_BYTES);
    bytes.min(MAX_DOWNLOAD_BYTES)
}
