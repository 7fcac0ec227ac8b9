//! Weighted rendezvous hashing over the targets of one service.
//!
//! Every target gets a score from the flow key and its own address, and the best score wins.
//! Two processes with equal views agree without talking, and when a target goes, only the
//! flows that it would have won move. A weight `w` divides `-log(u)` of the uniform score `u`,
//! so that a target with twice the slots wins twice as often.
//!
//! The scan costs a few nanoseconds a target. Above [`BUCKET_BOUND`] targets the winners of
//! many keys (*buckets*) are worked out when the view changes, and a flow takes its bucket's
//! winner: one lookup whatever the number of targets, and still only the flows of a target
//! that goes move.

use std::hash::Hasher;

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_membership::TargetStanding;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::hasher::mix;

/// Up to this many targets are scanned for each new flow; with more, buckets are used.
pub const BUCKET_BOUND: usize = 12;

/// Buckets for each target, at least. The more, the closer a target's share of the buckets is
/// to its weight: with 64 the standard deviation is 12.5% of the share.
const BUCKETS_PER_TARGET: usize = 64;

/// The number of buckets is a power of two to this power. Where it steps, all flows are placed
/// anew, so that two views on either side of a step agree on few new flows; wide steps make
/// that rare.
const BUCKET_STEP_BITS: u32 = 2;

/// From this many targets on, positions no longer fit a bucket; no service comes near it.
const MAX_BUCKETED: usize = 1 << u16::BITS;

/// Fixed keys of the hash of a target's address: every process must compute the same number.
const TARGET_KEYS: (u64, u64) = (0x7461_7267_6574, 0x6861_7368);

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

#[derive(Clone, Copy, Debug, PartialEq)]
struct Candidate {
    agent: AgentAddress,
    /// One over the slots.
    inverse_weight: f64,
    hash: u64,
}

impl Candidate {
    fn new(target: &RingTarget) -> Self {
        let mut hasher = SipHasher13::new_with_keys(TARGET_KEYS.0, TARGET_KEYS.1);
        hasher.write(&target.agent.0.ip().octets());
        hasher.write(&target.agent.0.port().to_be_bytes());
        Self {
            agent: target.agent,
            inverse_weight: 1.0 / f64::from(target.slots.max(1)),
            hash: hasher.finish(),
        }
    }

    fn score(&self, key: u64) -> u64 {
        mix(key ^ self.hash)
    }

    /// Lower is better; exponentially distributed with the slots as its rate.
    fn cost(&self, key: u64) -> f64 {
        negative_log2(self.score(key)) * self.inverse_weight
    }
}

/// The targets of one service that new flows are spread over.
///
/// They are the live ones; when none is, the suspected ones, since a suspicion may be wrong;
/// and leaving ones only when there is nothing else.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRing {
    service: ServiceId,
    standing: TargetStanding,
    /// Invariant: sorted by agent, without repetition.
    candidates: Box<[Candidate]>,
    /// Invariant: all weights are equal, so scores can be compared without a logarithm.
    equal_weights: bool,
    /// Positions in `candidates`. Invariant: empty, or a power of two long.
    buckets: Box<[u16]>,
}

impl ServiceRing {
    /// The ring of a service with these targets, in any order.
    #[must_use]
    pub fn new(service: ServiceId, targets: &[RingTarget]) -> Self {
        let mut ring = Self::without_buckets(service, targets);
        if (BUCKET_BOUND + 1..MAX_BUCKETED).contains(&ring.candidates.len()) {
            ring.buckets = ring.fill_buckets();
        }
        ring
    }

    /// The same ring, scanned whatever its size: the yardstick that buckets are measured by.
    #[must_use]
    pub fn without_buckets(service: ServiceId, targets: &[RingTarget]) -> Self {
        let standing = targets.iter().map(|target| target.standing).min();
        let standing = standing.unwrap_or(TargetStanding::Live);
        let mut candidates: Vec<Candidate> = targets
            .iter()
            .filter(|target| target.standing == standing)
            .map(Candidate::new)
            .collect();
        candidates.sort_by_key(|candidate| candidate.agent);
        candidates.dedup_by_key(|candidate| candidate.agent);
        let equal_weights = candidates
            .windows(2)
            .all(|pair| pair[0].inverse_weight.to_bits() == pair[1].inverse_weight.to_bits());
        Self {
            service,
            standing,
            candidates: candidates.into_boxed_slice(),
            equal_weights,
            buckets: Box::default(),
        }
    }

