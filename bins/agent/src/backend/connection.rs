//! A connection to the backend server.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Connect timeout. Short, because the backend server runs beside the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Read buffer of a feed's connection. Longer events arrive in several chunks.
const FEED_READ_BUFFER_BYTES: usize = 2 * 1024;

/// Why no connection could be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error("cannot connect to the backend server: {0}")]
    Io(#[from] io::Error),
    #[error("connecting to the backend server timed out")]
    Timeout,
    #[error("HTTP handshake with the backend server failed: {0}")]
    Http(#[from] hyper::Error),
}

/// An open connection. Dropping it closes the stream immediately.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    pub(crate) last_used: Instant,
}

impl BackendConnection {
    pub(crate) async fn open(address: SocketAddrV4) -> Result<Self, ConnectError> {
        Self::open_with(address, &http1::Builder::new()).await
    }

    /// Opens a connection for a feed, with a small buffer: thousands are open at once, and their
    /// events are short.
    pub(crate) async fn open_for_feed(address: SocketAddrV4) -> Result<Self, ConnectError> {
        let mut builder = http1::Builder::new();
        builder.read_buf_exact_size(Some(FEED_READ_BUFFER_BYTES));
        Self::open_with(address, &builder).await
    }

    async fn open_with(
        address: SocketAddrV4,
        builder: &http1::Builder,
    ) -> Result<Self, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| ConnectError::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // An error is reported by the request or body that it ends.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            last_used: Instant::now(),
        })
    }

    /// Whether another request may be sent on this connection.
    pub(crate) fn is_usable(&self, max_idle: Duration) -> bool {
        self.sender.is_ready() && self.last_used.elapsed() < max_idle
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
