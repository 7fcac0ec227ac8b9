//! A client for plain HTTP/1.1 GET requests to one address.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

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
    /// The body was still arriving when its time was over.
    #[error("response body not received within {0:?}")]
    Slow(Duration),
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
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl HttpClient {
    /// Creates a client for the server at `address`.
    #[must_use]
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a GET request for `path`, which may contain a query, and waits up to `timeout` for the
    /// whole response, whose body may have up to `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if there is no complete response, whatever its status.
    pub async fn get(
        &mut self,
        path: &str,
        timeout: Duration,
        max_body: usize,
    ) -> Result<Response<Bytes>, HttpError> {
        let connection = self.connection.take();
        let exchange = self.exchange(connection, path, max_body);
        let (connection, response) = limited(timeout, exchange).await??;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Sends a GET request for `path` and passes the body, which may have any length, to `take` as it
    /// arrives. Waits up to `timeout` for the head and for each part of the body, and up to
    /// `body_timeout` for all parts after the first one. Returns the head.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if there is no complete response, whatever its status. Parts of the
    /// body may have been passed to `take` then.
    pub async fn get_in_parts(
        &mut self,
        path: &str,
        timeout: Duration,
        body_timeout: Duration,
        mut take: impl FnMut(&[u8]),
    ) -> Result<Parts, HttpError> {
        let connection = self.connection.take();
        let request = self.request(connection, path);
        let (connection, response) = limited(timeout, request).await??;
        let (head, mut body) = response.into_parts();
        let mut next = limited(timeout, body.frame()).await?;
        let deadline = Instant::now() + body_timeout;
        while let Some(frame) = next {
            if let Some(part) = frame?.data_ref() {
                take(part);
            }
            if Instant::now() >= deadline {
                return Err(HttpError::Slow(body_timeout));
            }
            next = limited(timeout, body.frame()).await?;
        }
        self.connection = Some(connection);
        Ok(head)
    }

    async fn exchange(
        &self,
        connection: Option<SendRequest<Empty<Bytes>>>,
        path: &str,
        max_body: usize,
    ) -> Result<(SendRequest<Empty<Bytes>>, Response<Bytes>), HttpError> {
        let (connection, response) = self.request(connection, path).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_body).collect();
        let body = body.await.map_err(|_| HttpError::Body)?.to_bytes();
        Ok((connection, Response::from_parts(head, body)))
    }

    /// Sends a request and waits for the head of the response.
    async fn request(
        &self,
        connection: Option<SendRequest<Empty<Bytes>>>,
        path: &str,
    ) -> Result<(SendRequest<Empty<Bytes>>, Response<Incoming>), HttpError> {
        let mut connection = match connection {
            Some(open) if !open.is_closed() => open,
            _ => self.connect().await?,
        };
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        connection.ready().await?;
        let response = connection.send_request(request).await?;
        Ok((connection, response))
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

/// Waits for a future for a limited time.
async fn limited<F: Future>(timeout: Duration, future: F) -> Result<F::Output, HttpError> {
    let output = tokio::time::timeout(timeout, future).await;
    output.map_err(|_| HttpError::Timeout)
}
