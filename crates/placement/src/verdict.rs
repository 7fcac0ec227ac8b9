//! Inputs and outputs of a gate.

use std::time::Duration;

use lovagelatch_domain::{AgencyName, AttemptId, Moment, RefusalReason};

/// A request that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateRequest {
    /// Identifies the attempt; a repeated offer of it is detected by this.
    pub attempt: AttemptId,
    /// The agency whose share the request counts against. Requests without an agency share one
    /// queue.
    pub agency: Option<AgencyName>,
    /// When the request reached the gate's agent.
    pub arrived: Moment,
    /// When the caller's timeout expires. The request is never started at or after this moment.
    pub deadline: Moment,
}

/// The immediate decision about an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// The request holds a slot now. Its outcome must be reported with `finish`.
    Start,
    /// The request is queued. A [`GateAction`] follows.
    Queued,
    /// The request was not started and never will be.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
        /// When the caller should retry, estimated from the backlog.
        retry_after: Duration,
    },
    /// The gate already holds this attempt, queued or running; nothing changed. A repeated message
    /// must not produce a refusal, because a refusal is proof of *not run*.
    Duplicate,
}

/// A later decision about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// The request holds a slot now. Its outcome must be reported with `finish`.
    Start(AttemptId),
    /// The request was not started and never will be.
    Refuse {
        /// The queued attempt.
        attempt: AttemptId,
        /// Why it was refused.
        reason: RefusalReason,
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// How a request released its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The backend server answered.
    Served,
    /// The backend server refused the request before it started: it currently accepts fewer
    /// requests than its slots.
    Shed,
    /// The answer was lost.
    Lost,
    /// The caller cancelled the request, and the backend server acknowledged the cancellation. This
    /// says nothing about the server: neither its service time nor whether it works.
    Abandoned,
}
