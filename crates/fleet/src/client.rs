//! The process's handle on the fleet.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lovagelatch_domain::{
    AgentAddress, ConfigRevision, GateReport, Incarnation, PeerReport, ServiceName,
};
use lovagelatch_keys::FleetKeys;
use lovagelatch_membership::FleetView;
use lovagelatch_settings::{CommonSettings, ServiceText};
use lovagelatch_telemetry::{DecisionKind, Logger, info, warn};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::watch;

use crate::platform::PlatformReader;

/// What the process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// A balancer.
    Balancer,
    /// The agent beside a backend server of this service.
    Agent(ServiceName),
}

/// What a [`FleetClient`] needs of its process.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The process's settings.
    pub settings: CommonSettings,
    /// What the process is.
    pub role: FleetRole,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// The fleet keys, swapped when the key file changes.
    pub keys: Arc<ArcSwap<FleetKeys>>,
    /// The process's socket on its control address; the client only sends on it.
    pub socket: Arc<UdpSocket>,
    /// The process's logger.
    pub log: Logger,
}

/// Keeps the newest view of the fleet and spreads what this process knows.
#[derive(Clone, Debug)]
pub struct FleetClient {
    view: Arc<ArcSwap<FleetView>>,
    peers: Arc<ArcSwap<Vec<PeerReport>>>,
    changes: watch::Receiver<ConfigRevision>,
}

impl FleetClient {
    /// Starts the tasks that keep the view; they run until the runtime ends.
    pub fn start(setup: FleetSetup) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(FleetView::default()));
        let (sender, changes) = watch::channel(ConfigRevision::default());
        let reader = PlatformReader::new(setup.settings.platform);
        let poll = setup.settings.platform_poll;
        tokio::spawn(keep_view(
            reader,
            poll,
            Arc::clone(&view),
            sender,
            setup.log,
        ));
        Self {
            view,
            peers: Arc::default(),
            changes,
        }
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Where the newest view is kept, for threads that read it for every packet.
    #[must_use]
    pub fn shared_view(&self) -> Arc<ArcSwap<FleetView>> {
        Arc::clone(&self.view)
    }

    /// The newest reports of the peers of this agent's service, without its own.
    #[must_use]
    pub fn peer_reports(&self) -> Arc<Vec<PeerReport>> {
        self.peers.load_full()
    }

    /// Takes a datagram of kind `Membership` that arrived on the control address.
    pub fn accept_datagram(&self, _datagram: &[u8]) {}

    /// Takes a stream whose first frame, `first`, is of kind `Membership`.
    pub async fn accept_stream(&self, _stream: TcpStream, _first: Vec<u8>) {}

    /// Sets what this agent's heartbeats say about its own gate from now on.
    pub fn set_report(&self, _report: GateReport) {}

    /// Notes how an exchange with a peer ended: passive evidence of its health.
    pub fn record_exchange(&self, _agent: AgentAddress, _succeeded: bool) {}

    /// Waits until a configuration is in force.
    pub async fn ready(&mut self) {
        while *self.changes.borrow_and_update() == ConfigRevision::default() {
            if self.changes.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn keep_view(
    reader: PlatformReader,
    poll: std::time::Duration,
    view: Arc<ArcSwap<FleetView>>,
    changes: watch::Sender<ConfigRevision>,
    log: Logger,
) {
    loop {
        if let Err(error) = refresh(&reader, &view, &changes, &log).await {
            warn!(log, "platform not read"; "error" => error.to_string());
        }
        tokio::time::sleep(poll).await;
    }
}

async fn refresh(
    reader: &PlatformReader,
    view: &ArcSwap<FleetView>,
    changes: &watch::Sender<ConfigRevision>,
    log: &Logger,
) -> Result<(), crate::PlatformError> {
    let config = reader.read_config().await?;
    let list = reader.read_instances().await?;
    let held = view.load_full();
    let mut revision = held.revision();
    let mut text = Arc::clone(held.text());
    if config.revision > revision {
        match ServiceText::parse(&config.text) {
            Ok(parsed) => {
                (revision, text) = (config.revision, Arc::new(parsed));
                info!(log, "configuration in force"; "decision" => DecisionKind::ConfigTaken,
                    "revision" => revision.0);
            }
            Err(faults) => warn!(log, "configuration refused";
                "decision" => DecisionKind::ConfigRefused, "revision" => config.revision.0,
                "faults" => faults.to_string()),
        }
    }
    if list.revision >= held.list_revision() {
        view.store(Arc::new(FleetView::new(revision, text, &list)));
    }
    changes.send_replace(revision);
    Ok(())
}
