//! Decides when this process calls the store.
//!
//! Every call is charged, including a waiting watch and a refused call, so two elected balancers
//! read for all. If only those ever read, no balancer would learn of a change while both are cut
//! off from a store that serves the others. This is detected when no head has carried a recent
//! confirmation for [`STALE_AGE`]. Other balancers then start to read as fallback readers, each
//! with a probability that grows with time, so that a large fleet does not call all at once.

use std::time::Duration;

use lovagelatch_domain::{Moment, StorePosition};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::answer::{StoreCall, StoreFailure};
use crate::peers::READER_COUNT;

/// How long the watch of the first reader waits in the store. A connection that went silent shows
/// only when a watch is overdue, and a change must be in force 3 s after it was made, so the wait
/// and another read must fit well into that.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// How long the watches of the other readers wait. They cover the time until the first reader
/// notices that its connection went silent; a long wait means fewer calls to the store.
const STANDBY_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Delay between an answer with changes and the next watch. Changes come in bursts, and each call
/// is charged; a change is still in force well within the 3 s that it may take.
const CHANGE_DELAY: Duration = Duration::from_millis(250);

/// Time after the store's recovery within which every live target is listed again: the users name
/// about two seconds for the entries that expired during the failure.
pub const RECOVERY_WINDOW: Duration = Duration::from_secs(2);

/// Delay between an answer with changes and the next watch while entries reappear after the store's
/// recovery: at the end of [`RECOVERY_WINDOW`], a target that is not listed is considered gone.
const RECOVERY_CHANGE_DELAY: Duration = Duration::from_millis(50);

/// The longest backoff before a failed call is retried.
pub const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(1_000);

/// The first backoff after a failed call; doubles up to [`MAX_RETRY_BACKOFF`].
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Age of the last confirmation above which balancers that are not elected start to read. Longer
/// than the wait of a watch plus two head intervals, so that it is never reached in normal
/// operation.
const STALE_AGE: Duration = Duration::from_millis(2_600);

/// The same in a large fleet, where a confirmation takes several rounds of heads to spread. In the
/// model of [`crate::peers`], the newest confirmation that one balancer in a thousand has is 2.9 s
/// old at 60 balancers and 3.4 s old at 4,000.
const LARGE_FLEET_STALE_AGE: Duration = Duration::from_secs(4);

/// How long a reader that lost the store may leave the others in doubt before they call it too.
/// The next reader is elected at once and needs some milliseconds.
const DOUBT_DELAY: Duration = Duration::from_millis(150);

/// Time in which the number of balancers that call the store in doubt doubles in a large fleet.
const DOUBT_DOUBLING: Duration = Duration::from_millis(250);

/// The most balancers that start to call the store in doubt at a time, as expected value.
const MAX_DOUBT_READERS: f64 = 64.0;

/// Age of the store's last answer to this process above which its next call must not wait: a
/// connection that went silent unnoticed would show only when the wait is over.
const RECENT_ANSWER_AGE: Duration = Duration::from_secs(1);

/// How long a fallback reader goes on reading, so that it does not flap.
const FALLBACK_PERIOD: Duration = Duration::from_secs(6);

/// Backoff of a fallback reader whose call failed: the store serves no balancer then, and the
/// elected readers will notice its recovery soon enough.
const FALLBACK_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff of an elected reader without a catalog: it cannot serve until it has one, so it must
/// notice the recovery of the store at once. After a power loss during a store outage, a backoff of
/// 1 s added half a second to the outage of all.
const EMPTY_READER_BACKOFF: Duration = Duration::from_millis(150);

/// Backoff of the other balancers without a catalog; the readers inform them.
const EMPTY_BACKOFF: Duration = Duration::from_millis(600);

/// Time after a failed call until a balancer that is no longer elected probes the store again;
/// doubles up to [`MAX_PROBE_INTERVAL`]. Only a successful call makes it a reader again: if it
/// became one without, the others would stop reading and all would miss changes for the time of a
/// watch.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// The longest interval between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(12);

/// Why this process calls the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// It has no catalog yet.
    Starting,
    /// It is an elected reader, with this rank.
    Elected(usize),
    /// The store failed it; it checks whether the store is back.
    Probing,
    /// No recent confirmation of the store reached it from the elected readers.
    Fallback,
}

impl ReadReason {
    /// Returns the reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Elected(0) => "elected first",
            Self::Elected(_) => "elected standby",
            Self::Probing => "probing",
            Self::Fallback => "fallback",
        }
    }
}

