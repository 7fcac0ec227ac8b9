//! Shared builders.

use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};

/// Builds a key ring of these generations; the first one is current.
pub(crate) fn ring(generations: &[u8]) -> FleetKeys {
    let secret = |&number: &u8| KeySecret::from_bytes(KeyGeneration(number), [number; 32]);
    let secrets: Vec<KeySecret> = generations.iter().map(secret).collect();
    FleetKeys::new(&secrets).expect("the generations form a key ring")
}
