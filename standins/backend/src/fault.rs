//! What the server says of itself, and the faults a test has switched on.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// The shares of answers that come crossed, cut and late. A late answer holds the agent's slot
/// until the request's deadline; a share of a few percent would hold them all, and then hardly
/// any answer would be left to be crossed or cut.
const CROSSED_SHARE: f64 = 0.05;
const CUT_SHARE: f64 = 0.05;
const LATE_SHARE: f64 = 0.01;

/// The share of health reads that mislead.
const MISLEADING_SHARE: f64 = 0.2;

/// How long a misleading health read says that the server is still warming.
const MISLEADING_WARMING: Duration = Duration::from_secs(5);

/// What the health endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// It takes requests.
    Ready,
    /// It is still starting.
    Warming,
    /// It wants no new requests.
    Draining,
}

/// A change of the faults; what is left out stays as it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultChange {
    /// `draining`: the server begins to leave; it does not come back.
    pub state: Option<HealthState>,
    /// Answers come crossed, late or cut now and then.
    pub crossed_answers: Option<bool>,
    /// Health and load mislead.
    pub load_misleads: Option<bool>,
    /// How far health lags, in milliseconds.
    pub health_lag_ms: Option<u64>,
    /// Cancellations are taken and their answers lost.
    pub lose_cancellations: Option<bool>,
}

/// What happens to one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFault {
    None,
    /// It bears the marks of the answer before it.
    Crossed,
    /// It is held back.
    Late,
    /// It breaks off in the middle.
    Cut,
}

#[derive(Debug, Default)]
struct FaultState {
    draining_since: Option<Instant>,
    crossed_answers: bool,
    load_misleads: bool,
    health_lag: Duration,
    lose_cancellations: bool,
}

/// The faults that are on, and the states they hide.
#[derive(Debug)]
pub struct FaultBoard {
    started: Instant,
    cold: Duration,
    state: Mutex<FaultState>,
}

impl FaultBoard {
    /// A server that starts now and needs `cold` until it works at full speed.
    #[must_use]
    pub fn new(cold: Duration) -> Self {
        Self {
            started: Instant::now(),
            cold,
            state: Mutex::default(),
        }
    }

    /// Takes a change; true when the server begins to leave by it.
    pub fn apply(&self, change: &FaultChange) -> bool {
        let mut state = self.state.lock();
        if let Some(crossed) = change.crossed_answers {
            state.crossed_answers = crossed;
        }
        if let Some(misleads) = change.load_misleads {
            state.load_misleads = misleads;
        }
        if let Some(lag_ms) = change.health_lag_ms {
            state.health_lag = Duration::from_millis(lag_ms);
        }
        if let Some(lose) = change.lose_cancellations {
            state.lose_cancellations = lose;
        }
        let begins = change.state == Some(HealthState::Draining) && state.draining_since.is_none();
        if begins {
            state.draining_since = Some(Instant::now());
        }
        begins
    }

    /// How long the server still warms up.
    #[must_use]
    pub fn warming(&self) -> Duration {
        self.cold.saturating_sub(self.started.elapsed())
    }

    /// What the health endpoint says now, and the rest of warming that it claims.
    pub fn shown_health(&self) -> (HealthState, Duration) {
        let state = self.state.lock();
        let lag = state.health_lag;
        if state.load_misleads && rand::rng().random_bool(MISLEADING_SHARE) {
            return (HealthState::Warming, MISLEADING_WARMING);
        }
        let draining = state.draining_since;
        if draining.is_some_and(|since| since.elapsed() >= lag) {
            return (HealthState::Draining, Duration::ZERO);
        }
        let shown_age = self.started.elapsed().saturating_sub(lag);
        let warming = self.cold.saturating_sub(shown_age);
        if warming.is_zero() {
            (HealthState::Ready, warming)
        } else {
            (HealthState::Warming, warming)
        }
    }

    /// What the load endpoint says of `in_use` slots out of `slots`.
    #[must_use]
    pub fn shown_load(&self, in_use: u16, slots: u16) -> u16 {
        if self.state.lock().load_misleads {
            slots.saturating_sub(in_use)
        } else {
            in_use
        }
    }

    /// Whether the answer to a cancellation is lost.
    #[must_use]
    pub fn loses_cancellations(&self) -> bool {
        self.state.lock().lose_cancellations
    }

    pub(crate) fn draw_answer_fault(&self) -> AnswerFault {
        if !self.state.lock().crossed_answers {
            return AnswerFault::None;
        }
        let draw: f64 = rand::rng().random();
        if draw < CROSSED_SHARE {
            AnswerFault::Crossed
        } else if draw < CROSSED_SHARE + CUT_SHARE {
            AnswerFault::Cut
        } else if draw < CROSSED_SHARE + CUT_SHARE + LATE_SHARE {
            AnswerFault::Late
        } else {
            AnswerFault::None
        }
    }
}
