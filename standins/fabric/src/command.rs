//! Command line options.

use std::net::SocketAddrV4;

use bpaf::Bpaf;

/// Simulates the users' network for tests: distributes callers' datagrams over the balancers and
/// is the gateway between all processes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct CommandLine {
    /// Gateway address of all processes (UDP and TCP); port 0 picks a free one
    #[bpaf(argument("IP:PORT"))]
    pub listen_gateway: SocketAddrV4,
    /// Address of the admin interface for tests (HTTP); port 0 picks a free one
    #[bpaf(argument("IP:PORT"))]
    pub admin: SocketAddrV4,
    /// Seed of the random number generators
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
}
