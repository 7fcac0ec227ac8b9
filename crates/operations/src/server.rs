//! The HTTP server on the operations address.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use lovagelatch_domain::GateReport;
use lovagelatch_fleet::FleetClient;
use lovagelatch_placement::GateCost;
use lovagelatch_routing::FlowRouter;
use lovagelatch_settings::AddressBlock;
use lovagelatch_telemetry::MetricsRegistry;
use rocket::data::{Data, ToByteUnit};
use rocket::figment::Figment;
use rocket::http::{ContentType, Status};
use rocket::response::content::RawHtml;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use thiserror::Error;

use crate::explain::FlowExplanation;
use crate::page::{CheckedText, render_page};
use crate::status::{ProcessIdentity, ProcessPhase, ProcessStatus};

/// Maximum size of the form: a text of maximum length with every byte percent-encoded.
const MAX_FORM_BYTES: usize = 3 * lovagelatch_settings::MAX_TEXT_BYTES + 1_024;

/// Worker threads of the server; operators send few requests.
const WORKERS: usize = 1;

/// Why the server stopped.
#[derive(Debug, Error)]
pub enum OperationsError {
    /// The server could not start or failed.
    #[error("operations server: {0}")]
    Server(#[from] Box<rocket::Error>),
}

type CounterReader = Arc<dyn Fn() -> BTreeMap<String, u64> + Send + Sync>;
type GateReader = Arc<dyn Fn() -> Option<GateReport> + Send + Sync>;
type RouterReader = Arc<dyn Fn() -> FlowRouter + Send + Sync>;
type CostReader = Arc<dyn Fn() -> Vec<GateCost> + Send + Sync>;

/// Serves health, status, metrics and the status page. Its readers are called once per operator
/// request, never on the packet path.
pub struct OperationsServer {
    address: SocketAddrV4,
    identity: ProcessIdentity,
    fleet: FleetClient,
    metrics: MetricsRegistry,
    operators: AddressBlock,
    counters: CounterReader,
    gate: GateReader,
    costs: Option<CostReader>,
    router: RouterReader,
}

impl OperationsServer {
    /// Creates a server for a process on its operations address.
    #[must_use]
    pub fn new(
        address: SocketAddrV4,
        identity: ProcessIdentity,
        fleet: FleetClient,
        metrics: MetricsRegistry,
    ) -> Self {
        Self {
            address,
            identity,
            fleet,
            metrics,
            operators: AddressBlock::LOOPBACK,
            counters: Arc::new(BTreeMap::new),
            gate: Arc::new(|| None),
            costs: None,
            router: Arc::new(FlowRouter::new),
        }
    }

    /// Sets the addresses that may check a text on the status page; the default is loopback only.
    #[must_use]
    pub fn with_operators(mut self, operators: Option<AddressBlock>) -> Self {
        self.operators = operators.unwrap_or(AddressBlock::LOOPBACK);
        self
    }

    /// Sets the source of the counters in the status.
    #[must_use]
    pub fn with_counters(
        mut self,
        counters: impl Fn() -> BTreeMap<String, u64> + Send + Sync + 'static,
    ) -> Self {
        self.counters = Arc::new(counters);
        self
    }

    /// Sets the source of the gate's state, for an agent.
    #[must_use]
    pub fn with_gate(
        mut self,
        gate: impl Fn() -> Option<GateReport> + Send + Sync + 'static,
    ) -> Self {
        self.gate = Arc::new(gate);
        self
    }

    /// Sets the source of the costs of a request at each gate, for an agent.
    #[must_use]
    pub fn with_costs(mut self, costs: impl Fn() -> Vec<GateCost> + Send + Sync + 'static) -> Self {
        self.costs = Some(Arc::new(costs));
        self
    }

    /// Sets the source of the router that currently places new flows; the default is a router
    /// without a seed.
    #[must_use]
    pub fn with_router(mut self, router: impl Fn() -> FlowRouter + Send + Sync + 'static) -> Self {
        self.router = Arc::new(router);
        self
    }

    /// Serves until the runtime shuts down.
    ///
    /// # Errors
    ///
    /// [`OperationsError::Server`] if the address cannot be bound.
    pub async fn serve(self) -> Result<(), OperationsError> {
        self.into_rocket().launch().await.map_err(Box::new)?;
        Ok(())
    }

    /// Returns the server without launching it.
    #[must_use]
    pub fn into_rocket(self) -> Rocket<Build> {
        let settings = server_settings(self.address);
        let routes = routes![
            health,
            status,
            metrics,
            explain_flow,
            explain_request,
            page,
            check_text
        ];
        rocket::custom(settings).manage(self).mount("/", routes)
    }

