//! Keeps the catalog up to date: gossip with other balancers, calls to the store, new views.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lovagelatch_adapter::{StoreClient, StoreSettings};
use lovagelatch_catalog::{
    AgentStop, Catalog, CatalogAction, CatalogMember, CatalogMessage, CatalogNotice, MEMBER_TICK,
    StoreAnswer, StoreCall, StoreFailure, UnusableValue, ValueOwner,
};
use lovagelatch_domain::{ConfigRevision, Moment};
use lovagelatch_flows::{FlowViewBuilder, SupersededTargets};
use lovagelatch_network::{read_frame, write_frame};
use lovagelatch_operations::ReadyFlag;
use lovagelatch_telemetry::{DecisionKind, Histogram, Logger, info, warn};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::time::MissedTickBehavior;

use super::coverage::CoverageLog;
use super::metrics::StoreCallCounts;
use super::packets::PacketState;
use super::zones::ZoneTracker;

/// Maximum length of a datagram that is sent; longer answers go by stream.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum length of a message by stream: a full catalog of the largest supported size.
const MAX_STREAM_BYTES: usize = 32 * 1024 * 1024;

/// Timeout of an exchange by stream. If it fails, the next ask opens a new connection, which may
/// take another network path.
const STREAM_TIMEOUT: Duration = Duration::from_millis(800);

/// Capacity of the queue of store calls; calls are made one at a time.
const CALL_QUEUE_LENGTH: usize = 4;

/// State shared by the control tasks of a balancer.
pub(crate) struct CatalogState {
    pub(crate) member: Mutex<CatalogMember>,
    pub(crate) builder: Mutex<FlowViewBuilder>,
    pub(crate) packets: Arc<PacketState>,
    pub(crate) ready: ReadyFlag,
    pub(crate) calls: StoreCallCounts,
    pub(crate) verifications: Histogram<f64>,
    pub(crate) coverage: Mutex<CoverageLog>,
    pub(crate) zones: Mutex<ZoneTracker>,
    pub(crate) log: Logger,
}

/// Starts the tasks that keep the catalog up to date.
pub(crate) fn start_catalog(
    state: CatalogState,
    socket: UdpSocket,
    listener: TcpListener,
    store: SocketAddrV4,
) -> Arc<CatalogTasks> {
    let (calls, queue) = mpsc::channel(CALL_QUEUE_LENGTH);
    let (verifying_calls, verifying_queue) = mpsc::channel(CALL_QUEUE_LENGTH);
    let tasks = Arc::new(CatalogTasks {
        state,
        socket,
        calls,
        verifying_calls,
        due_changed: Notify::new(),
    });
    let settings = StoreSettings { address: store };
    let calls = StoreCalls::new(&tasks, settings, CatalogTasks::store_answered);
    tokio::spawn(calls.run(queue));
    let calls = StoreCalls::new(&tasks, settings, CatalogTasks::store_verified);
    tokio::spawn(calls.run(verifying_queue));
    tokio::spawn(request_verifications(Arc::clone(&tasks)));
    tokio::spawn(receive_datagrams(Arc::clone(&tasks)));
    tokio::spawn(accept_streams(Arc::clone(&tasks), listener));
    tokio::spawn(tick(Arc::clone(&tasks)));
    tasks
}

/// Executes the actions requested by the catalog member.
pub(crate) struct CatalogTasks {
    pub(crate) state: CatalogState,
    socket: UdpSocket,
    calls: mpsc::Sender<StoreCall>,
    /// Calls that are made beside those of `calls`.
    verifying_calls: mpsc::Sender<StoreCall>,
    /// Signals that the member's next due time may have changed.
    due_changed: Notify,
}

