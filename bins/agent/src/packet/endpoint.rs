//! One QUIC endpoint per service address.
//!
//! A service may have several addresses, one per agency. With an endpoint for each, the address
//! that answers leave from and the agency that a request counts against follow from the
//! endpoint itself; a table of callers, which could lag or overflow, is not needed. All share
//! one token issuer, hence one space of connection IDs.

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

/// Most service addresses that one agent answers for.
const MAX_ENDPOINTS: usize = 1024;

/// Requests that one caller may have open on a flow.
const STREAMS_PER_FLOW: u32 = 100;

/// Keep-alives sent within one idle timeout, so that two may be lost.
const KEEP_ALIVES_PER_TIMEOUT: u32 = 3;

/// Shortest time between stateless resets. After a death many flows need one at once, and a
/// reset is always smaller than the packet it answers.
const RESET_INTERVAL: Duration = Duration::from_millis(1);

/// What all endpoints of an agent share.
pub(crate) struct EndpointSetup {
    pub(crate) keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) issuer: TokenIssuer,
    pub(crate) path: DatagramPath,
    /// The control socket, which sends when there is a gateway.
    pub(crate) control: Arc<UdpSocket>,
    pub(crate) flow_idle: Duration,
}

/// An endpoint with the socket that feeds it.
#[derive(Clone)]
struct AddressEndpoint {
    socket: Arc<ServiceSocket>,
    endpoint: Endpoint,
}

/// The endpoints that were needed so far.
pub(crate) struct EndpointSet {
    setup: EndpointSetup,
    crypto: Mutex<Arc<QuicServerConfig>>,
    endpoints: Mutex<HashMap<SocketAddrV4, AddressEndpoint>>,
}

/// What became of a datagram.
#[derive(Debug)]
pub(crate) enum PushResult {
    /// QUIC has it.
    Taken,
    /// QUIC has it, on an endpoint whose flows nobody accepts yet.
    Opened(Endpoint),
    /// It was dropped: the queue is full.
    Overflow,
}

impl EndpointSet {
    pub(crate) fn new(setup: EndpointSetup, crypto: Arc<QuicServerConfig>) -> Self {
        Self {
            setup,
            crypto: Mutex::new(crypto),
            endpoints: Mutex::default(),
        }
    }

    /// Hands a caller's datagram to the endpoint of the service address it was sent to.
    ///
    /// # Errors
    ///
    /// What the operating system said when an endpoint could not be opened.
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
                PushResult::Taken
            } else {
                PushResult::Overflow
            });
        }
        if endpoints.len() >= MAX_ENDPOINTS {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let opened = self.open(address)?;
        opened.socket.push(caller, datagram);
        endpoints.insert(address, opened.clone());
        Ok(PushResult::Opened(opened.endpoint))
    }

    /// Uses a renewed certificate for flows that open from now on.
    pub(crate) fn renew(&self, crypto: Arc<QuicServerConfig>) {
        *self.crypto.lock() = crypto;
        let config = self.server_config();
        for opened in self.endpoints.lock().values() {
            opened.endpoint.set_server_config(Some(config.clone()));
        }
    }

    /// How many flows are open.
    pub(crate) fn open_flows(&self) -> usize {
        let endpoints = self.endpoints.lock();
        let flows = endpoints
            .values()
            .map(|opened| opened.endpoint.open_connections());
        flows.sum()
    }

    /// Closes every flow and waits, at most `limit`, until the callers were told.
    pub(crate) async fn close(&self, limit: Duration) {
        let endpoints: Vec<Endpoint> = {
            let endpoints = self.endpoints.lock();
            let opened = endpoints.values();
            opened.map(|opened| opened.endpoint.clone()).collect()
        };
        for endpoint in &endpoints {
            endpoint.close(h3_no_error(), b"agent stops");
        }
        let told = async {
            for endpoint in &endpoints {
                endpoint.wait_idle().await;
            }
        };
        let _ = tokio::time::timeout(limit, told).await;
    }

    fn open(&self, address: SocketAddrV4) -> io::Result<AddressEndpoint> {
        let outlet = match self.setup.path.gateway() {
            Some(_) => Arc::clone(&self.setup.control),
            None => Arc::new(bind_service_address(address)?),
        };
        let socket = Arc::new(ServiceSocket::new(address, self.setup.path, outlet));
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
        // A caller that sent larger datagrams would lose them: they do not fit a forward frame.
        let largest = u16::try_from(MAX_DATAGRAM_BYTES).unwrap_or(1200);
        if let Err(error) = config.max_udp_payload_size(largest) {
            unreachable!("the frame's limit is a legal datagram size: {error}");
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
        config.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_PER_FLOW));
        config.mtu_discovery_config(None);
        config
    }
}

/// HTTP/3's code for "closed without error" (RFC 9114, H3_NO_ERROR).
fn h3_no_error() -> VarInt {
    VarInt::from_u32(0x100)
}

/// Opens a socket that sends from a service address which this instance owns.
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
