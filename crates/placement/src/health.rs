//! Decides when the health that a backend server reports is trusted.
//!
//! A health endpoint that lags or misleads reports "warming" while the server answers requests. If
//! the gate trusted it, the gate would stop for seconds at a time, repeatedly, and the other gates
//! would carry its load. The outcomes of own requests are measured, so they take precedence over
//! the report:
//!
//! ```text
//!   status     trusted
//!   ready      at once
//!   warming    unless an own request was answered recently and none failed since
//!   draining   from the second consecutive read on; one false read must not move all flows
//! ```

use std::time::Duration;

use lovagelatch_domain::Moment;

use crate::verdict::SlotOutcome;

/// How long an answer overrides "warming". A server that restarts fails requests first, and a
/// failure clears the answer before this time is over.
const ANSWER_TTL: Duration = Duration::from_secs(5);

/// The health that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// The server accepts requests.
    Ready,
    /// The server is starting; holds the remaining time that it expects.
    Warming(Duration),
    /// The server finishes its open requests and accepts no new work.
    Draining,
}

/// Passive health check: the outcomes of the latest own requests to a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassiveHealth {
    /// Time of the latest answer; `None` once a request has failed since.
    answered: Option<Moment>,
}

impl PassiveHealth {
    /// Records the outcome of a request that released its slot.
    pub fn record(&mut self, outcome: SlotOutcome, now: Moment) {
        match outcome {
            SlotOutcome::Served => self.answered = Some(now),
            SlotOutcome::Shed | SlotOutcome::Lost => self.answered = None,
            SlotOutcome::Abandoned => {}
        }
    }

    fn answered_recently(self, now: Moment) -> bool {
        self.answered
            .is_some_and(|answered| now.since(answered) < ANSWER_TTL)
    }
}

/// Returns the status to act on, given the latest read and the one before it. Returns `None` if the
/// read is not trusted; the status in force then stays.
#[must_use]
pub fn trusted_status(
    status: HealthStatus,
    previous: Option<HealthStatus>,
    passive: PassiveHealth,
    now: Moment,
) -> Option<HealthStatus> {
    match status {
        HealthStatus::Ready => Some(status),
        HealthStatus::Warming(_) => (!passive.answered_recently(now)).then_some(status),
        HealthStatus::Draining => (previous == Some(HealthStatus::Draining)).then_some(status),
    }
}
