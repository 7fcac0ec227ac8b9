//! Weighted rendezvous hashing over the targets of one service.
//!
//! Each target gets a score from the flow key and its address, and the best score wins. Two
//! processes with equal views agree without communication, and when a target is removed, only the
//! flows that it won move. The weight `w` divides `-log(u)` of the uniform score `u`, so a target
//! with twice the slots wins twice as often.
//!
//! The scan costs a few nanoseconds per target. Above [`MAX_SCANNED_TARGETS`] targets, the flow key
//! is first reduced to one of a few thousand *buckets*, and all flows of a bucket have the same
//! winner. While a service receives new flows, the winners are cached in a *bucket table*, so a
//! flow costs one lookup regardless of the number of targets. The bucket table only caches the
//! result of the scan: the same agent wins with or without it.
//!
//! ```text
//! flow key --up to MAX_SCANNED_TARGETS--> scan of the targets
//!         \--more--> bucket --bucket table-----> its winner
//!                          \--no bucket table--> scan of the targets for the bucket's key
//! ```

use std::sync::atomic::{AtomicU8, Ordering};

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_membership::TargetStanding;
use smallvec::SmallVec;

use crate::buckets::{BucketTable, bucket_bytes, bucket_count, bucket_key};
use crate::score::{scan_costs, scan_scores};

/// The maximum number of targets that are scanned for each new flow. With more, buckets are used.
pub const MAX_SCANNED_TARGETS: usize = 12;

/// Up to this many targets with equal slots are scanned fast enough to need no bucket table.
const MAX_EQUAL_SCAN: usize = 24;

/// From this many targets on, positions no longer fit in a bucket of two bytes. Services are far
/// smaller.
const BUCKETED_TARGET_LIMIT: usize = 1 << u16::BITS;

/// A bucket table is dropped after this many calls of `RoutingTable::refresh_buckets` without a
/// new flow.
pub(crate) const MAX_IDLE_TICKS: u8 = 30;

/// A target that may receive new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingTarget {
    /// The agent beside the target.
    pub agent: AgentAddress,
    /// The target's slots, which are its weight. Invariant: at least 1 once in a ring.
    pub slots: u16,
    /// The target's standing in this process's view.
    pub standing: TargetStanding,
}

/// The targets of one service and the candidates among them for new flows.
///
/// The candidates are the live targets. Without live targets, they are the suspected ones, because
/// a suspicion may be wrong; leaving targets are used only when there are no others.
#[derive(Debug)]
pub struct ServiceRing {
    service: ServiceId,
    /// Invariant: sorted by standing, then agent, without duplicates.
    targets: Box<[RingTarget]>,
    /// The number of targets at the start of `targets` that share the best standing.
    candidates: u32,
    /// Whether all candidates have the same weight, so scores can be compared without a logarithm.
    equal_weights: bool,
    /// The winners of all buckets, if cached.
    buckets: Option<Box<BucketTable>>,
    /// Calls of `refresh_buckets` since the last new flow, at most [`MAX_IDLE_TICKS`].
    idle_ticks: AtomicU8,
}

impl PartialEq for ServiceRing {
    fn eq(&self, other: &Self) -> bool {
        self.service == other.service && self.targets == other.targets
    }
}

impl ServiceRing {
    /// Creates the ring of a service with these targets, in any order, without a bucket table.
    #[must_use]
    pub fn new(service: ServiceId, targets: &[RingTarget]) -> Self {
        let targets = normalized(targets);
        let standing = targets.first().map(|target| target.standing);
        let candidates = targets.partition_point(|target| Some(target.standing) == standing);
        let mut pairs = targets[..candidates].windows(2);
        let equal_weights = pairs.all(|pair| pair[0].slots == pair[1].slots);
        Self {
            service,
            targets,
            candidates: u32::try_from(candidates).unwrap_or(u32::MAX),
            equal_weights,
            buckets: None,
            idle_ticks: AtomicU8::new(MAX_IDLE_TICKS),
        }
    }

    /// Adds a bucket table if the ring is large enough to use buckets. Costs one scan per bucket.
    #[must_use]
    pub fn with_buckets(mut self) -> Self {
        if let Some(count) = self.bucket_count() {
            let winner = |bucket| self.scan(bucket_key(bucket)).unwrap_or_default();
            self.buckets = Some(Box::new(BucketTable::new(count, self.len(), winner)));
        }
        self
    }

