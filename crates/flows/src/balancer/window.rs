//! Limits how many searches wait for answers at the same time.
//!
//! Without a limit, a balancer that reads its answers late sends more and more queries: each search
//! whose answers are late queries its agents again, and the additional answers make the others late.
//! With a fixed number of searches in flight, the rate of queries follows the rate at which answers
//! are read.

use std::collections::VecDeque;
use std::time::Duration;

use lovagelatch_domain::Moment;
use smallvec::SmallVec;

use crate::packet::FlowKey;

/// Maximum number of searches in flight. With answers after 2 ms this permits 8,000 searches per
/// second, more than any budget of bytes does; with answers after 200 ms it permits 80.
const MAX_IN_FLIGHT: usize = 16;

/// Up to this many searches in flight, a balancer queries a flow's candidates directly and repeats
/// queries for further packets of the client. Above, each search costs one datagram at a time.
const FEW_SEARCHES: usize = 4;

/// Maximum number of waiting flows: a balancer's share of a fleet's flows after a power loss. Each
/// holds one packet, so this limits the memory to about 5 MB.
const MAX_WAITING: usize = 4_096;

/// How long a search may stay in the window without another query while the response time is
/// unknown: longer than the two query timeouts of a search in two phases.
const MAX_SLOT_TTL: Duration = Duration::from_millis(400);

/// Minimum of the same: ten times a normal exchange between availability zones.
const MIN_SLOT_TTL: Duration = Duration::from_millis(40);

/// While agents answer in time, answers that take longer than this multiple of the mean are lost,
/// or their agents are dead. Then the window need not wait for them: half of the agents may be dead
/// after a power loss, and each search would keep its slot for two timeouts.
const SLOT_TTL_FACTOR: u32 = 4;

/// For how long a response time is taken as current.
const RESPONSE_TIME_TTL: Duration = Duration::from_secs(1);

/// The weight of a sample in the mean response time is one over this.
const RESPONSE_TIME_DIVISOR: u32 = 8;

/// How many searches a balancer has, and how many packets it did not search for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchCounts {
    /// Searches with queries in flight.
    pub in_flight: usize,
    /// Searches that wait for others to end.
    pub waiting: usize,
    /// Packets of unknown flows that caused no query since the start: their searches were waiting or
    /// had pending answers, or too many searches were waiting.
    pub suppressed: u64,
}

#[derive(Clone, Copy, Debug)]
struct WindowSlot {
    flow: FlowKey,
    expires: Moment,
}

/// The searches in flight and those that wait to be.
#[derive(Debug, Default)]
pub(super) struct SearchWindow {
    in_flight: SmallVec<[WindowSlot; MAX_IN_FLIGHT]>,
    /// Searches that wait to query further agents; these go before searches that have not begun. A
    /// flow whose search has ended meanwhile stays until its turn.
    resuming: VecDeque<FlowKey>,
    /// Searches that have not begun, in order of arrival.
    waiting: VecDeque<FlowKey>,
    /// Until when no waiting search may start, because the budget of bytes is used up.
    blocked_until: Moment,
    /// Mean time from the first query of an agent to its answer, as far as agents answer, and when it
    /// was last updated.
    response_time: Option<(Duration, Moment)>,
    /// Packets of clients that caused no query since the start.
    suppressed: u64,
}

impl SearchWindow {
    /// Returns whether a search may send queries now, and counts it as in flight if so. A search in
    /// flight may always send.
    pub(super) fn try_enter(&mut self, flow: FlowKey, now: Moment) -> bool {
        let expires = now + self.slot_ttl(now);
        let mut slots = self.in_flight.iter_mut();
        if let Some(slot) = slots.find(|slot| slot.flow == flow) {
            slot.expires = expires;
            return true;
        }
        let is_free = self.has_free_slot(now);
        if is_free {
            self.in_flight.push(WindowSlot { flow, expires });
        }
        is_free
    }

