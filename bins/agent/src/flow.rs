//! Flows: callers' QUIC connections that carry HTTP/3 requests.

use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use h3::server::RequestResolver;
use lovagelatch_domain::AgencyName;
use lovagelatch_telemetry::{DecisionKind, info};
use quinn::{Connection, ConnectionError, Endpoint, Incoming};
use thiserror::Error;

use crate::agent::Agent;
use crate::drain::wait_true;
use crate::metrics::OpenGuard;
use crate::request::serve_request;

/// Maximum size of a request's header section.
const MAX_HEADER_BYTES: u64 = 32 * 1024;

/// How many further requests a GOAWAY permits: those already in flight when it is sent are still
/// served, here or by a peer.
const GOAWAY_EXTRA_REQUESTS: usize = 1 << 20;

/// Why a flow failed, other than being closed by its caller.
#[derive(Debug, Error)]
enum FlowError {
    #[error("handshake: {0}")]
    Handshake(#[from] quinn::ConnectionError),
    #[error("HTTP/3: {0}")]
    Http(#[from] h3::error::ConnectionError),
}

type FlowResolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// Accepts flows to one service address until its endpoint closes.
pub(crate) async fn accept_flows(agent: Arc<Agent>, address: SocketAddrV4, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(run_flow(Arc::clone(&agent), address, incoming));
    }
}

async fn run_flow(agent: Arc<Agent>, address: SocketAddrV4, incoming: Incoming) {
    let caller = incoming.remote_address();
    if let Err(error) = serve_flow(&agent, address, incoming).await {
        info!(agent.log, "flow failed"; "caller" => caller.to_string(),
            "error" => error.to_string());
    }
}

async fn serve_flow(
    agent: &Arc<Agent>,
    address: SocketAddrV4,
    incoming: Incoming,
) -> Result<(), FlowError> {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            agent.metrics.flows.count("failed");
            return Err(error.into());
        }
    };
    agent.metrics.flows.count("accepted");
    let _open = FlowGuard::new(agent, &connection);
    info!(agent.log, "flow accepted"; "decision" => DecisionKind::FlowAccepted,
        "caller" => connection.remote_address().to_string(), "address" => address.to_string());
    let mut http = h3::server::builder()
        .max_field_section_size(MAX_HEADER_BYTES)
        .build(h3_quinn::Connection::new(connection.clone()))
        .await?;
    // Resolved once per flow: if the address is reassigned to another service or agency, the flow
    // continues and its requests still count against the agency that opened it.
    let agency = agent.fleet.view().agency_at(address).cloned();
    let mut leaving = agent.drain.watch_leaving();
    let mut goaway_sent = false;
    loop {
        let accepted = tokio::select! {
            accepted = http.accept() => accepted,
            () = wait_true(&mut leaving), if !goaway_sent => {
                goaway_sent = true;
                http.shutdown(GOAWAY_EXTRA_REQUESTS).await?;
                continue;
            }
        };
        match accepted {
            Ok(Some(resolver)) => start_request(agent, agency.clone(), &connection, resolver),
            Ok(None) => return Ok(()),
            Err(error) if error.is_h3_no_error() => return Ok(()),
            Err(error) => return Err(error.into()),
        }
    }
}

/// Counts a flow as open until it is dropped, then counts the cause of its end.
struct FlowGuard<'a> {
    agent: &'a Agent,
    connection: Connection,
    _open: OpenGuard,
}

impl<'a> FlowGuard<'a> {
    fn new(agent: &'a Agent, connection: &Connection) -> Self {
        Self {
            agent,
            connection: connection.clone(),
            _open: OpenGuard::new(&agent.metrics.flows_open),
        }
    }
}

impl Drop for FlowGuard<'_> {
    fn drop(&mut self) {
        let cause = match self.connection.close_reason() {
            Some(ConnectionError::ApplicationClosed(_)) => "caller",
            Some(ConnectionError::ConnectionClosed(_)) => "caller",
            Some(ConnectionError::TimedOut) => "idle",
            Some(ConnectionError::Reset) => "reset",
            Some(ConnectionError::LocallyClosed) | None => "agent",
            Some(_) => "error",
        };
        self.agent.metrics.flows_ended.count(cause);
    }
}

fn start_request(
    agent: &Arc<Agent>,
    agency: Option<AgencyName>,
    connection: &Connection,
    resolver: FlowResolver,
) {
    let agent = Arc::clone(agent);
    let connection = connection.clone();
    tokio::spawn(async move {
        let _running = agent.drain.start_work();
        // When the caller closes the flow or the flow times out, nobody waits for a response.
        // Dropping the request cancels it, whether queued or running.
        tokio::select! {
            () = serve_request(&agent, agency, resolver) => {}
            _ = connection.closed() => {}
        }
    });
}
