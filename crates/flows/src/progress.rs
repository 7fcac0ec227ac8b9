//! What a target has in progress, and how long one more request would take.
//!
//! What goes wrong without a limit: after a power loss all clients ask again at once, and targets
//! that have just started are slow. Each takes whatever comes, so every request waits behind
//! twenty others, and four of five are answered late or never, for seconds. It shows as response
//! times of many times a request's work while all targets are busy. A flow that is refused at once,
//! before anything ran, leaves its client time to try again, and those that are taken are answered
//! in time.

use std::collections::VecDeque;
use std::time::Duration;

use lovagelatch_domain::Moment;

/// Time constant of the average load.
const AVERAGE_SPAN: Duration = Duration::from_secs(1);

/// From this many times its slots in progress on, a target is passed over for a new flow. At
/// twice its slots a new request waits for about one other.
const BUSY_FACTOR: u16 = 2;

/// The part of a latency objective that a target may take; the rest is for the network and for
/// what the request has spent before it came.
const OBJECTIVE_SHARE: f32 = 0.8;

/// Weight of the newest request in the smoothed work: some twenty requests tell of a target that
/// has warmed up or turned slow.
const WORK_WEIGHT: f32 = 0.1;

/// How soon after a flow was taken its first request comes: two ways between client and target,
/// and the client's turn. Beyond it, the flow counts as idle.
const REQUEST_SPAN: Duration = Duration::from_millis(100);

/// See the module.
#[derive(Clone, Debug)]
pub(crate) struct TargetProgress {
    in_progress: u16,
    average: f32,
    averaged: Moment,
    /// When flows were taken whose first request has not come yet, oldest first.
    awaited: VecDeque<Moment>,
    /// How many requests the target runs at once, as balancers say; 0 before any has.
    slots: u16,
    /// Seconds for which a request keeps a slot, smoothed.
    work: Option<f32>,
}

impl TargetProgress {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            in_progress: 0,
            average: 0.0,
            averaged: now,
            awaited: VecDeque::new(),
            slots: 0,
            work: None,
        }
    }

    /// Requests in progress.
    pub(crate) fn count(&self) -> u16 {
        self.in_progress
    }

    /// Their average over about a second, up to now.
    pub(crate) fn average(&mut self, now: Moment) -> f32 {
        let span = now.since(self.averaged).as_secs_f32() / AVERAGE_SPAN.as_secs_f32();
        let keep = (-span).exp();
        self.average = self.average * keep + f32::from(self.in_progress) * (1.0 - keep);
        self.averaged = now;
        self.average
    }

    /// Counts them anew.
    pub(crate) fn set(&mut self, in_progress: u16) {
        self.in_progress = in_progress;
    }

    /// A request begins; how many there are with it.
    pub(crate) fn begin(&mut self, now: Moment) -> u16 {
        self.average(now);
        self.awaited.pop_front();
        self.in_progress = self.in_progress.saturating_add(1);
        self.in_progress
    }

    /// A request that was one of `together` when it began got its answer.
    pub(crate) fn end(&mut self, together: u16, after: Duration, now: Moment) {
        self.average(now);
        self.drop_one();
        if self.slots == 0 {
            return;
        }
        let turns = f32::from(together.max(self.slots)) / f32::from(self.slots);
        let work = after.as_secs_f32() / turns;
        let before = self.work.unwrap_or(work);
        self.work = Some(before + (work - before) * WORK_WEIGHT);
    }

    /// A request is forgotten.
    pub(crate) fn drop_one(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// A new flow is handed to the target, which has `slots`.
    pub(crate) fn note_taken(&mut self, slots: u16, now: Moment) {
        if slots > 0 {
            self.slots = slots;
        }
        self.awaited.push_back(now);
    }

    /// Whether another target should be asked first. Balancers place by reports of up to 250 ms
    /// ago, and several of them may choose the same target meanwhile; only here is the load
    /// known exactly.
    pub(crate) fn is_busy(&self, slots: u16) -> bool {
        self.in_progress >= slots.saturating_mul(BUSY_FACTOR).max(1)
    }

    /// Whether one more request would be answered later than `objective` allows. `false` where
    /// nothing is said of it, or nothing known of the target's work.
    pub(crate) fn is_overloaded(&mut self, slots: u16, objective: Duration, now: Moment) -> bool {
        while self
            .awaited
            .pop_front_if(|taken| now.since(*taken) >= REQUEST_SPAN)
            .is_some()
        {}
        let awaited = u16::try_from(self.awaited.len()).unwrap_or(u16::MAX);
        let ahead = self.in_progress.saturating_add(awaited);
        if objective.is_zero() || slots == 0 || ahead < slots.saturating_mul(BUSY_FACTOR) {
            return false;
        }
        let turns = (f32::from(ahead) + 1.0) / f32::from(slots);
        let expected = self.work.map(|work| work * turns);
        expected.is_some_and(|seconds| seconds > objective.as_secs_f32() * OBJECTIVE_SHARE)
    }
}
