//! The agent process: start, run, stop.

use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::Incarnation;
use lovagelatch_fleet::{FleetClient, FleetRole, FleetSetup};
use lovagelatch_keys::{KeyFileError, read_key_file};
use lovagelatch_operations::{ProcessIdentity, ProcessPhase};
use lovagelatch_settings::AgentSettings;
use lovagelatch_telemetry::{Logger, MetricsError, MetricsRegistry, error, info};
use rand::Rng;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::assembly::{AgentParts, new_agent, new_identity, new_operations};
use crate::control::accept_streams;
use crate::drain::{FEED_END_WAIT, LEAST_STAY};
use crate::gateway::serve_gateway;
use crate::gauges::register_gauges;
use crate::handover::hand_over;
use crate::metrics::AgentMetrics;
use crate::packet::{PacketIngress, TlsError};
use crate::upkeep::{keep_certificate, keep_condition, keep_keys, keep_peers, keep_report};

/// Longest wait for callers to be told that their flows end.
const CLOSE_WAIT: Duration = Duration::from_secs(1);

/// Asked-for kernel buffer of the control socket, in bytes: room for a burst while the agent is
/// descheduled.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Why an agent could not run.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// The certificate or its key cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// An address cannot be used.
    #[error("address {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
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

/// The sockets of the control address, opened before anything else so that a wrong address is
/// an error at start.
#[derive(Debug)]
pub struct ControlSockets {
    /// Frames.
    pub datagrams: UdpSocket,
    /// Streams.
    pub streams: TcpListener,
}

impl ControlSockets {
    /// Opens both.
    ///
    /// # Errors
    ///
    /// [`AgentError::Bind`] when the address cannot be had.
    pub async fn bind(address: SocketAddrV4) -> Result<Self, AgentError> {
        let refused = |source| AgentError::Bind { address, source };
        let datagrams = UdpSocket::bind(address).await.map_err(refused)?;
        // The system grants what it allows; less only means that bursts are lost sooner.
        let _ = SockRef::from(&datagrams).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        Ok(Self {
            datagrams,
            streams: TcpListener::bind(address).await.map_err(refused)?,
        })
    }
}

