//! The agent process: startup, background tasks and graceful shutdown.

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
use crate::drain::{FEED_CLOSE_GRACE, MIN_DRAIN_TIME};
use crate::gateway::serve_gateway;
use crate::gauges::register_gauges;
use crate::handover::hand_over_ledger;
use crate::maintenance::{
    publish_gate_report, refresh_peers, watch_backend_health, watch_certificate, watch_key_file,
};
use crate::metrics::AgentMetrics;
use crate::packet::{PacketIngress, TlsError};

/// Timeout for sending the close of all flows to their callers.
const FLOW_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Requested receive buffer of the control socket: holds a burst while the agent is descheduled.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Why an agent could not start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The key file is unusable.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// The certificate or its private key is unusable.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// An address cannot be bound.
    #[error("address {address}: {source}")]
    Bind {
        /// The configured control address.
        address: SocketAddrV4,
        /// The operating system's error.
        source: io::Error,
    },
    /// The metrics registry cannot be created.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Another system call failed.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}

/// The sockets of the control address, opened before anything else so that a wrong address fails
/// the startup.
#[derive(Debug)]
pub struct ControlSockets {
    /// UDP: frames with forwarded packets and fleet messages.
    pub datagrams: UdpSocket,
    /// TCP: relayed requests, fleet messages and ledger handovers.
    pub streams: TcpListener,
}

impl ControlSockets {
    /// Binds both sockets.
    ///
    /// # Errors
    ///
    /// [`AgentError::Bind`] when the address cannot be bound.
    pub async fn bind(address: SocketAddrV4) -> Result<Self, AgentError> {
        let bind_error = |source| AgentError::Bind { address, source };
        let datagrams = UdpSocket::bind(address).await.map_err(bind_error)?;
        // The kernel may grant less, which only means that smaller bursts are lost.
        let _ = SockRef::from(&datagrams).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        Ok(Self {
            datagrams,
            streams: TcpListener::bind(address).await.map_err(bind_error)?,
        })
    }
}

/// A running agent. Dropping it aborts its tasks.
pub struct RunningAgent {
    agent: Arc<Agent>,
    identity: ProcessIdentity,
    gateway: Arc<OnceLock<SocketAddrV4>>,
    metrics: MetricsRegistry,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningAgent {
    /// Starts an agent on sockets that are already open.
    ///
    /// # Errors
    ///
    /// An [`AgentError`] when the settings or the files they name are unusable.
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
        running.spawn_maintenance(metrics);
        running.spawn_ingress(control, sockets.streams);
        running.spawn_readiness();
        Ok(running)
    }

    fn spawn_maintenance(&mut self, metrics: MetricsRegistry) {
        let agent = &self.agent;
        self.tasks.push(tokio::spawn(agent.gate.clone().run()));
        self.tasks
            .push(tokio::spawn(watch_backend_health(Arc::clone(agent))));
        self.tasks
            .push(tokio::spawn(publish_gate_report(Arc::clone(agent))));
        self.tasks
            .push(tokio::spawn(refresh_peers(Arc::clone(agent))));
        self.tasks
            .push(tokio::spawn(watch_key_file(Arc::clone(agent))));
        self.tasks
            .push(tokio::spawn(watch_certificate(Arc::clone(agent))));
        let gateway = serve_gateway(Arc::clone(agent), Arc::clone(&self.gateway));
        let gateway_log = agent.log.clone();
        self.tasks.push(tokio::spawn(async move {
            if let Err(failure) = gateway.await {
                error!(gateway_log, "dependency gateway failed"; "error" => failure.to_string());
            }
        }));
        let operations = new_operations(agent, &self.identity, metrics);
        let log = agent.log.clone();
        self.tasks.push(tokio::spawn(async move {
            if let Err(failure) = operations.serve().await {
                error!(log, "operations not served"; "error" => failure.to_string());
            }
        }));
    }

    fn spawn_ingress(&mut self, control: Arc<UdpSocket>, streams: TcpListener) {
        let ingress = PacketIngress::new(Arc::clone(&self.agent), control);
        self.tasks.push(tokio::spawn(ingress.run()));
        let accepting = accept_streams(Arc::clone(&self.agent), streams);
        self.tasks.push(tokio::spawn(accepting));
    }

    /// Accepts callers' packets once a configuration is in force.
    ///
    /// Without a configuration the agent does not know which routes are once-only, and a filing
    /// without a ticket would run like any other request.
    fn spawn_readiness(&mut self) {
        let agent = Arc::clone(&self.agent);
        let identity = self.identity.clone();
        self.tasks.push(tokio::spawn(async move {
            agent.fleet.clone().ready().await;
            agent.drain.accept_packets();
            if identity.phase() == ProcessPhase::Starting {
                identity.set_phase(ProcessPhase::Serving);
            }
            info!(agent.log, "agent serves"; "control" => agent.address().to_string(),
                "service" => agent.settings.service.as_str());
        }));
    }

    /// The address at which the backend server calls its dependencies; `None` until it is bound.
    #[must_use]
    pub fn gateway_address(&self) -> Option<SocketAddrV4> {
        self.gateway.get().copied()
    }

    /// The number of peers of the service whose reports this agent has received.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.agent.fleet.peer_reports().len()
    }

    /// All metrics in the text format that the operations server exports.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] when a value cannot be encoded.
    pub fn metrics_text(&self) -> Result<String, MetricsError> {
        self.metrics.to_text()
    }

    /// Shuts down gracefully: accepts no new work, drains the work in progress, then hands the
    /// ledger over to peers and closes all flows.
    ///
    /// The drain ends at the latest after the drain limit of the settings.
    pub async fn stop(&self) {
        let agent = &self.agent;
        let start = Instant::now();
        let limit = start + agent.settings.common.limits.drain;
        self.identity.set_phase(ProcessPhase::Leaving);
        agent.update_leaving(|causes| causes.stopping = true);
        info!(agent.log, "agent stops"; "active" => agent.drain.active(),
            "flows" => agent.endpoints.open_flows());
        let earliest_end = limit.min(start + MIN_DRAIN_TIME);
        tokio::time::sleep_until(earliest_end).await;
        let feed_limit = limit - FEED_CLOSE_GRACE.min(agent.settings.common.limits.drain / 2);
        if !agent.drain.wait_idle(feed_limit).await {
            agent.drain.close_feeds();
        }
        let quiet = agent.drain.wait_idle(limit).await;
        hand_over_ledger(agent).await;
        agent.endpoints.close(FLOW_CLOSE_TIMEOUT).await;
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

/// Runs an agent until it receives a stop signal. A second signal ends it without draining.
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
        _ = stop.recv() => info!(log, "second stop signal: exiting without draining"),
        _ = interrupt.recv() => info!(log, "second stop signal: exiting without draining"),
    }
    Ok(())
}