/// The number of elected readers, as the expected value of random decisions.
#[allow(clippy::cast_precision_loss)]
const READERS: f64 = READER_COUNT as f64;

/// The state of the member that the reader depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReaderInputs {
    /// This process's rank among the readers, if it is elected.
    pub(crate) rank: Option<usize>,
    /// Whether this process has a catalog.
    pub(crate) holds_catalog: bool,
    /// Time since the store last confirmed the catalog; `None` if never.
    pub(crate) age: Option<Duration>,
    /// Number of known live balancers, this one included.
    pub(crate) members: usize,
    /// Whether the fleet is so large that changes take several rounds of heads to spread.
    pub(crate) is_large: bool,
    /// Time since a reader lost the store, if nobody has confirmed the catalog since.
    pub(crate) doubt: Option<Duration>,
    /// The position in the store's history up to which the catalog is complete.
    pub(crate) position: StorePosition,
}

/// The store calls of this process, at most one at a time.
#[derive(Clone, Debug)]
pub(crate) struct ReaderState {
    in_flight: bool,
    /// No call is made before this moment.
    next_call_at: Moment,
    backoff: Duration,
    /// The position after which the next watch starts; `None` if a list is needed first.
    watch_after: Option<StorePosition>,
    fallback_until: Moment,
    /// When the store last answered.
    answered_at: Option<Moment>,
    /// Whether the last call failed.
    failed: bool,
    /// Why the last call was made; `None` before the first one.
    reason: Option<ReadReason>,
    probe_interval: Duration,
    /// When a balancer whose call failed probes the store again.
    probe_at: Moment,
}

impl ReaderState {
    /// Creates a reader whose first call is due at `first`.
    pub(crate) fn new(first: Moment) -> Self {
        Self {
            in_flight: false,
            next_call_at: first,
            backoff: MIN_RETRY_BACKOFF,
            watch_after: None,
            fallback_until: Moment::ZERO,
            answered_at: None,
            failed: false,
            reason: None,
            probe_interval: MIN_PROBE_INTERVAL,
            probe_at: Moment::ZERO,
        }
    }

    /// Returns whether the store answers this process, as far as it knows.
    pub(crate) fn store_reachable(&self) -> bool {
        !self.failed
    }

    /// Returns the end of the delay of the next call, or `None` if there is no delay.
    pub(crate) fn next_due(&self, now: Moment) -> Option<Moment> {
        (!self.in_flight && now < self.next_call_at).then_some(self.next_call_at)
    }

    /// Returns the call to make now, if any.
    pub(crate) fn next_call(
        &mut self,
        inputs: &ReaderInputs,
        random: &mut SmallRng,
        now: Moment,
    ) -> Option<StoreCall> {
        if self.in_flight || now < self.next_call_at {
            return None;
        }
        self.reason = Some(self.read_reason(inputs, random, now)?);
        self.in_flight = true;
        // A position of an earlier era says nothing about this one.
        let position = self.watch_after;
        self.watch_after = position.filter(|after| after.era >= inputs.position.era);
        Some(match self.watch_after {
            // Also without a configuration: the watch returns it when it is written. Polling by
            // lists until then made two thirds of all calls of a quiet minute.
            Some(after) => StoreCall::Watch {
                after: after.max(inputs.position).revision,
                wait: self.watch_wait(inputs, now),
            },
            None => StoreCall::List,
        })
    }

    /// Returns the call that reads what has changed since the catalog of this process.
    pub(crate) fn verifying_call(&self, inputs: &ReaderInputs) -> StoreCall {
        let position = inputs.position;
        let known = self.watch_after.filter(|after| after.era >= position.era);
        StoreCall::Watch {
            after: known.map_or(position, |after| after.max(position)).revision,
            wait: Duration::ZERO,
        }
    }

    /// Returns whether the answer to the watch in flight continues its position. Otherwise the
    /// store has come back from a copy, and changes before those in the answer are unknown.
    pub(crate) fn continues(&self, position: StorePosition) -> bool {
        self.watch_after
            .is_some_and(|after| after.era == position.era)
    }

    fn watch_wait(&self, inputs: &ReaderInputs, now: Moment) -> Duration {
        let answered = self.answered_at;
        let recent = answered.is_some_and(|at| now.since(at) < RECENT_ANSWER_AGE);
        match inputs.rank {
            _ if self.failed || !recent => Duration::ZERO,
            Some(rank) if rank > 0 => STANDBY_WATCH_WAIT,
            _ => WATCH_WAIT,
        }
    }

