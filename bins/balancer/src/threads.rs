//! Sockets and threads of the packet path.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use lovagelatch_network::{DatagramPath, enable_destination_info};
use lovagelatch_settings::{BalancerSettings, IngressKind};
use lovagelatch_telemetry::{Logger, error};
use socket2::{Domain, Protocol, Socket, Type};

use crate::forward::{ForwardPath, ForwardState, PacketForwarder};
use crate::ingress::PacketIngress;
use crate::metrics::PacketMetrics;
use crate::process::BalancerError;

/// Requested kernel receive buffer of the listening socket: absorbs a burst while the packet
/// threads are descheduled.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Receive timeout after which a packet thread checks whether to exit.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Binds the listening address and starts the packet threads.
pub(crate) fn start_threads(
    settings: &BalancerSettings,
    state: &Arc<ForwardState>,
    metrics: &PacketMetrics,
    log: &Logger,
) -> Result<Vec<JoinHandle<()>>, BalancerError> {
    let listen = Arc::new(open_listen_socket(settings)?);
    let address = match listen.local_addr()? {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => settings.listen,
    };
    let path = ForwardPath {
        ingress: PacketIngress::new(settings.ingress, address),
        path: DatagramPath::new(settings.common.gateway),
        control: settings.common.control,
    };
    let mut threads = Vec::with_capacity(settings.common.threads);
    for number in 0..settings.common.threads {
        let out = open_send_socket(settings)?;
        let listen = Arc::clone(&listen);
        let log = log.clone();
        let (state, path, metrics) = (Arc::clone(state), path.clone(), metrics.clone());
        // The forwarder is created on its thread: system calls hold pointers into its buffers.
        let body = move || {
            let mut forwarder = PacketForwarder::new(state, path, metrics, log.clone());
            if let Err(failure) = forwarder.run(&listen, &out) {
                error!(log, "packet thread ended"; "error" => failure.to_string());
            }
        };
        let thread = std::thread::Builder::new().name(format!("packets-{number}"));
        threads.push(thread.spawn(body)?);
    }
    Ok(threads)
}

fn open_listen_socket(settings: &BalancerSettings) -> Result<UdpSocket, BalancerError> {
    let address = SocketAddr::V4(settings.listen);
    let bind = |source| BalancerError::Bind { address, source };
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant less, depending on its limits.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    socket.bind(&address.into()).map_err(bind)?;
    let socket = UdpSocket::from(socket);
    if settings.ingress == IngressKind::Direct {
        enable_destination_info(&socket)?;
    }
    Ok(socket)
}

/// Opens a send socket for one thread, so that threads do not contend for a shared one.
fn open_send_socket(settings: &BalancerSettings) -> Result<UdpSocket, BalancerError> {
    let address = SocketAddr::from((*settings.common.control.0.ip(), 0));
    UdpSocket::bind(address).map_err(|source| BalancerError::Bind { address, source })
}
