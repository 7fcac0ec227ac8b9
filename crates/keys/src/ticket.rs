//! The request ticket: the `Idempotency-Key` that names the one agent that may run a once-only
//! request, its home.
//!
//! A once-only request must run at most once, although callers retry it over other flows,
//! balancers and agents while the fleet's views differ. The agent that issues a ticket puts its
//! own address and incarnation into it, so every attempt reaches that agent's ledger or none. A
//! partition or a paused process cannot create a second home.
//!
//! ```text
//! byte 0       generation, in clear
//! bytes 1..33  two AES-128 blocks: address 4, port 2, reserved 2, incarnation 8 |
//!              service 4, serial 6, issued (seconds) 6; the second chained to the first (CBC)
//! bytes 33..49 SipHash-2-4-128 over bytes 0..33
//! ```

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use aes::cipher::{Array, BlockCipherDecrypt, BlockCipherEncrypt};
use lovagelatch_domain::{AgentAddress, Incarnation, ServiceId};
use siphasher::sip128::SipHasher24;
use thiserror::Error;

use crate::frame::constant_time_equal;
use crate::ring::{DerivedKeys, FleetKeys};

const BLOCK_BYTES: usize = 16;
const TAG_START: usize = 1 + 2 * BLOCK_BYTES;
const SEALED_BYTES: usize = TAG_START + 16;

/// Length of a ticket as header text (hexadecimal).
pub const TICKET_TEXT_BYTES: usize = 2 * SEALED_BYTES;

/// The decrypted content of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    /// The agent whose ledger alone decides whether the request runs.
    pub home: AgentAddress,
    /// The incarnation of that agent that issued the ticket.
    pub incarnation: Incarnation,
    /// The service that the request is for.
    pub service: ServiceId,
    /// Unique among the tickets of one incarnation. Invariant: below 2^48.
    pub serial: u64,
    /// Time of issue in whole seconds since the Unix epoch, by the home's clock. Only the home
    /// evaluates it, by the same clock. Invariant: below 2^48.
    pub issued_seconds: u64,
}

/// Why a ticket was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text is not hexadecimal or has the wrong length, such as an idempotency key that the
    /// caller chose itself.
    #[error("not a ticket of this fleet")]
    Malformed,
    /// The key generation is not valid, or no longer valid.
    #[error("ticket of key generation {generation}, which is not valid")]
    UnknownGeneration {
        /// The generation in the ticket's first byte.
        generation: u8,
    },
    /// The tag does not match: the ticket is forged or damaged.
    #[error("ticket with an invalid tag")]
    InvalidTag,
}

impl RequestTicket {
    /// Returns the time since the ticket was issued; zero when the clock was set back since.
    /// `now_seconds` must come from the home's clock.
    #[must_use]
    pub fn age(&self, now_seconds: u64) -> Duration {
        Duration::from_secs(now_seconds.saturating_sub(self.issued_seconds))
    }

    /// Encrypts and authenticates the ticket with the current key, as text for a header.
    #[must_use]
    pub fn seal(&self, keys: &FleetKeys) -> String {
        let keys = keys.current();
        let mut sealed = [0; SEALED_BYTES];
        sealed[0] = keys.generation.0;
        let (first, second) = self.to_blocks();
        let mut first = Array::from(first);
        keys.ticket_cipher.encrypt_block(&mut first);
        let mut second = Array::from(xor_blocks(&second, &first.into()));
        keys.ticket_cipher.encrypt_block(&mut second);
        sealed[1..1 + BLOCK_BYTES].copy_from_slice(&first);
        sealed[1 + BLOCK_BYTES..TAG_START].copy_from_slice(&second);
        let tag = compute_tag(keys, &sealed[..TAG_START]);
        sealed[TAG_START..].copy_from_slice(&tag);
        hex::encode(sealed)
    }

    /// Verifies and decrypts a sealed ticket.
    ///
    /// # Errors
    ///
    /// Returns a [`TicketError`] when the text was not sealed with a valid key.
    pub fn open(text: &str, keys: &FleetKeys) -> Result<Self, TicketError> {
        let mut sealed = [0; SEALED_BYTES];
        hex::decode_to_slice(text, &mut sealed).map_err(|_| TicketError::Malformed)?;
        let generation = sealed[0];
        let keys = keys
            .find(generation)
            .ok_or(TicketError::UnknownGeneration { generation })?;
        if !constant_time_equal(
            &compute_tag(keys, &sealed[..TAG_START]),
            &sealed[TAG_START..],
        ) {
            return Err(TicketError::InvalidTag);
        }
        let first = block_at(&sealed, 1);
        let second = block_at(&sealed, 1 + BLOCK_BYTES);
        let mut plain_first = Array::from(first);
        keys.ticket_cipher.decrypt_block(&mut plain_first);
        let mut plain_second = Array::from(second);
        keys.ticket_cipher.decrypt_block(&mut plain_second);
        let plain_second = xor_blocks(&plain_second.into(), &first);
        Ok(Self::from_blocks(&plain_first.into(), &plain_second))
    }

    fn to_blocks(self) -> ([u8; BLOCK_BYTES], [u8; BLOCK_BYTES]) {
        let mut first = [0; BLOCK_BYTES];
        first[..4].copy_from_slice(&self.home.0.ip().octets());
        first[4..6].copy_from_slice(&self.home.0.port().to_be_bytes());
        first[8..].copy_from_slice(&self.incarnation.0.to_be_bytes());
        let mut second = [0; BLOCK_BYTES];
        second[..4].copy_from_slice(&self.service.0.to_be_bytes());
        second[4..10].copy_from_slice(&self.serial.to_be_bytes()[2..]);
        second[10..].copy_from_slice(&self.issued_seconds.to_be_bytes()[2..]);
        (first, second)
    }

    fn from_blocks(first: &[u8; BLOCK_BYTES], second: &[u8; BLOCK_BYTES]) -> Self {
        let number = |bytes: &[u8]| {
            bytes
                .iter()
                .fold(0, |value, &byte| value << 8 | u64::from(byte))
        };
        let address = Ipv4Addr::new(first[0], first[1], first[2], first[3]);
        let port = u16::from_be_bytes([first[4], first[5]]);
        let service = u32::from_be_bytes([second[0], second[1], second[2], second[3]]);
        Self {
            home: AgentAddress(SocketAddrV4::new(address, port)),
            incarnation: Incarnation(number(&first[8..])),
            service: ServiceId(service),
            serial: number(&second[4..10]),
            issued_seconds: number(&second[10..]),
        }
    }
}

fn block_at(sealed: &[u8; SEALED_BYTES], start: usize) -> [u8; BLOCK_BYTES] {
    let mut block = [0; BLOCK_BYTES];
    block.copy_from_slice(&sealed[start..start + BLOCK_BYTES]);
    block
}

fn xor_blocks(left: &[u8; BLOCK_BYTES], right: &[u8; BLOCK_BYTES]) -> [u8; BLOCK_BYTES] {
    std::array::from_fn(|index| left[index] ^ right[index])
}

fn compute_tag(keys: &DerivedKeys, bytes: &[u8]) -> [u8; 16] {
    SipHasher24::new_with_key(&keys.ticket_tag)
        .hash(bytes)
        .as_bytes()
}
