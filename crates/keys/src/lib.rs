//! The fleet's keys, and the flow tokens and request tickets that are sealed with them.
//!
//! All balancers and agents share one secret per *generation* through a key file. Five keys are
//! derived from each secret, one per purpose, so that a leak in one use reveals nothing about
//! the others:
//!
//! ```text
//! secret (32 bytes) --HKDF-SHA256--> token key   seals flow tokens in QUIC connection IDs
//!                               +--> ticket key  seals once-only request tickets
//!                               +--> frame key   authenticates frames between processes
//!                               +--> reset key   derives QUIC stateless reset tokens
//!                               +--> placement   seeds the hash that places new flows
//! ```
//!
//! Two generations are valid at a time: sealing uses the current one, opening accepts either.
//! A rotation therefore does not break open flows.

mod file;
mod frame;
mod ring;
mod ticket;
mod token;

pub use file::{KeyFile, KeyFileError, parse_key_file, read_key_file};
pub use frame::{FRAME_TAG_BYTES, FrameTag};
pub use ring::{FleetKeys, KeyGeneration, KeySecret, RESET_KEY_BYTES, RingError};
pub use ticket::{RequestTicket, TICKET_TEXT_BYTES, TicketError};
pub use token::{FlowToken, TOKEN_BYTES, TokenError};
