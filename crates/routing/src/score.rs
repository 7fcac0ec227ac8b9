//! Scores of targets for a flow key, and the scans that find the best target.

use crate::hasher::{MULTIPLIER, mix};
use crate::ring::{MAX_SCANNED_TARGETS, RingTarget};

impl RingTarget {
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.slots)
    }

    /// Uniformly distributed over 64 bits and independent for each pair of flow key and address.
    pub(crate) fn score(&self, key: u64) -> u64 {
        let address = u64::from(u32::from(*self.agent.0.ip())) << 16;
        let address = address | u64::from(self.agent.0.port());
        mix(key ^ address.wrapping_mul(MULTIPLIER))
    }

    /// Lower is better; exponentially distributed with the slots as its rate.
    pub(crate) fn cost(&self, key: u64) -> f64 {
        negative_log2(self.score(key)) / self.weight()
    }
}

pub(crate) fn scan_scores(candidates: &[RingTarget], key: u64) -> Option<usize> {
    let mut best = None;
    let mut best_score = 0;
    for (position, candidate) in candidates.iter().enumerate() {
        let score = candidate.score(key);
        if best.is_none() || score > best_score {
            (best, best_score) = (Some(position), score);
        }
    }
    best
}

pub(crate) fn scan_costs(candidates: &[RingTarget], key: u64) -> Option<usize> {
    let prune = candidates.len() > MAX_SCANNED_TARGETS;
    let mut best = None;
    let mut best_cost = f64::INFINITY;
    for (position, candidate) in candidates.iter().enumerate() {
        // Computes the logarithm only where it may matter: `-ln(u)` is never below `1 - u`, and
        // that bound already excludes most candidates. With few targets the branch costs more than
        // it saves.
        if prune && negative_log2_lower_bound(candidate.score(key)) > best_cost * candidate.weight()
        {
            continue;
        }
        let cost = candidate.cost(key);
        if cost < best_cost {
            (best, best_cost) = (Some(position), cost);
        }
    }
    best
}

/// A lower bound of `negative_log2` of the score: `1 - u` divided by the natural logarithm of 2,
/// reduced by more than the errors of rounding and of the approximation.
#[allow(clippy::cast_precision_loss)]
fn negative_log2_lower_bound(score: u64) -> f64 {
    const SCALE: f64 = std::f64::consts::LOG2_E * 0.999 / (1_u64 << 53) as f64;
    // The conversion from a signed integer is a single machine instruction.
    (!score >> 11).cast_signed() as f64 * SCALE
}

/// Coefficients of `p` in `log2(1 + t) = t + t (1 - t) p(t)` for `0 <= t <= 1`, lowest power
/// first: a least-squares fit that is exact at both ends.
const LOG2_TERMS: [f64; 5] = [
    0.442_695_040_888_963_4,
    -0.277_002_969_346_640_7,
    0.185_517_263_259_516_3,
    -0.098_940_021_111_569_9,
    0.026_383_165_865_249_2,
];

/// Returns `-log2` of a score as a fraction of 2^64, with a relative error below 0.005%.
///
/// The standard logarithm costs several times as much, and its last bit may differ between
/// machines, so two processes could disagree on a placement.
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
