//! Putting an agent together from its settings.

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
use crate::drain::DrainSwitch;
use crate::gate::GateKeeper;
use crate::metrics::AgentMetrics;
use crate::once::OnceLedger;
use crate::packet::{EndpointSet, EndpointSetup, TlsFiles, TokenIssuer, load_server_crypto};
use crate::placement::SharedPlacement;
use crate::process::AgentError;
use crate::relay::RelayPool;

/// How long a connection ID is used, in idle timeouts. Every flow has IDs of the newest key
/// generation so long after a switch.
const IDLE_TIMES_PER_ID: u32 = 4;

/// What `new_agent` is made from besides the settings.
pub(crate) struct AgentParts {
    pub(crate) keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: Arc<UdpSocket>,
    pub(crate) fleet: FleetClient,
    pub(crate) metrics: AgentMetrics,
    pub(crate) log: Logger,
}

/// Puts an agent together.
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
    let id_lifetime = common.limits.flow_idle * IDLE_TIMES_PER_ID;
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
    let files = TlsFiles::of(&settings);
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
        gate: GateKeeper::new(GateSettings::new(settings.slots), clock),
        budgets: Mutex::new(AgencyBudgets::new(BudgetSettings::new())),
        backend: Arc::new(BackendLink::new(settings.backend)),
        relays: Arc::new(RelayPool::new(
            streams,
            Arc::clone(keys),
            Arc::clone(&placement),
        )),
        placement,
        once: OnceLedger::new(ledger),
        drain: DrainSwitch::new(),
        keys: parts.keys,
        log: parts.log,
        metrics: parts.metrics,
        fleet: parts.fleet,
        settings,
    })
}

/// Who the process is, for operators.
pub(crate) fn new_identity(agent: &Agent, incarnation: Incarnation) -> ProcessIdentity {
    let common = &agent.settings.common;
    let zone = common.zone.as_str();
    ProcessIdentity::new("lovagelatch-agent", &common.name, zone, incarnation)
}

/// The server for operators.
pub(crate) fn new_operations(
    agent: &Arc<Agent>,
    identity: &ProcessIdentity,
    metrics: MetricsRegistry,
) -> OperationsServer {
    let counted = Arc::clone(agent);
    let gated = Arc::clone(agent);
    let weighed = Arc::clone(agent);
    let keys = Arc::clone(&agent.keys);
    OperationsServer::new(
        agent.settings.common.operations,
        identity.clone(),
        agent.fleet.clone(),
        metrics,
    )
    .with_operators(agent.settings.common.operators)
    .with_counters(move || counted.counters())
    .with_gate(move || Some(gated.gate.report()))
    .with_router(move || FlowRouter::with_keys(&keys.load()))
    .with_costs(move || {
        let peers = weighed.fleet.peer_reports();
        weighed.placement.costs(&weighed.gate.report(), &peers)
    })
}
