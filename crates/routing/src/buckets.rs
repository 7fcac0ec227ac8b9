//! The winners of a large service's buckets, one or two bytes each.

use crate::hasher::mix;

/// Buckets for each target, at least. The more, the closer a target's share of the buckets is
/// to its weight: with 64 the standard deviation is 12.5% of the share.
const BUCKETS_PER_TARGET: usize = 64;

/// The number of buckets is a power of two to this power. Where it steps, all flows are placed
/// anew, so that two views on either side of a step agree on few new flows; wide steps make
/// that rare.
const BUCKET_STEP_BITS: u32 = 2;

/// Positions of the winners among a ring's targets.
#[derive(Debug)]
pub(crate) enum BucketRow {
    /// Of at most 256 targets.
    Small(Box<[u8]>),
    /// Of more.
    Large(Box<[u16]>),
}

impl BucketRow {
    /// A row of `count` buckets over `targets` targets.
    pub(crate) fn new(count: usize, targets: usize, winner: impl Fn(usize) -> usize) -> Self {
        let winners = (0..count).map(winner);
        if is_small(targets) {
            let positions = winners.map(|winner| u8::try_from(winner).unwrap_or_default());
            Self::Small(positions.collect())
        } else {
            let positions = winners.map(|winner| u16::try_from(winner).unwrap_or_default());
            Self::Large(positions.collect())
        }
    }

    /// The winner of a bucket.
    pub(crate) fn get(&self, bucket: usize) -> Option<usize> {
        match self {
            Self::Small(winners) => winners.get(bucket).copied().map(usize::from),
            Self::Large(winners) => winners.get(bucket).copied().map(usize::from),
        }
    }
}

fn is_small(targets: usize) -> bool {
    targets <= 1 << u8::BITS
}

/// Bytes that a row of `count` buckets over `targets` targets takes.
pub(crate) fn row_bytes(count: usize, targets: usize) -> usize {
    if is_small(targets) { count } else { 2 * count }
}

/// How many buckets a service with this many targets has: a power of two.
pub(crate) fn bucket_count(targets: usize) -> usize {
    let wanted = (targets * BUCKETS_PER_TARGET).next_power_of_two();
    1 << wanted.trailing_zeros().next_multiple_of(BUCKET_STEP_BITS)
}

/// The key whose winner a bucket holds.
pub(crate) fn bucket_key(bucket: usize) -> u64 {
    mix(bucket as u64 + 1)
}
