//! Keys of the fleet, and the names that are sealed with them.
//!
//! One secret per *generation* is shared by all balancers and agents through a key file. From
//! it five keys are derived, each for one purpose, so that what leaks through one use says
//! nothing about another:
//!
//! ```text
//! secret (32 bytes) --HKDF-SHA256--> token key   seals flow tokens in QUIC connection IDs
//!                               +--> ticket key  seals once-only request tickets
//!                               +--> frame key   authenticates frames between processes
//!                               +--> reset key   makes QUIC stateless reset tokens
//!                               +--> placement   seeds the hash that places new flows
//! ```
//!
//! Two generations are valid at a time: what is made uses the current one, what is read may
//! use either. A rotation therefore breaks no open flow.

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
