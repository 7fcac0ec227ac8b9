//! Errors of commands.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use lovagelatch_keys::{KeyFileError, RingError};
use thiserror::Error;

/// Why a command could not be executed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The path as given on the command line.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A file is not a valid service text where one is needed.
    #[error("{path} is not a valid text; run 'lovagelatch check' on it")]
    InvalidText {
        /// The path as given on the command line.
        path: PathBuf,
    },
    /// An instance or the platform did not respond, or its response is invalid.
    #[error("{address} did not answer: {reason}")]
    RequestFailed {
        /// The queried address.
        address: SocketAddrV4,
        /// What failed: the connection, the status or the body.
        reason: String,
    },
    /// Neither instances nor the platform were given.
    #[error("no instances given: name instances to query, or the platform with --platform IP:PORT")]
    NoInstances,
    /// The key file is not usable.
    #[error(transparent)]
    KeyFile(#[from] KeyFileError),
    /// The rotation step is not possible with the current keys.
    #[error(transparent)]
    Ring(#[from] RingError),
    /// The runtime could not be started.
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    /// The report could not be encoded as JSON.
    #[error("cannot write JSON: {0}")]
    Json(#[from] serde_json::Error),
}
