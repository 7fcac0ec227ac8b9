//! Forecasts of a gate: queueing delay, service time, and remaining warm-up.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, Moment};

use super::RequestGate;

/// Remaining warm-up that is assumed once the announced time is over, as a share of that time.
const OVERDUE_WARMUP_SHARE: f64 = 0.1;

/// Lower bound of the effective slots in the forecast.
const MIN_EFFECTIVE_SLOTS: f64 = 0.01;

impl RequestGate {
    /// Returns the expected wait behind `ahead` queued requests. Assumes that the remaining service
    /// times of running requests are exponentially distributed.
    pub(super) fn wait_behind(&self, ahead: usize, now: Moment) -> Duration {
        let slots = usize::from(self.limit.current());
        let free = slots.saturating_sub(self.running.len());
        let turns = (ahead + 1).saturating_sub(free);
        let blocked = self.warmup_remaining(now) + self.limit_remaining(now);
        #[allow(clippy::cast_precision_loss)]
        let turns = turns as f64;
        blocked + self.completion_interval(now).mul_f64(turns)
    }

    /// Returns the mean time between two completions while all slots are in use.
    pub(super) fn completion_interval(&self, now: Moment) -> Duration {
        let slots = f64::from(self.limit.current().max(1));
        Duration::from_secs_f64(self.effective_service_seconds(now) / slots)
    }

    /// Returns the current service time, counting requests that still run. A request that has run
    /// for longer than the mean is assumed to need as long again, as under a heavy-tailed
    /// distribution. So a slot held by a very long request contributes little, and a server that
    /// slows down is detected before it answers any request.
    pub(super) fn effective_service_seconds(&self, now: Moment) -> f64 {
        let mean = self.estimate.mean();
        let slots = f64::from(self.settings.slots);
        let ages = self
            .running
            .iter()
            .map(|running| now.since(running.started));
        let slowed: f64 = ages
            .map(|age| 1.0 - mean / age.as_secs_f64().max(mean))
            .sum();
        slots * mean / (slots - slowed).max(MIN_EFFECTIVE_SLOTS)
    }

    pub(super) fn limit_remaining(&self, now: Moment) -> Duration {
        let closed = self.limit.current() == 0;
        let raise = self.limit.next_raise().filter(|_| closed);
        raise.map_or(Duration::ZERO, |raise| raise.since(now))
    }

    pub(super) fn warmup_remaining(&self, now: Moment) -> Duration {
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
            remaining: left.max(remaining.mul_f64(OVERDUE_WARMUP_SHARE)),
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.condition == GateCondition::Open
            && self.running.len() < usize::from(self.limit.current())
    }
}
