//! Calls the service that this one depends on, through the agent beside the server.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use lovagelatch_history::{BackendRecord, content_for, unix_millis};
use thiserror::Error;
use tokio::net::TcpStream;

/// Size of the document that a call fetches.
const BYTES: usize = 2_000;

/// How long a call holds a slot of the called server.
const WORK_MS: u32 = 5;

/// Timeout of a call, also sent as its deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Header that limits the attempts along a chain of calls. The server copies it from the request
/// to each call that the request causes.
pub(crate) const ATTEMPTS_LEFT_HEADER: &str = "lovagelatch-attempts-left";

/// Address and path of the dependency.
#[derive(Clone, Debug)]
pub struct DependencyOptions {
    /// The gateway address of the agent beside the server.
    pub gateway: SocketAddrV4,
    /// The path prefix of documents. Its first segment is the called service:
    /// `/certificates/certificates`.
    pub path: String,
}

/// Why a call got no complete response.
#[derive(Debug, Error)]
enum CallError {
    #[error("cannot connect to the gateway: {0}")]
    Connect(#[from] std::io::Error),
    #[error("HTTP exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    #[error("cannot build the request: {0}")]
    Request(#[from] http::Error),
}

/// The result of a call that got a response.
struct CallResult {
    /// The value of the `lovagelatch-outcome` header.
    outcome: Option<String>,
    /// Whether a 200 response had the expected content; `None` for other statuses.
    right: Option<bool>,
}

/// Fetches a document and returns the history record of the call. A call without a response has
/// neither outcome nor content check.
pub(crate) async fn call(
    options: &DependencyOptions,
    run: u64,
    id: &str,
    attempts_left: Option<&str>,
) -> BackendRecord {
    let fetched = tokio::time::timeout(CALL_TIMEOUT, fetch(options, id, attempts_left)).await;
    let result = fetched.ok().and_then(Result::ok);
    let (outcome, right) = result.map_or((None, None), |result| (result.outcome, result.right));
    BackendRecord::Called {
        time_ms: unix_millis(),
        run,
        outcome,
        right,
    }
}

async fn fetch(
    options: &DependencyOptions,
    id: &str,
    attempts_left: Option<&str>,
) -> Result<CallResult, CallError> {
    let stream = TcpStream::connect(options.gateway).await?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let path = format!("{}/{id}?bytes={BYTES}&work_ms={WORK_MS}", options.path);
    let mut request = Request::get(path)
        .header("host", options.gateway.to_string())
        .header(
            "lovagelatch-deadline-ms",
            CALL_TIMEOUT.as_millis().to_string(),
        );
    if let Some(attempts_left) = attempts_left {
        request = request.header(ATTEMPTS_LEFT_HEADER, attempts_left);
    }
    let response = sender
        .send_request(request.body(Empty::<Bytes>::new())?)
        .await?;
    let outcome = response.headers().get("lovagelatch-outcome");
    let outcome = outcome
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let right = (status == StatusCode::OK).then(|| content_for(id, BYTES) == body);
    Ok(CallResult { outcome, right })
}
