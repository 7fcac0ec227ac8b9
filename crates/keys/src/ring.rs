//! The generations of the fleet key and the keys derived from them.

use aes::Aes128;
use aes::cipher::{Array, KeyInit};
use hkdf::Hkdf;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

/// Length of a fleet secret.
pub(crate) const SECRET_BYTES: usize = 32;

/// Length of the key that derives QUIC stateless reset tokens.
pub const RESET_KEY_BYTES: usize = 64;

/// Half the size of the generation number space, for comparison modulo 256.
const HALF_GENERATION_SPACE: u8 = 1 << (u8::BITS - 1);

/// The number of a fleet key. It is sent in clear with everything that the key seals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyGeneration(pub u8);

impl std::fmt::Display for KeyGeneration {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A fleet secret with its generation. Its bytes never appear in `Debug` output.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret {
    /// The generation that the key file lists the secret under.
    pub generation: KeyGeneration,
    pub(crate) bytes: [u8; SECRET_BYTES],
}

impl KeySecret {
    /// Generates a secret from the operating system's random source.
    ///
    /// # Errors
    ///
    /// [`RingError::RandomSourceFailed`] when that source fails.
    pub fn generate(generation: KeyGeneration) -> Result<Self, RingError> {
        let mut bytes = [0; SECRET_BYTES];
        OsRng
            .try_fill_bytes(&mut bytes)
            .map_err(|_| RingError::RandomSourceFailed)?;
        Ok(Self { generation, bytes })
    }

    /// Creates a secret from known bytes, for the key file's parser and for tests.
    #[must_use]
    pub fn from_bytes(generation: KeyGeneration, bytes: [u8; SECRET_BYTES]) -> Self {
        Self { generation, bytes }
    }

    /// Formats the secret as the key file stores it: 64 hexadecimal digits.
    #[must_use]
    pub fn to_hex(&self) -> String {
        hex::encode(self.bytes)
    }
}

impl std::fmt::Debug for KeySecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("KeySecret")
            .field("generation", &self.generation)
            .finish()
    }
}

/// Why a set of secrets is not a valid key ring, or cannot be changed as requested.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RingError {
    /// The set holds no secret.
    #[error("the set of keys is empty")]
    Empty,
    /// The set holds, or would hold, more than two secrets.
    #[error("{count} keys; at most two generations may be valid at a time")]
    TooMany {
        /// The number of secrets.
        count: usize,
    },
    /// Two secrets have the same generation.
    #[error("generation {0} occurs twice")]
    DuplicateGeneration(KeyGeneration),
    /// Two generations hold the same bytes, so a rotation between them would change nothing.
    #[error("generations {0} and {1} hold the same key")]
    DuplicateKey(KeyGeneration, KeyGeneration),
    /// The operation needs a second secret.
    #[error("the key file holds only one key; add another first")]
    SingleKey,
    /// The operating system provided no random bytes.
    #[error("the operating system's random source failed")]
    RandomSourceFailed,
}

/// The keys that are derived from one secret, one per purpose.
#[derive(Clone)]
pub(crate) struct DerivedKeys {
    pub(crate) generation: KeyGeneration,
    pub(crate) token_cipher: Aes128,
    pub(crate) token_tag: [u8; 16],
    pub(crate) ticket_cipher: Aes128,
    pub(crate) ticket_tag: [u8; 16],
    pub(crate) frame_tag: [u8; 16],
    pub(crate) reset: [u8; RESET_KEY_BYTES],
    pub(crate) placement: [u64; 2],
}

impl DerivedKeys {
    fn new(secret: &KeySecret) -> Self {
        let kdf = Hkdf::<Sha256>::new(Some(b"lovagelatch fleet key v1"), &secret.bytes);
        Self {
            generation: secret.generation,
            token_cipher: Aes128::new(&Array::from(expand(&kdf, b"token cipher"))),
            token_tag: expand(&kdf, b"token tag"),
            ticket_cipher: Aes128::new(&Array::from(expand(&kdf, b"ticket cipher"))),
            ticket_tag: expand(&kdf, b"ticket tag"),
            frame_tag: expand(&kdf, b"frame tag"),
            reset: expand(&kdf, b"stateless reset"),
            placement: [
                u64::from_be_bytes(expand(&kdf, b"placement seed, first half")),
                u64::from_be_bytes(expand(&kdf, b"placement seed, second half")),
            ],
        }
    }
}

