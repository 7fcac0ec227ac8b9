//! A fast hash for the tables of the packet path.
//!
//! Their keys come from the operators' text and the platform's list, never from a caller, so
//! nobody can aim keys at one bucket, and the standard hasher's guard against that is not needed.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, Hasher};

/// A map whose keys no caller chooses.
pub(crate) type MixMap<K, V> = HashMap<K, V, BuildHasherDefault<MixHasher>>;

/// A set whose members no caller chooses.
pub(crate) type MixSet<K> = HashSet<K, BuildHasherDefault<MixHasher>>;

/// Spreads every bit of `value` over all bits of the result (the finalizer of splitmix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

const ROTATION: u32 = 23;

/// An odd number whose bits look random: 2^64 over the golden ratio.
pub(crate) const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes eight bytes at a time, lightly, and all of it once at the end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MixHasher(u64);

impl Hasher for MixHasher {
    fn finish(&self) -> u64 {
        mix(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u16(&mut self, value: u16) {
        self.write_u64(value.into());
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(value.into());
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = (self.0.rotate_left(ROTATION) ^ value).wrapping_mul(MULTIPLIER);
    }

    fn write_usize(&mut self, value: usize) {
        self.write_u64(value as u64);
    }
}
