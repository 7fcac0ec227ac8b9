//! Lifecycle of the QUIC balancer process: start, run, drain, stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::Incarnation;
use lovagelatch_fleet::{FleetClient, FleetRole, FleetSetup};
use lovagelatch_keys::{FleetKeys, KeyFileError, read_key_file};
use lovagelatch_operations::{OperationsServer, ProcessIdentity, ProcessPhase};
use lovagelatch_routing::FlowRouter;
use lovagelatch_settings::{BalancerSettings, CommonSettings};
use lovagelatch_telemetry::{Logger, Meter, MetricsError, MetricsRegistry, error, info};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};

use crate::control::ControlServer;
use crate::forward::ForwardState;
use crate::metrics::PacketMetrics;
use crate::refresh::{refresh_table, reload_keys};
use crate::stop::{StopSignal, drain};
use crate::threads::start_threads;

/// The binary's name in logs and status.
const BINARY: &str = "lovagelatch-balancer";

/// Errors that prevent a balancer from running.
#[derive(Debug, Error)]
pub enum BalancerError {
    /// The key file cannot be read or is invalid.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// A configured address cannot be bound.
    #[error("address {address}: {source}")]
    Bind {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error returned by the operating system.
        source: io::Error,
    },
    /// The metrics registry cannot be created.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Another operating system call failed.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// Runs a balancer until it receives SIGTERM or SIGINT and has drained.
///
/// # Errors
///
/// Returns a [`BalancerError`] if the balancer cannot start.
pub async fn run_balancer(settings: BalancerSettings, log: Logger) -> Result<(), BalancerError> {
    let mut stop = StopSignal::new()?;
    let context = BalancerContext::new(&settings, log)?;
    // Bind the control address first: if binding failed after forwarding had started, the process
    // would exit with callers' packets still queued.
    let fleet = context.start_control(&settings.common).await?;
    let threads = start_threads(&settings, &context.state, &context.packets, &context.log)?;
    context.start_maintenance(&settings.common, &fleet);
    context.serve_operations(&settings.common, &fleet);
    info!(context.log, "balancer runs"; "listen" => settings.listen.to_string(),
        "control" => settings.common.control.to_string(), "threads" => settings.common.threads);

    stop.wait().await;
    context.identity.set_phase(ProcessPhase::Leaving);
    let limit = settings.common.limits.drain;
    info!(context.log, "balancer stops"; "drain_ms" => millis(limit));
    fleet.set_leaving();
    drain(&context.state, limit, &mut stop).await;
    context.state.shutdown.store(true, Ordering::Relaxed);
    join(threads).await;
    info!(context.log, "balancer stopped");
    Ok(())
}

/// State shared by the tasks of one balancer.
struct BalancerContext {
    keys: Arc<ArcSwap<FleetKeys>>,
    state: Arc<ForwardState>,
    metrics: MetricsRegistry,
    packets: PacketMetrics,
    incarnation: Incarnation,
    identity: ProcessIdentity,
    log: Logger,
}

impl BalancerContext {
    fn new(settings: &BalancerSettings, log: Logger) -> Result<Self, BalancerError> {
        let common = &settings.common;
        let keys = Arc::new(ArcSwap::from_pointee(read_key_file(&common.key_file)?));
        let metrics = MetricsRegistry::new()?;
        let incarnation = Incarnation(rand::random());
        let zone = common.zone.to_string();
        Ok(Self {
            state: Arc::new(ForwardState::new(Arc::clone(&keys))),
            packets: PacketMetrics::new(&metrics.meter()),
            identity: ProcessIdentity::new(BINARY, &common.name, &zone, incarnation),
            keys,
            metrics,
            incarnation,
            log,
        })
    }

    fn meter(&self) -> Meter {
        self.metrics.meter()
    }

    async fn start_control(&self, common: &CommonSettings) -> Result<FleetClient, BalancerError> {
        let address = SocketAddr::V4(common.control.0);
        let bind = |source| BalancerError::Bind { address, source };
        let socket = Arc::new(UdpSocket::bind(address).await.map_err(bind)?);
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let fleet = FleetClient::start(FleetSetup {
            settings: common.clone(),
            role: FleetRole::Balancer,
            incarnation: self.incarnation,
            keys: Arc::clone(&self.keys),
            socket: Arc::clone(&socket),
            log: self.log.clone(),
        });
        fleet.register_metrics(&self.meter());
        let keys = Arc::clone(&self.keys);
        let server = ControlServer::new(fleet.clone(), keys, &self.meter(), self.log.clone());
        tokio::spawn(server.clone().serve_datagrams(socket));
        tokio::spawn(server.serve_streams(listener));
        Ok(fleet)
    }

    /// Starts the tasks that refresh the routing table, reload the keys and set the phase.
    fn start_maintenance(&self, common: &CommonSettings, fleet: &FleetClient) {
        let state = Arc::clone(&self.state);
        tokio::spawn(refresh_table(fleet.clone(), state, common.limits.drain));
        let (file, keys) = (common.key_file.clone(), Arc::clone(&self.keys));
        tokio::spawn(reload_keys(file, keys, self.log.clone()));
        let (mut fleet, identity) = (fleet.clone(), self.identity.clone());
        tokio::spawn(async move {
            fleet.ready().await;
            if identity.phase() == ProcessPhase::Starting {
                identity.set_phase(ProcessPhase::Serving);
            }
        });
    }

    /// Serves health, status, metrics and the status page for phones.
    fn serve_operations(&self, common: &CommonSettings, fleet: &FleetClient) {
        let packets = self.packets.clone();
        let keys = Arc::clone(&self.keys);
        let server = OperationsServer::new(
            common.operations,
            self.identity.clone(),
            fleet.clone(),
            self.metrics.clone(),
        )
        .with_operators(common.operators)
        .with_counters(move || packets.totals())
        .with_router(move || FlowRouter::with_keys(&keys.load()));
        let log = self.log.clone();
        tokio::spawn(async move {
            if let Err(failure) = server.serve().await {
                error!(log, "operations not served"; "error" => failure.to_string());
            }
        });
    }
}

async fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // A thread that panicked has already ended.
        let _ended = tokio::task::spawn_blocking(|| thread.join()).await;
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
