//! Connection IDs that are flow tokens, and their stateless reset tokens.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, RESET_KEY_BYTES, TOKEN_BYTES};
use quinn::crypto::{CryptoError, HmacKey};
use quinn::{ConnectionId, ConnectionIdGenerator};
use ring::hmac;

/// Serial numbers of tokens have 48 bits.
const SERIAL_MASK: u64 = (1 << 48) - 1;

/// Size of an HMAC-SHA256 signature.
const SIGNATURE_BYTES: usize = 32;

/// Issues sealed flow tokens as connection IDs.
///
/// Every connection ID of a flow, even one issued hours later, names this agent, so a balancer
/// that has no record of the flow still forwards its packets here.
#[derive(Clone, Debug)]
pub(crate) struct TokenIssuer {
    agent: AgentAddress,
    service: ServiceId,
    keys: Arc<ArcSwap<FleetKeys>>,
    serial: Arc<AtomicU64>,
    /// How long a connection ID is used before it is replaced.
    lifetime: Duration,
}

impl TokenIssuer {
    /// Creates an issuer. `first_serial` is random for each start, so that a restarted agent does
    /// not reissue its predecessor's tokens.
    pub(crate) fn new(
        agent: AgentAddress,
        service: ServiceId,
        keys: Arc<ArcSwap<FleetKeys>>,
        first_serial: u64,
        lifetime: Duration,
    ) -> Self {
        Self {
            agent,
            service,
            keys,
            serial: Arc::new(AtomicU64::new(first_serial)),
            lifetime,
        }
    }
}

impl ConnectionIdGenerator for TokenIssuer {
    fn generate_cid(&mut self) -> ConnectionId {
        let token = FlowToken {
            agent: self.agent,
            service: self.service,
            serial: self.serial.fetch_add(1, Ordering::Relaxed) & SERIAL_MASK,
        };
        ConnectionId::new(&token.seal(&self.keys.load()))
    }

    /// Accepts every authentic token, including other agents' tokens: a stateless reset is the
    /// right response for a flow whose agent is gone. Anything else is dropped silently, so that
    /// garbage cannot make this agent send.
    fn validate(&self, id: &ConnectionId) -> Result<(), quinn_proto::InvalidCid> {
        FlowToken::open(id, &self.keys.load())
            .map(drop)
            .map_err(|_| quinn_proto::InvalidCid)
    }

    fn cid_len(&self) -> usize {
        TOKEN_BYTES
    }

    /// Limits the lifetime of connection IDs. Otherwise a flow would keep its first IDs, and
    /// removing an old key generation would break every flow that was opened before the key switch.
    fn cid_lifetime(&self) -> Option<Duration> {
        Some(self.lifetime)
    }
}

/// Derives stateless reset tokens from the fleet's keys, so that any agent of the service can reset
/// a flow whose agent is gone.
pub(crate) struct ResetSigner {
    keys: Arc<ArcSwap<FleetKeys>>,
}

impl ResetSigner {
    pub(crate) fn new(keys: Arc<ArcSwap<FleetKeys>>) -> Self {
        Self { keys }
    }

    /// Returns the reset key of the generation that sealed a connection ID.
    fn key_for(&self, id: &[u8]) -> hmac::Key {
        let keys = self.keys.load();
        let generation = id.first().copied().map(KeyGeneration);
        let secret: &[u8; RESET_KEY_BYTES] = generation
            .and_then(|generation| keys.reset_key_for(generation))
            .unwrap_or_else(|| keys.reset_key());
        hmac::Key::new(hmac::HMAC_SHA256, secret)
    }
}

impl HmacKey for ResetSigner {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let signature = hmac::sign(&self.key_for(data), data);
        signature_out.copy_from_slice(signature.as_ref());
    }

    fn signature_len(&self) -> usize {
        SIGNATURE_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        hmac::verify(&self.key_for(data), data, signature).map_err(|_| CryptoError)
    }
}
