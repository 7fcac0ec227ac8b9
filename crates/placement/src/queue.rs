//! Deficit round robin over the agencies, measured in slot time.
//!
//! Each agency with queued requests gets the same slot time per round, regardless of the number and
//! size of its requests. Other users of the queue share slot time between other keys, such as the
//! routes at one backend server, in proportion to a weight. The size of a request is not known in advance, so the request is charged
//! one quantum (the mean service time) when it starts, and the difference when it ends.
//!
//! ```text
//!   agency a  [x x x x x x x x x]  --+
//!   agency b  [x]                  --+-- in turn, one quantum of slot time each --> slots
//!   no agency [x x]                --+
//! ```

use std::time::Duration;

use lovagelatch_domain::{AttemptId, Moment};

use crate::key_queue::{KeyQueue, QueueKey, WaitingRequest};

/// Which of a key's requests is taken next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DequeueOrder {
    /// The one that was queued first.
    OldestFirst,
    /// The one that was queued last.
    NewestFirst,
}

/// A request taken from its queue, with the key it was charged to.
#[derive(Clone, Debug)]
pub struct DequeuedRequest<K, R> {
    /// The request.
    pub waiting: R,
    /// Its key.
    pub key: K,
    /// In seconds of slot time.
    pub charge: f64,
}

/// The queued requests of one backend server.
#[derive(Clone, Debug)]
pub struct FairQueue<K, R> {
    /// One queue for each key with a queued or running request, in round robin order.
    queues: Vec<KeyQueue<K, R>>,
    /// Index of the queue that is served next. Invariant: below `queues.len()`, or 0.
    turn: usize,
    /// Whether that queue has received its quantum in this round.
    granted: bool,
    /// Invariant: the number of queued requests in all queues.
    waiting: usize,
}

impl<K, R> Default for FairQueue<K, R> {
    fn default() -> Self {
        Self {
            queues: Vec::new(),
            turn: 0,
            granted: false,
            waiting: 0,
        }
    }
}

impl<K: QueueKey> FairQueue<K, WaitingRequest> {
    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.iter().any(|waiting| waiting.attempt == attempt)
    }

    pub(crate) fn earliest_start_by(&self) -> Option<Moment> {
        self.iter().map(|waiting| waiting.start_by).min()
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptId) -> bool {
        let mut removed = false;
        self.retain(|waiting| {
            let keep = waiting.attempt != attempt;
            removed |= !keep;
            keep
        });
        removed
    }
}

impl<K: QueueKey, R> FairQueue<K, R> {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the queued requests, in no particular order between keys.
    pub fn iter(&self) -> impl Iterator<Item = &R> {
        self.queues.iter().flat_map(|queue| queue.waiting.iter())
    }

    /// Returns the number of the key's queued requests.
    #[must_use]
    pub fn backlog(&self, key: &K) -> usize {
        self.find(key)
            .map_or(0, |index| self.queues[index].waiting.len())
    }

    /// Returns since when the key's queue has been non-empty; `None` if it is empty.
    #[must_use]
    pub fn backlogged_since(&self, key: &K) -> Option<Moment> {
        let queue = &self.queues[self.find(key)?];
        (!queue.waiting.is_empty()).then_some(queue.backlogged_since)
    }

    /// Returns the number of keys with queued requests, counting this one in any case.
    pub(crate) fn waiting_keys_with(&self, key: &K) -> usize {
        let others = self.queues.iter().filter(|queue| queue.key != *key);
        1 + others.filter(|queue| !queue.waiting.is_empty()).count()
    }

    /// Returns how many queued requests are served before a new one of this key.
    #[must_use]
    pub fn queued_ahead_of(&self, key: &K) -> usize {
        let own = self.backlog(key);
        let others = self.queues.iter().filter(|queue| queue.key != *key);
        own + others
            .map(|queue| {
                let served = served_meanwhile(own + 1, queue.key.weight() / key.weight());
                queue.waiting.len().min(served)
            })
            .sum::<usize>()
    }

    /// Queues a request.
    pub fn push(&mut self, key: K, waiting: R, now: Moment) {
        let index = self.find_or_add(key);
        let queue = &mut self.queues[index];
        if queue.waiting.is_empty() {
            queue.backlogged_since = now;
        }
        queue.waiting.push_back(waiting);
        self.waiting += 1;
    }

    /// Takes the next request, the oldest of its key. `quantum` is the mean service time in
    /// seconds.
    pub fn pop(&mut self, quantum: f64) -> Option<DequeuedRequest<K, R>> {
        self.pop_with(quantum, |_| DequeueOrder::OldestFirst)
    }

