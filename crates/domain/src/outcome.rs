//! Request outcomes as they are reported to callers.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A random identifier of one attempt to run a request, used to match its answer.
///
/// It is unique across the fleet (128 random bits), so an answer that arrives late or at the
/// wrong connection cannot be mistaken for the answer to another attempt.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptId(pub u128);

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Why a request was refused before any part of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Every slot is in use, and the queue is as long as can be served in time.
    Full,
    /// The expected wait exceeds the request's deadline.
    TooLate,
    /// The agency already uses its fair share while other agencies are waiting.
    OverShare,
    /// The instance is draining and accepts no new requests.
    Leaving,
    /// The backend server is still starting.
    Warming,
    /// The retry budget is exhausted.
    BudgetSpent,
    /// No known target of the service can run the request.
    NoTarget,
    /// The backend server refused the request.
    Shed,
    /// The caller may not reach this service here.
    WrongService,
    /// The request needs a request ticket and carries none, or an invalid one.
    TicketNeeded,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The request ran once and its complete answer was delivered.
    Done,
    /// The request did not run: it was never sent to a backend server, or the server refused it
    /// before starting it.
    NotRun {
        /// Why it was refused.
        reason: RefusalReason,
        /// How long to wait before retrying, computed from the backlog.
        retry_after: Duration,
    },
    /// The request may or may not have run. The system cannot tell and never retries it.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the `lovagelatch-outcome` header.
    #[must_use]
    pub const fn header_value(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun { .. } => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
