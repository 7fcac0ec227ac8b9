//! One connection to the backend server.

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

/// Longest an attempt to connect may take: the backend server stands beside the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Read buffer of a feed's connection, in bytes. Longer events come in several pieces.
const FEED_BUFFER_BYTES: usize = 2 * 1024;

/// Why there is no connection.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    #[error("backend server not reached: {0}")]
    Io(#[from] io::Error),
    #[error("backend server not reached in time")]
    Timeout,
    #[error("backend server handshake: {0}")]
    Http(#[from] hyper::Error),
}

/// An open connection. Dropping it closes the stream at once.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// When it was last used.
    pub(crate) used: Instant,
}

impl BackendConnection {
    pub(crate) async fn open(address: SocketAddrV4) -> Result<Self, ConnectError> {
        Self::open_with(address, &http1::Builder::new()).await
    }

    /// Opens one for a feed: thousands are held at a time, and their events are short.
    pub(crate) async fn open_for_feed(address: SocketAddrV4) -> Result<Self, ConnectError> {
        let mut settings = http1::Builder::new();
        settings.read_buf_exact_size(Some(FEED_BUFFER_BYTES));
        Self::open_with(address, &settings).await
    }

    async fn open_with(
        address: SocketAddrV4,
        settings: &http1::Builder,
    ) -> Result<Self, ConnectError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| ConnectError::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = settings.handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The error shows at the request or body that it ends.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            used: Instant::now(),
        })
    }

    /// Whether another request may be sent on it.
    pub(crate) fn is_usable(&self, max_idle: Duration) -> bool {
        self.sender.is_ready() && self.used.elapsed() < max_idle
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
