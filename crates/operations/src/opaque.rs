//! What balancers and agents of opaque packets do alike: sockets, their packet thread, their HTTP.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};

use lovagelatch_settings::OpaqueSettings;
use lovagelatch_telemetry::{Logger, MetricsError, MetricsRegistry, error, write_waiting_lines};
use thiserror::Error;

use crate::ready::{CarrierAnswers, ReadyFlag, serve_pages, serve_ready};

/// Why a process that carries opaque packets could not run.
#[derive(Debug, Error)]
pub enum CarrierError {
    /// An address cannot be used.
    #[error("address {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// What the operating system said.
        source: io::Error,
    },
    /// Metrics cannot be kept.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The operating system refused something else that the process needs.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// A datagram socket that never blocks.
///
/// # Errors
///
/// [`CarrierError::Bind`] when the address cannot be had.
pub fn open_datagrams(address: SocketAddrV4) -> Result<UdpSocket, CarrierError> {
    let bind = |source| CarrierError::Bind { address, source };
    let socket = UdpSocket::bind(address).map_err(bind)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Starts the packet thread. If `body` fails the whole process ends: without its packet path it
/// would only swallow what others send it.
///
/// # Errors
///
/// What the operating system said.
pub fn start_packet_thread(
    log: &Logger,
    body: impl FnOnce() -> io::Result<()> + Send + 'static,
) -> io::Result<()> {
    let log = log.clone();
    let body = move || {
        if let Err(failure) = body() {
            error!(log, "packet thread ended"; "error" => failure.to_string());
            write_waiting_lines();
            std::process::exit(1);
        }
    };
    let thread = std::thread::Builder::new().name("packets".to_owned());
    // It runs until the process ends; nobody waits for it.
    let _handle = thread.spawn(body)?;
    Ok(())
}

/// Serves readiness at `path`, and metrics, status and explanations, on the addresses of the settings.
pub fn serve_carrier(
    settings: &OpaqueSettings,
    path: &'static str,
    ready: ReadyFlag,
    metrics: MetricsRegistry,
    answers: impl CarrierAnswers,
    log: &Logger,
) {
    let (address, failed) = (settings.ready, log.clone());
    tokio::spawn(async move {
        if let Err(failure) = serve_ready(address, path, ready).await {
            error!(failed, "readiness not served"; "error" => failure.to_string());
        }
    });
    let (address, failed) = (settings.operations, log.clone());
    tokio::spawn(async move {
        if let Err(failure) = serve_pages(address, metrics, answers).await {
            error!(failed, "operations not served"; "error" => failure.to_string());
        }
    });
}
