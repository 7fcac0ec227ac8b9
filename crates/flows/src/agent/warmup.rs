//! Limits the new flows that a target is given while it is cold.
//!
//! Targets that are added during a rush, or whose zone is restored, look idle. They attract more
//! new flows than any other target and are overloaded while they are slow: requests there take
//! seconds. Where the operator sets how many flows per second a cold target can take, its agent
//! admits no more in any one-second window, since only the agent sees everything that reaches the
//! target. It also spaces the flows evenly: a second's worth at once fills the queue of a slow
//! target, which then fails and is cold again after its restart.
//!
//! The gate assumes the worst about what it does not know. An agent that has just started knows
//! neither what its predecessor admitted a moment ago nor whether the target started at the same
//! time. A target whose zone is restored, or that failed to answer, may be cold before its store
//! entry says so.

use std::collections::VecDeque;
use std::time::Duration;

use lovagelatch_domain::Moment;

use super::WarmupSettings;
use crate::frame::WarmupLimit;

/// How long a first packet counts against the limit: a second, plus the variation in the delay
/// between two packets on a busy machine.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);

/// About how long a report of the remaining room is current.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// A target that sent nothing for this long may have restarted meanwhile. A target with open flows
/// sends packets all the time; a process takes longer than this to end and start.
const QUIET_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of first packets remembered; a target at its limit is full long before.
const MAX_RECENT: usize = 4_096;

/// Whether the target may be given one more flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WarmupAdmission {
    /// The flow may be delivered.
    Admitted,
    /// The target already has as many flows as it can take in a second.
    Full,
    /// What was admitted before this agent started is not known.
    Unknown,
}

impl WarmupAdmission {
    pub(super) fn is_denied(self) -> bool {
        self != Self::Admitted
    }
}

/// Rate limiter for first packets to a cold target; see the module documentation.
#[derive(Clone, Debug)]
pub(super) struct WarmupGate {
    settings: WarmupSettings,
    /// When this agent started; `None` once the target is known to be older than the agent.
    started: Option<Moment>,
    /// When each first packet of the last [`RATE_WINDOW`] was delivered to the target, including
    /// those that it returned, which were work for it as well. Invariant: in ascending order.
    recent: VecDeque<Moment>,
    /// When the target will have absorbed everything it was given, at the rate of the limit.
    paced_until: Moment,
    /// How many of the newest entries of `recent` may not have been sent yet.
    unsent: usize,
    /// The last limit that a balancer named. Kept when another balancer names none, whose
    /// configuration may be stale.
    limit: Option<WarmupLimit>,
    /// Until when the target is cold according to the balancers.
    cold_until: Moment,
    /// The last event after which the target may be cold.
    possibly_cold_since: Option<Moment>,
    /// Whether there was a sign that the target is down, and none since that it is up.
    down: bool,
    /// When the target was last heard; `None` before the first time. Until then `started` is the
    /// better bound.
    last_heard: Option<Moment>,
}

impl WarmupGate {
    pub(super) fn new(settings: WarmupSettings, now: Moment) -> Self {
        Self {
            settings,
            started: Some(now),
            recent: VecDeque::new(),
            paced_until: Moment::ZERO,
            unsent: 0,
            limit: None,
            cold_until: Moment::ZERO,
            possibly_cold_since: None,
            down: false,
            last_heard: None,
        }
    }

    /// Checks an offer whose balancer names `limit`, for a target that runs `slots` requests at
    /// once.
    pub(super) fn check_offer(
        &mut self,
        limit: Option<WarmupLimit>,
        slots: u16,
        now: Moment,
    ) -> WarmupAdmission {
        if let Some(limit) = limit {
            self.limit = Some(limit);
            self.cold_until = self.cold_until.max(now + limit.remaining());
        }
        self.expire_recent(now);
        let Some(limit) = self.cold_limit(now) else {
            return WarmupAdmission::Admitted;
        };
        let just_started = self.started.is_some_and(|at| now.since(at) < RATE_WINDOW);
        if just_started {
            return WarmupAdmission::Unknown;
        }
        let burst = limit.interval() * u32::from(slots.max(1));
        let exceeds_pace = self.paced_until + limit.interval() > now + burst;
        if exceeds_pace || self.recent.len() >= self.max_per_window(limit) {
            WarmupAdmission::Full
        } else {
            WarmupAdmission::Admitted
        }
    }

