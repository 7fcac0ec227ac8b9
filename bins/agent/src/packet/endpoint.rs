//! One QUIC endpoint per service address.
//!
//! A service may have several addresses, one per agency. With one endpoint for each, the endpoint
//! determines the source address of responses and the agency that a request counts against; no
//! table of callers, which could be stale or overflow, is needed. All endpoints share one token
//! issuer and therefore one space of connection IDs.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::DatagramPath;
use lovagelatch_wire::MAX_DATAGRAM_BYTES;
use parking_lot::Mutex;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime, TransportConfig, VarInt,
};
use tokio::net::UdpSocket;

use crate::packet::connection_id::{ResetSigner, TokenIssuer};
use crate::packet::socket::ServiceSocket;

/// Largest number of service addresses of one agent.
const MAX_ENDPOINTS: usize = 1024;

/// Concurrent requests that a caller may have on a flow.
const MAX_STREAMS_PER_FLOW: u32 = 100;

/// Keep-alives sent within one idle timeout; two may be lost.
const KEEP_ALIVES_PER_TIMEOUT: u32 = 3;

/// Minimum interval between stateless resets. It is short because many flows need a reset at once
/// when an agent fails; a reset is always smaller than the packet it responds to.
const RESET_INTERVAL: Duration = Duration::from_millis(1);

/// The resources that all endpoints of an agent share.
pub(crate) struct EndpointSetup {
    pub(crate) keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) issuer: TokenIssuer,
    pub(crate) path: DatagramPath,
    /// The control socket, from which responses are sent if a gateway is configured.
    pub(crate) control: Arc<UdpSocket>,
    pub(crate) flow_idle: Duration,
}

/// An endpoint with its socket.
#[derive(Clone)]
struct AddressEndpoint {
    socket: Arc<ServiceSocket>,
    endpoint: Endpoint,
}

/// The endpoints, which are opened on the first datagram for their address.
pub(crate) struct EndpointSet {
    setup: EndpointSetup,
    crypto: Mutex<Arc<QuicServerConfig>>,
    endpoints: Mutex<HashMap<SocketAddrV4, AddressEndpoint>>,
}

/// What happened to a datagram.
#[derive(Debug)]
pub(crate) enum PushResult {
    /// It is queued for QUIC.
    Queued,
    /// It is queued for QUIC on a new endpoint, whose flows the caller must accept.
    NewEndpoint(Endpoint),
    /// It was dropped because the queue is full.
    QueueFull,
}

impl EndpointSet {
    pub(crate) fn new(setup: EndpointSetup, crypto: Arc<QuicServerConfig>) -> Self {
        Self {
            setup,
            crypto: Mutex::new(crypto),
            endpoints: Mutex::default(),
        }
    }

    /// Queues a caller's datagram at the endpoint of the service address it was sent to.
    ///
    /// # Errors
    ///
    /// The operating system's error if an endpoint could not be opened.
    pub(crate) fn push(
        &self,
        address: SocketAddrV4,
        caller: SocketAddrV4,
        datagram: &[u8],
    ) -> io::Result<PushResult> {
        let mut endpoints = self.endpoints.lock();
        if let Some(found) = endpoints.get(&address) {
            let socket = Arc::clone(&found.socket);
            drop(endpoints);
            return Ok(if socket.push(caller, datagram) {
                PushResult::Queued
            } else {
                PushResult::QueueFull
            });
        }
        if endpoints.len() >= MAX_ENDPOINTS {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let opened = self.open(address)?;
        opened.socket.push(caller, datagram);
        endpoints.insert(address, opened.clone());
        Ok(PushResult::NewEndpoint(opened.endpoint))
    }

    /// Uses a new certificate for flows that open from now on.
    pub(crate) fn set_crypto(&self, crypto: Arc<QuicServerConfig>) {
        *self.crypto.lock() = crypto;
        let config = self.server_config();
        for opened in self.endpoints.lock().values() {
            opened.endpoint.set_server_config(Some(config.clone()));
        }
    }

    /// The number of open flows.
    pub(crate) fn open_flows(&self) -> usize {
        let endpoints = self.endpoints.lock();
        let flows = endpoints
            .values()
            .map(|opened| opened.endpoint.open_connections());
        flows.sum()
    }

    /// Closes all flows and waits up to `timeout` until the close was sent to the callers.
    pub(crate) async fn close(&self, timeout: Duration) {
        let endpoints: Vec<Endpoint> = {
            let endpoints = self.endpoints.lock();
            let opened = endpoints.values();
            opened.map(|opened| opened.endpoint.clone()).collect()
        };
        for endpoint in &endpoints {
            endpoint.close(h3_no_error(), b"agent stops");
        }
        let closed = async {
            for endpoint in &endpoints {
                endpoint.wait_idle().await;
            }
        };
        let _ = tokio::time::timeout(timeout, closed).await;
    }

    fn open(&self, address: SocketAddrV4) -> io::Result<AddressEndpoint> {
        let send_socket = match self.setup.path.gateway() {
            Some(_) => Arc::clone(&self.setup.control),
            None => Arc::new(bind_service_address(address)?),
        };
        let socket = Arc::new(ServiceSocket::new(address, self.setup.path, send_socket));
        let endpoint = Endpoint::new_with_abstract_socket(
            self.endpoint_config(),
            Some(self.server_config()),
            Arc::<ServiceSocket>::clone(&socket),
            Arc::new(TokioRuntime),
        )?;
        Ok(AddressEndpoint { socket, endpoint })
    }

    fn endpoint_config(&self) -> EndpointConfig {
        let signer = ResetSigner::new(Arc::clone(&self.setup.keys));
        let mut config = EndpointConfig::new(Arc::new(signer));
        let issuer = self.setup.issuer.clone();
        config.cid_generator(move || Box::new(issuer.clone()));
        config.min_reset_interval(RESET_INTERVAL);
        // Larger datagrams from callers would be lost: they do not fit in a forward frame.
        let largest = u16::try_from(MAX_DATAGRAM_BYTES).unwrap_or(1200);
        if let Err(error) = config.max_udp_payload_size(largest) {
            unreachable!("the frame limit is a valid datagram size: {error}");
        }
        config
    }

    fn server_config(&self) -> ServerConfig {
        let crypto = Arc::clone(&self.crypto.lock());
        let mut config = ServerConfig::with_crypto(crypto);
        config.transport_config(Arc::new(self.transport_config()));
        config
    }

    fn transport_config(&self) -> TransportConfig {
        let mut config = TransportConfig::default();
        let idle = IdleTimeout::try_from(self.setup.flow_idle).ok();
        config.max_idle_timeout(idle);
        config.keep_alive_interval(Some(self.setup.flow_idle / KEEP_ALIVES_PER_TIMEOUT));
        config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_FLOW));
        config.mtu_discovery_config(None);
        config
    }
}

/// The HTTP/3 error code H3_NO_ERROR (RFC 9114): closed without error.
fn h3_no_error() -> VarInt {
    VarInt::from_u32(0x100)
}

/// Opens a socket that sends from a service address that is assigned to this instance.
fn bind_service_address(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = socket2::Socket::new(
        socket2::Domain::IPV4,
        socket2::Type::DGRAM,
        Some(socket2::Protocol::UDP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
