//! Weighted rendezvous hashing over the targets of one service.
//!
//! Every target gets a score from the flow key and its own address, and the best score wins.
//! Two processes with equal views agree without talking, and when a target goes, only the
//! flows that it would have won move. A weight `w` divides `-log(u)` of the uniform score `u`,
//! so that a target with twice the slots wins twice as often.
//!
//! The scan costs a few nanoseconds a target. Above [`BUCKET_BOUND`] targets the flow key is
//! first cut down to one of a few thousand *buckets*, and all flows of a bucket have one winner.
//! While a service gets new flows, the winners are kept in a row of bytes, so that a flow costs
//! one lookup whatever the number of targets. The row only remembers what a scan would find:
//! with or without it the same agent wins.
//!
//! ```text
//! flow key --up to BUCKET_BOUND targets------> scan of the targets
//!         \--more--> bucket --row kept-------> its winner
//!                          \--row not kept---> scan of the targets for the bucket's key
//! ```

use std::sync::atomic::{AtomicU8, Ordering};

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_membership::TargetStanding;
use smallvec::SmallVec;

use crate::buckets::{BucketRow, bucket_count, bucket_key, row_bytes};
use crate::score::{scan_costs, scan_scores};

/// Up to this many targets are scanned for each new flow; with more, buckets are used.
pub const BUCKET_BOUND: usize = 12;

/// Up to this many targets with equal slots are scanned quickly enough to need no row.
const SCAN_BOUND: usize = 24;

/// From this many targets on, positions no longer fit a bucket; no service comes near it.
const MAX_BUCKETED: usize = 1 << u16::BITS;

/// How many calls of `RoutingTable::tend` a row of buckets outlives the last new flow by.
pub(crate) const IDLE_LIMIT: u8 = 30;

/// One target that may be given new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingTarget {
    /// Its agent.
    pub agent: AgentAddress,
    /// Its slots. Invariant: at least 1 once in a ring.
    pub slots: u16,
    /// What this process holds of it.
    pub standing: TargetStanding,
}

/// The targets of one service, and those among them that new flows are spread over.
///
/// They are the live ones; when none is, the suspected ones, since a suspicion may be wrong;
/// and leaving ones only when there is nothing else.
#[derive(Debug)]
pub struct ServiceRing {
    service: ServiceId,
    /// Invariant: sorted by standing, then agent, without repetition.
    targets: Box<[RingTarget]>,
    /// How many at the start of `targets` share the best standing.
    candidates: u32,
    /// Invariant: all candidates' weights are equal, so scores can be compared without a
    /// logarithm.
    equal_weights: bool,
    /// `None`, or the winners of all buckets.
    row: Option<Box<BucketRow>>,
    /// Calls of `tend` since the last new flow.
    idle: AtomicU8,
}

impl PartialEq for ServiceRing {
    fn eq(&self, other: &Self) -> bool {
        self.service == other.service && self.targets == other.targets
    }
}

impl ServiceRing {
    /// The ring of a service with these targets, in any order, without a row of buckets.
    #[must_use]
    pub fn new(service: ServiceId, targets: &[RingTarget]) -> Self {
        let targets = in_order(targets);
        let standing = targets.first().map(|target| target.standing);
        let candidates = targets.partition_point(|target| Some(target.standing) == standing);
        let mut pairs = targets[..candidates].windows(2);
        let equal_weights = pairs.all(|pair| pair[0].slots == pair[1].slots);
        Self {
            service,
            targets,
            candidates: u32::try_from(candidates).unwrap_or(u32::MAX),
            equal_weights,
            row: None,
            idle: AtomicU8::new(IDLE_LIMIT),
        }
    }

    /// The same ring with the winners of its buckets, if it has buckets. Costs a scan for each.
    #[must_use]
    pub fn with_row(mut self) -> Self {
        if let Some(count) = self.buckets() {
            let winner = |bucket| self.scan(bucket_key(bucket)).unwrap_or_default();
            self.row = Some(Box::new(BucketRow::new(count, self.len(), winner)));
        }
        self
    }

    /// The same ring with or without its row, used as lately as this one.
    pub(crate) fn copy(&self, keep_row: bool) -> Self {
        let ring = Self::new(self.service, &self.targets);
        ring.idle.store(self.idle(), Ordering::Relaxed);
        if keep_row { ring.with_row() } else { ring }
    }