    /// Like [`try_enter`](Self::try_enter) for a search that has not begun, which must not go before
    /// those that wait.
    pub(super) fn try_enter_new(&mut self, flow: FlowKey, now: Moment) -> bool {
        self.waiting_count() == 0 && self.try_enter(flow, now)
    }

    /// Records that a search has no queries in flight any more.
    pub(super) fn leave(&mut self, flow: &FlowKey) {
        self.in_flight.retain(|slot| slot.flow != *flow);
    }

    /// Adds a search that has not begun. Returns whether there is room for it.
    pub(super) fn push_waiting(&mut self, flow: FlowKey) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push_back(flow);
        }
        has_room
    }

    /// Adds a search that waits to query further agents. Invariant: one entry for each search, so
    /// the capacity of the table of searches limits the number.
    pub(super) fn push_resuming(&mut self, flow: FlowKey) {
        self.resuming.push_back(flow);
    }

    /// Puts a search back that could not start, and lets none start before `until`.
    pub(super) fn block(&mut self, flow: FlowKey, until: Moment) {
        self.resuming.push_front(flow);
        self.blocked_until = until;
    }

    /// Removes and returns the flow whose search may start now.
    pub(super) fn pop_ready(&mut self, now: Moment) -> Option<FlowKey> {
        if now < self.blocked_until || !self.has_free_slot(now) {
            return None;
        }
        let resuming = self.resuming.pop_front();
        resuming.or_else(|| self.waiting.pop_front())
    }

    /// Returns when [`pop_ready`](Self::pop_ready) may return a flow next.
    pub(super) fn next_due(&self) -> Option<Moment> {
        if self.waiting_count() == 0 {
            return None;
        }
        if self.in_flight.len() < MAX_IN_FLIGHT {
            return Some(self.blocked_until);
        }
        let expiries = self.in_flight.iter().map(|slot| slot.expires);
        expiries
            .min()
            .map(|expires| expires.max(self.blocked_until))
    }

    /// Returns whether so many searches are in flight or waiting that each one has to send less.
    pub(super) fn is_busy(&mut self, now: Moment) -> bool {
        if self.in_flight.len() > FEW_SEARCHES {
            self.in_flight.retain(|slot| now < slot.expires);
        }
        self.in_flight.len() + self.waiting_count() > FEW_SEARCHES
    }

    pub(super) fn counts(&self) -> SearchCounts {
        SearchCounts {
            in_flight: self.in_flight.len(),
            waiting: self.waiting_count(),
            suppressed: self.suppressed,
        }
    }

    fn waiting_count(&self) -> usize {
        self.resuming.len() + self.waiting.len()
    }

    /// Records that an agent answered its first query about a flow. Answers to later queries say
    /// nothing, since they may belong to an earlier one.
    pub(super) fn record_response_time(&mut self, sample: Duration, now: Moment) {
        let mean = self.current_response_time(now).map_or(sample, |mean| {
            mean - mean / RESPONSE_TIME_DIVISOR + sample / RESPONSE_TIME_DIVISOR
        });
        self.response_time = Some((mean, now));
    }

    fn current_response_time(&self, now: Moment) -> Option<Duration> {
        let (mean, at) = self.response_time?;
        (now.since(at) < RESPONSE_TIME_TTL).then_some(mean)
    }

    fn slot_ttl(&self, now: Moment) -> Duration {
        let response_time = self.current_response_time(now);
        response_time.map_or(MAX_SLOT_TTL, |mean| {
            (mean * SLOT_TTL_FACTOR).clamp(MIN_SLOT_TTL, MAX_SLOT_TTL)
        })
    }

    pub(super) fn record_suppressed(&mut self) {
        self.suppressed += 1;
    }

    fn has_free_slot(&mut self, now: Moment) -> bool {
        if self.in_flight.len() == MAX_IN_FLIGHT {
            self.in_flight.retain(|slot| now < slot.expires);
        }
        self.in_flight.len() < MAX_IN_FLIGHT
    }
}
