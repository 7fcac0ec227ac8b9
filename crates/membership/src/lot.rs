//! Who reads the platform: a few processes of each zone, drawn anew each epoch.
//!
//! Why: the platform counts every call, a waiting watch as one, and its rate does not grow with
//! the fleet. Every process computes the same draw from the list it holds, so nobody has to
//! appoint readers; processes whose lists differ for a while draw a reader more or less, which
//! costs a call and nothing else. A new draw each epoch replaces readers that died unseen.

use std::hash::Hasher;
use std::time::Duration;

use lovagelatch_domain::AgentAddress;
use siphasher::sip::SipHasher13;

use crate::list::{ListedInstance, ZoneId};

/// Readers of one zone.
pub const READERS_PER_ZONE: usize = 4;

/// How long a draw holds.
pub const LOT_EPOCH: Duration = Duration::from_secs(60);

/// The number of the epoch at a time since the Unix epoch. Clocks that differ by a part of an
/// epoch draw two sets of readers side by side for that long, and nothing worse.
#[must_use]
pub fn epoch_at(since_unix: Duration) -> u64 {
    since_unix.as_secs() / LOT_EPOCH.as_secs()
}

/// Whether the process at `own` reads the platform in this epoch.
#[must_use]
pub fn is_reader(own: AgentAddress, zone: ZoneId, rows: &[ListedInstance], epoch: u64) -> bool {
    let mine = draw(own, epoch);
    let ahead = rows
        .iter()
        .filter(|row| row.zone == zone && row.control != own)
        .filter(|row| draw(row.control, epoch) < mine);
    ahead.take(READERS_PER_ZONE).count() < READERS_PER_ZONE
}

fn draw(address: AgentAddress, epoch: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(epoch, 0x6c6f_7400);
    hasher.write(&address.0.ip().octets());
    hasher.write(&address.0.port().to_be_bytes());
    hasher.finish()
}
