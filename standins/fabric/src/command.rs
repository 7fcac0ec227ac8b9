//! The command line.

use std::net::SocketAddrV4;

use bpaf::Bpaf;

/// Plays the users' network for tests: sprays callers' datagrams over balancers and is the
/// gateway of all processes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct CommandLine {
    /// Where processes hand in what they send (UDP and TCP); port 0 picks a free one
    #[bpaf(argument("IP:PORT"))]
    pub listen_gateway: SocketAddrV4,
    /// Where tests set topology and faults (HTTP); port 0 picks a free one
    #[bpaf(argument("IP:PORT"))]
    pub admin: SocketAddrV4,
    /// Seed of all random choices
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
}
