//! The flow token: a QUIC connection ID that names the agent holding the flow.
//!
//! Balancers disagree about which targets exist while the fleet changes. If a balancer's view
//! determined the agent of an open flow, two balancers could send packets of one flow to two
//! agents, which would break the flow. So the agent that holds the flow puts its own address
//! into every connection ID that it issues, and every balancer reads the address from there.
//!
//! ```text
//! byte 0       generation, in clear
//! bytes 1..17  one AES-128 block: address 4, port 2, service 4, serial 6
//! bytes 17..20 first 3 bytes of SipHash-2-4-128 over bytes 0..17
//! ```
//!
//! Encryption hides the address from callers and makes tokens of one agent unlinkable. A forged
//! token passes the tag check once in 2^24 attempts and then decrypts to a random address. A
//! balancer forwards only to addresses that its settings allow, and the agent at that address
//! checks the token against its own address and service.

use std::net::{Ipv4Addr, SocketAddrV4};

use aes::cipher::{Array, BlockCipherDecrypt, BlockCipherEncrypt};
use lovagelatch_domain::{AgentAddress, ServiceId};
use siphasher::sip128::SipHasher24;
use thiserror::Error;

use crate::frame::constant_time_equal;
use crate::ring::{DerivedKeys, FleetKeys};

/// Length of a sealed flow token: the maximum connection ID of QUIC version 1 (RFC 9000).
pub const TOKEN_BYTES: usize = 20;

const BLOCK_BYTES: usize = 16;
const TAG_START: usize = 1 + BLOCK_BYTES;
const SERIAL_BYTES: usize = 6;

/// The decrypted content of a flow token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowToken {
    /// The agent that holds the flow.
    pub agent: AgentAddress,
    /// The service that the flow was opened for.
    pub service: ServiceId,
    /// Unique among the connection IDs of one agent. Invariant: below 2^48.
    pub serial: u64,
}

/// Why a token was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The connection ID is not [`TOKEN_BYTES`] long.
    #[error("connection ID of {length} bytes is not a flow token")]
    WrongLength {
        /// The connection ID's length in bytes.
        length: usize,
    },
    /// The key generation is not valid, or no longer valid.
    #[error("flow token of key generation {generation}, which is not valid")]
    UnknownGeneration {
        /// The generation in the token's first byte.
        generation: u8,
    },
    /// The tag does not match: the token is forged or was damaged in transit.
    #[error("flow token with an invalid tag")]
    InvalidTag,
}

impl FlowToken {
    /// Encrypts and authenticates the token with the current key.
    #[must_use]
    pub fn seal(&self, keys: &FleetKeys) -> [u8; TOKEN_BYTES] {
        let keys = keys.current();
        let mut block = Array::from(self.to_block());
        keys.token_cipher.encrypt_block(&mut block);
        let mut sealed = [0; TOKEN_BYTES];
        sealed[0] = keys.generation.0;
        sealed[1..TAG_START].copy_from_slice(&block);
        let tag = truncated_tag(keys, &sealed[..TAG_START]);
        sealed[TAG_START..].copy_from_slice(&tag);
        sealed
    }

    /// Verifies and decrypts a sealed token.
    ///
    /// # Errors
    ///
    /// Returns a [`TokenError`] when `sealed` was not sealed with a valid key.
    pub fn open(sealed: &[u8], keys: &FleetKeys) -> Result<Self, TokenError> {
        let wrong_length = TokenError::WrongLength {
            length: sealed.len(),
        };
        let sealed: &[u8; TOKEN_BYTES] = sealed.try_into().map_err(|_| wrong_length)?;
        let generation = sealed[0];
        let keys = keys
            .find(generation)
            .ok_or(TokenError::UnknownGeneration { generation })?;
        if !constant_time_equal(
            &truncated_tag(keys, &sealed[..TAG_START]),
            &sealed[TAG_START..],
        ) {
            return Err(TokenError::InvalidTag);
        }
        let mut block = [0; BLOCK_BYTES];
        block.copy_from_slice(&sealed[1..TAG_START]);
        let mut block = Array::from(block);
        keys.token_cipher.decrypt_block(&mut block);
        Ok(Self::from_block(&block.into()))
    }

    fn to_block(self) -> [u8; BLOCK_BYTES] {
        let mut block = [0; BLOCK_BYTES];
        block[..4].copy_from_slice(&self.agent.0.ip().octets());
        block[4..6].copy_from_slice(&self.agent.0.port().to_be_bytes());
        block[6..10].copy_from_slice(&self.service.0.to_be_bytes());
        block[10..].copy_from_slice(&self.serial.to_be_bytes()[8 - SERIAL_BYTES..]);
        block
    }

    fn from_block(block: &[u8; BLOCK_BYTES]) -> Self {
        let address = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
        let port = u16::from_be_bytes([block[4], block[5]]);
        let service = u32::from_be_bytes([block[6], block[7], block[8], block[9]]);
        let serial = block[10..]
            .iter()
            .fold(0, |value, &byte| value << 8 | u64::from(byte));
        Self {
            agent: AgentAddress(SocketAddrV4::new(address, port)),
            service: ServiceId(service),
            serial,
        }
    }
}

fn truncated_tag(keys: &DerivedKeys, bytes: &[u8]) -> [u8; TOKEN_BYTES - TAG_START] {
    let tag = SipHasher24::new_with_key(&keys.token_tag)
        .hash(bytes)
        .as_bytes();
    [tag[0], tag[1], tag[2]]
}