    /// Returns how many more flows the target can take until the next report; `None` where no limit
    /// applies.
    pub(super) fn room(&mut self, now: Moment) -> Option<u16> {
        self.expire_recent(now);
        let limit = self.cold_limit(now)?;
        let excess = self.paced_until.since(now + REPORT_INTERVAL);
        Some(if excess.is_zero() {
            limit.flows_within(REPORT_INTERVAL)
        } else {
            0
        })
    }

    /// Records that a first packet is about to be delivered to the target.
    pub(super) fn record_admitted(&mut self, now: Moment) {
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.unsent += 1;
        // Flows given to a warm target do not count against what it can take when it is cold.
        if let Some(limit) = self.cold_limit(now) {
            self.paced_until = self.paced_until.max(now) + limit.interval();
        }
    }

    /// Records that everything admitted so far has left this process, and counts it from now. A
    /// process that is paused between admission and sending would otherwise count packets that
    /// arrive now as seconds old, and admit as many again.
    pub(super) fn record_sent(&mut self, now: Moment) {
        let first = self.recent.len().saturating_sub(self.unsent);
        for at in self.recent.range_mut(first..) {
            *at = now;
        }
        if let (Some(limit), Ok(unsent)) = (self.cold_limit(now), u32::try_from(self.unsent)) {
            self.paced_until = self.paced_until.max(now + limit.interval() * unsent);
        }
        self.unsent = 0;
    }

    /// Marks the target as possibly cold from now on: its zone was restored.
    pub(super) fn mark_possibly_cold(&mut self, now: Moment) {
        self.possibly_cold_since = Some(now);
    }

    /// Records a sign that the target is down. After a restart it is cold from its start on, which
    /// is not before the last such sign and not after the target is heard again.
    pub(super) fn record_down(&mut self, now: Moment) {
        self.down = true;
        self.possibly_cold_since = Some(now);
    }

    /// Records that the target was heard. After a long silence it may have restarted without a
    /// sign.
    pub(super) fn record_up(&mut self, now: Moment) {
        let quiet = self.is_quiet(now);
        if std::mem::take(&mut self.down) || quiet {
            self.possibly_cold_since = Some(now);
        }
        self.last_heard = Some(now);
    }

    fn is_quiet(&self, now: Moment) -> bool {
        self.last_heard
            .is_some_and(|at| now.since(at) >= QUIET_TIMEOUT)
    }

    /// Records that the target holds a flow from before this agent's start, so it is older than the
    /// agent.
    pub(super) fn record_older_target(&mut self) {
        self.started = None;
    }

    /// Returns the limit while the target is or may be cold.
    fn cold_limit(&self, now: Moment) -> Option<WarmupLimit> {
        let limit = self.limit?;
        let events = [self.started, self.possibly_cold_since];
        let mut events = events.into_iter().flatten();
        let possibly_cold = events.any(|at| now.since(at) < limit.duration());
        let possibly_cold = possibly_cold || self.down || self.is_quiet(now);
        (possibly_cold || now < self.cold_until).then_some(limit)
    }

    fn max_per_window(&self, limit: WarmupLimit) -> usize {
        let allowed = limit.rate() * self.settings.overshoot + self.settings.slack;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = allowed as usize;
        allowed
    }

    fn expire_recent(&mut self, now: Moment) {
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= RATE_WINDOW)
        {
            self.recent.pop_front();
        }
        self.unsent = self.unsent.min(self.recent.len());
    }
}
