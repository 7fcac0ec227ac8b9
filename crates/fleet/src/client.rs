//! The handle through which a process takes part in the fleet.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lovagelatch_domain::{
    AgentAddress, ConfigRevision, GateReport, Incarnation, Moment, PeerReport, ServiceName,
};
use lovagelatch_keys::FleetKeys;
use lovagelatch_membership::{FleetMember, FleetStatus, FleetView, MEMBER_TICK, MemberSettings};
use lovagelatch_network::{DatagramPath, StreamPath};
use lovagelatch_settings::CommonSettings;
use lovagelatch_telemetry::{Logger, Meter};
use parking_lot::Mutex;
use tokio::net::{TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::clock::ProcessClock;
use crate::exchange::{FleetShared, MAX_FULL_ANSWERS};
use crate::inbox::{ExchangeOutcome, FleetInbox};
use crate::platform::PlatformReader;
use crate::traffic::TrafficCounters;

/// The role of a process in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// A balancer, which receives callers' flows.
    Balancer,
    /// The agent beside a backend server of this service.
    Agent(ServiceName),
}

/// What a [`FleetClient`] needs from its process.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The settings that all processes have in common.
    pub settings: CommonSettings,
    /// The role of the process.
    pub role: FleetRole,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
    /// The fleet keys, replaced when the key file changes.
    pub keys: Arc<ArcSwap<FleetKeys>>,
    /// The process's socket on its control address; the client only sends on it.
    pub socket: Arc<UdpSocket>,
    /// The logger of the process.
    pub log: Logger,
}

/// Maintains the latest view of the fleet and shares this process's knowledge with peers.
#[derive(Clone, Debug)]
pub struct FleetClient {
    shared: Arc<FleetShared>,
    ready: watch::Receiver<bool>,
}

