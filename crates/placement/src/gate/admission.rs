//! Which requests a gate takes in, and what it advises the others.

use std::time::Duration;

use lovagelatch_domain::{AgencyName, GateCondition, Moment, RefusalReason};

use super::RequestGate;
use crate::retry::LEAST_RETRY;
use crate::verdict::GateRequest;

/// A waiting request must start while this many mean service times still fit before its
/// deadline. Without it a gate under overload spends its slots on requests whose callers leave
/// before the answer; with more of it, the queue holds too little to ride out a burst.
const FIT_FACTOR: f64 = 3.0;

/// At most this share of the time that a caller gives a request is kept for its service.
const FIT_SHARE: f64 = 0.5;

/// For how long an agency's queue must not have been empty to count as standing, in mean service
/// times. Bursts at a load below capacity are over sooner, mostly.
const STANDING_TIME: f64 = 100.0;

/// The longest expected wait in a standing queue, in mean service times.
const STANDING_WAIT: f64 = 10.0;

/// All queues together hold at most this many times the limit of one.
const TOTAL_FACTOR: usize = 4;

impl RequestGate {
    pub(super) fn refusal_of(&self, request: &GateRequest, now: Moment) -> Option<RefusalReason> {
        if self.condition == GateCondition::Leaving {
            return Some(RefusalReason::Leaving);
        }
        if request.deadline <= now {
            return Some(RefusalReason::TooLate);
        }
        if self.has_free_slot() && self.queue.is_empty() {
            return None;
        }
        if self.fits(request, now) {
            return self.overflow_of(request);
        }
        if matches!(self.condition, GateCondition::Warming { .. }) {
            return Some(RefusalReason::Warming);
        }
        if self.is_over_share(request.agency.as_ref()) {
            return Some(RefusalReason::OverShare);
        }
        if self.meets_deadline(request, now) {
            return Some(RefusalReason::Full);
        }
        Some(RefusalReason::TooLate)
    }

    pub(super) fn fits(&self, request: &GateRequest, now: Moment) -> bool {
        let agency = request.agency.as_ref();
        let wait = self.wait_behind(self.queue.ahead_of(agency), now);
        let is_short = self
            .wait_bound(agency, now)
            .is_none_or(|bound| wait < bound);
        is_short && now + wait < self.start_by(request)
    }

    fn meets_deadline(&self, request: &GateRequest, now: Moment) -> bool {
        let ahead = self.queue.ahead_of(request.agency.as_ref());
        now + self.wait_behind(ahead, now) < self.start_by(request)
    }

    /// The longest expected wait of an agency whose queue stands, that is whose queue was not
    /// empty for long. A burst is waited out; a standing queue makes everybody wait and serves
    /// nobody more. Rivals that cause no standing queue are not bounded.
    fn wait_bound(&self, agency: Option<&AgencyName>, now: Moment) -> Option<Duration> {
        let since = self.queue.waits_since(agency)?.max(self.condition_since);
        let mean = self.estimate.mean();
        let stands = now.since(since).as_secs_f64() > mean * STANDING_TIME;
        let bound = Duration::from_secs_f64(mean * STANDING_WAIT);
        let blocked = self.setup_left(now) + self.limit_left(now);
        stands.then_some(bound + blocked)
    }

    pub(super) fn overflow_of(&self, request: &GateRequest) -> Option<RefusalReason> {
        let agency = request.agency.as_ref();
        if self.queue.len() >= self.settings.queue_limit * TOTAL_FACTOR {
            return Some(RefusalReason::Full);
        }
        if self.queue.backlog(agency) < self.share_of(agency) {
            return None;
        }
        if self.queue.rivals_and_self(agency) > 1 {
            return Some(RefusalReason::OverShare);
        }
        Some(RefusalReason::Full)
    }

    pub(super) fn is_over_share(&self, agency: Option<&AgencyName>) -> bool {
        let agencies = self.queue.rivals_and_self(agency);
        agencies > 1 && self.queue.backlog(agency) * agencies >= self.queue.len()
    }

    pub(super) fn share_of(&self, agency: Option<&AgencyName>) -> usize {
        (self.settings.queue_limit / self.queue.rivals_and_self(agency)).max(1)
    }

    pub(super) fn advise(
        &mut self,
        request: &GateRequest,
        reason: RefusalReason,
        now: Moment,
    ) -> Duration {
        match reason {
            RefusalReason::Leaving => LEAST_RETRY,
            RefusalReason::Warming => self.setup_left(now).max(LEAST_RETRY),
            _ => {
                let ahead = self.queue.ahead_of(request.agency.as_ref());
                let patience = request.deadline.since(request.arrived);
                let wait = self.wait_behind(ahead, now).saturating_sub(patience);
                let spacing = self.spacing(now);
                self.retries.advise(request.attempt, wait, spacing, now)
            }
        }
    }

    /// When a request must have started to be answered in time, as far as can be foretold.
    pub(super) fn start_by(&self, request: &GateRequest) -> Moment {
        let patience = request.deadline.since(request.arrived);
        let usual = Duration::from_secs_f64(self.estimate.mean() * FIT_FACTOR);
        request.deadline - usual.min(patience.mul_f64(FIT_SHARE))
    }
}