/// Returns whether `left` is older than `right` in serial number arithmetic (RFC 1982): the newer
/// generation is ahead by less than half the number space, so 0 follows 255. RFC 1982 leaves a
/// distance of exactly half undefined; here the lower number then counts as older, so that all
/// processes agree whichever generation is current.
fn precedes(left: KeyGeneration, right: KeyGeneration) -> bool {
    match right.0.wrapping_sub(left.0) {
        0 => false,
        HALF_GENERATION_SPACE => left.0 < right.0,
        ahead => ahead < HALF_GENERATION_SPACE,
    }
}

/// Derives a key of `N` bytes for one purpose.
fn expand<const N: usize>(kdf: &Hkdf<Sha256>, purpose: &[u8]) -> [u8; N] {
    let mut key = [0; N];
    kdf.expand(purpose, &mut key)
        .expect("derived keys are far shorter than HKDF's limit");
    key
}

/// The key ring: the generations of the fleet key that are valid, one or two.
#[derive(Clone)]
pub struct FleetKeys {
    /// Seals all new tokens, tickets and frames.
    current: DerivedKeys,
    /// Only opens: accepts what was sealed before the last switch, or by a process that has
    /// already switched. Invariant: differs from `current` in generation and bytes.
    other: Option<DerivedKeys>,
}

impl FleetKeys {
    /// Builds the key ring; the first secret is the current one.
    ///
    /// # Errors
    ///
    /// Returns a [`RingError`] when there are no secrets, more than two, or two with the same
    /// generation or bytes.
    pub fn new(secrets: &[KeySecret]) -> Result<Self, RingError> {
        match secrets {
            [] => Err(RingError::Empty),
            [only] => Ok(Self {
                current: DerivedKeys::new(only),
                other: None,
            }),
            [first, second] => Self::from_pair(first, second),
            more => Err(RingError::TooMany { count: more.len() }),
        }
    }

    fn from_pair(first: &KeySecret, second: &KeySecret) -> Result<Self, RingError> {
        if first.generation == second.generation {
            return Err(RingError::DuplicateGeneration(first.generation));
        }
        if first.bytes == second.bytes {
            return Err(RingError::DuplicateKey(first.generation, second.generation));
        }
        Ok(Self {
            current: DerivedKeys::new(first),
            other: Some(DerivedKeys::new(second)),
        })
    }

    /// Returns the generation that is used for sealing.
    #[must_use]
    pub fn current_generation(&self) -> KeyGeneration {
        self.current.generation
    }

    /// Returns the generations that are accepted, the current one first.
    pub fn generations(&self) -> impl Iterator<Item = KeyGeneration> + '_ {
        self.valid_keys().map(|keys| keys.generation)
    }

    /// Returns the key for QUIC stateless reset tokens. It comes from the oldest valid generation,
    /// so that a reset still reaches flows that were opened before the last rotation.
    #[must_use]
    pub fn reset_key(&self) -> &[u8; RESET_KEY_BYTES] {
        &self.oldest().reset
    }

    /// Returns the seed of the hash that places new flows. It comes from the oldest valid
    /// generation, so that processes agree during a rotation whether or not they have switched to
    /// the new key. It changes when the oldest generation is dropped: until all processes have
    /// dropped it, they place new flows differently. Open flows do not depend on it.
    ///
    /// The seed is secret because callers could otherwise choose connection IDs that all hash to
    /// one agent.
    #[must_use]
    pub fn placement_seed(&self) -> (u64, u64) {
        let [first, second] = self.oldest().placement;
        (first, second)
    }

    /// Returns the key for the stateless reset token of a connection ID that was sealed with
    /// `generation`, or `None` when that generation is not valid.
    ///
    /// A reset token is issued together with its connection ID. If the key depended on the current
    /// generation, a reset sent after a rotation would carry a different token: the caller would
    /// ignore it and wait for its idle timeout. Taking the generation from the connection ID
    /// prevents this.
    #[must_use]
    pub fn reset_key_for(&self, generation: KeyGeneration) -> Option<&[u8; RESET_KEY_BYTES]> {
        self.find(generation.0).map(|keys| &keys.reset)
    }

    fn oldest(&self) -> &DerivedKeys {
        match &self.other {
            Some(other) if precedes(other.generation, self.current.generation) => other,
            _ => &self.current,
        }
    }

    pub(crate) fn current(&self) -> &DerivedKeys {
        &self.current
    }

    pub(crate) fn find(&self, generation: u8) -> Option<&DerivedKeys> {
        self.valid_keys()
            .find(|keys| keys.generation.0 == generation)
    }

    fn valid_keys(&self) -> impl Iterator<Item = &DerivedKeys> {
        std::iter::once(&self.current).chain(self.other.as_ref())
    }
}

impl std::fmt::Debug for FleetKeys {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_list().entries(self.generations()).finish()
    }
}
