//! Fault injection: faulty responses, and health and load reports that lag or mislead.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Share of responses that carry the content and ids of another request.
const CROSSED_SHARE: f64 = 0.05;

/// Share of responses that are truncated.
const TRUNCATED_SHARE: f64 = 0.05;

/// Share of responses that are delayed. A delayed response holds a slot of the agent until the
/// deadline of its request: at a few percent, delayed responses would hold all slots and hardly
/// any response could be crossed or truncated.
const DELAYED_SHARE: f64 = 0.01;

/// Share of health reads that report warming regardless of the true state.
const MISLEADING_SHARE: f64 = 0.2;

/// Remaining warm-up time in a misleading health read.
const MISLEADING_WARMUP: Duration = Duration::from_secs(5);

/// The state that the health endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// The server accepts requests.
    Ready,
    /// The server is in its cold start.
    Warming,
    /// The server should get no new requests.
    Draining,
}

/// A change of the injected faults. Fields that are left out stay unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultChange {
    /// `draining` starts the drain, which cannot be undone. Other states have no effect.
    pub state: Option<HealthState>,
    /// Whether some responses are crossed, delayed or truncated.
    pub crossed_answers: Option<bool>,
    /// Whether health and load reports are wrong.
    pub load_misleads: Option<bool>,
    /// How far the health report lags behind the true state, in milliseconds.
    pub health_lag_ms: Option<u64>,
    /// Whether cancellations take effect but get no response.
    pub lose_cancellations: Option<bool>,
}

/// The fault of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    None,
    /// It carries the content and ids of the previous request.
    Crossed,
    /// It is delayed.
    Delayed,
    /// It is truncated in the middle.
    Truncated,
}

#[derive(Debug, Default)]
struct FaultState {
    draining_since: Option<Instant>,
    crossed_answers: bool,
    load_misleads: bool,
    health_lag: Duration,
    lose_cancellations: bool,
}

/// The true health state of the server and the faults that distort its reports and responses.
#[derive(Debug)]
pub struct FaultInjector {
    started: Instant,
    cold_start: Duration,
    state: Mutex<FaultState>,
}

impl FaultInjector {
    /// Returns the injector of a server that starts now and is warm after `cold_start`.
    #[must_use]
    pub fn new(cold_start: Duration) -> Self {
        Self {
            started: Instant::now(),
            cold_start,
            state: Mutex::default(),
        }
    }

    /// Applies a change. Returns whether the change started the drain.
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
        let starts_drain =
            change.state == Some(HealthState::Draining) && state.draining_since.is_none();
        if starts_drain {
            state.draining_since = Some(Instant::now());
        }
        starts_drain
    }

    /// Returns the time until the server is warm.
    #[must_use]
    pub fn warmup_remaining(&self) -> Duration {
        self.cold_start.saturating_sub(self.started.elapsed())
    }

    /// Returns the state and the remaining warm-up time that the health endpoint reports.
    pub fn reported_health(&self) -> (HealthState, Duration) {
        let state = self.state.lock();
        let lag = state.health_lag;
        if state.load_misleads && rand::rng().random_bool(MISLEADING_SHARE) {
            return (HealthState::Warming, MISLEADING_WARMUP);
        }
        let draining = state.draining_since;
        if draining.is_some_and(|since| since.elapsed() >= lag) {
            return (HealthState::Draining, Duration::ZERO);
        }
        let reported_age = self.started.elapsed().saturating_sub(lag);
        let remaining = self.cold_start.saturating_sub(reported_age);
        if remaining.is_zero() {
            (HealthState::Ready, remaining)
        } else {
            (HealthState::Warming, remaining)
        }
    }

    /// Returns the number of used slots that the load endpoint reports when `in_use` of `slots`
    /// are in use.
    #[must_use]
    pub fn reported_load(&self, in_use: u16, slots: u16) -> u16 {
        if self.state.lock().load_misleads {
            slots.saturating_sub(in_use)
        } else {
            in_use
        }
    }

    /// Whether cancellations get no response.
    #[must_use]
    pub fn loses_cancellations(&self) -> bool {
        self.state.lock().lose_cancellations
    }

    pub(crate) fn draw_response_fault(&self) -> ResponseFault {
        if !self.state.lock().crossed_answers {
            return ResponseFault::None;
        }
        let draw: f64 = rand::rng().random();
        if draw < CROSSED_SHARE {
            ResponseFault::Crossed
        } else if draw < CROSSED_SHARE + TRUNCATED_SHARE {
            ResponseFault::Truncated
        } else if draw < CROSSED_SHARE + TRUNCATED_SHARE + DELAYED_SHARE {
            ResponseFault::Delayed
        } else {
            ResponseFault::None
        }
    }
}