    /// Returns why the last call was made; `None` before the first one.
    pub(crate) fn reason(&self) -> Option<ReadReason> {
        self.reason
    }

    /// Records that this process is no longer elected.
    pub(crate) fn stand_down(&mut self) {
        self.reason = None;
    }

    /// Returns why this process should call the store now; `None` if it should not.
    fn read_reason(
        &mut self,
        inputs: &ReaderInputs,
        random: &mut SmallRng,
        now: Moment,
    ) -> Option<ReadReason> {
        let Some(age) = inputs.age else {
            return Some(ReadReason::Starting);
        };
        if let Some(rank) = inputs.rank {
            return Some(ReadReason::Elected(rank));
        }
        if self.failed && now >= self.probe_at {
            return Some(ReadReason::Probing);
        }
        if now < self.fallback_until {
            return Some(ReadReason::Fallback);
        }
        #[allow(clippy::cast_precision_loss)]
        let members = inputs.members.max(1) as f64;
        let callers = self.doubt_callers(inputs).max(stale_callers(inputs, age));
        let starts_fallback = random.random_bool((callers / members).clamp(0.0, 1.0));
        if starts_fallback {
            self.fallback_until = now + FALLBACK_PERIOD;
        }
        starts_fallback.then_some(ReadReason::Fallback)
    }

    /// Returns how many balancers should start to call the store because a reader lost it. In a
    /// small fleet all do: whom the store answers is unknown, and they must not find out in turn.
    fn doubt_callers(&self, inputs: &ReaderInputs) -> f64 {
        let doubt = inputs.doubt.filter(|_| !self.failed);
        let Some(excess) = doubt.and_then(|doubt| doubt.checked_sub(DOUBT_DELAY)) else {
            return 0.0;
        };
        if !inputs.is_large {
            return f64::INFINITY;
        }
        let growth = excess.as_secs_f64() / DOUBT_DOUBLING.as_secs_f64();
        (READERS * 2_f64.powf(growth.min(30.0))).min(MAX_DOUBT_READERS)
    }

    /// Records that the call in flight succeeded and covers all changes up to `position`.
    /// `recovered_at` is when the store first answered after its last failure.
    pub(crate) fn succeeded(
        &mut self,
        position: StorePosition,
        changed: bool,
        recovered_at: Option<Moment>,
        now: Moment,
    ) {
        self.in_flight = false;
        if changed {
            let recovering = recovered_at.is_some_and(|at| now.since(at) < RECOVERY_WINDOW);
            let delay = if recovering {
                RECOVERY_CHANGE_DELAY
            } else {
                CHANGE_DELAY
            };
            self.next_call_at = now + delay;
        }
        self.backoff = MIN_RETRY_BACKOFF;
        self.answered_at = Some(now);
        self.failed = false;
        self.probe_interval = MIN_PROBE_INTERVAL;
        self.watch_after = Some(position);
    }

    /// Records that the call in flight was answered but must be followed by a list.
    pub(crate) fn interrupted(&mut self) {
        self.in_flight = false;
        self.watch_after = None;
    }

    /// Records that the call in flight failed.
    pub(crate) fn failed(
        &mut self,
        call: StoreCall,
        failure: StoreFailure,
        inputs: &ReaderInputs,
        now: Moment,
    ) {
        if failure.requires_list(call) {
            self.interrupted();
            return;
        }
        self.in_flight = false;
        self.failed = true;
        self.probe_at = now + self.probe_interval;
        self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
        let is_fallback = std::mem::take(&mut self.fallback_until) > now;
        let backoff = if is_fallback {
            FALLBACK_BACKOFF
        } else {
            self.backoff
        };
        self.next_call_at = now
            + match inputs.rank {
                _ if inputs.holds_catalog => backoff,
                Some(_) => EMPTY_READER_BACKOFF,
                None => EMPTY_BACKOFF,
            };
        self.backoff = (self.backoff * 2).min(MAX_RETRY_BACKOFF);
    }

    /// Makes the next call a list.
    pub(crate) fn list_again(&mut self) {
        self.watch_after = None;
    }
}

/// Returns how many balancers should start to call the store because its last confirmation is
/// `age` old.
fn stale_callers(inputs: &ReaderInputs, age: Duration) -> f64 {
    let limit = if inputs.is_large {
        LARGE_FLEET_STALE_AGE
    } else {
        STALE_AGE
    };
    let excess = age.checked_sub(limit);
    excess.map_or(0.0, |excess| {
        READERS * 2_f64.powf(excess.as_secs_f64().min(30.0))
    })
}