    /// Rebuilds the ring with or without a bucket table and keeps its idle count.
    pub(crate) fn rebuilt(&self, with_buckets: bool) -> Self {
        let ring = Self::new(self.service, &self.targets);
        ring.idle_ticks.store(self.idle_ticks(), Ordering::Relaxed);
        if with_buckets {
            ring.with_buckets()
        } else {
            ring
        }
    }

    /// Returns the service whose targets these are.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.service
    }

    /// Returns the standing of the candidates for new flows.
    #[must_use]
    pub fn standing(&self) -> TargetStanding {
        let first = self.targets.first();
        first.map_or(TargetStanding::Live, |target| target.standing)
    }

    /// Returns the number of candidates for new flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.candidates as usize
    }

    /// Returns whether the service has no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the standing of the target with this agent, if the service has one.
    #[must_use]
    pub fn standing_of(&self, agent: AgentAddress) -> Option<TargetStanding> {
        let (candidates, rest) = self.targets.split_at(self.len());
        let found = match candidates.binary_search_by_key(&agent, |target| target.agent) {
            Ok(position) => candidates.get(position),
            Err(_) => rest.iter().find(|target| target.agent == agent),
        };
        found.map(|target| target.standing)
    }

    /// Returns the agent for a flow whose key hashes to `key`. Allocates nothing.
    #[must_use]
    pub fn pick(&self, key: u64) -> Option<AgentAddress> {
        self.record_use();
        let position = match self.bucket_count() {
            Some(count) => self.bucket_winner(bucket_of(key, count))?,
            None => self.scan(key)?,
        };
        self.targets.get(position).map(|found| found.agent)
    }

    /// Returns the best `count` agents for a flow, best first. The first is the one that `pick`
    /// returns.
    #[must_use]
    pub fn ranked(&self, key: u64, count: usize) -> SmallVec<[AgentAddress; 4]> {
        let bucketed = |count| bucket_key(bucket_of(key, count));
        let key = self.bucket_count().map_or(key, bucketed);
        let mut best: SmallVec<[(f64, AgentAddress); 4]> = SmallVec::new();
        for candidate in &self.targets[..self.len()] {
            let cost = candidate.cost(key);
            let index = best.partition_point(|(other, _)| *other <= cost);
            if index < count {
                best.truncate(count - 1);
                best.insert(index, (cost, candidate.agent));
            }
        }
        best.into_iter().map(|(_, agent)| agent).collect()
    }

    pub(crate) fn targets(&self) -> &[RingTarget] {
        &self.targets
    }

    /// Returns whether the ring consists of exactly these targets, in any order.
    pub(crate) fn has_targets(&self, targets: &[RingTarget]) -> bool {
        targets.len() == self.targets.len() && *normalized(targets) == *self.targets
    }

    pub(crate) fn has_buckets(&self) -> bool {
        self.buckets.is_some()
    }

    /// Returns the size of the ring's bucket table in bytes, or 0 when picks are fast without one.
    pub(crate) fn bucket_bytes(&self) -> usize {
        if self.equal_weights && self.len() <= MAX_EQUAL_SCAN {
            return 0;
        }
        self.bucket_count()
            .map_or(0, |count| bucket_bytes(count, self.len()))
    }

    pub(crate) fn idle_ticks(&self) -> u8 {
        self.idle_ticks.load(Ordering::Relaxed)
    }

    /// Counts a call of `refresh_buckets`. A new flow at the same moment may be missed; the next
    /// one resets the count.
    pub(crate) fn increment_idle(&self) {
        let idle_ticks = self.idle_ticks();
        if idle_ticks < MAX_IDLE_TICKS {
            self.idle_ticks.store(idle_ticks + 1, Ordering::Relaxed);
        }
    }

    /// Writes only when the value changes, to avoid contention between packet threads on the cache
    /// line for every flow.
    fn record_use(&self) {
        if self.idle_ticks() != 0 {
            self.idle_ticks.store(0, Ordering::Relaxed);
        }
    }

    fn bucket_count(&self) -> Option<usize> {
        let bucketed = MAX_SCANNED_TARGETS < self.len() && self.len() < BUCKETED_TARGET_LIMIT;
        bucketed.then(|| bucket_count(self.len()))
    }

    fn bucket_winner(&self, bucket: usize) -> Option<usize> {
        let cached = self
            .buckets
            .as_ref()
            .and_then(|buckets| buckets.get(bucket));
        cached.or_else(|| self.scan(bucket_key(bucket)))
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

fn normalized(targets: &[RingTarget]) -> Box<[RingTarget]> {
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
