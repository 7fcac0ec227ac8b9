//! The client of the agent's backend server, over HTTP/1.1.
//!
//! A connection is reused only after a complete response that arrived in time. After a late,
//! truncated, crossed or cancelled response it is closed: bytes that still arrive on it would
//! otherwise be read as the response to the next request.

mod body;
mod connection;
mod control;
mod link;
mod read_ahead;

pub(crate) use body::BackendBody;
pub(crate) use control::{CANCEL_TIMEOUT, CancelOutcome};
pub(crate) use link::{BackendLink, BackendOutcome, to_header_value};
pub(crate) use read_ahead::ReadAheadBody;
