//! How a request ends, as its caller is told.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A number drawn for one attempt to run a request, by which its answer is matched.
///
/// It is unique across the fleet (128 random bits), so an answer that arrives late or crossed
/// can never be taken for another attempt's.
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

/// Why a request was refused before anything of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Every slot is in use and the queue holds as much as can be served in time.
    Full,
    /// The expected wait is longer than the request's deadline allows.
    TooLate,
    /// The agency already holds its fair share while others wait.
    OverShare,
    /// The instance is leaving.
    Leaving,
    /// The backend server is still starting.
    Warming,
    /// The retry budget is spent.
    BudgetSpent,
    /// No target of the service is known to be able to run it.
    NoTarget,
    /// The backend server itself refused it.
    Shed,
    /// The service is not one that this caller may reach here.
    WrongService,
    /// The filing carries no ticket, or one that is not valid.
    TicketNeeded,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It ran once and its whole answer was delivered.
    Done,
    /// It did not run: it was never handed over, or the server refused it before its start.
    NotRun {
        /// Why not.
        reason: RefusalReason,
        /// When to come back, worked out from the backlog.
        retry_after: Duration,
    },
    /// It may have run; nobody in the system can tell, and the system never sends it again.
    Unknown,
}

impl RequestOutcome {
    /// The word that callers see in the `lovagelatch-outcome` header.
    #[must_use]
    pub const fn header_value(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun { .. } => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
