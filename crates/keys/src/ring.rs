//! The generations of the fleet key and the keys derived from them.

use aes::Aes128;
use aes::cipher::{Array, KeyInit};
use hkdf::Hkdf;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

/// Bytes of a fleet secret.
pub(crate) const SECRET_BYTES: usize = 32;

/// Bytes of the key that makes QUIC stateless reset tokens.
pub const RESET_KEY_BYTES: usize = 64;

/// Half of the numbers that a generation may have.
const HALF_OF_GENERATIONS: u8 = 1 << (u8::BITS - 1);

/// The number of a fleet key. It travels in clear in whatever the key sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyGeneration(pub u8);

impl std::fmt::Display for KeyGeneration {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One fleet secret with its generation. Its bytes never appear in `Debug` output.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret {
    /// The number it is known by.
    pub generation: KeyGeneration,
    pub(crate) bytes: [u8; SECRET_BYTES],
}

impl KeySecret {
    /// Draws a new secret from the operating system's random source.
    ///
    /// # Errors
    ///
    /// [`RingError::NoRandomness`] when that source fails.
    pub fn generate(generation: KeyGeneration) -> Result<Self, RingError> {
        let mut bytes = [0; SECRET_BYTES];
        OsRng
            .try_fill_bytes(&mut bytes)
            .map_err(|_| RingError::NoRandomness)?;
        Ok(Self { generation, bytes })
    }

    /// A secret with known bytes, for tests and for the key file's parser.
    #[must_use]
    pub fn from_bytes(generation: KeyGeneration, bytes: [u8; SECRET_BYTES]) -> Self {
        Self { generation, bytes }
    }

    /// The secret as the key file holds it.
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

/// Why a set of secrets is not a usable key ring.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RingError {
    /// There is no secret at all.
    #[error("no key is given")]
    Empty,
    /// More secrets than the two that may be valid at a time.
    #[error("{count} keys are given; at most two generations may be valid at a time")]
    TooMany {
        /// How many were given.
        count: usize,
    },
    /// Two secrets carry one generation.
    #[error("generation {0} is given twice")]
    SameGeneration(KeyGeneration),
    /// Two generations hold the same bytes, so that a rotation would change nothing.
    #[error("generations {0} and {1} hold the same key")]
    SameKey(KeyGeneration, KeyGeneration),
    /// Only one secret is there, where two are needed.
    #[error("only one key is given; add another first")]
    NoOther,
    /// The operating system's random source failed.
    #[error("the operating system's random source failed")]
    NoRandomness,
}

/// The keys derived from one secret.
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
        let source = Hkdf::<Sha256>::new(Some(b"lovagelatch fleet key v1"), &secret.bytes);
        Self {
            generation: secret.generation,
            token_cipher: Aes128::new(&Array::from(expand(&source, b"token cipher"))),
            token_tag: expand(&source, b"token tag"),
            ticket_cipher: Aes128::new(&Array::from(expand(&source, b"ticket cipher"))),
            ticket_tag: expand(&source, b"ticket tag"),
            frame_tag: expand(&source, b"frame tag"),
            reset: expand(&source, b"stateless reset"),
            placement: [
                u64::from_be_bytes(expand(&source, b"placement seed, first half")),
                u64::from_be_bytes(expand(&source, b"placement seed, second half")),
            ],
        }
    }
}

/// Whether a generation is older than another, by the arithmetic of serial numbers (RFC 1982):
/// the younger one is ahead by less than half of all numbers, so 0 follows on 255. Two that are
/// exactly half apart follow neither way; then the lower number counts as older, so that all
/// processes agree whichever is current.
fn precedes(one: KeyGeneration, other: KeyGeneration) -> bool {
    match other.0.wrapping_sub(one.0) {
        0 => false,
        HALF_OF_GENERATIONS => one.0 < other.0,
        ahead => ahead < HALF_OF_GENERATIONS,
    }
}

/// Derives one key of `N` bytes.
fn expand<const N: usize>(source: &Hkdf<Sha256>, purpose: &[u8]) -> [u8; N] {
    let mut key = [0; N];
    source
        .expand(purpose, &mut key)
        .expect("every derived key is far below HKDF's limit");
    key
}

/// The fleet keys that are valid now.
#[derive(Clone)]
pub struct FleetKeys {
    /// Invariant: seals everything that is made.
    current: DerivedKeys,
    /// Invariant: another generation than `current`; only opens what was sealed before a
    /// rotation, or after it by a process that has rotated already.
    other: Option<DerivedKeys>,
}

impl FleetKeys {
    /// Builds the ring; the first secret is the current one.
    ///
    /// # Errors
    ///
    /// A [`RingError`] when there are none, too many, or two that are alike.
    pub fn new(secrets: &[KeySecret]) -> Result<Self, RingError> {
        match secrets {
            [] => Err(RingError::Empty),
            [only] => Ok(Self {
                current: DerivedKeys::new(only),
                other: None,
            }),
            [first, second] => Self::with_pair(first, second),
            more => Err(RingError::TooMany { count: more.len() }),
        }
    }

    fn with_pair(first: &KeySecret, second: &KeySecret) -> Result<Self, RingError> {
        if first.generation == second.generation {
            return Err(RingError::SameGeneration(first.generation));
        }
        if first.bytes == second.bytes {
            return Err(RingError::SameKey(first.generation, second.generation));
        }
        Ok(Self {
            current: DerivedKeys::new(first),
            other: Some(DerivedKeys::new(second)),
        })
    }

    /// The generation that seals what is made now.
    #[must_use]
    pub fn current_generation(&self) -> KeyGeneration {
        self.current.generation
    }

    /// The generations that are accepted.
    pub fn generations(&self) -> impl Iterator<Item = KeyGeneration> + '_ {
        self.rings().map(|keys| keys.generation)
    }

    /// The key for QUIC stateless reset tokens, from the oldest valid generation so that a
    /// reset still reaches flows opened before the last rotation.
    #[must_use]
    pub fn reset_key(&self) -> &[u8; RESET_KEY_BYTES] {
        &self.oldest().reset
    }

    /// The seed of the hash that places new flows, from the oldest valid generation: during a
    /// rotation, processes that have switched to the new key and processes that have not agree.
    /// It changes when the oldest is dropped; processes that do so at different moments place
    /// new flows differently meanwhile. Open flows do not depend on it.
    ///
    /// Without a secret seed a caller could choose connection IDs that all lead to one agent.
    #[must_use]
    pub fn placement_seed(&self) -> (u64, u64) {
        let [first, second] = self.oldest().placement;
        (first, second)
    }

    /// The key for the stateless reset token of a connection ID that was sealed with
    /// `generation`; `None` when that generation is not valid.
    ///
    /// A reset token is handed out with its connection ID. If a rotation changed the key in
    /// between, a later reset would carry another token, the caller would ignore it, and a
    /// dead flow would stay silent until its idle timeout. The generation in the connection
    /// ID keeps the two together.
    #[must_use]
    pub fn reset_key_of(&self, generation: KeyGeneration) -> Option<&[u8; RESET_KEY_BYTES]> {
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
        self.rings().find(|keys| keys.generation.0 == generation)
    }

    fn rings(&self) -> impl Iterator<Item = &DerivedKeys> {
        std::iter::once(&self.current).chain(self.other.as_ref())
    }
}

impl std::fmt::Debug for FleetKeys {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_list().entries(self.generations()).finish()
    }
}
