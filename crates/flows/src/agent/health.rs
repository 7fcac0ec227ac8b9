//! Detects a target that resets requests instead of answering them.
//!
//! A failing target may accept every flow and reset each one when a request arrives, while its
//! store entry and its health endpoint report it healthy. It looks idle, so it attracts more new
//! flows than any other target. A client whose request must not be retried loses it: a reset of an
//! open flow does not prove that nothing ran.
//!
//! Such a target is detected by resets in place of answers. Two in a row are not a coincidence: a
//! healthy target ends a flow only after an answer. From then on new flows go elsewhere; after a
//! backoff one flow at a time is admitted, and the first answer marks the target healthy again. An
//! agent forwards only offers that name another agent, and the last agent named delivers the flow
//! whatever the health of its target, so a service whose targets all fail still receives flows.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// Consecutive requests that end in a reset before the target counts as failing.
const MIN_CONSECUTIVE_RESETS: u8 = 2;

/// How long a failing target first gets no new flows. A few times the duration of a request; a
/// target that is restarting needs longer, and then the backoff doubles.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// The longest backoff, and so the longest time that a recovered target stays idle.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Passive health check of the target; see the module documentation.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetHealth {
    consecutive_resets: u8,
    /// Invariant: in the past unless `consecutive_resets` is at least [`MIN_CONSECUTIVE_RESETS`].
    avoid_until: Moment,
    backoff: Duration,
}

impl TargetHealth {
    pub(super) fn new() -> Self {
        Self {
            consecutive_resets: 0,
            avoid_until: Moment::ZERO,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Records that the target answered a request.
    pub(super) fn record_answer(&mut self) {
        *self = Self::new();
    }

    /// Records that the target reset a flow with an unanswered request.
    pub(super) fn record_reset(&mut self, now: Moment) {
        self.consecutive_resets = self.consecutive_resets.saturating_add(1);
        // Requests that were in flight when the backoff began are no new evidence.
        if self.consecutive_resets >= MIN_CONSECUTIVE_RESETS && now >= self.avoid_until {
            self.avoid_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Returns whether new flows should go elsewhere while `in_progress` requests are unanswered.
    pub(super) fn is_failing(&self, in_progress: u16, now: Moment) -> bool {
        self.consecutive_resets >= MIN_CONSECUTIVE_RESETS
            && (now < self.avoid_until || in_progress > 0)
    }
}
