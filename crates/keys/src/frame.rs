//! Authentication of frames between the system's own processes.

use std::hash::Hasher;

use siphasher::sip128::{Hasher128, SipHasher24};

use crate::ring::{DerivedKeys, FleetKeys, KeyGeneration};

/// Bytes of a frame's tag.
pub const FRAME_TAG_BYTES: usize = 16;

/// The tag that proves a frame was made by a holder of the fleet key (SipHash-2-4, 128 bits).
pub type FrameTag = [u8; FRAME_TAG_BYTES];

fn tag_with(keys: &DerivedKeys, parts: &[&[u8]]) -> FrameTag {
    let mut hasher = SipHasher24::new_with_key(&keys.frame_tag);
    for part in parts {
        hasher.write(part);
    }
    hasher.finish128().as_bytes()
}

impl FleetKeys {
    /// Makes the tag of a frame, given in consecutive parts, with the current key.
    #[must_use]
    pub fn tag_frame(&self, parts: &[&[u8]]) -> (KeyGeneration, FrameTag) {
        let keys = self.current();
        (keys.generation, tag_with(keys, parts))
    }

    /// Whether `tag` was made for these parts with a key that is still valid.
    #[must_use]
    pub fn verify_frame(&self, generation: KeyGeneration, parts: &[&[u8]], tag: &FrameTag) -> bool {
        let Some(keys) = self.find(generation.0) else {
            return false;
        };
        constant_time_equal(&tag_with(keys, parts), tag)
    }
}

/// Compares without stopping at the first difference, so that the time taken tells a forger
/// nothing about how many bytes were right.
pub(crate) fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let difference = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(difference) == 0
}
