//! When this process calls the store.
//!
//! Every call is counted and priced, a waiting watch and a refused one too, so two balancers
//! read for all. What goes wrong if only they ever read: both may be cut off from the store while
//! it serves the others, and nobody would hear of a change. One notices that no head has told of
//! a fresh confirmation for [`STALE_LIMIT`]. Then others begin to read too, each by lot, more and
//! more of them the longer it lasts, so that a large fleet does not call all at once.

use std::time::Duration;

use lovagelatch_domain::Moment;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::answer::{StoreCall, StoreFailure};
use crate::peers::READERS;

/// How long the first reader's watch waits in the store. A connection that went silent shows only when a watch
/// is overdue, and a change must be in force 3 s after it; so the wait and one more read have to
/// fit well into that.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// How long the other readers' watches wait. They are there for the first one's blind time, until
/// it notices that its connection went silent; a long wait costs the store less.
const STANDBY_WAIT: Duration = Duration::from_secs(5);

/// Pause between an answer that brought changes and the next watch. Changes come in bursts, and
/// each call is paid for; a change still is in force well within the 3 s that it may take.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);

/// How long after the store's first answer after its trouble every living target is listed again: the users name
/// about two seconds for the entries that expired meanwhile.
pub const RETURN_SPAN: Duration = Duration::from_secs(2);

/// Pause between an answer that brought changes and the next watch while entries come back after the store's
/// trouble: at the end of [`RETURN_SPAN`] whoever is not listed is taken for gone.
const RETURN_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause before a failed call is made again.
pub const RETRY_LIMIT: Duration = Duration::from_millis(1_000);

/// The first pause after a failed call; doubles up to [`RETRY_LIMIT`].
const RETRY_START: Duration = Duration::from_millis(100);

/// From this age of the last confirmation on, processes that are not drawn begin to read. Longer
/// than a watch's wait plus two intervals between heads, so that it never happens in calm.
const STALE_LIMIT: Duration = Duration::from_millis(2_600);

/// The same where heads go to a few balancers at random, so that a confirmation takes some rounds: by the
/// model of [`crate::peers`] one in a thousand has 2.9 s at 60 balancers, 3.4 s at 4,000.
const LARGE_STALE_LIMIT: Duration = Duration::from_secs(4);

/// How long a process that began to read for want of news goes on, so that it does not flap.
const VOLUNTEER_SPAN: Duration = Duration::from_secs(6);

/// Pause of one whose call failed all the same: the store serves nobody, and the drawn readers
/// find out soon enough when it does again.
const VOLUNTEER_PAUSE: Duration = Duration::from_secs(2);

/// Pauses of a process that holds nothing at all, drawn as a reader or not: until it has a catalog
/// it serves nobody, so a store that comes back must be noticed at once. In a fleet that lost
/// power while the store was away, a pause of a second was half a second of everybody's service.
const EMPTY_READER_PAUSE: Duration = Duration::from_millis(150);

/// See [`EMPTY_READER_PAUSE`]; the readers tell the others.
const EMPTY_PAUSE: Duration = Duration::from_millis(600);

/// How long a process whose call failed leaves reading to others before it tries one call more;
/// doubles up to [`LONGEST_SETBACK`]. Only a call that succeeds makes it a reader again: one that
/// merely hoped would send the others away and leave all without news for a watch's time.
const FIRST_SETBACK: Duration = Duration::from_secs(3);

/// See [`FIRST_SETBACK`].
const LONGEST_SETBACK: Duration = Duration::from_secs(12);

/// What the reader knows besides its own calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadingInputs {
    /// This process's place among the readers, if the lot drew it.
    pub(crate) drawn: Option<usize>,
    /// Whether a catalog is held at all.
    pub(crate) holds_catalog: bool,
    /// How long ago the store confirmed what is held; `None` when never.
    pub(crate) age: Option<Duration>,
    /// Living balancers that are known, this one included.
    pub(crate) members: usize,
    /// Whether there are so many that news takes several rounds of heads.
    pub(crate) is_large: bool,
    /// Up to which revision the held catalog is complete.
    pub(crate) revision: u64,
}

/// The calls of one process, one at a time.
#[derive(Clone, Debug)]
pub(crate) struct ReadingState {
    outstanding: bool,
    /// No call before this moment.
    pause_until: Moment,
    pause: Duration,
    /// The revision after which the next watch starts; `None` when a list is needed first.
    watch_after: Option<u64>,
    volunteer_until: Moment,
    /// Whether the last call failed.
    failed: bool,
    setback: Duration,
    /// When a failed process tries one call more.
    probe_at: Moment,
}

