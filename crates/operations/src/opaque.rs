//! The common parts of balancers and agents of opaque packets: sockets, the packet thread, HTTP.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};

use lovagelatch_settings::OpaqueSettings;
use lovagelatch_telemetry::{Logger, MetricsError, MetricsRegistry, error, flush_log};
use thiserror::Error;

use crate::ready::{OpaqueInspector, ReadyFlag, serve_inspection, serve_ready};

/// Why a balancer or agent of opaque packets could not start.
#[derive(Debug, Error)]
pub enum OpaqueError {
    /// A socket could not be bound to its address.
    #[error("address {address}: {source}")]
    Bind {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The operating system's error.
        source: io::Error,
    },
    /// The metrics exporter could not be built.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Another system call failed.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// Binds a non-blocking UDP socket.
///
/// # Errors
///
/// [`OpaqueError::Bind`] if the address cannot be bound.
pub fn bind_datagram_socket(address: SocketAddrV4) -> Result<UdpSocket, OpaqueError> {
    let bind = |source| OpaqueError::Bind { address, source };
    let socket = UdpSocket::bind(address).map_err(bind)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Starts the packet thread. If `body` fails, the whole process exits: without its packet path it
/// would silently drop all packets.
///
/// # Errors
///
/// The operating system's error.
pub fn start_packet_thread(
    log: &Logger,
    body: impl FnOnce() -> io::Result<()> + Send + 'static,
) -> io::Result<()> {
    let log = log.clone();
    let body = move || {
        if let Err(failure) = body() {
            error!(log, "packet thread ended"; "error" => failure.to_string());
            flush_log();
            std::process::exit(1);
        }
    };
    let thread = std::thread::Builder::new().name("packets".to_owned());
    // The thread runs until the process exits and is never joined.
    let _handle = thread.spawn(body)?;
    Ok(())
}

/// Starts the HTTP servers of the process.
///
/// Readiness is served at `path` on the readiness address of the settings; metrics, status and
/// explanations are served on the operations address.
pub fn serve_opaque(
    settings: &OpaqueSettings,
    path: &'static str,
    ready: ReadyFlag,
    metrics: MetricsRegistry,
    inspector: impl OpaqueInspector,
    log: &Logger,
) {
    let (address, error_log) = (settings.ready, log.clone());
    tokio::spawn(async move {
        if let Err(failure) = serve_ready(address, path, ready).await {
            error!(error_log, "readiness not served"; "error" => failure.to_string());
        }
    });
    let (address, error_log) = (settings.operations, log.clone());
    tokio::spawn(async move {
        if let Err(failure) = serve_inspection(address, metrics, inspector).await {
            error!(error_log, "operations not served"; "error" => failure.to_string());
        }
    });
}
