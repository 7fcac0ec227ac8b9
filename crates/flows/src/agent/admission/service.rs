//! The requests that were delivered to the target and not yet answered.
//!
//! A target serves its requests in the order of their arrival, so the oldest ones of them, as many
//! as it has slots, are being worked on. A request that is answered while that many older ones are
//! unanswered was not worked on: the target rejected it.

use std::collections::VecDeque;
use std::time::Duration;

use lovagelatch_domain::Moment;

use super::class_table::RouteKey;

/// A request without an answer for this long no longer counts: its caller has given up, or the
/// target never answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// A delivered request.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeliveredRequest {
    number: u64,
    pub(super) route: RouteKey,
    /// In seconds of slot time.
    pub(super) charge: f64,
    /// How many requests were unanswered when it was delivered.
    pub(super) ahead: u16,
    pub(super) delivered: Moment,
    /// When the target began to work on it; `None` while it is in the target's queue.
    pub(super) started: Option<Moment>,
}

/// The delivered requests, oldest first; see the module documentation.
#[derive(Clone, Debug, Default)]
pub(super) struct DeliveredRequests {
    /// Invariant: in ascending order of `number`, started ones first.
    requests: VecDeque<DeliveredRequest>,
    next_number: u64,
}

impl DeliveredRequests {
    /// Returns the number of unanswered requests.
    pub(super) fn len(&self) -> u16 {
        u16::try_from(self.requests.len()).unwrap_or(u16::MAX)
    }

    /// Adds a request. Returns its number.
    pub(super) fn push(&mut self, route: RouteKey, charge: f64, slots: u16, now: Moment) -> u64 {
        let (number, ahead) = (self.next_number, self.len());
        self.next_number += 1;
        self.requests.push_back(DeliveredRequest {
            number,
            route,
            charge,
            ahead,
            delivered: now,
            started: (ahead < slots).then_some(now),
        });
        number
    }

    pub(super) fn remove(&mut self, number: u64) -> Option<DeliveredRequest> {
        let position = self
            .requests
            .binary_search_by_key(&number, |request| request.number);
        self.requests.remove(position.ok()?)
    }

    /// Removes the oldest request if it has timed out.
    pub(super) fn pop_timed_out(&mut self, now: Moment) -> Option<DeliveredRequest> {
        let oldest = self.requests.front()?;
        let timed_out = now.since(oldest.delivered) > ANSWER_TIMEOUT;
        timed_out.then(|| self.requests.pop_front()).flatten()
    }

    /// Marks the oldest requests as started, as many as there are slots.
    pub(super) fn start_next(&mut self, slots: u16, now: Moment) {
        let oldest = self.requests.iter_mut().take(slots.into());
        for request in oldest {
            request.started.get_or_insert(now);
        }
    }
}
