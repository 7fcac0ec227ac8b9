//! The fabric process: start and stop.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::admin::build_admin;
use crate::command::CommandLine;
use crate::entry::bind_socket;
use crate::gateway::pass_datagrams;
use crate::state::FabricState;
use crate::streams::pass_streams;

/// Tries to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 32;

/// Why the fabric could not run.
#[derive(Debug, Error)]
pub enum FabricError {
    /// The gateway address cannot be used.
    #[error("gateway {address}: {source}")]
    Gateway {
        /// The address.
        address: SocketAddrV4,
        /// What the operating system said.
        source: io::Error,
    },
    /// The admin server could not run.
    #[error("admin server: {0}")]
    Admin(#[from] Box<rocket::Error>),
    /// The operating system refused something else that the process needs.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// Runs the fabric until SIGTERM or SIGINT.
///
/// # Errors
///
/// A [`FabricError`] when it cannot start.
pub fn run_fabric(line: &CommandLine) -> Result<(), FabricError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(run(line));
    runtime.shutdown_background();
    outcome
}

async fn run(line: &CommandLine) -> Result<(), FabricError> {
    let state = Arc::new(FabricState::new(line.seed));
    let (listener, socket, gateway) = bind_gateway(line.listen_gateway).await?;
    start_threads(&state, socket)?;
    tokio::spawn(pass_streams(Arc::clone(&state), listener));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let admin = build_admin(state, line.admin, gateway).launch();
    tokio::select! {
        ended = admin => ended.map(drop).map_err(|error| Box::new(error).into()),
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

fn start_threads(state: &Arc<FabricState>, socket: UdpSocket) -> Result<(), FabricError> {
    let (passing, socket) = (Arc::clone(state), Arc::new(socket));
    // One thread only: two would reorder datagrams that no fault asked to reorder.
    let gateway = std::thread::Builder::new().name("gateway".to_owned());
    gateway.spawn(move || pass_datagrams(&passing, &socket))?;
    let delaying = Arc::clone(state);
    let delay = std::thread::Builder::new().name("delay".to_owned());
    delay.spawn(move || delaying.queue.run(&delaying.counters))?;
    Ok(())
}

/// Binds the gateway for TCP and UDP at one port.
async fn bind_gateway(
    address: SocketAddrV4,
) -> Result<(TcpListener, UdpSocket, SocketAddrV4), FabricError> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_ATTEMPTS {
        match bind_pair(address).await {
            Ok(pair) => return Ok(pair),
            Err(error) => last = error,
        }
        if address.port() != 0 {
            break;
        }
    }
    Err(FabricError::Gateway {
        address,
        source: last,
    })
}

async fn bind_pair(address: SocketAddrV4) -> io::Result<(TcpListener, UdpSocket, SocketAddrV4)> {
    let listener = TcpListener::bind(address).await?;
    let SocketAddr::V4(bound) = listener.local_addr()? else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let socket = bind_socket(bound)?;
    Ok((listener, socket, bound))
}
