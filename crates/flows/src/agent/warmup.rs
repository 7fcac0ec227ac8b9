//! How many new flows a target is given while it is cold.
//!
//! Load pattern: targets are added, or come back with their zone, during a rush. They look idle, so they
//! draw more new flows than any other, and are swamped while they are slow. Where the operator names how many
//! flows a second a cold target bears, the agent beside it lets in no more in any second, since it alone sees
//! everything that reaches the target; and it lets them in evenly: a second's flows at once fill the queue of a
//! slow target, and it falls over, and is cold again when it is back.
//!
//! One notices by requests that take seconds at targets that have just started. What is not known is taken
//! at its worst: an agent that has just started does not know what its predecessor let in a moment ago, nor
//! whether the target started with it; a target whose zone comes back, or that failed to answer, may be cold
//! before its entry in the store says so.

use std::collections::VecDeque;
use std::time::Duration;

use lovagelatch_domain::Moment;

use super::WarmupSettings;
use crate::frame::WarmupLimit;

/// For how long a first packet counts. A second, and what a busy machine may take between two packets more
/// than between two others.
const WINDOW: Duration = Duration::from_millis(1_100);

/// For about how long a report of the room that is left stands.
const REPORT_SPAN: Duration = Duration::from_millis(250);

/// A target that was not heard for so long may have started again meanwhile. One that carries flows is heard all the
/// time; what a process needs to end and start is longer.
const QUIET_SPAN: Duration = Duration::from_secs(1);

/// First packets remembered at most; a target at its limit has long been full by then.
const MAX_RECENT: usize = 4_096;

/// Whether the target may be given one more flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WarmupVerdict {
    /// It may.
    Open,
    /// It must not: it has as many as it bears in a second.
    Full,
    /// It must not, because of what may have been let in before this agent started.
    Unknown,
}

impl WarmupVerdict {
    pub(super) fn is_closed(self) -> bool {
        self != Self::Open
    }
}

/// See the module.
#[derive(Clone, Debug)]
pub(super) struct WarmupGate {
    settings: WarmupSettings,
    /// When this agent started, while the target may be younger than it.
    started: Option<Moment>,
    /// When each first packet of the last [`WINDOW`] was handed to the target; one that it returned was work to it
    /// as well. Invariant: in order.
    recent: VecDeque<Moment>,
    /// When the target has had time for all that it was given, at the pace that it bears.
    paced_until: Moment,
    /// How many of the newest of `recent` may not have been sent yet.
    unsent: usize,
    /// The last bound that a balancer named. Kept where another names none: it may lag behind the configuration.
    limit: Option<WarmupLimit>,
    /// Until when the target is cold by the balancers' word.
    cold_until: Moment,
    /// When something last happened after which it may be cold.
    doubted: Option<Moment>,
    /// Whether it has given a sign that it is down, and none since that it is up.
    down: bool,
    /// When the target was last heard; `None` before the first time, when this agent's own start says more.
    heard: Option<Moment>,
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
            doubted: None,
            down: false,
            heard: None,
        }
    }

    /// Judges an offer whose balancer names this bound, to a target that runs `slots` requests at once.
    pub(super) fn judge(
        &mut self,
        limit: Option<WarmupLimit>,
        slots: u16,
        now: Moment,
    ) -> WarmupVerdict {
        if let Some(limit) = limit {
            self.limit = Some(limit);
            self.cold_until = self.cold_until.max(now + limit.left());
        }
        self.forget(now);
        let Some(limit) = self.cold_limit(now) else {
            return WarmupVerdict::Open;
        };
        let fresh = self.started.is_some_and(|at| now.since(at) < WINDOW);
        if fresh {
            return WarmupVerdict::Unknown;
        }
        let at_once = limit.interval() * u32::from(slots.max(1));
        let hurried = self.paced_until + limit.interval() > now + at_once;
        if hurried || self.recent.len() >= self.most(limit) {
            WarmupVerdict::Full
        } else {
            WarmupVerdict::Open
        }
    }

    /// How many more flows the target bears until the next report; `None` where no bound holds.
    pub(super) fn room(&mut self, now: Moment) -> Option<u16> {
        self.forget(now);
        let limit = self.cold_limit(now)?;
        let late = self.paced_until.since(now + REPORT_SPAN);
        Some(if late.is_zero() {
            limit.room(REPORT_SPAN)
        } else {
            0
        })
    }

    /// A first packet is handed to the target.
    pub(super) fn note_admitted(&mut self, now: Moment) {
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.unsent += 1;
        // What a warm target was given says nothing of what it bears when it is cold.
        if let Some(limit) = self.cold_limit(now) {
            self.paced_until = self.paced_until.max(now) + limit.interval();
        }
    }

    /// What was admitted has left this process. What goes wrong without it: a process that stands still
    /// between the two counts packets that arrive now as of seconds ago, and lets in as many again.
    pub(super) fn note_sent(&mut self, now: Moment) {
        let first = self.recent.len().saturating_sub(self.unsent);
        for at in self.recent.range_mut(first..) {
            *at = now;
        }
        if let (Some(limit), Ok(unsent)) = (self.cold_limit(now), u32::try_from(self.unsent)) {
            self.paced_until = self.paced_until.max(now + limit.interval() * unsent);
        }
        self.unsent = 0;
    }

    /// The target may be cold from now on: its zone has come back.
    pub(super) fn doubt(&mut self, now: Moment) {
        self.doubted = Some(now);
    }

    /// The target gave a sign that it has ended. When it is back it is cold, from its start on; that is not before
    /// its last such sign, and not after it is heard again.
    pub(super) fn note_down(&mut self, now: Moment) {
        self.down = true;
        self.doubted = Some(now);
    }

    /// The target was heard. If it was not for long, it may have ended and started meanwhile without a sign.
    pub(super) fn note_up(&mut self, now: Moment) {
        let quiet = self.is_quiet(now);
        if std::mem::take(&mut self.down) || quiet {
            self.doubted = Some(now);
        }
        self.heard = Some(now);
    }

    fn is_quiet(&self, now: Moment) -> bool {
        self.heard.is_some_and(|at| now.since(at) >= QUIET_SPAN)
    }

    /// The target holds a flow from before this agent's start: it is older than the agent.
    pub(super) fn note_older_target(&mut self) {
        self.started = None;
    }

    /// The bound, while the target is or may be cold.
    fn cold_limit(&self, now: Moment) -> Option<WarmupLimit> {
        let limit = self.limit?;
        let events = [self.started, self.doubted];
        let mut events = events.into_iter().flatten();
        let doubtful = events.any(|at| now.since(at) < limit.span());
        let doubtful = doubtful || self.down || self.is_quiet(now);
        (doubtful || now < self.cold_until).then_some(limit)
    }

    fn most(&self, limit: WarmupLimit) -> usize {
        let allowed = limit.rate() * self.settings.overshoot + self.settings.slack;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = allowed as usize;
        allowed
    }

    fn forget(&mut self, now: Moment) {
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.recent.pop_front();
        }
        self.unsent = self.unsent.min(self.recent.len());
    }
}
