//! Small HTTP requests to stand-ins and operations addresses.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::error::{HttpFailure, LocalError};

/// Longest that a request may take.
const LIMIT: Duration = Duration::from_secs(3);

/// Reads a path.
pub(crate) async fn get(address: SocketAddrV4, path: &str) -> Result<Bytes, LocalError> {
    exchange(address, Method::GET, path, Bytes::new()).await
}

/// Reads a path that answers JSON.
pub(crate) async fn get_json(address: SocketAddrV4, path: &str) -> Result<Value, LocalError> {
    Ok(serde_json::from_slice(&get(address, path).await?)?)
}

/// Puts JSON to a path and returns the answer.
pub(crate) async fn put_json<V: Serialize>(
    address: SocketAddrV4,
    path: &str,
    value: &V,
) -> Result<Bytes, LocalError> {
    let body = serde_json::to_vec(value)?;
    exchange(address, Method::PUT, path, Bytes::from(body)).await
}

/// Puts text to a path and returns the answer.
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
    let failed = |reason: HttpFailure| LocalError::Http {
        address,
        path: path.to_owned(),
        reason,
    };
    let sent = tokio::time::timeout(LIMIT, send(address, method, path, body)).await;
    let (status, body) = sent
        .map_err(|_| failed(HttpFailure::Timeout))?
        .map_err(failed)?;
    if status.is_success() {
        Ok(body)
    } else {
        let said = String::from_utf8_lossy(&body).into_owned();
        Err(failed(HttpFailure::Refused { status, said }))
    }
}

async fn send(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), HttpFailure> {
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
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok((status, body))
}
