//! The backend server's control endpoints: cancellation and health.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use lovagelatch_domain::AttemptId;
use lovagelatch_placement::HealthStatus;
use serde::{Deserialize, Serialize};

use crate::backend::connection::BackendConnection;
use crate::backend::link::{BackendLink, text_value};

/// Longest wait for the answer to a cancellation.
pub(crate) const CANCEL_WAIT: Duration = Duration::from_millis(250);

/// Longest wait for an answer about health.
const HEALTH_WAIT: Duration = Duration::from_secs(1);

/// Control answers are short.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// What a backend server says of itself. It lags and misleads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum BackendState {
    /// It takes requests.
    Ready,
    /// It is starting.
    Warming,
    /// It finishes what it has.
    Draining,
}

/// The answer about health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendHealth {
    pub(crate) state: BackendState,
    #[serde(default)]
    pub(crate) warming_ms: u64,
}

impl BackendHealth {
    pub(crate) fn word(self) -> HealthStatus {
        match self.state {
            BackendState::Ready => HealthStatus::Ready,
            BackendState::Warming => HealthStatus::Warming(Duration::from_millis(self.warming_ms)),
            BackendState::Draining => HealthStatus::Draining,
        }
    }
}

/// What the backend server said to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelEnd {
    /// The attempt never started and never will.
    Cancelled,
    /// It has started.
    Refused,
    /// Nothing that can be relied on.
    NoAnswer,
}

impl BackendLink {
    /// Asks the backend server to give an attempt up.
    pub(crate) async fn cancel(&self, attempt: AttemptId) -> CancelEnd {
        let path = format!("/.well-known/lovagelatch/cancel/{attempt}");
        let asking = self.ask(Method::POST, &path);
        match tokio::time::timeout(CANCEL_WAIT, asking).await {
            Ok(Some((StatusCode::OK, _))) => CancelEnd::Cancelled,
            Ok(Some(_)) => CancelEnd::Refused,
            Ok(None) | Err(_) => CancelEnd::NoAnswer,
        }
    }

    /// Asks the backend server how it is; `None` when it gave no readable answer.
    pub(crate) async fn health(&self) -> Option<BackendHealth> {
        let asking = self.ask(Method::GET, "/.well-known/lovagelatch/health");
        let answer = tokio::time::timeout(HEALTH_WAIT, asking).await.ok()??;
        serde_json::from_slice(&answer.1).ok()
    }

    /// One control exchange, on a connection of its own: one that went silent would otherwise
    /// swallow the cancellation together with the request.
    async fn ask(&self, method: Method, path: &str) -> Option<(StatusCode, Bytes)> {
        let mut connection = BackendConnection::open(self.address()).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let host = text_value(&self.address().to_string());
        request.headers_mut().insert(header::HOST, host);
        let response = connection.sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        Some((status, body))
    }
}