    /// The service.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.service
    }

    /// The standing that the targets share which new flows are spread over.
    #[must_use]
    pub fn standing(&self) -> TargetStanding {
        let first = self.targets.first();
        first.map_or(TargetStanding::Live, |target| target.standing)
    }

    /// How many targets new flows are spread over.
    #[must_use]
    pub fn len(&self) -> usize {
        self.candidates as usize
    }

    /// Whether there is no target at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// What is held of the target with this agent, when the service has one.
    #[must_use]
    pub fn standing_of(&self, agent: AgentAddress) -> Option<TargetStanding> {
        let (candidates, rest) = self.targets.split_at(self.len());
        let found = match candidates.binary_search_by_key(&agent, |target| target.agent) {
            Ok(position) => candidates.get(position),
            Err(_) => rest.iter().find(|target| target.agent == agent),
        };
        found.map(|target| target.standing)
    }

    /// The agent for a flow whose key hashes to `key`. Allocates nothing.
    #[must_use]
    pub fn pick(&self, key: u64) -> Option<AgentAddress> {
        self.note_use();
        let position = match self.buckets() {
            Some(count) => self.find_winner(bucket_of(key, count))?,
            None => self.scan(key)?,
        };
        self.targets.get(position).map(|found| found.agent)
    }

    /// The best `count` agents for that flow, best first; the first is what `pick` returns.
    #[must_use]
    pub fn order(&self, key: u64, count: usize) -> SmallVec<[AgentAddress; 4]> {
        let bucketed = |count| bucket_key(bucket_of(key, count));
        let key = self.buckets().map_or(key, bucketed);
        let mut best: SmallVec<[(f64, AgentAddress); 4]> = SmallVec::new();
        for candidate in &self.targets[..self.len()] {
            let cost = candidate.cost(key);
            let place = best.partition_point(|(other, _)| *other <= cost);
            if place < count {
                best.truncate(count - 1);
                best.insert(place, (cost, candidate.agent));
            }
        }
        best.into_iter().map(|(_, agent)| agent).collect()
    }

    pub(crate) fn targets(&self) -> &[RingTarget] {
        &self.targets
    }

    /// Whether these targets, in any order, are this ring's.
    pub(crate) fn is_of(&self, targets: &[RingTarget]) -> bool {
        targets.len() == self.targets.len() && *in_order(targets) == *self.targets
    }

    pub(crate) fn has_row(&self) -> bool {
        self.row.is_some()
    }

    /// Bytes of the row that makes its picks quick; 0 when they are so without one.
    pub(crate) fn row_bytes(&self) -> usize {
        if self.equal_weights && self.len() <= SCAN_BOUND {
            return 0;
        }
        self.buckets()
            .map_or(0, |count| row_bytes(count, self.len()))
    }

    /// Calls of `tend` since the last new flow, up to [`IDLE_LIMIT`].
    pub(crate) fn idle(&self) -> u8 {
        self.idle.load(Ordering::Relaxed)
    }

    /// Notes one more call. A new flow at the same moment may go unnoticed; the next one is not.
    pub(crate) fn grow_idle(&self) {
        let idle = self.idle();
        if idle < IDLE_LIMIT {
            self.idle.store(idle + 1, Ordering::Relaxed);
        }
    }

    /// Writes only when there is something to say, so that packet threads do not take the cache
    /// line from one another for every flow.
    fn note_use(&self) {
        if self.idle() != 0 {
            self.idle.store(0, Ordering::Relaxed);
        }
    }

    fn buckets(&self) -> Option<usize> {
        let bucketed = BUCKET_BOUND < self.len() && self.len() < MAX_BUCKETED;
        bucketed.then(|| bucket_count(self.len()))
    }

    fn find_winner(&self, bucket: usize) -> Option<usize> {
        let kept = self.row.as_ref().and_then(|row| row.get(bucket));
        kept.or_else(|| self.scan(bucket_key(bucket)))
    }

    fn scan(&self, key: u64) -> Option<usize> {
        let candidates = &self.targets[..self.len()];
        if self.equal_weights {
            scan_scores(candidates, key)
        } else {
            scan_costs(candidates, key)
        }
    }
}

fn in_order(targets: &[RingTarget]) -> Box<[RingTarget]> {
    let mut ordered = targets.to_vec();
    for target in &mut ordered {
        target.slots = target.slots.max(1);
    }
    ordered.sort_unstable_by_key(|target| (target.standing, target.agent, target.slots));
    ordered.dedup_by_key(|target| (target.standing, target.agent));
    ordered.into_boxed_slice()
}

/// `count` is a power of two.
#[allow(clippy::cast_possible_truncation)]
fn bucket_of(key: u64, count: usize) -> usize {
    key as usize & (count - 1)
}
