//! One flow: a QUIC connection from a socket of its own.

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

/// Longest that opening a flow may take.
const OPEN_LIMIT: Duration = Duration::from_secs(6);

/// HTTP/3's code for a close without error (RFC 9114, section 8.1).
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

/// Where a flow goes.
#[derive(Clone, Debug)]
pub(crate) struct FlowTarget {
    pub(crate) service: String,
    pub(crate) server_name: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) client: quinn::ClientConfig,
}

/// A flow that was opened. It is closed when the last user lets go of it.
pub(crate) struct CallerFlow {
    pub(crate) number: u64,
    connection: quinn::Connection,
    endpoint: quinn::Endpoint,
    /// Invariant: kept until the flow closes, for its last clone closes the connection.
    sender: SendRequest<OpenStreams, Bytes>,
    in_flight: AtomicUsize,
    retired: AtomicBool,
    lost: AtomicBool,
    /// Whether it was told as broken already.
    told_broken: AtomicBool,
    context: Arc<CallerContext>,
}

/// Counts a request in flight on a flow.
pub(crate) struct InFlight<'a>(&'a CallerFlow);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl CallerFlow {
    /// Opens a flow from a new socket; `None` when that failed, which the history says.
    pub(crate) async fn open(
        context: &Arc<CallerContext>,
        target: &FlowTarget,
    ) -> Option<Arc<Self>> {
        let number = context.new_flow_number();
        context.write(&CallerRecord::FlowOpening {
            flow: number,
            time_ms: now_ms(),
            service: target.service.clone(),
            address: target.address.to_string(),
        });
        match Self::try_open(context, target, number).await {
            Ok(flow) => Some(flow),
            Err(error) => {
                let reason = error.to_string();
                note_end(context, number, FlowEnd::Unopened { reason });
                None
            }
        }
    }

    async fn try_open(
        context: &Arc<CallerContext>,
        target: &FlowTarget,
        number: u64,
    ) -> Result<Arc<Self>, OpenError> {
        let connected = tokio::time::timeout(OPEN_LIMIT, connect(target)).await;
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
            told_broken: AtomicBool::new(false),
            context: Arc::clone(context),
        });
        tokio::spawn(async move { driver.wait_idle().await });
        let watched = Arc::downgrade(&flow);
        let context = Arc::clone(context);
        tokio::spawn(async move {
            let closed = connection.closed().await;
            context.counters.flows.fetch_sub(1, Ordering::Relaxed);
            match watched.upgrade() {
                Some(flow) => flow.note_closed(&closed),
                None => note_end(&context, number, end_of(&closed, 0)),
            }
        });
        Ok(flow)
    }

    /// Whether new requests may go over it.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired.load(Ordering::Acquire) && !self.lost.load(Ordering::Acquire)
    }

    /// No new request goes over it any more: the other side said that it goes away.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    pub(crate) fn sender(&self) -> SendRequest<OpenStreams, Bytes> {
        self.sender.clone()
    }

    pub(crate) fn note_in_flight(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self)
    }

    /// Goes on from a new address, as a phone does that changes networks.
    pub(crate) fn move_address(&self) -> io::Result<()> {
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        self.endpoint.rebind(socket)
    }

    fn note_closed(&self, closed: &ConnectionError) {
        self.lost.store(true, Ordering::Release);
        let end = end_of(closed, self.in_flight.load(Ordering::Acquire));
        if !self.told_broken.swap(true, Ordering::AcqRel) {
            note_end(&self.context, self.number, end);
        }
    }

    /// Says that the flow broke in a way that the connection itself may not show.
    pub(crate) fn note_broken(&self, reason: &str) {
        if self.told_broken.swap(true, Ordering::AcqRel) {
            return;
        }
        let reason = reason.to_owned();
        note_end(&self.context, self.number, FlowEnd::Broken { reason });
    }
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        self.connection.close(H3_NO_ERROR, b"");
    }
}

async fn connect(target: &FlowTarget) -> Result<(quinn::Endpoint, quinn::Connection), OpenError> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = quinn::Endpoint::client(any_port)?;
    let connecting = endpoint.connect_with(
        target.client.clone(),
        SocketAddr::V4(target.address),
        &target.server_name,
    )?;
    let connection = connecting.await?;
    Ok((endpoint, connection))
}

fn end_of(closed: &ConnectionError, in_flight: usize) -> FlowEnd {
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

fn note_end(context: &CallerContext, flow: u64, end: FlowEnd) {
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
