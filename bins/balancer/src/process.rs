//! The balancer process: start, run, stop.

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

use crate::control::ControlPort;
use crate::count::PacketMetrics;
use crate::forward::ForwardState;
use crate::refresh::{keep_keys, keep_table};
use crate::stop::{StopSignal, drain};
use crate::threads::start_threads;

/// The binary's name in logs and status.
const BINARY: &str = "lovagelatch-balancer";

/// Why a balancer could not run.
#[derive(Debug, Error)]
pub enum BalancerError {
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// An address cannot be used.
    #[error("address {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// Metrics cannot be kept.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The operating system refused something else that the process needs.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// A [`BalancerError`] when it cannot start.
pub async fn run_balancer(settings: BalancerSettings, log: Logger) -> Result<(), BalancerError> {
    let mut stop = StopSignal::new()?;
    let parts = BalancerParts::new(&settings, log)?;
    // The control address first: a process that forwarded before it had that one, and then could
    // not have it, would end with callers' packets in its hands.
    let fleet = parts.start_control(&settings.common).await?;
    let threads = start_threads(&settings, &parts.state, &parts.packets, &parts.log)?;
    parts.start_upkeep(&settings.common, &fleet);
    parts.serve_operations(&settings.common, &fleet);
    info!(parts.log, "balancer runs"; "listen" => settings.listen.to_string(),
        "control" => settings.common.control.to_string(), "threads" => settings.common.threads);

    stop.wait().await;
    parts.identity.set_phase(ProcessPhase::Leaving);
    let limit = settings.common.limits.drain;
    info!(parts.log, "balancer stops"; "drain_ms" => millis(limit));
    fleet.set_leaving();
    drain(&parts.state, limit, &mut stop).await;
    parts.state.ended.store(true, Ordering::Relaxed);
    join(threads).await;
    info!(parts.log, "balancer stopped");
    Ok(())
}

/// What the tasks of one balancer share.
struct BalancerParts {
    keys: Arc<ArcSwap<FleetKeys>>,
    state: Arc<ForwardState>,
    metrics: MetricsRegistry,
    packets: PacketMetrics,
    incarnation: Incarnation,
    identity: ProcessIdentity,
    log: Logger,
}

impl BalancerParts {
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
        let port = ControlPort::new(fleet.clone(), keys, &self.meter(), self.log.clone());
        tokio::spawn(port.clone().serve_datagrams(socket));
        tokio::spawn(port.serve_streams(listener));
        Ok(fleet)
    }

    /// Keeps table, keys and phase up to date.
    fn start_upkeep(&self, common: &CommonSettings, fleet: &FleetClient) {
        let state = Arc::clone(&self.state);
        tokio::spawn(keep_table(fleet.clone(), state, common.limits.drain));
        let (file, keys) = (common.key_file.clone(), Arc::clone(&self.keys));
        tokio::spawn(keep_keys(file, keys, self.log.clone()));
        let (mut fleet, identity) = (fleet.clone(), self.identity.clone());
        tokio::spawn(async move {
            fleet.ready().await;
            if identity.phase() == ProcessPhase::Starting {
                identity.set_phase(ProcessPhase::Serving);
            }
        });
    }

    /// Serves health, status, metrics and the phone page.
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
        // A thread that panicked has nothing left to end.
        let _ended = tokio::task::spawn_blocking(|| thread.join()).await;
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
