//! The gate beside one backend server: the one place where its slots are counted.

mod admission;
mod forecast;

use std::time::Duration;

use lovagelatch_domain::{AgencyName, AttemptId, GateCondition, GateReport, Moment, RefusalReason};
use smallvec::SmallVec;

use crate::class::WaitingRequest;
use crate::estimate::ServiceEstimate;
use crate::limit::SlotLimit;
use crate::queue::FairQueue;
use crate::retry::{LEAST_RETRY, RetrySchedule};
use crate::settings::GateSettings;
use crate::verdict::{GateAction, GateRequest, GateVerdict, SlotEnd};

#[derive(Clone, Debug)]
struct RunningRequest {
    attempt: AttemptId,
    agency: Option<AgencyName>,
    started: Moment,
    /// In seconds of slot time.
    charge: f64,
}

/// Counts the slots of one backend server and queues what waits for them.
#[derive(Clone, Debug)]
pub struct RequestGate {
    settings: GateSettings,
    queue: FairQueue,
    /// Invariant: at most `settings.slots` entries.
    running: SmallVec<[RunningRequest; 8]>,
    estimate: ServiceEstimate,
    limit: SlotLimit,
    retries: RetrySchedule,
    condition: GateCondition,
    /// When the condition was set.
    condition_since: Moment,
}

impl RequestGate {
    /// An open gate with all slots free.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        Self {
            estimate: ServiceEstimate::new(settings.first_service_time),
            limit: SlotLimit::new(settings.slots),
            settings,
            queue: FairQueue::default(),
            running: SmallVec::new(),
            retries: RetrySchedule::default(),
            condition: GateCondition::Open,
            condition_since: Moment::ZERO,
        }
    }

    /// Decides about a new request at once.
    pub fn offer(&mut self, request: GateRequest, now: Moment) -> GateVerdict {
        if self.holds(request.attempt) {
            return GateVerdict::Duplicate;
        }
        self.limit.raise(now);
        if let Some(reason) = self.refusal_of(&request, now) {
            let retry_after = self.advise(&request, reason, now);
            return GateVerdict::Refused {
                reason,
                retry_after,
            };
        }
        if self.has_free_slot() && self.queue.is_empty() {
            self.start_at_once(request, now);
            return GateVerdict::Start;
        }
        let waiting = WaitingRequest {
            attempt: request.attempt,
            start_by: self.start_by(&request),
        };
        self.queue.push(request.agency, waiting, now);
        GateVerdict::Queued
    }

    /// Takes back the slot of an attempt and says what follows. An attempt that holds no slot
    /// changes nothing.
    pub fn finish(
        &mut self,
        attempt: AttemptId,
        end: SlotEnd,
        now: Moment,
    ) -> SmallVec<[GateAction; 4]> {
        let mut actions = SmallVec::new();
        let position = self.running.iter().position(|one| one.attempt == attempt);
        let Some(position) = position else {
            return actions;
        };
        let request = self.running.swap_remove(position);
        let took = now.since(request.started);
        self.queue.settle(
            request.agency.as_ref(),
            request.charge,
            took,
            self.estimate.mean(),
        );
        let still_running = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        match end {
            SlotEnd::Served => {
                self.estimate.note(took);
                self.limit.served(now);
            }
            SlotEnd::Shed => self.limit.shed(still_running, now),
            SlotEnd::Lost => self.limit.lost(still_running, now),
            SlotEnd::Abandoned => {}
        }
        self.pump(now, &mut actions);
        actions
    }

    /// Withdraws a waiting attempt. `true`: it waited, was never started and never will be.
    pub fn withdraw(&mut self, attempt: AttemptId, _now: Moment) -> bool {
        self.queue.withdraw(attempt)
    }

    /// Does what time alone brings: refuses what can no longer be met, starts what may start.
    pub fn advance(&mut self, now: Moment) -> SmallVec<[GateAction; 4]> {
        let mut actions = SmallVec::new();
        self.pump(now, &mut actions);
        actions
    }

    /// When `advance` has something to do at the latest, if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let start_by = self.queue.earliest_start_by();
        let raise = self
            .limit
            .next_raise()
            .filter(|_| !self.queue.is_empty() && self.condition == GateCondition::Open);
        match (start_by, raise) {
            (Some(start_by), Some(raise)) => Some(start_by.min(raise)),
            (one, other) => one.or(other),
        }
    }

    /// Opens the gate, marks it as warming, or closes it for good work. Leaving refuses all
    /// that waits, so that its holders try elsewhere at once.
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
                    retry_after: LEAST_RETRY,
                });
                false
            });
        }
        self.pump(now, &mut actions);
        actions
    }

    /// The gate's load now, exact, for peers and status.
    #[must_use]
    pub fn report(&self, now: Moment) -> GateReport {
        let in_use = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        GateReport {
            slots: self.limit.current().max(in_use).max(1),
            in_use,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            expected_wait: self.wait_behind(self.queue.len(), now),
            service_time: Duration::from_secs_f64(self.service_seconds(now)),
            condition: self.condition_now(now),
        }
    }

    /// Whether an attempt waits or runs here.
    #[must_use]
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.running.iter().any(|one| one.attempt == attempt) || self.queue.contains(attempt)
    }

    fn start_at_once(&mut self, request: GateRequest, now: Moment) {
        let agency = request.agency;
        let charge = self.estimate.mean();
        self.queue.start_at_once(agency.clone(), charge);
        self.running.push(RunningRequest {
            attempt: request.attempt,
            agency,
            started: now,
            charge,
        });
    }

    fn pump(&mut self, now: Moment, actions: &mut SmallVec<[GateAction; 4]>) {
        self.limit.raise(now);
        self.refuse_hopeless(now, actions);
        while self.has_free_slot() {
            let Some(taken) = self.queue.pop(self.estimate.mean()) else {
                return;
            };
            self.running.push(RunningRequest {
                attempt: taken.waiting.attempt,
                agency: taken.agency,
                started: now,
                charge: taken.charge,
            });
            actions.push(GateAction::Start(taken.waiting.attempt));
        }
    }

    /// Refuses what waits too close to its deadline. A process that paused (stopped by the
    /// kernel, moved to another host) wakes with a queue whose callers are gone; without this
    /// it would run their requests although they were told that they failed.
    fn refuse_hopeless(&mut self, now: Moment, actions: &mut SmallVec<[GateAction; 4]>) {
        let setup = self.setup_left(now);
        let earliest_start = now + setup;
        let is_due = self
            .queue
            .earliest_start_by()
            .is_some_and(|start_by| start_by <= earliest_start);
        if !is_due {
            return;
        }
        let spacing = self.spacing(now);
        let wait = self.limit_left(now) + setup;
        let reason = if setup.is_zero() {
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
                    retry_after: retries.advise(waiting.attempt, wait, spacing, now),
                });
            }
            keep
        });
    }
}
