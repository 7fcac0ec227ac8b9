//! HTTP requests to stand-ins and to operations addresses of processes.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::error::{HttpRequestError, LocalError};

/// Timeout of a request, including the connection setup.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a GET request and returns the body.
pub(crate) async fn get(address: SocketAddrV4, path: &str) -> Result<Bytes, LocalError> {
    exchange(address, Method::GET, path, Bytes::new()).await
}

/// Sends a GET request and parses the body as JSON.
pub(crate) async fn get_json(address: SocketAddrV4, path: &str) -> Result<Value, LocalError> {
    Ok(serde_json::from_slice(&get(address, path).await?)?)
}

/// Sends a PUT request with a JSON body, and returns the body of the response.
pub(crate) async fn put_json<V: Serialize>(
    address: SocketAddrV4,
    path: &str,
    value: &V,
) -> Result<Bytes, LocalError> {
    let body = serde_json::to_vec(value)?;
    exchange(address, Method::PUT, path, Bytes::from(body)).await
}

/// Sends a PUT request with a text body, and returns the body of the response.
pub(crate) async fn put_text(
    address: SocketAddrV4,
    path: &str,
    text: &str,
) -> Result<Bytes, LocalError> {
    let body = Bytes::copy_from_slice(text.as_bytes());
    exchange(address, Method::PUT, path, body).await
}

async fn exchange(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, LocalError> {
    let failed = |reason: HttpRequestError| LocalError::Http {
        address,
        path: path.to_owned(),
        reason,
    };
    let sent = tokio::time::timeout(REQUEST_TIMEOUT, send(address, method, path, body)).await;
    let (status, body) = sent
        .map_err(|_| failed(HttpRequestError::Timeout))?
        .map_err(failed)?;
    if status.is_success() {
        Ok(body)
    } else {
        let body = String::from_utf8_lossy(&body).into_owned();
        Err(failed(HttpRequestError::Refused { status, body }))
    }
}

async fn send(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), HttpRequestError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok((status, body))
}