impl CatalogTasks {
    /// Announces to the other balancers that this one is leaving.
    pub(crate) fn set_leaving(self: &Arc<Self>) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().set_leaving(now);
        self.execute(actions);
    }

    /// Advances the member to the current time and executes the resulting actions.
    fn advance(self: &Arc<Self>) {
        let now = self.state.packets.clock.now();
        let stops = self.state.packets.balancer.stops_to_relay(now);
        let mut member = self.state.member.lock();
        let new = member.record_stops(&stops, now);
        let actions = member.advance(now);
        drop(member);
        self.log_stops("agents stop", &new);
        self.execute(actions);
    }

    fn accept(self: &Arc<Self>, message: CatalogMessage) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().accept(message, now);
        self.execute(actions);
        self.due_changed.notify_one();
    }

    fn request_verification(self: &Arc<Self>, moment: Moment) {
        let now = self.state.packets.clock.now();
        let mut member = self.state.member.lock();
        let actions = member.request_verification(moment, now);
        drop(member);
        self.execute(actions);
        self.due_changed.notify_one();
    }

    fn store_verified(
        self: &Arc<Self>,
        call: StoreCall,
        outcome: Result<StoreAnswer, StoreFailure>,
    ) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().store_verified(call, outcome, now);
        self.execute(actions);
        self.due_changed.notify_one();
    }

    fn store_answered(
        self: &Arc<Self>,
        call: StoreCall,
        outcome: Result<StoreAnswer, StoreFailure>,
    ) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().store_answered(call, outcome, now);
        self.execute(actions);
        self.due_changed.notify_one();
    }

    fn execute(self: &Arc<Self>, actions: Vec<CatalogAction>) {
        let ready = self.update_builder();
        for action in actions {
            match action {
                CatalogAction::Send { to, message } => self.send(to, &message),
                CatalogAction::AskByStream { to, ask } => {
                    tokio::spawn(ask_by_stream(Arc::clone(self), to, ask));
                }
                CatalogAction::Call(call) => self.call(&self.calls, call),
                CatalogAction::Verify(call) => self.call(&self.verifying_calls, call),
                CatalogAction::Publish { catalog, changes } => {
                    let now = self.state.packets.clock.now();
                    let mut builder = self.state.builder.lock();
                    builder.apply_changes(&catalog, &changes, now);
                    let without_region = builder.take_zones_without_region();
                    let superseded = builder.take_superseded();
                    drop(builder);
                    if let Some(superseded) = superseded {
                        self.log_superseded(&superseded);
                    }
                    for zone in without_region {
                        warn!(self.state.log,
                            "zone has no region: it gets no flows of routes restricted to regions";
                            "zone" => zone.as_str().to_owned());
                    }
                    self.publish();
                    self.record_zones(&catalog, now);
                }
                CatalogAction::RecordStops(stops) => self.record_stops(&stops),
                CatalogAction::Notice(notice) => {
                    if let CatalogNotice::Verified { elapsed, .. } = &notice {
                        self.state.verifications.record(elapsed.as_secs_f64(), &[]);
                    }
                    log_notice(&self.state.log, &notice);
                }
            }
        }
        if ready {
            self.update_readiness();
        }
        self.publish_if_due();
    }

    fn call(&self, queue: &mpsc::Sender<StoreCall>, call: StoreCall) {
        // The queue cannot fill up: the member has at most one call of each kind in flight.
        if queue.try_send(call).is_err() {
            warn!(self.state.log, "store call dropped: queue is full");
        }
    }

    /// Passes the member's state to the view builder, which derives from it whether the next view
    /// is complete. Returns whether the member is ready.
    ///
    /// Must run before a view is published: if a view were wrongly complete even for a moment, a
    /// search could conclude that a flow is lost when it is not.
    fn update_builder(&self) -> bool {
        let now = self.state.packets.clock.now();
        let member = self.state.member.lock();
        let (ready, last_failure) = (member.is_ready(), member.last_store_failure());
        let informed = member.is_informed(now);
        let recovered_at = member.store_recovered_at();
        let restore_possible_until = member.restore_possible_until();
        let zones_read_at = member.zones_read_at();
        let stops_known_since = member.stops_known_since();
        let verified_at = member.verified_at();
        let cut_off = member.is_cut_off(now);
        drop(member);
        self.state
            .packets
            .balancer
            .set_stops_known_since(stops_known_since);
        let mut builder = self.state.builder.lock();
        builder.set_informed(informed);
        builder.set_store_recovered_at(recovered_at);
        builder.set_restore_possible_until(restore_possible_until);
        builder.set_zones_read_at(zones_read_at);
        builder.set_verified_at(verified_at);
        if cut_off != builder.is_cut_off() {
            builder.set_cut_off(cut_off);
            info!(self.state.log, "touch with the fleet changed";
                "decision" => DecisionKind::ZoneChanged, "cut_off" => cut_off);
        }
        if let Some(at) = last_failure {
            builder.record_store_failure(at);
        }
        ready
    }

    fn record_zones(&self, catalog: &Catalog, now: Moment) {
        let read_at = self.state.member.lock().zones_read_at();
        let mut zones = self.state.zones.lock();
        zones.record(catalog, read_at, now, &self.state.log);
    }

    fn record_stops(&self, stops: &[AgentStop]) {
        let now = self.state.packets.clock.now();
        self.state.packets.balancer.record_stops(stops, now);
        self.log_stops("agents stop, by another balancer", stops);
    }

    /// Writes one line for all stops: a rolling restart of the fleet announces many agents.
    fn log_stops(&self, message: &str, stops: &[AgentStop]) {
        if let Some(first) = stops.first() {
            info!(self.state.log, "{message}";
                "decision" => DecisionKind::LeavingSeen,
                "agent" => first.agent.to_string(),
                "age_ms" => first.age.as_secs_f64() * 1_000.0,
                "agents" => stops.len());
        }
    }

    /// Logs that entries of former targets no longer count. One line for all: after a power loss,
    /// each address has two entries.
    fn log_superseded(&self, superseded: &SupersededTargets) {
        let view = self.state.packets.view.load();
        info!(self.state.log, "another target is at the address: the former entry gets no new flows";
            "decision" => DecisionKind::EntrySuperseded,
            "agent" => superseded.agent.to_string(),
            "service" => view.service_name(superseded.service).to_owned(),
            "targets" => superseded.count);
    }

    /// Updates the readiness that routers poll before they send packets here.
    fn update_readiness(&self) {
        let now = self.state.packets.clock.now();
        let leaving = self.state.packets.leaving.load(Ordering::Relaxed);
        let isolated = self.state.packets.balancer.is_isolated(now);
        let ready = !leaving && !isolated;
        if ready != self.state.ready.is_set() {
            info!(self.state.log, "readiness changed"; "ready" => ready,
                "leaving" => leaving, "isolated" => isolated);
            self.state.ready.set(ready);
        }
    }

    /// Publishes a new view if the passing of time or a store failure has changed it.
    fn publish_if_due(&self) {
        let now = self.state.packets.clock.now();
        let builder = self.state.builder.lock();
        let expired = builder.next_expiry().is_some_and(|end| end <= now);
        let coverage = builder.coverage(now);
        let cut_off = builder.is_cut_off();
        let verified_at = builder.verified_at();
        drop(builder);
        let view = self.state.packets.view.load();
        let is_outdated = coverage != view.coverage
            || cut_off != view.zones.cut_off
            || verified_at != view.verified_at;
        if expired || is_outdated {
            self.publish();
        }
    }

    fn publish(&self) {
        let now = self.state.packets.clock.now();
        let view = self.state.builder.lock().build(now);
        self.state
            .coverage
            .lock()
            .record(&view, now, &self.state.log);
        self.state.packets.view.store(Arc::new(view));
    }

    fn send(&self, to: SocketAddrV4, message: &CatalogMessage) {
        let bytes = message.encode();
        let bytes = if bytes.len() > MAX_DATAGRAM_BYTES {
            let sender = self.own_address();
            CatalogMessage::TooLarge { sender }.encode()
        } else {
            bytes
        };
        // A failed send is treated as a lost datagram; the next head repeats the information.
        let _sent = self.socket.try_send_to(&bytes, to.into());
    }

    fn own_address(&self) -> SocketAddrV4 {
        match self.socket.local_addr() {
            Ok(std::net::SocketAddr::V4(address)) => address,
            _ => SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
        }
    }
}

