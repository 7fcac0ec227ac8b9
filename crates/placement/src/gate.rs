//! The gate beside one backend server: the only place where its slots are counted.

mod admission;
mod forecast;

use std::time::Duration;

use lovagelatch_domain::{AttemptId, GateCondition, GateReport, Moment, RefusalReason};
use smallvec::SmallVec;

use crate::estimate::ServiceEstimate;
use crate::key_queue::{AgencyKey, WaitingRequest};
use crate::limit::SlotLimit;
use crate::queue::FairQueue;
use crate::retry::{MIN_RETRY_AFTER, RetrySchedule};
use crate::settings::GateSettings;
use crate::verdict::{GateAction, GateRequest, GateVerdict, SlotOutcome};

#[derive(Clone, Debug)]
struct RunningRequest {
    attempt: AttemptId,
    agency: AgencyKey,
    started: Moment,
    /// In seconds of slot time.
    charge: f64,
}

/// Counts the slots of one backend server and queues the requests that wait for them.
#[derive(Clone, Debug)]
pub struct RequestGate {
    settings: GateSettings,
    queue: FairQueue<AgencyKey, WaitingRequest>,
    /// Invariant: at most `settings.slots` entries.
    running: SmallVec<[RunningRequest; 8]>,
    estimate: ServiceEstimate,
    limit: SlotLimit,
    retries: RetrySchedule,
    condition: GateCondition,
    /// When `condition` was set.
    condition_since: Moment,
}