    fn status(&self) -> ProcessStatus {
        let view = self.fleet.view();
        let fleet = self.fleet.status();
        self.identity
            .status(&view, (self.counters)(), (self.gate)(), fleet)
    }
}

#[get("/health")]
fn health(server: &State<OperationsServer>) -> (Status, (ContentType, String)) {
    let phase = server.identity.phase();
    let code = match phase {
        ProcessPhase::Serving => Status::Ok,
        ProcessPhase::Starting | ProcessPhase::Leaving => Status::ServiceUnavailable,
    };
    let body = serde_json::json!({ "state": phase }).to_string();
    (code, (ContentType::JSON, body))
}

#[get("/status")]
fn status(server: &State<OperationsServer>) -> Json<ProcessStatus> {
    Json(server.status())
}

#[get("/metrics")]
fn metrics(server: &State<OperationsServer>) -> (Status, (ContentType, String)) {
    metrics_response(&server.metrics)
}

/// Returns the settings shared by all HTTP servers of a process: one worker, no signal handling.
pub(crate) fn server_settings(address: SocketAddrV4) -> Figment {
    Figment::from(rocket::Config::release_default())
        .merge(("address", address.ip().to_string()))
        .merge(("port", address.port()))
        .merge(("workers", WORKERS))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
}

/// Responds with all metrics as text, or with the encoding error.
pub(crate) fn metrics_response(metrics: &MetricsRegistry) -> (Status, (ContentType, String)) {
    match metrics.to_text() {
        Ok(text) => (Status::Ok, (ContentType::Plain, text)),
        Err(error) => (
            Status::InternalServerError,
            (ContentType::Plain, error.to_string()),
        ),
    }
}

/// Explains the placement of a request; 404 on a balancer, since only agents place requests.
#[get("/explain/request")]
fn explain_request(server: &State<OperationsServer>) -> Result<Json<Vec<GateCost>>, Status> {
    let costs = server.costs.as_ref().ok_or(Status::NotFound)?;
    Ok(Json(costs()))
}

#[get("/explain/flow?<address>&<key>")]
fn explain_flow(
    server: &State<OperationsServer>,
    address: &str,
    key: Option<&str>,
) -> Result<Json<FlowExplanation>, Status> {
    let address = address.parse().map_err(|_| Status::BadRequest)?;
    let key = key
        .map(hex::decode)
        .transpose()
        .map_err(|_| Status::BadRequest)?;
    let view = server.fleet.view();
    let router = (server.router)();
    let key = key.as_deref();
    Ok(Json(FlowExplanation::new(&view, address, key, &router)))
}

#[get("/")]
fn page(server: &State<OperationsServer>) -> RawHtml<String> {
    RawHtml(render_page(&server.status(), &server.fleet.view(), None))
}

/// Checks a text from an operator. Reads at most [`MAX_FORM_BYTES`] of the body, which bounds the
/// memory that a client can make the process allocate.
#[post("/", data = "<form>")]
async fn check_text(
    server: &State<OperationsServer>,
    client: SocketAddr,
    form: Data<'_>,
) -> (Status, RawHtml<String>) {
    if !is_operator(server.operators, client.ip()) {
        let page = render_page(&server.status(), &server.fleet.view(), None);
        return (Status::Forbidden, RawHtml(page));
    }
    let read = form.open(MAX_FORM_BYTES.bytes()).into_bytes().await;
    let text = match read {
        Ok(bytes) if bytes.is_complete() => text_from_form(&bytes),
        _ => None,
    };
    let Some(text) = text else {
        let page = render_page(&server.status(), &server.fleet.view(), None);
        return (Status::PayloadTooLarge, RawHtml(page));
    };
    let view = server.fleet.view();
    let checked = CheckedText::new(&text, view.text());
    (
        Status::Ok,
        RawHtml(render_page(&server.status(), &view, Some(&checked))),
    )
}

fn is_operator(operators: AddressBlock, client: IpAddr) -> bool {
    match client {
        IpAddr::V4(address) => operators.contains(address),
        IpAddr::V6(_) => false,
    }
}

/// Decodes the field `text` of a URL-encoded form.
fn text_from_form(form: &[u8]) -> Option<String> {
    let form = std::str::from_utf8(form).ok()?;
    let value = form
        .split('&')
        .find_map(|field| field.strip_prefix("text="))?;
    let decoded = rocket::http::RawStr::new(value).url_decode().ok()?;
    Some(decoded.replace("\r\n", "\n"))
}
