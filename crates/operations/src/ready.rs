//! HTTP of a process that carries opaque packets: readiness for routers, metrics and status for
//! operators.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lovagelatch_telemetry::MetricsRegistry;
use rocket::http::{ContentType, Status};
use rocket::{State, get, routes};

use crate::server::{OperationsError, metrics_answer, server_settings};

/// Whether routers may send packets to this process. Shared by who decides it and who tells it.
#[derive(Clone, Debug, Default)]
pub struct ReadyFlag(Arc<AtomicBool>);

impl ReadyFlag {
    /// Sets it.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Whether it is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Tells whether the process is ready, at `path`, until the runtime ends.
///
/// # Errors
///
/// [`OperationsError::Server`] when the address cannot be had.
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

/// What a process that carries opaque packets tells its operators, asked once a request of theirs.
pub trait CarrierAnswers: Send + Sync + 'static {
    /// What it holds now.
    fn status(&self) -> serde_json::Value;

    /// What it knows of the flow from `client` to `address`.
    fn explain(&self, client: SocketAddrV4, address: SocketAddrV4) -> serde_json::Value;
}

/// Metrics, status and explanations of one process.
struct ProcessPages {
    metrics: MetricsRegistry,
    answers: Arc<dyn CarrierAnswers>,
}

/// Serves `/metrics`, `/status` and `/explain/flow` until the runtime ends.
///
/// # Errors
///
/// [`OperationsError::Server`] when the address cannot be had.
pub(crate) async fn serve_pages(
    address: SocketAddrV4,
    metrics: MetricsRegistry,
    answers: impl CarrierAnswers,
) -> Result<(), OperationsError> {
    let pages = ProcessPages {
        metrics,
        answers: Arc::new(answers),
    };
    let server = rocket::custom(server_settings(address))
        .manage(pages)
        .mount("/", routes![metrics_page, status_page, explain_page]);
    server.launch().await.map_err(Box::new)?;
    Ok(())
}

#[get("/metrics")]
fn metrics_page(pages: &State<ProcessPages>) -> (Status, (ContentType, String)) {
    metrics_answer(&pages.metrics)
}

#[get("/status")]
fn status_page(pages: &State<ProcessPages>) -> (ContentType, String) {
    (ContentType::JSON, pages.answers.status().to_string())
}

#[get("/explain/flow?<client>&<address>")]
fn explain_page(
    pages: &State<ProcessPages>,
    client: &str,
    address: &str,
) -> (Status, (ContentType, String)) {
    let (Ok(client), Ok(address)) = (client.parse(), address.parse()) else {
        let fault = serde_json::json!({ "error": "client and address are IP:PORT" });
        return (Status::BadRequest, (ContentType::JSON, fault.to_string()));
    };
    let answer = pages.answers.explain(client, address);
    (Status::Ok, (ContentType::JSON, answer.to_string()))
}