/// Advances the member and the view at each tick, and earlier when the member has something due.
async fn tick(tasks: Arc<CatalogTasks>) {
    let mut interval = tokio::time::interval(MEMBER_TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {
                let now = tasks.state.packets.clock.now();
                let idle = tasks.state.packets.view.load().idle_timeout;
                tasks.state.packets.balancer.expire_idle(idle.max(MIN_IDLE_TIMEOUT), now);
            }
            () = wait_for_due(&tasks) => {}
        }
        tasks.advance();
    }
}

/// Waits until the member has something due or the view changes by the passing of time. The due
/// time is recomputed after each answer of the store.
async fn wait_for_due(tasks: &CatalogTasks) {
    loop {
        let now = tasks.state.packets.clock.now();
        let due = tasks.state.member.lock().next_due(now);
        let change = tasks.state.builder.lock().next_change(now);
        let Some(due) = due.into_iter().chain(change).min() else {
            tasks.due_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep(due.since(now)) => return,
            () = tasks.due_changed.notified() => {}
        }
    }
}

/// Minimum idle timeout of flows, whatever is configured: with a value of 0, every flow would be
/// forgotten between two of its packets.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

async fn receive_datagrams(tasks: Arc<CatalogTasks>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        // An ICMP error for an earlier datagram of this socket; not fatal.
        let Ok((length, _)) = tasks.socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Ok(message) = CatalogMessage::decode(&buffer[..length]) {
            tasks.accept(message);
        }
    }
}

