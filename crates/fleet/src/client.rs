//! The process's handle on the fleet.

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
use crate::exchange::{FleetShared, WHOLE_ANSWERS};
use crate::inbox::{ExchangeEnd, FleetInbox};
use crate::platform::PlatformReader;
use crate::traffic::TrafficCounters;

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
    shared: Arc<FleetShared>,
    ready: watch::Receiver<bool>,
}

impl FleetClient {
    /// Starts the tasks that keep the view; they run until the runtime ends.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
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
            answers: Semaphore::new(WHOLE_ANSWERS),
            own: settings.control,
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
        tokio::spawn(tick(Arc::clone(&shared)));
        tokio::spawn(take_datagrams(Arc::clone(&shared), datagrams));
        Self {
            shared,
            ready: ready_receiver,
        }
    }

    /// Adds peers to ask while the platform gives no instance list.
    pub fn add_seeds(&self, seeds: &[AgentAddress]) {
        self.shared.with_member(|member, _| member.add_seeds(seeds));
    }

    /// Makes the instruments that report this process's control traffic.
    pub fn register_metrics(&self, meter: &Meter) {
        self.shared.traffic.register(meter);
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.shared.view.load_full()
    }

    /// Where the newest view is kept, for threads that read it for every packet.
    #[must_use]
    pub fn shared_view(&self) -> Arc<ArcSwap<FleetView>> {
        Arc::clone(&self.shared.view)
    }

    /// The revisions that come into force.
    #[must_use]
    pub fn revisions(&self) -> watch::Receiver<ConfigRevision> {
        self.shared.revisions.subscribe()
    }

    /// The newest reports of the peers of this agent's service, without its own.
    #[must_use]
    pub fn peer_reports(&self) -> Arc<Vec<PeerReport>> {
        self.shared.peers.load_full()
    }

    /// The clock that stamps [`PeerReport::received`].
    #[must_use]
    pub fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    /// The state of this process's knowledge, for operators.
    #[must_use]
    pub fn status(&self) -> FleetStatus {
        let now = self.shared.clock.now();
        self.shared.member.lock().status(now)
    }

    /// Takes a datagram of kind `Membership` that arrived on the control address. Never waits.
    pub fn accept_datagram(&self, datagram: &[u8]) {
        if !self.shared.inbox.put_datagram(datagram) {
            self.shared.count_dropped(datagram.len());
        }
    }

    /// Takes a stream whose first frame, `first`, is of kind `Membership`.
    pub async fn accept_stream(&self, stream: TcpStream, first: Vec<u8>) {
        self.shared.accept_stream(stream, &first).await;
    }

    /// Sets what this agent's heartbeats say about its own gate from now on. Never waits.
    pub fn set_report(&self, report: GateReport) {
        self.shared.inbox.put_report(report);
    }

    /// Says from now on that this process is leaving: to its neighbours at once, and through
    /// them to the balancers.
    pub fn set_leaving(&self) {
        self.shared
            .with_member(|member, now| member.set_leaving(now));
    }

    /// Asks the platform and peers again at once.
    pub fn refresh_soon(&self) {
        self.shared.with_member(|member, now| member.resync(now));
    }

    /// Notes how an exchange with a peer ended: passive evidence of its health. Never waits.
    pub fn record_exchange(&self, agent: AgentAddress, succeeded: bool) {
        let end = ExchangeEnd { agent, succeeded };
        self.shared.inbox.put_exchange(end);
    }

    /// Waits until enough is known to serve: a configuration in force that is the highest of
    /// the platform's and several peers', and an instance list.
    pub async fn ready(&mut self) {
        // It fails only when the sender is gone, which the client itself keeps.
        let _held = self.ready.wait_for(|&ready| ready).await;
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

/// Lets time pass for the member. A stopped process wakes here late, and the member sees the
/// gap before it acts on anything else.
async fn tick(shared: Arc<FleetShared>) {
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
            for end in exchanges {
                member.record_exchange(end.agent, end.succeeded, now);
            }
            member.advance(now);
            member.peer_reports(now)
        });
        shared.peers.store(Arc::new(reports));
    }
}

/// Hands datagrams to the member, one after the other.
async fn take_datagrams(shared: Arc<FleetShared>, mut datagrams: mpsc::Receiver<Vec<u8>>) {
    while let Some(datagram) = datagrams.recv().await {
        shared.accept_datagram(&datagram);
    }
}
