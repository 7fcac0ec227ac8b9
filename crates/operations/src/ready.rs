//! HTTP servers of balancers and agents of opaque packets: readiness for routers; metrics, status
//! and explanations for operators.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lovagelatch_telemetry::MetricsRegistry;
use rocket::http::{ContentType, Status};
use rocket::{State, get, routes};

use crate::server::{OperationsError, metrics_response, server_settings};

/// Whether routers may send packets to this process; clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct ReadyFlag(Arc<AtomicBool>);

impl ReadyFlag {
    /// Sets or clears the flag.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the process is ready.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Serves the readiness of the process at `path` until the runtime shuts down.
///
/// # Errors
///
/// [`OperationsError::Server`] if the address cannot be bound.
pub(crate) async fn serve_ready(
    address: SocketAddrV4,
    path: &'static str,
    flag: ReadyFlag,
) -> Result<(), OperationsError> {
    let server = rocket::custom(server_settings(address))
        .manage(flag)
        .mount(path, routes![ready]);
    server.launch().await.map_err(Box::new)?;
    Ok(())
}

#[get("/")]
fn ready(flag: &State<ReadyFlag>) -> (Status, (ContentType, &'static str)) {
    if flag.is_set() {
        (Status::Ok, (ContentType::JSON, r#"{"ready":true}"#))
    } else {
        (
            Status::ServiceUnavailable,
            (ContentType::JSON, r#"{"ready":false}"#),
        )
    }
}

/// Reports the state of an opaque-packet process; called once per operator request.
pub trait OpaqueInspector: Send + Sync + 'static {
    /// Returns the current status as JSON.
    fn status(&self) -> serde_json::Value;

    /// Explains what is known about the flow from `client` to `address`, as JSON.
    fn explain(&self, client: SocketAddrV4, address: SocketAddrV4) -> serde_json::Value;
}

/// State of the server for `/metrics`, `/status` and `/explain/flow`.
struct InspectionState {
    metrics: MetricsRegistry,
    inspector: Arc<dyn OpaqueInspector>,
}

/// Serves `/metrics`, `/status` and `/explain/flow` until the runtime shuts down.
///
/// # Errors
///
/// [`OperationsError::Server`] if the address cannot be bound.
pub(crate) async fn serve_inspection(
    address: SocketAddrV4,
    metrics: MetricsRegistry,
    inspector: impl OpaqueInspector,
) -> Result<(), OperationsError> {
    let state = InspectionState {
        metrics,
        inspector: Arc::new(inspector),
    };
    let server = rocket::custom(server_settings(address))
        .manage(state)
        .mount("/", routes![metrics_page, status_page, explain_page]);
    server.launch().await.map_err(Box::new)?;
    Ok(())
}

#[get("/metrics")]
fn metrics_page(state: &State<InspectionState>) -> (Status, (ContentType, String)) {
    metrics_response(&state.metrics)
}

#[get("/status")]
fn status_page(state: &State<InspectionState>) -> (ContentType, String) {
    (ContentType::JSON, state.inspector.status().to_string())
}

#[get("/explain/flow?<client>&<address>")]
fn explain_page(
    state: &State<InspectionState>,
    client: &str,
    address: &str,
) -> (Status, (ContentType, String)) {
    let (Ok(client), Ok(address)) = (client.parse(), address.parse()) else {
        let error = serde_json::json!({ "error": "client and address are IP:PORT" });
        return (Status::BadRequest, (ContentType::JSON, error.to_string()));
    };
    let explanation = state.inspector.explain(client, address);
    (Status::Ok, (ContentType::JSON, explanation.to_string()))
}
