//! When a backend server's own announcement about its health is believed.
//!
//! What goes wrong without it: a health endpoint that lags or misleads says "warming" while the
//! server answers requests. The gate then stops for seconds, again and again, and the other
//! gates carry its work. What was measured on own requests cannot be talked away, so it ranks
//! above the word:
//!
//! ```text
//!   word       believed
//!   ready      at once
//!   warming    unless an own request was answered lately, with no failure since
//!   draining   from the second read in a row on; one false read must not move all flows
//! ```

use std::time::Duration;

use lovagelatch_domain::Moment;

use crate::verdict::SlotEnd;

/// How long an answer speaks against "warming". A server that starts anew fails requests first,
/// and a failure ends it sooner.
const ANSWER_KEPT: Duration = Duration::from_secs(5);

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthWord {
    /// It takes requests.
    Ready,
    /// It is starting; this is the time it expects to need.
    Warming(Duration),
    /// It finishes what it has.
    Draining,
}

/// How the newest own requests to a backend server ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestEvidence {
    /// The newest answer, if nothing failed since.
    answered: Option<Moment>,
}

impl RequestEvidence {
    /// Notes how a request gave its slot back.
    pub fn note(&mut self, end: SlotEnd, now: Moment) {
        match end {
            SlotEnd::Served => self.answered = Some(now),
            SlotEnd::Shed | SlotEnd::Lost => self.answered = None,
            SlotEnd::Abandoned => {}
        }
    }

    fn shows_work(self, now: Moment) -> bool {
        self.answered
            .is_some_and(|answered| now.since(answered) < ANSWER_KEPT)
    }
}

/// What to act on, given the newest word and the one read before it. `None`: nothing new is
/// known, and what was believed before stays.
#[must_use]
pub fn believed_word(
    word: HealthWord,
    before: Option<HealthWord>,
    evidence: RequestEvidence,
    now: Moment,
) -> Option<HealthWord> {
    match word {
        HealthWord::Ready => Some(word),
        HealthWord::Warming(_) => (!evidence.shows_work(now)).then_some(word),
        HealthWord::Draining => (before == Some(HealthWord::Draining)).then_some(word),
    }
}