    /// The service.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.service
    }

    /// The standing that its targets share.
    #[must_use]
    pub fn standing(&self) -> TargetStanding {
        self.standing
    }

    /// How many targets new flows are spread over.
    #[must_use]
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Whether there is no target at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// The agent for a flow whose key hashes to `key`.
    #[must_use]
    pub fn pick(&self, key: u64) -> Option<AgentAddress> {
        let position = match self.bucket_of(key) {
            Some(bucket) => usize::from(self.buckets[bucket]),
            None => self.scan(key)?,
        };
        self.candidates.get(position).map(|found| found.agent)
    }

    /// The best `count` agents for that flow, best first; the first is what `pick` returns.
    #[must_use]
    pub fn order(&self, key: u64, count: usize) -> SmallVec<[AgentAddress; 4]> {
        let key = self.bucket_of(key).map_or(key, bucket_key);
        let mut best: SmallVec<[(f64, AgentAddress); 4]> = SmallVec::new();
        for candidate in &self.candidates {
            let cost = candidate.cost(key);
            let place = best.partition_point(|(other, _)| *other <= cost);
            if place < count {
                best.truncate(count - 1);
                best.insert(place, (cost, candidate.agent));
            }
        }
        best.into_iter().map(|(_, agent)| agent).collect()
    }

    fn bucket_of(&self, key: u64) -> Option<usize> {
        let mask = self.buckets.len().checked_sub(1)?;
        #[allow(clippy::cast_possible_truncation)]
        Some(key as usize & mask)
    }

    fn scan(&self, key: u64) -> Option<usize> {
        if self.equal_weights {
            self.scan_scores(key)
        } else {
            self.scan_costs(key)
        }
    }

    fn scan_scores(&self, key: u64) -> Option<usize> {
        let mut best = None;
        let mut best_score = 0;
        for (position, candidate) in self.candidates.iter().enumerate() {
            let score = candidate.score(key);
            if best.is_none() || score > best_score {
                (best, best_score) = (Some(position), score);
            }
        }
        best
    }

    fn scan_costs(&self, key: u64) -> Option<usize> {
        let mut best = None;
        let mut best_cost = f64::INFINITY;
        for (position, candidate) in self.candidates.iter().enumerate() {
            let cost = candidate.cost(key);
            if cost < best_cost {
                (best, best_cost) = (Some(position), cost);
            }
        }
        best
    }

    fn fill_buckets(&self) -> Box<[u16]> {
        (0..bucket_count(self.candidates.len()))
            .map(|bucket| {
                let winner = self.scan(bucket_key(bucket)).unwrap_or_default();
                u16::try_from(winner).unwrap_or_default()
            })
            .collect()
    }
}

fn bucket_count(targets: usize) -> usize {
    let wanted = (targets * BUCKETS_PER_TARGET).next_power_of_two();
    1 << wanted.trailing_zeros().next_multiple_of(BUCKET_STEP_BITS)
}

/// The key whose winner a bucket holds.
fn bucket_key(bucket: usize) -> u64 {
    mix(bucket as u64 + 1)
}

/// Coefficients of `p` in `log2(1 + t) = t + t (1 - t) p(t)` on `0 <= t <= 1`, lowest power
/// first: a least-squares fit, exact at both ends.
const LOG2_TERMS: [f64; 5] = [
    0.442_695_040_888_963_4,
    -0.277_002_969_346_640_7,
    0.185_517_263_259_516_3,
    -0.098_940_021_111_569_9,
    0.026_383_165_865_249_2,
];

/// `-log2` of a score taken as a fraction of 2^64, within 0.005% of itself.
///
/// The standard logarithm costs several times as much, and its last bit may differ between
/// machines, on which two processes could then disagree.
#[allow(clippy::cast_precision_loss)]
fn negative_log2(score: u64) -> f64 {
    const STEP: f64 = 1.0 / (1_u64 << 52) as f64;
    let score = score | 1;
    let zeros = score.leading_zeros();
    let fraction = score << zeros << 1;
    let t = (fraction >> 12) as f64 * STEP;
    let terms = LOG2_TERMS
        .iter()
        .rev()
        .fold(0.0, |sum, term| sum * t + term);
    f64::from(zeros) + (1.0 - t) * (1.0 - t * terms)
}
