//! Why a command could not be carried out.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use lovagelatch_keys::{KeyFileError, RingError};
use thiserror::Error;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A file is not a valid service text where one is needed.
    #[error("{path} is not a valid text; run 'lovagelatch check' on it")]
    BadText {
        /// The file.
        path: PathBuf,
    },
    /// An instance or the platform did not answer as expected.
    #[error("{address} did not answer: {reason}")]
    NoAnswer {
        /// Who was asked.
        address: SocketAddrV4,
        /// What went wrong.
        reason: String,
    },
    /// Nobody was named to ask.
    #[error("name instances to ask, or the platform by --platform IP:PORT")]
    NobodyToAsk,
    /// The key file is not usable.
    #[error(transparent)]
    KeyFile(#[from] KeyFileError),
    /// The keys do not allow the step.
    #[error(transparent)]
    Ring(#[from] RingError),
    /// The runtime could not be started.
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    /// The answer could not be written as JSON.
    #[error("cannot write JSON: {0}")]
    Json(#[from] serde_json::Error),
}
