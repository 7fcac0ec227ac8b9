//! The content of a download, worked out from its id, so that a caller can tell whose it got.

/// Multiplier and increment of Knuth's linear congruential generator.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// FNV-1a's offset and prime for 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The `length` bytes of the document `id`.
#[must_use]
pub fn content_for(id: &str, length: usize) -> Vec<u8> {
    let mut state = seed_of(id);
    let mut content = Vec::with_capacity(length + 8);
    while content.len() < length {
        state = state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        content.extend_from_slice(&(state >> 16).to_le_bytes());
    }
    content.truncate(length);
    content
}

/// Whether `content` is what the document `id` starts with.
#[must_use]
pub fn content_matches(id: &str, content: &[u8]) -> bool {
    content_for(id, content.len()) == content
}

fn seed_of(id: &str) -> u64 {
    id.bytes().fold(FNV_OFFSET, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
