//! Reader election: a few processes of each zone read the platform, elected anew each epoch.
//!
//! The platform counts every call, including a waiting watch, and its rate limit does not grow with
//! the fleet. Every process computes the same election from its list, so no coordinator is needed.
//! Processes whose lists differ for a while elect one reader more or fewer, which only costs a
//! call. The election of the next epoch replaces readers that failed unnoticed.

use std::hash::Hasher;
use std::time::Duration;

use lovagelatch_domain::AgentAddress;
use siphasher::sip::SipHasher13;

use crate::list::{ListedInstance, ZoneId};

/// Readers elected per zone.
pub const READERS_PER_ZONE: usize = 4;

/// Length of an epoch.
pub const READER_EPOCH: Duration = Duration::from_secs(60);

/// Returns the epoch at a time since the Unix epoch. Clocks that differ by a fraction of an epoch
/// only cause two sets of readers to overlap for that time.
#[must_use]
pub fn epoch_at(since_unix: Duration) -> u64 {
    since_unix.as_secs() / READER_EPOCH.as_secs()
}

/// Returns whether the process at `own` is an elected reader in this epoch.
#[must_use]
pub fn is_reader(own: AgentAddress, zone: ZoneId, rows: &[ListedInstance], epoch: u64) -> bool {
    let own_rank = rank(own, epoch);
    let ahead = rows
        .iter()
        .filter(|row| row.zone == zone && row.control != own)
        .filter(|row| rank(row.control, epoch) < own_rank);
    ahead.take(READERS_PER_ZONE).count() < READERS_PER_ZONE
}

fn rank(address: AgentAddress, epoch: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(epoch, 0x6c6f_7400);
    hasher.write(&address.0.ip().octets());
    hasher.write(&address.0.port().to_be_bytes());
    hasher.finish()
}
