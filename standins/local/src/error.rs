//! Errors of the launcher itself, as opposed to failures of the system under test.

use std::io;
use std::path::PathBuf;

use lovagelatch_history::HistoryError;
use thiserror::Error;

/// Why an HTTP request to a process failed.
#[derive(Debug, Error)]
pub(crate) enum HttpRequestError {
    #[error("timed out")]
    Timeout,
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    #[error("exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
    #[error("status {status}: {body}")]
    Refused {
        status: http::StatusCode,
        body: String,
    },
}

/// Why a run could not be started or evaluated.
#[derive(Debug, Error)]
pub(crate) enum LocalError {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("cannot start {name}: {error}")]
    Spawn { name: String, error: io::Error },
    #[error("{name} exited before it was ready; end of its log:\n{tail}")]
    ExitedEarly { name: String, tail: String },
    #[error("{name} did not become ready; end of its log:\n{tail}")]
    NotReady { name: String, tail: String },
    #[error("cannot build the binaries: cargo failed with {0}")]
    Build(std::process::ExitStatus),
    #[error("no free port found on {0}")]
    NoPort(std::net::Ipv4Addr),
    #[error("certificates: {0}")]
    Certificate(#[from] rcgen::Error),
    #[error("request to {address}{path}: {reason}")]
    Http {
        address: std::net::SocketAddrV4,
        path: String,
        reason: HttpRequestError,
    },
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("history: {0}")]
    History(#[from] HistoryError),
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("interrupted by a signal")]
    Interrupted,
}