/// Passes the requests of the packet thread to the member.
async fn request_verifications(tasks: Arc<CatalogTasks>) {
    let mut requests = tasks.state.packets.verification.subscribe();
    while requests.changed().await.is_ok() {
        let moment = *requests.borrow_and_update();
        tasks.request_verification(moment);
    }
}

/// Handles the result of a call to the store.
type CallHandler = fn(&Arc<CatalogTasks>, StoreCall, Result<StoreAnswer, StoreFailure>);

/// Makes calls to the store, one at a time.
struct StoreCalls {
    tasks: Arc<CatalogTasks>,
    client: StoreClient,
    handler: CallHandler,
}

impl StoreCalls {
    fn new(tasks: &Arc<CatalogTasks>, settings: StoreSettings, handler: CallHandler) -> Self {
        Self {
            tasks: Arc::clone(tasks),
            client: StoreClient::new(settings),
            handler,
        }
    }

    async fn run(mut self, mut queue: mpsc::Receiver<StoreCall>) {
        while let Some(call) = queue.recv().await {
            let outcome = self.client.call(call).await.map_err(|error| {
                let after = match call {
                    StoreCall::List => None,
                    StoreCall::Watch { after, .. } => Some(after),
                };
                info!(self.tasks.state.log, "store call failed";
                    "error" => error.to_string(), "after" => after);
                error.failure()
            });
            self.tasks.state.calls.add(outcome.as_ref().err().copied());
            (self.handler)(&self.tasks, call, outcome);
        }
    }
}

async fn ask_by_stream(tasks: Arc<CatalogTasks>, to: SocketAddrV4, ask: CatalogMessage) {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        write_frame(&mut stream, &ask.encode()).await?;
        read_frame(&mut stream, MAX_STREAM_BYTES).await
    };
    match tokio::time::timeout(STREAM_TIMEOUT, exchange).await {
        Ok(Ok(Some(frame))) => {
            if let Ok(message) = CatalogMessage::decode(&frame) {
                tasks.accept(message);
            }
        }
        _ => info!(tasks.state.log, "catalog not received by stream"; "balancer" => to.to_string()),
    }
}

