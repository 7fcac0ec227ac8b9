//! A request and how an attempt to run it ends, whichever gate it goes through.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use lovagelatch_domain::{AgencyName, AttemptId, RefusalReason};
use lovagelatch_placement::AttemptAllowance;
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::backend::{AheadBody, BackendBody, CANCEL_WAIT};
use crate::relay::RelayBody;

/// Longest silence within an answer that is no feed. Its sender is stuck or cut off then.
pub(crate) const PIECE_TIMEOUT: Duration = Duration::from_secs(10);

/// The part of a request's time that is kept for a cancellation, as a divisor.
const CANCEL_PART: u32 = 4;

/// A caller's request. Its body is whole and bounded, so that it can be offered to a second
/// gate after a first one refused it.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: String,
    /// Invariant: holds no hop-by-hop field and none of the agent's own.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The agency whose share it counts against.
    pub(crate) agency: Option<AgencyName>,
    /// How many more attempts it and all it causes may make.
    pub(crate) allowance: AttemptAllowance,
    pub(crate) arrived: Instant,
    /// When its caller stops waiting for the start of an answer.
    pub(crate) deadline: Instant,
}

impl CallerRequest {
    /// Time until the deadline, zero when it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The part of its time that is kept for a cancellation and its answer.
    pub(crate) fn cancel_reserve(&self) -> Duration {
        let whole = self.deadline.saturating_duration_since(self.arrived);
        CANCEL_WAIT.min(whole / CANCEL_PART)
    }

    /// Whether an answer can no longer come in time.
    pub(crate) fn is_late(&self) -> bool {
        self.time_left() <= self.cancel_reserve()
    }

    /// Whether it asks for an event stream, which holds a connection but no slot.
    pub(crate) fn is_feed(&self) -> bool {
        let accept = self.headers.get(http::header::ACCEPT);
        let accept = accept.and_then(|value| value.to_str().ok()).unwrap_or("");
        accept.contains("text/event-stream")
    }
}

/// Draws the number of an attempt.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId(rand::rng().random())
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Invariant: holds no hop-by-hop field and none of the agent's own.
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

/// Where the rest of an answer comes from.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// It is here.
    Whole(Option<Bytes>),
    /// From the own backend server, as its caller reads.
    Backend(Box<BackendBody>),
    /// From the own backend server, read ahead of its caller.
    Ahead(AheadBody),
    /// From a peer's gate.
    Relay(Box<RelayBody>),
}

/// The answer ended before it was whole.
///
/// Passed on as a clean end, a caller would take half a certificate for a whole one; so the
/// stream to the caller is reset instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer ended before it was whole")]
pub(crate) struct BodyCut;

impl AnswerBody {
    /// The next piece; `None` once the answer is whole.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyCut> {
        match self {
            Self::Whole(bytes) => Ok(bytes.take().filter(|bytes| !bytes.is_empty())),
            Self::Backend(body) => body.next().await,
            Self::Ahead(body) => body.next().await,
            Self::Relay(body) => body.next().await,
        }
    }

    /// All of it, if it is at most `limit` bytes long.
    pub(crate) async fn collect(&mut self, limit: usize) -> Result<Vec<u8>, BodyCut> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(BodyCut);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole)
    }
}

/// Why and until when a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    /// When to come back.
    pub(crate) retry_after: Duration,
    /// The attempts that a dependency left, if it was one that refused.
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

    /// Sets the attempts that came back from further down.
    #[must_use]
    pub(crate) fn with_returned(mut self, returned: Option<AttemptAllowance>) -> Self {
        self.returned = returned;
        self
    }
}

/// How one attempt ended, or that its answer has started.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// An answer has started.
    Answered(Answer),
    /// It did not run and will not.
    NotRun(Refusal),
    /// It may have run. Never sent again.
    Unknown,
}
