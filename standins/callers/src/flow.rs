//! One flow: a QUIC connection with its own UDP socket.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use lovagelatch_history::{CallerRecord, FlowEnd};
use quinn::{ConnectionError, VarInt};
use thiserror::Error;

use crate::context::{CallerContext, now_ms};

/// Timeout of the QUIC handshake of a flow.
const OPEN_TIMEOUT: Duration = Duration::from_secs(6);

/// The HTTP/3 code of a close without error (RFC 9114, section 8.1).
const H3_NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// Why a flow could not be opened.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    #[error("no socket: {0}")]
    Socket(#[from] io::Error),
    #[error("{0}")]
    Connect(#[from] quinn::ConnectError),
    #[error("{0}")]
    Connection(#[from] ConnectionError),
    #[error("{0}")]
    Http(#[from] h3::error::ConnectionError),
    #[error("not open in time")]
    Timeout,
}

/// Service address and client configuration of a flow.
#[derive(Clone, Debug)]
pub(crate) struct FlowDestination {
    pub(crate) service: String,
    pub(crate) server_name: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) client: quinn::ClientConfig,
}

/// An open flow. Dropping the last reference closes the connection.
pub(crate) struct CallerFlow {
    pub(crate) number: u64,
    connection: quinn::Connection,
    endpoint: quinn::Endpoint,
    /// Invariant: kept until the flow closes, because dropping the last clone closes the connection.
    sender: SendRequest<OpenStreams, Bytes>,
    in_flight: AtomicUsize,
    retired: AtomicBool,
    lost: AtomicBool,
    /// Whether the end of the flow is already in the history.
    end_recorded: AtomicBool,
    context: Arc<CallerContext>,
}

/// Counts a request as in flight on a flow until it is dropped.
pub(crate) struct InFlightGuard<'a>(&'a CallerFlow);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl CallerFlow {
    /// Opens a flow from a new socket. Returns `None` on failure, which the history records.
    pub(crate) async fn open(
        context: &Arc<CallerContext>,
        destination: &FlowDestination,
    ) -> Option<Arc<Self>> {
        let number = context.new_flow_number();
        context.write(&CallerRecord::FlowOpening {
            flow: number,
            time_ms: now_ms(),
            service: destination.service.clone(),
            address: destination.address.to_string(),
        });
        match Self::try_open(context, destination, number).await {
            Ok(flow) => Some(flow),
            Err(error) => {
                let reason = error.to_string();
                record_end(context, number, FlowEnd::Unopened { reason });
                None
            }
        }
    }

    async fn try_open(
        context: &Arc<CallerContext>,
        destination: &FlowDestination,
        number: u64,
    ) -> Result<Arc<Self>, OpenError> {
        let connected = tokio::time::timeout(OPEN_TIMEOUT, connect(destination)).await;
        let connected = connected.map_err(|_| OpenError::Timeout)??;
        Self::start(context, number, connected).await
    }

    async fn start(
        context: &Arc<CallerContext>,
        number: u64,
        (endpoint, connection): (quinn::Endpoint, quinn::Connection),
    ) -> Result<Arc<Self>, OpenError> {
        let quic = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(quic).await?;
        context.counters.flows.fetch_add(1, Ordering::Relaxed);
        let flow = Arc::new(Self {
            number,
            connection: connection.clone(),
            endpoint,
            sender,
            in_flight: AtomicUsize::new(0),
            retired: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            end_recorded: AtomicBool::new(false),
            context: Arc::clone(context),
        });
        tokio::spawn(async move { driver.wait_idle().await });
        let watched = Arc::downgrade(&flow);
        let context = Arc::clone(context);
        tokio::spawn(async move {
            let closed = connection.closed().await;
            context.counters.flows.fetch_sub(1, Ordering::Relaxed);
            match watched.upgrade() {
                Some(flow) => flow.record_closed(&closed),
                None => record_end(&context, number, flow_end(&closed, 0)),
            }
        });
        Ok(flow)
    }

    /// Whether new requests may use the flow.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired.load(Ordering::Acquire) && !self.lost.load(Ordering::Acquire)
    }

    /// Excludes the flow from new requests, after the server has announced that it is closing it.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    pub(crate) fn sender(&self) -> SendRequest<OpenStreams, Bytes> {
        self.sender.clone()
    }

    pub(crate) fn track_in_flight(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self)
    }

    /// Migrates the connection to a new local address, as a phone does when it changes networks.
    pub(crate) fn migrate(&self) -> io::Result<()> {
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        self.endpoint.rebind(socket)
    }

    fn record_closed(&self, closed: &ConnectionError) {
        self.lost.store(true, Ordering::Release);
        let end = flow_end(closed, self.in_flight.load(Ordering::Acquire));
        if !self.end_recorded.swap(true, Ordering::AcqRel) {
            record_end(&self.context, self.number, end);
        }
    }

    /// Records that the flow broke in a way that the QUIC connection may not detect.
    pub(crate) fn record_broken(&self, reason: &str) {
        if self.end_recorded.swap(true, Ordering::AcqRel) {
            return;
        }
        let reason = reason.to_owned();
        record_end(&self.context, self.number, FlowEnd::Broken { reason });
    }
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        self.connection.close(H3_NO_ERROR, b"");
    }
}

async fn connect(
    destination: &FlowDestination,
) -> Result<(quinn::Endpoint, quinn::Connection), OpenError> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = quinn::Endpoint::client(any_port)?;
    let connecting = endpoint.connect_with(
        destination.client.clone(),
        SocketAddr::V4(destination.address),
        &destination.server_name,
    )?;
    let connection = connecting.await?;
    Ok((endpoint, connection))
}

fn flow_end(closed: &ConnectionError, in_flight: usize) -> FlowEnd {
    match closed {
        ConnectionError::LocallyClosed => FlowEnd::Closed,
        ConnectionError::ApplicationClosed(close)
            if close.error_code == H3_NO_ERROR && in_flight == 0 =>
        {
            FlowEnd::GoneAway
        }
        other => FlowEnd::Broken {
            reason: format!("{other}; {in_flight} in flight"),
        },
    }
}

fn record_end(context: &CallerContext, flow: u64, end: FlowEnd) {
    if matches!(end, FlowEnd::Broken { .. } | FlowEnd::Unopened { .. }) {
        context
            .counters
            .flows_broken
            .fetch_add(1, Ordering::Relaxed);
    }
    context.write(&CallerRecord::FlowEnded {
        flow,
        time_ms: now_ms(),
        end,
    });
}
