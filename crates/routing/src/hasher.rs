//! A fast, non-cryptographic hasher for the tables of the packet path.
//!
//! Their keys come from the operators' configuration and the platform's list, never from a caller,
//! so the standard hasher's protection against chosen collisions is not needed.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, Hasher};

/// A hash map whose keys callers cannot choose.
pub(crate) type MixMap<K, V> = HashMap<K, V, BuildHasherDefault<MixHasher>>;

/// A hash set whose members callers cannot choose.
pub(crate) type MixSet<K> = HashSet<K, BuildHasherDefault<MixHasher>>;

/// The finalizer of SplitMix64: every bit of `value` affects all bits of the result.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

const ROTATION: u32 = 23;

/// An odd number with well-distributed bits: 2^64 divided by the golden ratio.
pub(crate) const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Combines eight bytes at a time with a cheap step and applies [`mix`] once at the end.
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
