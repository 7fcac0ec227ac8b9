//! Whether a target answers its requests.
//!
//! Load pattern: a target accepts every flow, and resets each as soon as a request comes, while its
//! entry and its health endpoint say that it is well. It looks idle, so it draws more new flows than
//! any other. A client whose request may run once at most has lost it: a reset of an open flow does not
//! say that nothing ran.
//!
//! One notices by resets that come instead of an answer. Two in a row are no accident: a target in order
//! ends a flow after an answer. From then on new flows go elsewhere; after a pause one at a time is
//! taken, and the first answer clears the target. As an agent hands on only what names another agent,
//! and the last one named takes the flow whatever it thinks of its target, a service whose targets all
//! fail is not emptied.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// Requests in a row that ended in a reset, until the target counts as failing.
const CUTS_NEEDED: u8 = 2;

/// How long a failing target gets no new flow, at first. A few times what a request takes; a target
/// that starts again needs longer, and then the pause doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest such pause: what a target that is well again stays idle at most.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// See the module.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetHealth {
    /// Requests in a row that ended in a reset.
    cuts: u8,
    /// Invariant: past unless `cuts` is at least [`CUTS_NEEDED`].
    avoid_until: Moment,
    pause: Duration,
}

impl TargetHealth {
    pub(super) fn new() -> Self {
        Self {
            cuts: 0,
            avoid_until: Moment::ZERO,
            pause: FIRST_PAUSE,
        }
    }

    /// A request was answered.
    pub(super) fn note_answered(&mut self) {
        *self = Self::new();
    }

    /// A request ended in a reset of the target's, without any answer.
    pub(super) fn note_cut(&mut self, now: Moment) {
        self.cuts = self.cuts.saturating_add(1);
        // Those that were under way already when the pause began tell nothing new.
        if self.cuts >= CUTS_NEEDED && now >= self.avoid_until {
            self.avoid_until = now + self.pause;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Whether new flows are to go elsewhere, with so many requests in progress.
    pub(super) fn is_failing(&self, in_progress: u16, now: Moment) -> bool {
        self.cuts >= CUTS_NEEDED && (now < self.avoid_until || in_progress > 0)
    }
}
