//! Relays requests between agents over TCP.

mod body;
mod client;
mod server;
mod stream;

pub(crate) use body::RelayBody;
pub(crate) use client::{RelayContext, RelayOutcome, RelayPool, no_reachable_peer};
pub(crate) use server::serve_relay;