impl FleetClient {
    /// Starts the tasks that maintain the view; they run until the runtime shuts down.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(setup: FleetSetup) -> Self {
        let clock = ProcessClock::new();
        let settings = &setup.settings;
        let (ready, ready_receiver) = watch::channel(false);
        let mut member =
            FleetMember::new(member_settings(&setup, &clock), rand::random(), clock.now());
        member.add_seeds(&settings.seeds.0);
        let (inbox, datagrams) = FleetInbox::new();
        let shared = Arc::new(FleetShared {
            member: Mutex::new(member),
            inbox,
            full_answers: Semaphore::new(MAX_FULL_ANSWERS),
            control: settings.control,
            clock,
            keys: Arc::clone(&setup.keys),
            socket: Arc::clone(&setup.socket),
            datagrams: DatagramPath::new(settings.gateway),
            streams: StreamPath::new(settings.control.0, settings.gateway),
            platform: PlatformReader::new(settings.platform),
            view: Arc::new(ArcSwap::from_pointee(FleetView::default())),
            peers: Arc::default(),
            revisions: watch::Sender::new(ConfigRevision::default()),
            ready,
            traffic: TrafficCounters::default(),
            log: setup.log.clone(),
            runtime: Handle::current(),
        });
        tokio::spawn(run_ticks(Arc::clone(&shared)));
        tokio::spawn(process_datagrams(Arc::clone(&shared), datagrams));
        Self {
            shared,
            ready: ready_receiver,
        }
    }

    /// Adds peers to query while the platform provides no instance list.
    pub fn add_seeds(&self, seeds: &[AgentAddress]) {
        self.shared.with_member(|member, _| member.add_seeds(seeds));
    }

    /// Registers the metrics of this process's control traffic.
    pub fn register_metrics(&self, meter: &Meter) {
        self.shared.traffic.register(meter);
    }

    /// Returns the latest view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.shared.view.load_full()
    }

    /// Returns the cell that holds the latest view, for threads that read it for every packet.
    #[must_use]
    pub fn shared_view(&self) -> Arc<ArcSwap<FleetView>> {
        Arc::clone(&self.shared.view)
    }

    /// Subscribes to the configuration revisions that come into force.
    #[must_use]
    pub fn revisions(&self) -> watch::Receiver<ConfigRevision> {
        self.shared.revisions.subscribe()
    }

    /// Returns the latest gate reports of the other agents of this agent's service.
    #[must_use]
    pub fn peer_reports(&self) -> Arc<Vec<PeerReport>> {
        self.shared.peers.load_full()
    }

    /// Returns the current time of the clock behind [`PeerReport::received`].
    #[must_use]
    pub fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// Returns the state of this process's knowledge of the fleet, for operators.
    #[must_use]
    pub fn status(&self) -> FleetStatus {
        let now = self.shared.clock.now();
        self.shared.member.lock().status(now)
    }

    /// Queues a datagram of kind `Membership` received on the control address. Never blocks; drops
    /// the datagram if the queue is full.
    pub fn accept_datagram(&self, datagram: &[u8]) {
        if !self.shared.inbox.push_datagram(datagram) {
            self.shared.count_dropped(datagram.len());
        }
    }

    /// Handles a stream whose first frame, `first`, is of kind `Membership`.
    pub async fn accept_stream(&self, stream: TcpStream, first: Vec<u8>) {
        self.shared.accept_stream(stream, &first).await;
    }

    /// Sets the gate report that this agent's heartbeats carry from now on. Never blocks.
    pub fn set_report(&self, report: GateReport) {
        self.shared.inbox.set_report(report);
    }

    /// Announces that this process is leaving. Neighbours are notified immediately and relay it
    /// to the balancers.
    pub fn set_leaving(&self) {
        self.shared
            .with_member(|member, now| member.set_leaving(now));
    }

    /// Queries the platform and peers again immediately.
    pub fn resync(&self) {
        self.shared.with_member(|member, now| member.resync(now));
    }

    /// Records the outcome of an exchange with a peer, as passive evidence of its health. Never
    /// blocks.
    pub fn record_exchange(&self, agent: AgentAddress, succeeded: bool) {
        let outcome = ExchangeOutcome { agent, succeeded };
        self.shared.inbox.push_exchange(outcome);
    }

    /// Waits until this process knows enough to serve: an instance list, and a configuration in
    /// force whose revision is the highest among the platform and several peers.
    pub async fn ready(&mut self) {
        // Fails only if the sender is dropped, but the client itself holds it.
        let _ready = self.ready.wait_for(|&ready| ready).await;
    }
}

fn member_settings(setup: &FleetSetup, clock: &ProcessClock) -> MemberSettings {
    let common = &setup.settings;
    let settings = MemberSettings::new(common.control, common.zone.clone(), setup.incarnation)
        .with_operations(common.operations)
        .with_list_poll(common.platform_poll)
        .with_unix_start(clock.unix_start());
    match &setup.role {
        FleetRole::Balancer => settings,
        FleetRole::Agent(service) => settings.with_service(service.id()),
    }
}

/// Advances the member at each tick. After a pause of the process, the next tick is late, and the
/// member detects the gap before it acts on anything else.
async fn run_ticks(shared: Arc<FleetShared>) {
    let mut interval = tokio::time::interval(MEMBER_TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let report = shared.inbox.take_report();
        let exchanges = shared.inbox.take_exchanges();
        let reports = shared.with_member(|member, now| {
            if let Some(report) = report {
                member.set_report(report);
            }
            for outcome in exchanges {
                member.record_exchange(outcome.agent, outcome.succeeded, now);
            }
            member.advance(now);
            member.peer_reports(now)
        });
        shared.peers.store(Arc::new(reports));
    }
}

/// Passes queued datagrams to the member, one at a time.
async fn process_datagrams(shared: Arc<FleetShared>, mut datagrams: mpsc::Receiver<Vec<u8>>) {
    while let Some(datagram) = datagrams.recv().await {
        shared.accept_datagram(&datagram);
    }
}
