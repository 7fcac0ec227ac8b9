//! The agent's own backend server, over HTTP/1.1.
//!
//! A connection is used again only after an answer on it ended whole and in time. One with a
//! late, cut, crossed or given-up answer is closed: what may still arrive on it would otherwise
//! be read as the answer to the next request.

mod body;
mod connection;
mod control;
mod link;
mod read_ahead;

pub(crate) use body::BackendBody;
pub(crate) use control::{CANCEL_WAIT, CancelEnd};
pub(crate) use link::{BackendLink, ExchangeEnd, text_value};
pub(crate) use read_ahead::AheadBody;
