//! Connection IDs that are flow tokens, and the stateless reset tokens that belong to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, RESET_KEY_BYTES, TOKEN_BYTES};
use quinn::crypto::{CryptoError, HmacKey};
use quinn::{ConnectionId, ConnectionIdGenerator};
use ring::hmac;

/// Serial numbers of tokens fit 48 bits.
const SERIAL_MASK: u64 = (1 << 48) - 1;

/// Bytes of an HMAC-SHA256 signature.
const SIGNATURE_BYTES: usize = 32;

/// Issues sealed flow tokens as connection IDs.
///
/// Every connection ID of a flow, also one issued hours later, names this agent, so a balancer
/// that never saw the flow forwards its packets here.
#[derive(Clone, Debug)]
pub(crate) struct TokenIssuer {
    agent: AgentAddress,
    service: ServiceId,
    keys: Arc<ArcSwap<FleetKeys>>,
    serial: Arc<AtomicU64>,
    /// How long an ID is used.
    lifetime: Duration,
}

impl TokenIssuer {
    /// An issuer for one start of an agent; `first_serial` is drawn at random, so that a
    /// restarted agent does not issue its predecessor's tokens again.
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

    /// Accepts every genuine token, also another agent's: a stateless reset is the right answer
    /// for a flow whose agent is gone. Anything else is dropped unanswered, so that garbage
    /// cannot make this agent send.
    fn validate(&self, id: &ConnectionId) -> Result<(), quinn_proto::InvalidCid> {
        FlowToken::open(id, &self.keys.load())
            .map(drop)
            .map_err(|_| quinn_proto::InvalidCid)
    }

    fn cid_len(&self) -> usize {
        TOKEN_BYTES
    }

    /// Without an end, a flow would keep the IDs of its first minute, and dropping an old key
    /// generation would break every flow that was open before the switch.
    fn cid_lifetime(&self) -> Option<Duration> {
        Some(self.lifetime)
    }
}

/// Makes stateless reset tokens with the fleet's keys, so that any agent of the service can end
/// a flow whose own agent is gone.
pub(crate) struct ResetSigner {
    keys: Arc<ArcSwap<FleetKeys>>,
}

impl ResetSigner {
    pub(crate) fn new(keys: Arc<ArcSwap<FleetKeys>>) -> Self {
        Self { keys }
    }

    /// The key that belongs to a connection ID: of the generation that sealed it.
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