async fn accept_streams(tasks: Arc<CatalogTasks>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = serve_stream(Arc::clone(&tasks), stream);
                tokio::spawn(tokio::time::timeout(STREAM_TIMEOUT, answer));
            }
            // Back off: a temporary shortage of file descriptors must not cause a busy loop.
            Err(_) => tokio::time::sleep(MEMBER_TICK).await,
        }
    }
}

async fn serve_stream(tasks: Arc<CatalogTasks>, mut stream: TcpStream) -> std::io::Result<()> {
    let Some(frame) = read_frame(&mut stream, MAX_DATAGRAM_BYTES).await? else {
        return Ok(());
    };
    let Ok(CatalogMessage::Ask { head, .. }) = CatalogMessage::decode(&frame) else {
        return Ok(());
    };
    let now = tasks.state.packets.clock.now();
    let answer = tasks.state.member.lock().answer_to(&head, now);
    write_frame(&mut stream, &answer.encode()).await
}

fn log_notice(log: &Logger, notice: &CatalogNotice) {
    match notice {
        CatalogNotice::Applied {
            head,
            version,
            from,
        } => {
            let targets = head.targets.revision;
            info!(log, "catalog taken";
                "decision" => DecisionKind::ConfigTaken,
                "version" => version.0,
                "era" => targets.era.0,
                "routes_revision" => head.routes.revision,
                "targets_revision" => targets.revision,
                "from" => from.map_or_else(|| "store".to_owned(), |peer| peer.to_string()));
        }
        CatalogNotice::DefaultUsed { version, value } => log_default(log, *version, value),
        CatalogNotice::Refused(error) => warn!(log, "catalog change refused";
            "decision" => DecisionKind::ConfigRefused, "error" => error.to_string()),
        CatalogNotice::MoreRefused(count) => warn!(log, "more catalog changes refused";
            "decision" => DecisionKind::ConfigRefused, "left_out" => count),
        CatalogNotice::Conflict(peer) => warn!(log, "another content of the same revision";
            "decision" => DecisionKind::ConfigRefused, "balancer" => peer.to_string()),
        CatalogNotice::StoreFailed(failure) => warn!(log, "store lost";
            "reason" => format!("{failure:?}")),
        CatalogNotice::StoreRecovered => info!(log, "store regained"),
        CatalogNotice::EraChanged { from, to } => warn!(log, "store back from a copy";
            "from_era" => from.0, "era" => to.era.0, "revision" => to.revision),
        CatalogNotice::Reading(reason) => info!(log, "reads the store";
            "reason" => reason.as_str()),
        CatalogNotice::ReadingEnded => info!(log, "elected reader no longer"),
        // Otherwise every lost flow would add a line.
        CatalogNotice::Verified { from, to, .. } if from == to => {}
        CatalogNotice::Verified { elapsed, from, to } => {
            info!(log, "targets were outdated when the store was read again";
                "decision" => DecisionKind::ViewCoverage,
                "from_revision" => from.revision, "targets_revision" => to.revision,
                "elapsed_ms" => elapsed.as_secs_f64() * 1_000.0);
        }
        CatalogNotice::Members(members) => info!(log, "balancers known"; "members" => members),
    }
}

/// Logs that a default is used instead of a value of the configuration in force.
fn log_default(log: &Logger, version: ConfigRevision, value: &UnusableValue) {
    let (kind, name) = match &value.owner {
        ValueOwner::Route(name) => ("route", name.as_str()),
        ValueOwner::Service(name) => ("service", name.as_str()),
    };
    warn!(log, "value of the configuration cannot be used: default used";
        "decision" => DecisionKind::ConfigTaken,
        "version" => version.0,
        "of" => kind,
        "name" => name.to_owned(),
        "field" => value.field.to_string(),
        "default" => value.default.to_string());
}
