//! Lookup tables with the winning target of each bucket of a large service, one or two bytes per
//! bucket.

use crate::hasher::mix;

/// The minimum number of buckets per target. With more buckets, a target's share of them is closer
/// to its weight: with 64, the standard deviation is 12.5% of the share.
const BUCKETS_PER_TARGET: usize = 64;

/// The exponent of the bucket count, which is a power of two, is a multiple of this. A change of
/// the count re-places all flows, so two views with different counts agree on few new flows. Large
/// steps make such changes rare.
const BUCKET_STEP_BITS: u32 = 2;

/// The position among a ring's targets of each bucket's winner.
#[derive(Debug)]
pub(crate) enum BucketTable {
    /// For at most 256 targets.
    Small(Box<[u8]>),
    /// For more than 256 targets.
    Large(Box<[u16]>),
}

impl BucketTable {
    /// Builds a table of `count` buckets over `targets` targets.
    pub(crate) fn new(count: usize, targets: usize, winner: impl Fn(usize) -> usize) -> Self {
        let winners = (0..count).map(winner);
        if fits_one_byte(targets) {
            let positions = winners.map(|winner| u8::try_from(winner).unwrap_or_default());
            Self::Small(positions.collect())
        } else {
            let positions = winners.map(|winner| u16::try_from(winner).unwrap_or_default());
            Self::Large(positions.collect())
        }
    }

    /// Returns the winner of a bucket.
    pub(crate) fn get(&self, bucket: usize) -> Option<usize> {
        match self {
            Self::Small(winners) => winners.get(bucket).copied().map(usize::from),
            Self::Large(winners) => winners.get(bucket).copied().map(usize::from),
        }
    }
}

fn fits_one_byte(targets: usize) -> bool {
    targets <= 1 << u8::BITS
}

/// Returns the size in bytes of a table of `count` buckets over `targets` targets.
pub(crate) fn bucket_bytes(count: usize, targets: usize) -> usize {
    if fits_one_byte(targets) {
        count
    } else {
        2 * count
    }
}

/// Returns the number of buckets for a service with this many targets, a power of two.
pub(crate) fn bucket_count(targets: usize) -> usize {
    let wanted = (targets * BUCKETS_PER_TARGET).next_power_of_two();
    1 << wanted.trailing_zeros().next_multiple_of(BUCKET_STEP_BITS)
}

/// Returns the flow key that stands for all flows of a bucket.
pub(crate) fn bucket_key(bucket: usize) -> u64 {
    mix(bucket as u64 + 1)
}