/// An agent that serves.
pub struct RunningAgent {
    agent: Arc<Agent>,
    identity: ProcessIdentity,
    gateway: Arc<OnceLock<SocketAddrV4>>,
    metrics: MetricsRegistry,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningAgent {
    /// Starts an agent on sockets that are open already.
    ///
    /// # Errors
    ///
    /// An [`AgentError`] when its settings cannot be put to use.
    pub async fn start(
        settings: AgentSettings,
        sockets: ControlSockets,
        log: Logger,
    ) -> Result<Self, AgentError> {
        let keys = Arc::new(ArcSwap::from_pointee(read_key_file(
            &settings.common.key_file,
        )?));
        let incarnation = Incarnation(rand::rng().random());
        let control = Arc::new(sockets.datagrams);
        let metrics = MetricsRegistry::new()?;
        let fleet = FleetClient::start(FleetSetup {
            settings: settings.common.clone(),
            role: FleetRole::Agent(settings.service.clone()),
            incarnation,
            keys: Arc::clone(&keys),
            socket: Arc::clone(&control),
            log: log.clone(),
        });
        let meter = metrics.meter();
        fleet.register_metrics(&meter);
        let parts = AgentParts {
            keys,
            incarnation,
            control: Arc::clone(&control),
            fleet,
            metrics: AgentMetrics::new(&meter),
            log,
        };
        let agent = Arc::new(new_agent(settings, parts)?);
        register_gauges(&agent, &meter);
        let identity = new_identity(&agent, incarnation);
        let mut running = Self {
            agent,
            identity,
            gateway: Arc::default(),
            metrics: metrics.clone(),
            tasks: Vec::new(),
        };
        running.spawn_upkeep(metrics);
        running.spawn_serving(control, sockets.streams);
        running.spawn_opening();
        Ok(running)
    }

    fn spawn_upkeep(&mut self, metrics: MetricsRegistry) {
        let agent = &self.agent;
        self.tasks.push(tokio::spawn(agent.gate.clone().run()));
        self.tasks
            .push(tokio::spawn(keep_condition(Arc::clone(agent))));
        self.tasks
            .push(tokio::spawn(keep_report(Arc::clone(agent))));
        self.tasks.push(tokio::spawn(keep_peers(Arc::clone(agent))));
        self.tasks.push(tokio::spawn(keep_keys(Arc::clone(agent))));
        self.tasks
            .push(tokio::spawn(keep_certificate(Arc::clone(agent))));
        let gateway = serve_gateway(Arc::clone(agent), Arc::clone(&self.gateway));
        let gateway_log = agent.log.clone();
        self.tasks.push(tokio::spawn(async move {
            if let Err(fault) = gateway.await {
                error!(gateway_log, "dependencies not served"; "error" => fault.to_string());
            }
        }));
        let operations = new_operations(agent, &self.identity, metrics);
        let log = agent.log.clone();
        self.tasks.push(tokio::spawn(async move {
            if let Err(fault) = operations.serve().await {
                error!(log, "operations not served"; "error" => fault.to_string());
            }
        }));
    }

    fn spawn_serving(&mut self, control: Arc<UdpSocket>, streams: TcpListener) {
        let ingress = PacketIngress::new(Arc::clone(&self.agent), control);
        self.tasks.push(tokio::spawn(ingress.run()));
        let accepting = accept_streams(Arc::clone(&self.agent), streams);
        self.tasks.push(tokio::spawn(accepting));
    }

    /// Takes callers' packets once a configuration is in force.
    ///
    /// Without one the agent does not know which routes are once-only, and a filing without a
    /// ticket would run like any other request.
    fn spawn_opening(&mut self) {
        let agent = Arc::clone(&self.agent);
        let identity = self.identity.clone();
        self.tasks.push(tokio::spawn(async move {
            agent.fleet.clone().ready().await;
            agent.drain.open();
            if identity.phase() == ProcessPhase::Starting {
                identity.set_phase(ProcessPhase::Serving);
            }
            info!(agent.log, "agent serves"; "control" => agent.address().to_string(),
                "service" => agent.settings.service.as_str());
        }));
    }

    /// Where the backend server calls its dependencies, once that is served.
    #[must_use]
    pub fn gateway_address(&self) -> Option<SocketAddrV4> {
        self.gateway.get().copied()
    }

    /// How many peers of the service this agent has heard of.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.agent.fleet.peer_reports().len()
    }

    /// All metrics as the operations address serves them.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] when a value cannot be written.
    pub fn metrics_text(&self) -> Result<String, MetricsError> {
        self.metrics.to_text()
    }

    /// Stops: takes no new work, lets what is under way end, hands the ledger to a peer.
    ///
    /// Ends at the latest after the drain limit of the settings.
    pub async fn stop(&self) {
        let agent = &self.agent;
        let start = Instant::now();
        let limit = start + agent.settings.common.limits.drain;
        self.identity.set_phase(ProcessPhase::Leaving);
        agent.leave(|causes| causes.stopping = true);
        info!(agent.log, "agent stops"; "active" => agent.drain.active(),
            "flows" => agent.endpoints.open_flows());
        let stay = limit.min(start + LEAST_STAY);
        tokio::time::sleep_until(stay).await;
        let feed_limit = limit - FEED_END_WAIT.min(agent.settings.common.limits.drain / 2);
        if !agent.drain.wait_quiet(feed_limit).await {
            agent.drain.end_feeds();
        }
        let quiet = agent.drain.wait_quiet(limit).await;
        hand_over(agent).await;
        agent.endpoints.close(CLOSE_WAIT).await;
        info!(agent.log, "agent stopped"; "quiet" => quiet, "active" => agent.drain.active(),
            "took_ms" => u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
    }
}

impl Drop for RunningAgent {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// An [`AgentError`] when it cannot start.
pub async fn run_agent(settings: AgentSettings, log: Logger) -> Result<(), AgentError> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let sockets = ControlSockets::bind(settings.common.control.0).await?;
    let running = RunningAgent::start(settings, sockets, log.clone()).await?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = running.stop() => {}
        _ = stop.recv() => info!(log, "told to stop again: ends at once"),
        _ = interrupt.recv() => info!(log, "told to stop again: ends at once"),
    }
    Ok(())
}
