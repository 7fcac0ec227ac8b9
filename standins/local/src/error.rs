//! What can go wrong with a run itself.

use std::io;
use std::path::PathBuf;

use lovagelatch_history::HistoryError;
use thiserror::Error;

/// Why a small HTTP request failed.
#[derive(Debug, Error)]
pub(crate) enum HttpFailure {
    #[error("no answer in time")]
    Timeout,
    #[error("not connected: {0}")]
    Connect(#[from] io::Error),
    #[error("broke off: {0}")]
    Broken(#[from] hyper::Error),
    #[error("not a request: {0}")]
    Request(#[from] http::Error),
    #[error("answered {status} {said}")]
    Refused {
        status: http::StatusCode,
        said: String,
    },
}

/// Why a run could not be made.
#[derive(Debug, Error)]
pub(crate) enum LocalError {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: io::Error },
    #[error("{name} could not be started: {error}")]
    Spawn { name: String, error: io::Error },
    #[error("{name} ended before it was ready; its log ends:\n{tail}")]
    EndedEarly { name: String, tail: String },
    #[error("{name} was not ready in time; its log ends:\n{tail}")]
    NotReady { name: String, tail: String },
    #[error("the binaries could not be built: cargo ended with {0}")]
    Build(std::process::ExitStatus),
    #[error("no free port was found on {0}")]
    NoPort(std::net::Ipv4Addr),
    #[error("certificates: {0}")]
    Certificate(#[from] rcgen::Error),
    #[error("request to {address}{path}: {reason}")]
    Http {
        address: std::net::SocketAddrV4,
        path: String,
        reason: HttpFailure,
    },
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("history: {0}")]
    History(#[from] HistoryError),
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("ended by a signal")]
    Interrupted,
}
