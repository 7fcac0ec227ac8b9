//! Starts the fabric process and runs it until a signal.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::admin::build_admin;
use crate::command::CommandLine;
use crate::gateway::forward_datagrams;
use crate::ingress::bind_socket;
use crate::state::FabricState;
use crate::streams::forward_streams;

/// Attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 32;

/// Why the fabric did not start, or stopped.
#[derive(Debug, Error)]
pub enum FabricError {
    /// The gateway address could not be bound.
    #[error("gateway {address}: {source}")]
    Gateway {
        /// The address from the command line.
        address: SocketAddrV4,
        /// The error of the last attempt.
        source: io::Error,
    },
    /// The admin server failed.
    #[error("admin server: {0}")]
    Admin(#[from] Box<rocket::Error>),
    /// Another resource of the process could not be created, such as a thread or a signal
    /// handler.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// Runs the fabric until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns a [`FabricError`] if the fabric cannot start or its admin server fails.
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
    tokio::spawn(forward_streams(Arc::clone(&state), listener));
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
    let (gateway_state, socket) = (Arc::clone(state), Arc::new(socket));
    // A single thread, because two would reorder datagrams without a fault.
    let gateway = std::thread::Builder::new().name("gateway".to_owned());
    gateway.spawn(move || forward_datagrams(&gateway_state, &socket))?;
    let delay_state = Arc::clone(state);
    let delay = std::thread::Builder::new().name("delay".to_owned());
    delay.spawn(move || delay_state.queue.run(&delay_state.counters))?;
    Ok(())
}

/// Binds the gateway for TCP and UDP to the same port. Retries with another port if `address`
/// leaves the choice to the operating system.
async fn bind_gateway(
    address: SocketAddrV4,
) -> Result<(TcpListener, UdpSocket, SocketAddrV4), FabricError> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_ATTEMPTS {
        match bind_sockets(address).await {
            Ok(bound) => return Ok(bound),
            Err(error) => last_error = error,
        }
        if address.port() != 0 {
            break;
        }
    }
    Err(FabricError::Gateway {
        address,
        source: last_error,
    })
}

async fn bind_sockets(address: SocketAddrV4) -> io::Result<(TcpListener, UdpSocket, SocketAddrV4)> {
    let listener = TcpListener::bind(address).await?;
    let SocketAddr::V4(bound) = listener.local_addr()? else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let socket = bind_socket(bound)?;
    Ok((listener, socket, bound))
}
