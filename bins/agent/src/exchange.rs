//! Requests, responses and the outcomes of attempts, independent of the gate used.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use lovagelatch_domain::{AgencyName, AttemptId, RefusalReason};
use lovagelatch_placement::AttemptAllowance;
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::backend::{BackendBody, CANCEL_TIMEOUT, ReadAheadBody};
use crate::relay::RelayBody;

/// Maximum gap between two chunks of a response that is not a feed. After that its sender counts
/// as stuck or disconnected.
pub(crate) const BODY_CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// The share of a request's time that is reserved for its cancellation, as a divisor.
const CANCEL_RESERVE_DIVISOR: u32 = 4;

/// A caller's request. Its body is bounded and fully buffered, so that it can be sent to another
/// gate after a refusal.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    /// The path including the query.
    pub(crate) path: String,
    /// Invariant: contains no hop-by-hop and no reserved header fields.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The agency to whose share the request is charged.
    pub(crate) agency: Option<AgencyName>,
    /// How many more attempts the request, including its dependency calls, may make.
    pub(crate) allowance: AttemptAllowance,
    pub(crate) arrived: Instant,
    /// When the caller stops waiting for the start of a response.
    pub(crate) deadline: Instant,
}

impl CallerRequest {
    /// Time until the deadline; zero once it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time reserved before the deadline for a cancellation and its acknowledgement.
    pub(crate) fn cancel_reserve(&self) -> Duration {
        let total = self.deadline.saturating_duration_since(self.arrived);
        CANCEL_TIMEOUT.min(total / CANCEL_RESERVE_DIVISOR)
    }

    /// Whether it is too late for a response: only the cancellation reserve is left.
    pub(crate) fn is_late(&self) -> bool {
        self.time_left() <= self.cancel_reserve()
    }

    /// Whether the caller accepts an event stream. A feed holds a connection but no slot.
    pub(crate) fn is_feed(&self) -> bool {
        let accept = self.headers.get(http::header::ACCEPT);
        let accept = accept.and_then(|value| value.to_str().ok()).unwrap_or("");
        accept.contains("text/event-stream")
    }
}

/// Returns a random attempt ID.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId(rand::rng().random())
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct AttemptResponse {
    pub(crate) status: StatusCode,
    /// Invariant: contains no hop-by-hop and no reserved header fields.
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

/// The source of a response body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Fully in memory.
    Buffered(Option<Bytes>),
    /// Streamed from the local backend server at the caller's pace.
    Backend(Box<BackendBody>),
    /// Read ahead from the local backend server, faster than the caller reads.
    ReadAhead(ReadAheadBody),
    /// Relayed from a peer's gate.
    Relay(Box<RelayBody>),
}

/// The response ended before its body was complete.
///
/// Ending the caller's stream cleanly would make half a certificate look complete, so the stream
/// is reset instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response body truncated")]
pub(crate) struct TruncatedBody;

impl ResponseBody {
    /// The next chunk; `None` once the body is complete.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        match self {
            Self::Buffered(bytes) => Ok(bytes.take().filter(|bytes| !bytes.is_empty())),
            Self::Backend(body) => body.next().await,
            Self::ReadAhead(body) => body.next().await,
            Self::Relay(body) => body.next().await,
        }
    }

    /// Reads the whole body. Fails when it is truncated or longer than `limit` bytes.
    pub(crate) async fn collect(&mut self, limit: usize) -> Result<Vec<u8>, TruncatedBody> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.next().await? {
            if whole.len() + chunk.len() > limit {
                return Err(TruncatedBody);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole)
    }
}

/// A proof that a request did not run, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    /// How long the caller should wait before a retry.
    pub(crate) retry_after: Duration,
    /// The remaining attempts that a dependency returned with its refusal.
    pub(crate) returned: Option<AttemptAllowance>,
}

impl Refusal {
    pub(crate) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            returned: None,
        }
    }

    /// Sets the remaining attempts that a dependency returned.
    #[must_use]
    pub(crate) fn with_returned(mut self, returned: Option<AttemptAllowance>) -> Self {
        self.returned = returned;
        self
    }
}

/// The outcome of one attempt; a response may still be streaming.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The response has started.
    Answered(AttemptResponse),
    /// The request did not run and will not.
    NotRun(Refusal),
    /// The request may have run. Never retried.
    Unknown,
}