impl ReadingState {
    /// `first` is when the first call may be made.
    pub(crate) fn new(first: Moment) -> Self {
        Self {
            outstanding: false,
            pause_until: first,
            pause: RETRY_START,
            watch_after: None,
            volunteer_until: Moment::ZERO,
            failed: false,
            setback: FIRST_SETBACK,
            probe_at: Moment::ZERO,
        }
    }

    /// Whether the store answers this process, as far as it knows.
    pub(crate) fn reads(&self) -> bool {
        !self.failed
    }

    /// When the pause ends that keeps the next call back; `None` while none does.
    pub(crate) fn next_due(&self, now: Moment) -> Option<Moment> {
        (!self.outstanding && now < self.pause_until).then_some(self.pause_until)
    }

    /// The call to make now, if any.
    pub(crate) fn next_call(
        &mut self,
        inputs: &ReadingInputs,
        random: &mut SmallRng,
        now: Moment,
    ) -> Option<StoreCall> {
        if self.outstanding || now < self.pause_until || !self.wants_to_read(inputs, random, now) {
            return None;
        }
        self.outstanding = true;
        let known = self.watch_after.map(|after| after.max(inputs.revision));
        Some(match known {
            // Also while there is no configuration yet: it comes by the watch. Lists one after the
            // other until it is written were two thirds of all calls of a quiet minute.
            Some(after) => StoreCall::Watch {
                after,
                wait: self.wait(inputs),
            },
            None => StoreCall::List,
        })
    }

    fn wait(&self, inputs: &ReadingInputs) -> Duration {
        match inputs.drawn {
            _ if self.failed => Duration::ZERO,
            Some(place) if place > 0 => STANDBY_WAIT,
            _ => WATCH_WAIT,
        }
    }

    fn wants_to_read(
        &mut self,
        inputs: &ReadingInputs,
        random: &mut SmallRng,
        now: Moment,
    ) -> bool {
        let Some(age) = inputs.age else {
            return true;
        };
        let probes = self.failed && now >= self.probe_at;
        if inputs.drawn.is_some() || probes || now < self.volunteer_until {
            return true;
        }
        let limit = if inputs.is_large {
            LARGE_STALE_LIMIT
        } else {
            STALE_LIMIT
        };
        let Some(beyond) = age.checked_sub(limit) else {
            return false;
        };
        let growth = 2_f64.powf(beyond.as_secs_f64().min(30.0));
        #[allow(clippy::cast_precision_loss)]
        let chance = READERS as f64 / inputs.members.max(1) as f64 * growth;
        let drawn = random.random_bool(chance.clamp(0.0, 1.0));
        if drawn {
            self.volunteer_until = now + VOLUNTEER_SPAN;
        }
        drawn
    }

    /// The outstanding call succeeded and covers everything up to `revision`. `returned` is when the store
    /// first answered after its last trouble.
    pub(crate) fn succeeded(
        &mut self,
        revision: u64,
        changed: bool,
        returned: Option<Moment>,
        now: Moment,
    ) {
        self.outstanding = false;
        if changed {
            let returns = returned.is_some_and(|at| now.since(at) < RETURN_SPAN);
            let pause = if returns { RETURN_PAUSE } else { CHANGE_PAUSE };
            self.pause_until = now + pause;
        }
        self.pause = RETRY_START;
        self.failed = false;
        self.setback = FIRST_SETBACK;
        self.watch_after = Some(revision);
    }

    /// The outstanding call failed.
    pub(crate) fn failed(&mut self, failure: StoreFailure, inputs: &ReadingInputs, now: Moment) {
        self.outstanding = false;
        if failure == StoreFailure::HistoryGone {
            self.watch_after = None;
            return;
        }
        self.failed = true;
        self.probe_at = now + self.setback;
        self.setback = (self.setback * 2).min(LONGEST_SETBACK);
        let volunteers = std::mem::take(&mut self.volunteer_until) > now;
        let pause = if volunteers {
            VOLUNTEER_PAUSE
        } else {
            self.pause
        };
        self.pause_until = now
            + match inputs.drawn {
                _ if inputs.holds_catalog => pause,
                Some(_) => EMPTY_READER_PAUSE,
                None => EMPTY_PAUSE,
            };
        self.pause = (self.pause * 2).min(RETRY_LIMIT);
    }

    /// The next call reads everything again.
    pub(crate) fn list_again(&mut self) {
        self.watch_after = None;
    }
}
