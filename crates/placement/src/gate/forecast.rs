//! What a gate expects: waits, service times, the rest of a setup.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, Moment};

use super::RequestGate;

/// What remains of a setup that takes longer than announced, as a share of the announcement.
const OVERDUE_SHARE: f64 = 0.1;

/// The least speed that is forecast, in slots' worth of mean requests.
const LEAST_SPEED: f64 = 0.01;

impl RequestGate {
    /// Time a request waits behind `ahead` others. Counts on exponential remains of what runs.
    pub(super) fn wait_behind(&self, ahead: usize, now: Moment) -> Duration {
        let slots = usize::from(self.limit.current());
        let free = slots.saturating_sub(self.running.len());
        let turns = (ahead + 1).saturating_sub(free);
        let blocked = self.setup_left(now) + self.limit_left(now);
        #[allow(clippy::cast_precision_loss)]
        let turns = turns as f64;
        blocked + self.spacing(now).mul_f64(turns)
    }

    /// Time between two ends when all slots are in use.
    pub(super) fn spacing(&self, now: Moment) -> Duration {
        let slots = f64::from(self.limit.current().max(1));
        Duration::from_secs_f64(self.service_seconds(now) / slots)
    }

    /// The service time that the gate works at now. A request that already ran longer than the
    /// mean is taken to need as long again, as heavy-tailed laws have it. So a slot held by a
    /// very long request counts for little, and a server that became slow shows before any of
    /// its answers does.
    pub(super) fn service_seconds(&self, now: Moment) -> f64 {
        let mean = self.estimate.mean();
        let slots = f64::from(self.settings.slots);
        let ages = self.running.iter().map(|one| now.since(one.started));
        let slowed: f64 = ages
            .map(|age| 1.0 - mean / age.as_secs_f64().max(mean))
            .sum();
        slots * mean / (slots - slowed).max(LEAST_SPEED)
    }

    pub(super) fn limit_left(&self, now: Moment) -> Duration {
        let closed = self.limit.current() == 0;
        let raise = self.limit.next_raise().filter(|_| closed);
        raise.map_or(Duration::ZERO, |raise| raise.since(now))
    }

    pub(super) fn setup_left(&self, now: Moment) -> Duration {
        match self.condition_now(now) {
            GateCondition::Warming { remaining } => remaining,
            _ => Duration::ZERO,
        }
    }

    pub(super) fn condition_now(&self, now: Moment) -> GateCondition {
        let GateCondition::Warming { remaining } = self.condition else {
            return self.condition;
        };
        let left = remaining.saturating_sub(now.since(self.condition_since));
        GateCondition::Warming {
            remaining: left.max(remaining.mul_f64(OVERDUE_SHARE)),
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.condition == GateCondition::Open
            && self.running.len() < usize::from(self.limit.current())
    }
}
