//! A client for plain HTTP/1.1 GET requests to one address.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection could not be opened.
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    /// No complete response arrived within the timeout.
    #[error("no response within the timeout")]
    Timeout,
    /// The body was longer than the limit, or the connection closed before its end.
    #[error("response body too long or truncated")]
    Body,
    /// The path is not a valid request target.
    #[error("invalid path: {0}")]
    Path(#[from] http::Error),
}

/// Sends GET requests one at a time and reuses the connection while it works.
///
/// A connection is dropped after any error. Otherwise a late response to an earlier request could
/// be read as the response to a later one, or a dead connection could never answer.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddrV4,
    max_body: usize,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl HttpClient {
    /// Creates a client for the server at `address` that accepts bodies of up to `max_body` bytes.
    #[must_use]
    pub fn new(address: SocketAddrV4, max_body: usize) -> Self {
        Self {
            address,
            max_body,
            connection: None,
        }
    }

    /// Sends a GET request for `path`, which may contain a query, and waits up to `timeout` for the
    /// whole response.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if there is no complete response, whatever its status.
    pub async fn get(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let connection = self.connection.take();
        let exchange = self.exchange(connection, path);
        let (connection, response) = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| HttpError::Timeout)??;
        self.connection = Some(connection);
        Ok(response)
    }

    async fn exchange(
        &self,
        connection: Option<SendRequest<Empty<Bytes>>>,
        path: &str,
    ) -> Result<(SendRequest<Empty<Bytes>>, Response<Bytes>), HttpError> {
        let mut connection = match connection {
            Some(open) if !open.is_closed() => open,
            _ => self.connect().await?,
        };
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        connection.ready().await?;
        let (head, body) = connection.send_request(request).await?.into_parts();
        let body = Limited::new(body, self.max_body).collect();
        let body = body.await.map_err(|_| HttpError::Body)?.to_bytes();
        Ok((connection, Response::from_parts(head, body)))
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, HttpError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // The driver ends when the sender is dropped; its errors surface in the pending request.
        tokio::spawn(async move {
            let _ended = driver.await;
        });
        Ok(sender)
    }
}