impl RequestGate {
    /// Creates an open gate with all slots free.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        Self {
            estimate: ServiceEstimate::new(settings.initial_service_time),
            limit: SlotLimit::new(settings.slots),
            settings,
            queue: FairQueue::default(),
            running: SmallVec::new(),
            retries: RetrySchedule::default(),
            condition: GateCondition::Open,
            condition_since: Moment::ZERO,
        }
    }

    /// Decides immediately whether a new request starts, is queued, or is refused.
    pub fn offer(&mut self, request: GateRequest, now: Moment) -> GateVerdict {
        if self.holds(request.attempt) {
            return GateVerdict::Duplicate;
        }
        self.limit.raise_if_due(now);
        if let Some(reason) = self.refusal_reason(&request, now) {
            let retry_after = self.retry_after(&request, reason, now);
            return GateVerdict::Refused {
                reason,
                retry_after,
            };
        }
        if self.has_free_slot() && self.queue.is_empty() {
            self.start_immediately(request, now);
            return GateVerdict::Start;
        }
        let waiting = WaitingRequest {
            attempt: request.attempt,
            start_by: self.start_by(&request),
        };
        self.queue.push(request.agency, waiting, now);
        GateVerdict::Queued
    }

    /// Releases the slot of an attempt and returns the resulting actions. Does nothing for an
    /// attempt that holds no slot.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        outcome: SlotOutcome,
        now: Moment,
    ) -> SmallVec<[GateAction; 4]> {
        let mut actions = SmallVec::new();
        let position = self
            .running
            .iter()
            .position(|running| running.attempt == attempt);
        let Some(position) = position else {
            return actions;
        };
        let request = self.running.swap_remove(position);
        let took = now.since(request.started);
        self.queue
            .settle(&request.agency, request.charge, took, self.estimate.mean());
        let still_running = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        match outcome {
            SlotOutcome::Served => {
                self.estimate.record(took);
                self.limit.record_served(now);
            }
            SlotOutcome::Shed => self.limit.record_shed(still_running, now),
            SlotOutcome::Lost => self.limit.record_lost(still_running, now),
            SlotOutcome::Abandoned => {}
        }
        self.process_queue(now, &mut actions);
        actions
    }

    /// Removes an attempt from the queue. Returns `true` if it was queued: it was not started and
    /// never will be.
    pub fn cancel_queued(&mut self, attempt: AttemptId, _now: Moment) -> bool {
        self.queue.cancel(attempt)
    }

    /// Performs the actions that are due by time alone: refuses requests that can no longer be
    /// answered in time, and starts those that may start.
    pub fn advance(&mut self, now: Moment) -> SmallVec<[GateAction; 4]> {
        let mut actions = SmallVec::new();
        self.process_queue(now, &mut actions);
        actions
    }

    /// Returns the latest time for the next call of `advance` if no other event occurs.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let start_by = self.queue.earliest_start_by();
        let raise = self
            .limit
            .next_raise()
            .filter(|_| !self.queue.is_empty() && self.condition == GateCondition::Open);
        match (start_by, raise) {
            (Some(start_by), Some(raise)) => Some(start_by.min(raise)),
            (first, second) => first.or(second),
        }
    }

    /// Sets the gate to open, warming, or leaving. Leaving refuses all queued requests, so that
    /// their flow holders try another gate at once.
    pub fn set_condition(
        &mut self,
        condition: GateCondition,
        now: Moment,
    ) -> SmallVec<[GateAction; 4]> {
        let mut actions = SmallVec::new();
        self.condition = condition;
        self.condition_since = now;
        if condition == GateCondition::Leaving {
            self.queue.retain(|waiting| {
                actions.push(GateAction::Refuse {
                    attempt: waiting.attempt,
                    reason: RefusalReason::Leaving,
                    retry_after: MIN_RETRY_AFTER,
                });
                false
            });
        }
        self.process_queue(now, &mut actions);
        actions
    }

    /// Returns the exact current load, for peers and for status reports.
    #[must_use]
    pub fn report(&self, now: Moment) -> GateReport {
        let in_use = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        GateReport {
            slots: self.limit.current().max(in_use).max(1),
            in_use,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            expected_wait: self.wait_behind(self.queue.len(), now),
            service_time: Duration::from_secs_f64(self.effective_service_seconds(now)),
            condition: self.condition_now(now),
        }
    }

    /// Returns whether an attempt is queued or running here.
    #[must_use]
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.running
            .iter()
            .any(|running| running.attempt == attempt)
            || self.queue.contains(attempt)
    }

    fn start_immediately(&mut self, request: GateRequest, now: Moment) {
        let agency = request.agency;
        let charge = self.estimate.mean();
        self.queue.start_immediately(agency.clone(), charge);
        self.running.push(RunningRequest {
            attempt: request.attempt,
            agency,
            started: now,
            charge,
        });
    }

    fn process_queue(&mut self, now: Moment, actions: &mut SmallVec<[GateAction; 4]>) {
        self.limit.raise_if_due(now);
        self.refuse_unservable(now, actions);
        while self.has_free_slot() {
            let Some(taken) = self.queue.pop(self.estimate.mean()) else {
                return;
            };
            self.running.push(RunningRequest {
                attempt: taken.waiting.attempt,
                agency: taken.key,
                started: now,
                charge: taken.charge,
            });
            actions.push(GateAction::Start(taken.waiting.attempt));
        }
    }

    /// Refuses queued requests that cannot start in time. A process that was paused (stopped by the
    /// kernel, or migrated to another host) resumes with a queue whose callers are gone; without
    /// this check it would run requests already reported as failed.
    fn refuse_unservable(&mut self, now: Moment, actions: &mut SmallVec<[GateAction; 4]>) {
        let warmup = self.warmup_remaining(now);
        let earliest_start = now + warmup;
        let is_due = self
            .queue
            .earliest_start_by()
            .is_some_and(|start_by| start_by <= earliest_start);
        if !is_due {
            return;
        }
        let completion_interval = self.completion_interval(now);
        let wait = self.limit_remaining(now) + warmup;
        let reason = if warmup.is_zero() {
            RefusalReason::TooLate
        } else {
            RefusalReason::Warming
        };
        let retries = &mut self.retries;
        self.queue.retain(|waiting| {
            let keep = waiting.start_by > earliest_start;
            if !keep {
                actions.push(GateAction::Refuse {
                    attempt: waiting.attempt,
                    reason,
                    retry_after: retries.next_retry_after(
                        waiting.attempt,
                        wait,
                        completion_interval,
                        now,
                    ),
                });
            }
            keep
        });
    }
}