    /// Takes the next request like [`pop`](Self::pop), with the order within a key as a function
    /// of the time since when its queue has been non-empty.
    pub fn pop_with(
        &mut self,
        quantum: f64,
        order: impl Fn(Moment) -> DequeueOrder,
    ) -> Option<DequeuedRequest<K, R>> {
        if self.waiting == 0 {
            return None;
        }
        // The loop ends: each round grants every queue one quantum, and the deficits are bounded.
        loop {
            let queue = &mut self.queues[self.turn];
            if queue.waiting.is_empty() {
                queue.drop_credit();
                self.next_turn();
                continue;
            }
            if !self.granted {
                queue.add_quantum(quantum);
                self.granted = true;
            }
            if !queue.can_afford(quantum) {
                self.next_turn();
                continue;
            }
            let waiting = match order(queue.backlogged_since) {
                DequeueOrder::OldestFirst => queue.waiting.pop_front()?,
                DequeueOrder::NewestFirst => queue.waiting.pop_back()?,
            };
            return Some(self.charge(self.turn, waiting, quantum));
        }
    }

    /// Takes the request with the least `rank` of all keys, whatever their shares.
    pub fn pop_least<V: Ord>(
        &mut self,
        quantum: f64,
        rank: impl Fn(&R) -> V,
    ) -> Option<DequeuedRequest<K, R>> {
        let ranked = self.queues.iter().enumerate().flat_map(|(index, queue)| {
            let waiting = queue.waiting.iter().enumerate();
            waiting.map(move |(at, request)| (index, at, request))
        });
        let (index, at, _) = ranked.min_by_key(|(_, _, request)| rank(request))?;
        let waiting = self.queues[index].waiting.remove(at)?;
        Some(self.charge(index, waiting, quantum))
    }

    /// Charges a request that starts without being queued.
    pub fn start_immediately(&mut self, key: K, quantum: f64) {
        let index = self.find_or_add(key);
        let queue = &mut self.queues[index];
        queue.spend(quantum, quantum);
        queue.running += 1;
    }

    /// Corrects the charge of a request that held its slot for `took`.
    pub fn settle(&mut self, key: &K, charge: f64, took: Duration, quantum: f64) {
        let Some(index) = self.find(key) else {
            return;
        };
        let queue = &mut self.queues[index];
        queue.running = queue.running.saturating_sub(1);
        queue.spend(took.as_secs_f64() - charge, quantum);
        self.drop_if_idle(index);
    }

    /// Keeps the queued requests for which `keep` returns true, in their order.
    pub fn retain(&mut self, mut keep: impl FnMut(&R) -> bool) {
        for index in (0..self.queues.len()).rev() {
            self.queues[index].waiting.retain(|waiting| keep(waiting));
            self.drop_if_idle(index);
        }
        self.waiting = self.queues.iter().map(|queue| queue.waiting.len()).sum();
    }

    fn charge(&mut self, index: usize, waiting: R, quantum: f64) -> DequeuedRequest<K, R> {
        let queue = &mut self.queues[index];
        queue.spend(quantum, quantum);
        queue.running += 1;
        self.waiting -= 1;
        DequeuedRequest {
            waiting,
            key: queue.key.clone(),
            charge: quantum,
        }
    }

    fn next_turn(&mut self) {
        self.turn = (self.turn + 1) % self.queues.len();
        self.granted = false;
    }

    fn find(&self, key: &K) -> Option<usize> {
        self.queues.iter().position(|queue| queue.key == *key)
    }

    /// Returns the key's queue. The weight of an equal key may have changed, so it is replaced.
    fn find_or_add(&mut self, key: K) -> usize {
        if let Some(index) = self.find(&key) {
            self.queues[index].key = key;
            return index;
        }
        self.queues.push(KeyQueue::new(key));
        self.queues.len() - 1
    }

    fn drop_if_idle(&mut self, index: usize) {
        if !self.queues[index].is_idle() {
            return;
        }
        self.queues.remove(index);
        if index < self.turn {
            self.turn -= 1;
        } else if index == self.turn {
            self.granted = false;
        }
        if self.turn >= self.queues.len() {
            self.turn = 0;
        }
    }
}

/// Returns how many requests of a key are served in the rounds that serve `own` of another one,
/// whose weight it exceeds by the factor `weight`.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn served_meanwhile(own: usize, weight: f64) -> usize {
    (own as f64 * weight).ceil() as usize
}
