//! Admission control of a gate, and the retry-after time of refused requests.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, Moment, RefusalReason};

use super::RequestGate;
use crate::key_queue::AgencyKey;
use crate::retry::MIN_RETRY_AFTER;
use crate::verdict::GateRequest;

/// A queued request must start while this many mean service times are left before its deadline.
/// With a smaller margin, a gate under overload spends its slots on requests whose callers leave
/// before the answer; with a larger one, the queue is too short to absorb a burst.
const DEADLINE_MARGIN_SERVICE_TIMES: f64 = 3.0;

/// Upper limit of the deadline margin, as a share of the request's total time budget.
const MAX_DEADLINE_MARGIN_SHARE: f64 = 0.5;

/// An agency's queue is a standing queue once it has been non-empty for this long, in mean service
/// times. Bursts at a load below capacity are usually over sooner.
const STANDING_AFTER_SERVICE_TIMES: f64 = 100.0;

/// Longest expected wait in a standing queue, in mean service times.
const MAX_STANDING_WAIT_SERVICE_TIMES: f64 = 10.0;

/// Capacity of all queues together, as a multiple of the limit of one queue.
const TOTAL_QUEUE_FACTOR: usize = 4;

impl RequestGate {
    pub(super) fn refusal_reason(
        &self,
        request: &GateRequest,
        now: Moment,
    ) -> Option<RefusalReason> {
        if self.condition == GateCondition::Leaving {
            return Some(RefusalReason::Leaving);
        }
        if request.deadline <= now {
            return Some(RefusalReason::TooLate);
        }
        if self.has_free_slot() && self.queue.is_empty() {
            return None;
        }
        if self.is_servable(request, now) {
            return self.queue_overflow(request);
        }
        if matches!(self.condition, GateCondition::Warming { .. }) {
            return Some(RefusalReason::Warming);
        }
        if self.is_over_share(&request.agency) {
            return Some(RefusalReason::OverShare);
        }
        if self.starts_in_time(request, now) {
            return Some(RefusalReason::Full);
        }
        Some(RefusalReason::TooLate)
    }

    pub(super) fn is_servable(&self, request: &GateRequest, now: Moment) -> bool {
        let agency = &request.agency;
        let wait = self.wait_behind(self.queue.queued_ahead_of(agency), now);
        let is_admitted = self
            .standing_wait_limit(agency, now)
            .is_none_or(|limit| wait < limit);
        is_admitted && now + wait < self.start_by(request)
    }

    fn starts_in_time(&self, request: &GateRequest, now: Moment) -> bool {
        let ahead = self.queue.queued_ahead_of(&request.agency);
        now + self.wait_behind(ahead, now) < self.start_by(request)
    }

    /// Returns the longest expected wait admitted for an agency with a standing queue; `None` if
    /// its queue is not standing. A burst is queued in full. A standing queue delays every request
    /// without raising throughput, so it is kept short. Competing agencies without a standing queue
    /// are not limited.
    fn standing_wait_limit(&self, agency: &AgencyKey, now: Moment) -> Option<Duration> {
        let since = self
            .queue
            .backlogged_since(agency)?
            .max(self.condition_since);
        let mean = self.estimate.mean();
        let is_standing = now.since(since).as_secs_f64() > mean * STANDING_AFTER_SERVICE_TIMES;
        let limit = Duration::from_secs_f64(mean * MAX_STANDING_WAIT_SERVICE_TIMES);
        let blocked = self.warmup_remaining(now) + self.limit_remaining(now);
        is_standing.then_some(limit + blocked)
    }

    pub(super) fn queue_overflow(&self, request: &GateRequest) -> Option<RefusalReason> {
        let agency = &request.agency;
        if self.queue.len() >= self.settings.queue_limit * TOTAL_QUEUE_FACTOR {
            return Some(RefusalReason::Full);
        }
        if self.queue.backlog(agency) < self.queue_share(agency) {
            return None;
        }
        if self.queue.waiting_keys_with(agency) > 1 {
            return Some(RefusalReason::OverShare);
        }
        Some(RefusalReason::Full)
    }

    pub(super) fn is_over_share(&self, agency: &AgencyKey) -> bool {
        let agencies = self.queue.waiting_keys_with(agency);
        agencies > 1 && self.queue.backlog(agency) * agencies >= self.queue.len()
    }

    pub(super) fn queue_share(&self, agency: &AgencyKey) -> usize {
        (self.settings.queue_limit / self.queue.waiting_keys_with(agency)).max(1)
    }

    pub(super) fn retry_after(
        &mut self,
        request: &GateRequest,
        reason: RefusalReason,
        now: Moment,
    ) -> Duration {
        match reason {
            RefusalReason::Leaving => MIN_RETRY_AFTER,
            RefusalReason::Warming => self.warmup_remaining(now).max(MIN_RETRY_AFTER),
            _ => {
                let ahead = self.queue.queued_ahead_of(&request.agency);
                let time_budget = request.deadline.since(request.arrived);
                let wait = self.wait_behind(ahead, now).saturating_sub(time_budget);
                let completion_interval = self.completion_interval(now);
                self.retries
                    .next_retry_after(request.attempt, wait, completion_interval, now)
            }
        }
    }

    /// Returns the latest start at which the request is still expected to be answered in time.
    pub(super) fn start_by(&self, request: &GateRequest) -> Moment {
        let time_budget = request.deadline.since(request.arrived);
        let margin = Duration::from_secs_f64(self.estimate.mean() * DEADLINE_MARGIN_SERVICE_TIMES);
        request.deadline - margin.min(time_budget.mul_f64(MAX_DEADLINE_MARGIN_SHARE))
    }
}
