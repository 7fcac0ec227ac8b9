//! Calls to a service that this one depends on, through the agent beside the server.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use lovagelatch_history::{BackendRecord, content_for, unix_millis};
use thiserror::Error;
use tokio::net::TcpStream;

/// Bytes of the document that a call fetches, and how long it holds a slot, in milliseconds.
const BYTES: usize = 2_000;
const WORK_MS: u32 = 5;

/// Longest that a call may take.
const LIMIT: Duration = Duration::from_secs(3);

/// Header that bounds the attempts along a chain of calls; it goes back with each call.
pub(crate) const ATTEMPTS_HEADER: &str = "lovagelatch-attempts-left";

/// Where and what to call.
#[derive(Clone, Debug)]
pub struct DependencyOptions {
    /// Where the agent beside the server takes calls.
    pub gateway: SocketAddrV4,
    /// The path of documents, starting with the service: `/certificates/certificates`.
    pub path: String,
}

/// Why a call had no answer.
#[derive(Debug, Error)]
enum CallError {
    #[error("not connected: {0}")]
    Connect(#[from] std::io::Error),
    #[error("broke off: {0}")]
    Broken(#[from] hyper::Error),
    #[error("not a request: {0}")]
    Request(#[from] http::Error),
}

/// How a call ended.
struct CallEnd {
    outcome: Option<String>,
    right: Option<bool>,
}

/// Fetches a document and says in a record how that ended.
pub(crate) async fn call(
    options: &DependencyOptions,
    run: u64,
    id: &str,
    attempts_left: Option<&str>,
) -> BackendRecord {
    let fetched = tokio::time::timeout(LIMIT, fetch(options, id, attempts_left)).await;
    let end = fetched.ok().and_then(Result::ok);
    let (outcome, right) = end.map_or((None, None), |end| (end.outcome, end.right));
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
) -> Result<CallEnd, CallError> {
    let stream = TcpStream::connect(options.gateway).await?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let path = format!("{}/{id}?bytes={BYTES}&work_ms={WORK_MS}", options.path);
    let mut request = Request::get(path)
        .header("host", options.gateway.to_string())
        .header("lovagelatch-deadline-ms", LIMIT.as_millis().to_string());
    if let Some(attempts) = attempts_left {
        request = request.header(ATTEMPTS_HEADER, attempts);
    }
    let answer = sender
        .send_request(request.body(Empty::<Bytes>::new())?)
        .await?;
    let outcome = answer.headers().get("lovagelatch-outcome");
    let outcome = outcome
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    let right = (status == StatusCode::OK).then(|| content_for(id, BYTES) == body);
    Ok(CallEnd { outcome, right })
}
