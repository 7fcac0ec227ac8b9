//! Authentication of frames between the system's own processes.

use std::hash::Hasher;

use siphasher::sip128::{Hasher128, SipHasher24};

use crate::ring::{DerivedKeys, FleetKeys, KeyGeneration};

/// Length of a frame tag.
pub const FRAME_TAG_BYTES: usize = 16;

/// The message authentication code of a frame (SipHash-2-4, 128 bits), which proves that the
/// sender holds the fleet key.
pub type FrameTag = [u8; FRAME_TAG_BYTES];

fn compute_tag(keys: &DerivedKeys, parts: &[&[u8]]) -> FrameTag {
    let mut hasher = SipHasher24::new_with_key(&keys.frame_tag);
    for part in parts {
        hasher.write(part);
    }
    hasher.finish128().as_bytes()
}

impl FleetKeys {
    /// Computes the tag of a frame with the current key. The frame is given in consecutive parts;
    /// the tag does not depend on how it is split.
    #[must_use]
    pub fn tag_frame(&self, parts: &[&[u8]]) -> (KeyGeneration, FrameTag) {
        let keys = self.current();
        (keys.generation, compute_tag(keys, parts))
    }

    /// Returns whether `tag` authenticates these parts under a valid key of `generation`.
    #[must_use]
    pub fn verify_frame(&self, generation: KeyGeneration, parts: &[&[u8]], tag: &FrameTag) -> bool {
        let Some(keys) = self.find(generation.0) else {
            return false;
        };
        constant_time_equal(&compute_tag(keys, parts), tag)
    }
}

/// Compares in constant time for a given length, so that a forger cannot learn from the timing
/// how many bytes were right.
pub(crate) fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |bits, (a, b)| bits | (a ^ b));
    std::hint::black_box(difference) == 0
}
