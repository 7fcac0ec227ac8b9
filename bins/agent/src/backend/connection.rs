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
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| ConnectError::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
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
