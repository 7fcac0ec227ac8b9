//! HTTP requests to the operations addresses of processes.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::failure::CommandError;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends a GET request and decodes the JSON response.
pub(crate) async fn get_json<V: DeserializeOwned>(
    address: SocketAddrV4,
    path: &str,
) -> Result<V, CommandError> {
    let failed = |reason: String| CommandError::RequestFailed { address, reason };
    let response = tokio::time::timeout(REQUEST_TIMEOUT, get(address, path)).await;
    let body = response
        .map_err(|_| failed("timeout".to_owned()))?
        .map_err(failed)?;
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}

async fn get(address: SocketAddrV4, path: &str) -> Result<Bytes, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    let driver = tokio::spawn(connection);
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    driver.abort();
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    if status == StatusCode::OK {
        Ok(body)
    } else {
        Err(format!(
            "{status}: {}",
            String::from_utf8_lossy(&body[..body.len().min(200)])
        ))
    }
}

/// Runs a future to completion on a single-threaded runtime.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.map_err(CommandError::Runtime)?.block_on(future)
}
