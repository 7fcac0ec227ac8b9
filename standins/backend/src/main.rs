//! `lovagelatch-backend`: runs one backend server stand-in.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use lovagelatch_backend::{BackendError, BackendOptions, BackendServer, DependencyOptions};

/// A stand-in for a backend server, for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// Where to listen; port 0 lets the operating system choose
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddrV4,
    /// The service it serves
    #[bpaf(argument("NAME"))]
    service: String,
    /// Its name in the history
    #[bpaf(argument("NAME"), fallback("target".to_owned()))]
    target: String,
    /// How many requests it runs at once
    #[bpaf(argument("N"), fallback(3))]
    slots: u16,
    /// How long its cold start takes, in milliseconds
    #[bpaf(argument("N"), fallback(0))]
    cold_ms: u64,
    /// Where its history goes
    #[bpaf(argument("FILE"))]
    history: PathBuf,
    /// Where the agent beside it takes calls to the service it depends on
    #[bpaf(argument("IP:PORT"))]
    gateway: Option<SocketAddrV4>,
    /// The path of documents there, starting with the service
    #[bpaf(argument("PATH"), fallback("/certificates/certificates".to_owned()))]
    dependency: String,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), BackendError> {
    let line = command_line().run();
    let server = BackendServer::bind(BackendOptions {
        listen: line.listen,
        service: line.service,
        target: line.target,
        slots: line.slots,
        cold_start: Duration::from_millis(line.cold_ms),
        history: line.history,
        dependency: line.gateway.map(|gateway| DependencyOptions {
            gateway,
            path: line.dependency,
        }),
    })
    .await?;
    let address = server.address()?.to_string();
    println!("{}", serde_json::json!({"ready": true, "address": address}));
    server.serve().await
}
