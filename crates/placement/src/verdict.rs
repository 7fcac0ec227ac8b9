//! What goes into a gate and what comes out.

use std::time::Duration;

use lovagelatch_domain::{AgencyName, AttemptId, Moment, RefusalReason};

/// A request that asks a gate for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The agency whose share it counts against; those without one share one class.
    pub agency: Option<AgencyName>,
    /// When it came.
    pub arrived: Moment,
    /// When its caller stops waiting. It is never started at or after this moment.
    pub deadline: Moment,
}

/// What a gate says to a request at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// It holds a slot now; its end must be told by `finish`.
    Start,
    /// It waits; a [`GateAction`] will follow.
    Queued,
    /// It was not started and never will be.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, worked out from the backlog.
        retry_after: Duration,
    },
    /// The gate holds this attempt already, waiting or running; nothing changed. A repeated
    /// message must not turn into a refusal, which would be read as proof of *not run*.
    Duplicate,
}

/// What a gate tells about a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// It holds a slot now; its end must be told by `finish`.
    Start(AttemptId),
    /// It was not started and never will be.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// How a request gave its slot back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// The backend server answered it.
    Served,
    /// The backend server refused it before its start: it takes fewer than its slots now.
    Shed,
    /// Its answer is lost.
    Lost,
    /// Its caller gave up, and the backend server confirmed that it heard of it. This says
    /// nothing about the server: neither how long a request takes nor whether it works.
    Abandoned,
}
