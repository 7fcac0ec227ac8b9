//! Builds an agent from its settings.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lovagelatch_domain::Incarnation;
use lovagelatch_fleet::FleetClient;
use lovagelatch_keys::FleetKeys;
use lovagelatch_ledger::LedgerSettings;
use lovagelatch_network::{DatagramPath, StreamPath};
use lovagelatch_operations::{OperationsServer, ProcessIdentity};
use lovagelatch_placement::{AgencyBudgets, BudgetSettings, GateSettings, PlacementSettings};
use lovagelatch_routing::FlowRouter;
use lovagelatch_settings::AgentSettings;
use lovagelatch_telemetry::{Logger, MetricsRegistry};
use parking_lot::Mutex;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::agent::Agent;
use crate::backend::BackendLink;
use crate::clock::ProcessClock;
use crate::drain::DrainState;
use crate::gate::SharedGate;
use crate::metrics::AgentMetrics;
use crate::once::OnceLedger;
use crate::packet::{EndpointSet, EndpointSetup, TlsFiles, TokenIssuer, load_server_crypto};
use crate::placement::SharedPlacement;
use crate::process::AgentError;
use crate::relay::RelayPool;

/// Lifetime of a connection ID, in idle timeouts. It bounds how long after a key rotation a flow
/// may still use IDs of an older key generation.
const ID_LIFETIME_IDLE_TIMEOUTS: u32 = 4;

/// Inputs of [`new_agent`] besides the settings.
pub(crate) struct AgentParts {
    pub(crate) keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: Arc<UdpSocket>,
    pub(crate) fleet: FleetClient,
    pub(crate) metrics: AgentMetrics,
    pub(crate) log: Logger,
}

/// Builds an agent.
///
/// # Errors
///
/// [`AgentError::Tls`] when the certificate or its key cannot be used.
pub(crate) fn new_agent(settings: AgentSettings, parts: AgentParts) -> Result<Agent, AgentError> {
    let common = &settings.common;
    let service = settings.service.id();
    let clock = ProcessClock::new();
    let datagrams = DatagramPath::new(common.gateway);
    let first_serial = rand::rng().random();
    let keys = &parts.keys;
    let id_lifetime = common.limits.flow_idle * ID_LIFETIME_IDLE_TIMEOUTS;
    let issuer = TokenIssuer::new(
        common.control,
        service,
        Arc::clone(keys),
        first_serial,
        id_lifetime,
    );
    let setup = EndpointSetup {
        keys: Arc::clone(keys),
        issuer,
        path: datagrams,
        control: parts.control,
        flow_idle: common.limits.flow_idle,
    };
    let files = TlsFiles::from_settings(&settings);
    let streams = StreamPath::new(common.control.0, common.gateway);
    let placement =
        PlacementSettings::new(common.control, common.zone.clone()).with_seed(rand::rng().random());
    let placement = Arc::new(SharedPlacement::new(placement, parts.fleet.clone()));
    let lifetime = common.limits.ticket_lifetime;
    let ledger = LedgerSettings::new(common.control, parts.incarnation, lifetime);
    Ok(Agent {
        service,
        clock,
        datagrams,
        endpoints: EndpointSet::new(setup, load_server_crypto(&files)?),
        gate: SharedGate::new(GateSettings::new(settings.slots), clock),
        budgets: Mutex::new(AgencyBudgets::new(BudgetSettings::new())),
        backend: Arc::new(BackendLink::new(settings.backend)),
        relays: Arc::new(RelayPool::new(
            streams,
            Arc::clone(keys),
            Arc::clone(&placement),
        )),
        placement,
        once: OnceLedger::new(ledger),
        drain: DrainState::new(),
        keys: parts.keys,
        log: parts.log,
        metrics: parts.metrics,
        fleet: parts.fleet,
        settings,
    })
}

/// The identity of the process on its operations server.
pub(crate) fn new_identity(agent: &Agent, incarnation: Incarnation) -> ProcessIdentity {
    let common = &agent.settings.common;
    let zone = common.zone.as_str();
    ProcessIdentity::new("lovagelatch-agent", &common.name, zone, incarnation)
}

/// Builds the operations server: status, metrics, gate and placement costs.
pub(crate) fn new_operations(
    agent: &Arc<Agent>,
    identity: &ProcessIdentity,
    metrics: MetricsRegistry,
) -> OperationsServer {
    let counters_agent = Arc::clone(agent);
    let gate_agent = Arc::clone(agent);
    let costs_agent = Arc::clone(agent);
    let keys = Arc::clone(&agent.keys);
    OperationsServer::new(
        agent.settings.common.operations,
        identity.clone(),
        agent.fleet.clone(),
        metrics,
    )
    .with_operators(agent.settings.common.operators)
    .with_counters(move || counters_agent.counters())
    .with_gate(move || Some(gate_agent.gate.report()))
    .with_router(move || FlowRouter::with_keys(&keys.load()))
    .with_costs(move || {
        let peers = costs_agent.fleet.peer_reports();
        let local = costs_agent.gate.report();
        costs_agent.placement.costs(&local, &peers)
    })
}
