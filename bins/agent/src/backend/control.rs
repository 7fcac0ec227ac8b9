//! The backend server's control endpoints: cancellation and health.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use lovagelatch_domain::AttemptId;
use lovagelatch_placement::HealthStatus;
use serde::{Deserialize, Serialize};

use crate::backend::connection::BackendConnection;
use crate::backend::link::{BackendLink, to_header_value};

/// How long to wait for the response to a cancellation.
pub(crate) const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long to wait for the response to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest control response accepted.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// The state that a backend server reports. It may be stale or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum BackendState {
    /// Accepts requests.
    Ready,
    /// Is starting up.
    Warming,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// The response to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendHealth {
    pub(crate) state: BackendState,
    #[serde(default)]
    pub(crate) warming_ms: u64,
}

impl BackendHealth {
    pub(crate) fn status(self) -> HealthStatus {
        match self.state {
            BackendState::Ready => HealthStatus::Ready,
            BackendState::Warming => HealthStatus::Warming(Duration::from_millis(self.warming_ms)),
            BackendState::Draining => HealthStatus::Draining,
        }
    }
}

/// How a cancellation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    /// The attempt did not start and never will.
    Cancelled,
    /// The attempt has already started.
    AlreadyStarted,
    /// The backend server gave no valid response.
    NoResponse,
}

impl BackendLink {
    /// Asks the backend server to cancel an attempt.
    pub(crate) async fn cancel(&self, attempt: AttemptId) -> CancelOutcome {
        let path = format!("/.well-known/lovagelatch/cancel/{attempt}");
        let response = self.send_control(Method::POST, &path);
        match tokio::time::timeout(CANCEL_TIMEOUT, response).await {
            Ok(Some((StatusCode::OK, _))) => CancelOutcome::Cancelled,
            Ok(Some(_)) => CancelOutcome::AlreadyStarted,
            Ok(None) | Err(_) => CancelOutcome::NoResponse,
        }
    }

    /// Queries the backend server's health; `None` when it gives no valid response.
    pub(crate) async fn health(&self) -> Option<BackendHealth> {
        let response = self.send_control(Method::GET, "/.well-known/lovagelatch/health");
        let (_, body) = tokio::time::timeout(HEALTH_TIMEOUT, response)
            .await
            .ok()??;
        serde_json::from_slice(&body).ok()
    }

    /// Sends a control request on a connection of its own: on a reused connection that went silent,
    /// the cancellation would be lost together with the request.
    async fn send_control(&self, method: Method, path: &str) -> Option<(StatusCode, Bytes)> {
        let mut connection = BackendConnection::open(self.address()).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let host = to_header_value(&self.address().to_string());
        request.headers_mut().insert(header::HOST, host);
        let response = connection.sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        Some((status, body))
    }
}
