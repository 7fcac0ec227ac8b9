//! The content of downloads. It is derived from the document id, so that a caller can tell which
//! document it received.

/// Multiplier and increment of Knuth's linear congruential generator.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the first `length` bytes of the document `id`.
#[must_use]
pub fn content_for(id: &str, length: usize) -> Vec<u8> {
    let mut state = hash_id(id);
    let mut content = Vec::with_capacity(length + 8);
    while content.len() < length {
        state = state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        content.extend_from_slice(&(state >> 16).to_le_bytes());
    }
    content.truncate(length);
    content
}

/// Returns whether `content` is a prefix of the document `id`.
#[must_use]
pub fn content_matches(id: &str, content: &[u8]) -> bool {
    content_for(id, content.len()) == content
}

fn hash_id(id: &str) -> u64 {
    id.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
