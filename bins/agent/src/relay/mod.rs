//! Requests on their way between agents, over TCP.

mod body;
mod client;
mod server;
mod stream;

pub(crate) use body::RelayBody;
pub(crate) use client::{RelayEnd, RelayPool, RelayTerms, unreached};
pub(crate) use server::serve_relay;
