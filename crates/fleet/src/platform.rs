//! Reads the configuration and the instance list from the platform.
//!
//! | request | response |
//! |---|---|
//! | `GET /v1/config` | `{"revision": 7, "text": "[service …"}` |
//! | `GET /v1/config/watch?after=7` | the same once the revision is higher; 204 after 30 s |
//! | `GET /v1/instances` | an [`InstanceList`] |

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use lovagelatch_domain::{ConfigRevision, InstanceList};
use lovagelatch_network::{HttpClient, HttpError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of a response: the largest value that the platform stores, plus its encoding.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Timeout of a plain read. The platform normally responds within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a watch. The platform itself ends a watch after 30 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(35);

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// There was no complete response.
    #[error("platform: {0}")]
    Http(#[from] HttpError),
    /// The response has an unexpected status.
    #[error("platform responded with status {0}")]
    Status(StatusCode),
    /// The response body is not the expected JSON.
    #[error("invalid response from the platform: {0}")]
    Json(#[from] serde_json::Error),
}

/// The configuration as the platform publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// The revision of the text.
    pub revision: ConfigRevision,
    /// The operators' service text, not validated.
    pub text: String,
}

/// Reads from the platform with one TCP connection per call, so that a dead connection affects
/// only one call.
#[derive(Clone, Copy, Debug)]
pub struct PlatformReader {
    address: SocketAddrV4,
}

impl PlatformReader {
    /// Creates a reader for the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address }
    }

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if there is no valid response.
    pub async fn read_config(&self) -> Result<PublishedConfig, PlatformError> {
        let body = self.get("/v1/config", READ_TIMEOUT).await?;
        let body = body.ok_or(PlatformError::Status(StatusCode::NO_CONTENT))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Waits for a configuration newer than `revision`. Returns `None` if the platform ends the
    /// watch without one.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if there is no valid response.
    pub async fn watch_config(
        &self,
        revision: ConfigRevision,
    ) -> Result<Option<PublishedConfig>, PlatformError> {
        let path = format!("/v1/config/watch?after={revision}");
        let body = self.get(&path, WATCH_TIMEOUT).await?;
        body.map(|body| Ok(serde_json::from_slice(&body)?))
            .transpose()
    }

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if there is no valid response.
    pub async fn read_instances(&self) -> Result<InstanceList, PlatformError> {
        let body = self.get("/v1/instances", READ_TIMEOUT).await?;
        let body = body.ok_or(PlatformError::Status(StatusCode::NO_CONTENT))?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Option<Bytes>, PlatformError> {
        let response = HttpClient::new(self.address)
            .get(path, timeout, MAX_RESPONSE_BYTES)
            .await?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(None),
            StatusCode::OK => Ok(Some(response.into_body())),
            other => Err(PlatformError::Status(other)),
        }
    }
}
