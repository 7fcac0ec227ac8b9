//! The packet path: receives forwarded datagrams, runs QUIC on them and sends the responses.
//!
//! ```text
//! balancer --UDP frame--> control socket --> PacketIngress --> EndpointSet (one per address)
//!                                                                |  ServiceSocket queue
//!                                                                v
//! caller <------- direct server return, source = service address -- quinn
//! ```

mod arrival;
mod connection_id;
mod endpoint;
mod handshake;
mod ingress;
mod socket;
mod tls;

pub(crate) use connection_id::TokenIssuer;
pub(crate) use endpoint::{EndpointSet, EndpointSetup};
pub(crate) use ingress::PacketIngress;
pub use tls::TlsError;
pub(crate) use tls::{TlsFiles, load_server_crypto};
