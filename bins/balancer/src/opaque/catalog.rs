//! Keeping the catalog: gossip with other balancers, calls to the store, new views.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lovagelatch_adapter::{StoreClient, StoreSettings};
use lovagelatch_catalog::{
    AgentStop, Catalog, CatalogAction, CatalogMember, CatalogMessage, CatalogNotice, MEMBER_TICK,
    StoreAnswer, StoreCall, StoreFailure,
};
use lovagelatch_domain::Moment;
use lovagelatch_flows::FlowViewBuilder;
use lovagelatch_network::{read_frame, write_frame};
use lovagelatch_operations::ReadyFlag;
use lovagelatch_telemetry::{DecisionKind, Logger, info, warn};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc};
use tokio::time::MissedTickBehavior;

use super::count::StoreCounts;
use super::coverage::CoverageWatch;
use super::packets::PacketState;
use super::zones::ZoneWatch;

/// The largest datagram sent; a longer answer goes by stream.
const DATAGRAM_LIMIT: usize = 1_200;

/// The largest message by stream: a whole catalog at the size the system is built for.
const STREAM_LIMIT: usize = 32 * 1024 * 1024;

/// How long an exchange by stream may take. The next ask takes another way if it fails.
const STREAM_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls that may wait for the task that makes them; there is one at a time.
const CALL_QUEUE: usize = 4;

/// What the control tasks of a balancer share.
pub(crate) struct CatalogState {
    pub(crate) member: Mutex<CatalogMember>,
    pub(crate) builder: Mutex<FlowViewBuilder>,
    pub(crate) packets: Arc<PacketState>,
    pub(crate) ready: ReadyFlag,
    pub(crate) calls: StoreCounts,
    pub(crate) coverage: Mutex<CoverageWatch>,
    pub(crate) zones: Mutex<ZoneWatch>,
    pub(crate) log: Logger,
}

/// Starts the tasks that keep the catalog.
pub(crate) fn start_catalog(
    state: CatalogState,
    socket: UdpSocket,
    listener: TcpListener,
    store: SocketAddrV4,
) -> Arc<CatalogTasks> {
    let (calls, queue) = mpsc::channel(CALL_QUEUE);
    let tasks = Arc::new(CatalogTasks {
        state,
        socket,
        calls,
        answered: Notify::new(),
    });
    tokio::spawn(make_calls(Arc::clone(&tasks), queue, store));
    tokio::spawn(take_datagrams(Arc::clone(&tasks)));
    tokio::spawn(take_streams(Arc::clone(&tasks), listener));
    tokio::spawn(tick(Arc::clone(&tasks)));
    tasks
}

/// Carries out what the member wants.
pub(crate) struct CatalogTasks {
    pub(crate) state: CatalogState,
    socket: UdpSocket,
    calls: mpsc::Sender<StoreCall>,
    /// Wakes whoever waits for the member's next due moment.
    answered: Notify,
}

impl CatalogTasks {
    /// Tells the other balancers that this one is stopping.
    pub(crate) fn set_leaving(self: &Arc<Self>) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().set_leaving(now);
        self.carry_out(actions);
    }

    /// Lets time pass for the member.
    fn advance(self: &Arc<Self>) {
        let now = self.state.packets.clock.now();
        let stops = self.state.packets.balancer.direct_stops(now);
        let mut member = self.state.member.lock();
        member.record_stops(&stops, now);
        let actions = member.advance(now);
        drop(member);
        self.carry_out(actions);
    }

    fn accept(self: &Arc<Self>, message: CatalogMessage) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().accept(message, now);
        self.carry_out(actions);
    }

    fn store_answered(
        self: &Arc<Self>,
        call: StoreCall,
        outcome: Result<StoreAnswer, StoreFailure>,
    ) {
        let now = self.state.packets.clock.now();
        let actions = self.state.member.lock().store_answered(call, outcome, now);
        self.carry_out(actions);
        self.answered.notify_one();
    }

    fn carry_out(self: &Arc<Self>, actions: Vec<CatalogAction>) {
        let ready = self.brief_builder();
        for action in actions {
            match action {
                CatalogAction::Send { to, message } => self.send(to, &message),
                CatalogAction::AskByStream { to, ask } => {
                    tokio::spawn(ask_by_stream(Arc::clone(self), to, ask));
                }
                // Full only if a call is made while several wait, which the member never does.
                CatalogAction::Call(call) => {
                    if self.calls.try_send(call).is_err() {
                        warn!(self.state.log, "store call not made: the queue is full");
                    }
                }
                CatalogAction::Publish { catalog, changes } => {
                    let now = self.state.packets.clock.now();
                    let mut builder = self.state.builder.lock();
                    builder.apply_changes(&catalog, &changes, now);
                    let without_region = builder.take_zones_without_region();
                    drop(builder);
                    for zone in without_region {
                        warn!(self.state.log,
                            "zone without a region: no flows of routes that are bound to regions";
                            "zone" => zone.as_str().to_owned());
                    }
                    self.publish();
                    self.note_zones(&catalog, now);
                }
                CatalogAction::RecordStops(stops) => self.take_stops(&stops),
                CatalogAction::Notice(notice) => log_notice(&self.state.log, &notice),
            }
        }
        if ready {
            self.tell_routers();
        }
        self.publish_if_due();
    }

    /// Tells the builder what the member knows besides the catalog, as what speaks against taking its next
    /// view for complete; returns whether the member is ready. Before a view is published: one that seemed complete for a moment would
    /// let a search prove what it cannot.
    fn brief_builder(&self) -> bool {
        let now = self.state.packets.clock.now();
        let member = self.state.member.lock();
        let (ready, trouble) = (member.is_ready(), member.last_store_failure());
        let informed = member.is_informed(now);
        let returned = member.store_recovered_at();
        let zones_since = member.zones_read_at();
        let stops_since = member.stops_known_since();
        let cut_off = member.is_cut_off(now);
        drop(member);
        self.state
            .packets
            .balancer
            .set_stops_known_since(stops_since);
        let mut builder = self.state.builder.lock();
        builder.set_informed(informed);
        builder.set_store_recovered_at(returned);
        builder.set_zones_read_at(zones_since);
        if cut_off != builder.is_cut_off() {
            builder.set_cut_off(cut_off);
            info!(self.state.log, "touch with the fleet changed";
                "decision" => DecisionKind::ZoneChanged, "cut_off" => cut_off);
        }
        if let Some(at) = trouble {
            builder.record_store_failure(at);
        }
        ready
    }

    fn note_zones(&self, catalog: &Catalog, now: Moment) {
        let told = self.state.member.lock().zones_read_at();
        let mut zones = self.state.zones.lock();
        zones.note(catalog, told, now, &self.state.log);
    }

    fn take_stops(&self, stops: &[AgentStop]) {
        let now = self.state.packets.clock.now();
        self.state.packets.balancer.record_stops(stops, now);
        // One line a message: a fleet that is restarted in turn names many agents.
        if let Some(first) = stops.first() {
            info!(self.state.log, "agents stop, by another balancer";
                "decision" => DecisionKind::LeavingSeen,
                "agent" => first.agent.to_string(),
                "age_ms" => first.age.as_secs_f64() * 1_000.0,
                "agents" => stops.len());
        }
    }

    /// Says whether routers may send packets here.
    fn tell_routers(&self) {
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

    /// Publishes another view when the passing of time, or trouble of the store, changes it.
    fn publish_if_due(&self) {
        let now = self.state.packets.clock.now();
        let builder = self.state.builder.lock();
        let ended = builder.next_target_expiry().is_some_and(|end| end <= now);
        let coverage = builder.coverage(now);
        let cut_off = builder.is_cut_off();
        drop(builder);
        let view = self.state.packets.view.load();
        if ended || coverage != view.coverage || cut_off != view.zones.cut_off {
            self.publish();
        }
    }

    fn publish(&self) {
        let now = self.state.packets.clock.now();
        let view = self.state.builder.lock().build(now);
        self.state.coverage.lock().note(&view, now, &self.state.log);
        self.state.packets.view.store(Arc::new(view));
    }

    fn send(&self, to: SocketAddrV4, message: &CatalogMessage) {
        let bytes = encode(message);
        let bytes = if bytes.len() > DATAGRAM_LIMIT {
            let sender = self.own();
            encode(&CatalogMessage::TooLarge { sender })
        } else {
            bytes
        };
        // A full buffer or an unreachable peer is a lost datagram; the next head repeats it.
        let _sent = self.socket.try_send_to(&bytes, to.into());
    }

    fn own(&self) -> SocketAddrV4 {
        match self.socket.local_addr() {
            Ok(std::net::SocketAddr::V4(address)) => address,
            _ => SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
        }
    }
}

fn encode(message: &CatalogMessage) -> Vec<u8> {
    // Writing into a vector cannot fail, and every type here can be written.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Lets time pass for the member and for the view: at each tick, and when the member has something to
/// do before the next one.
async fn tick(tasks: Arc<CatalogTasks>) {
    let mut interval = tokio::time::interval(MEMBER_TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {
                let now = tasks.state.packets.clock.now();
                let idle = tasks.state.packets.view.load().idle_timeout;
                tasks.state.packets.balancer.expire_idle(idle.max(MIN_IDLE), now);
            }
            () = wait_for_due(&tasks) => {}
        }
        tasks.advance();
    }
}

/// Waits until the member has something to do, or the view changes by itself; what comes first may change
/// with an answer of the store.
async fn wait_for_due(tasks: &CatalogTasks) {
    loop {
        let now = tasks.state.packets.clock.now();
        let due = tasks.state.member.lock().next_due(now);
        let change = tasks.state.builder.lock().next_change(now);
        let Some(due) = due.into_iter().chain(change).min() else {
            tasks.answered.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep(due.since(now)) => return,
            () = tasks.answered.notified() => {}
        }
    }
}

/// Flows are remembered at least this long, whatever the configuration says: a value of 0 would
/// forget every flow between two of its packets.
const MIN_IDLE: Duration = Duration::from_secs(5);

async fn take_datagrams(tasks: Arc<CatalogTasks>) {
    let mut buffer = vec![0; 2 * DATAGRAM_LIMIT];
    loop {
        // An error is the network's answer to something this socket sent; it says nothing here.
        let Ok((length, _)) = tasks.socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
            tasks.accept(message);
        }
    }
}

async fn make_calls(
    tasks: Arc<CatalogTasks>,
    mut queue: mpsc::Receiver<StoreCall>,
    address: SocketAddrV4,
) {
    let mut client = StoreClient::new(StoreSettings { address });
    while let Some(call) = queue.recv().await {
        let outcome = client.call(call).await.map_err(|error| {
            info!(tasks.state.log, "store call failed"; "error" => error.to_string());
            error.failure()
        });
        tasks.state.calls.add(outcome.as_ref().err().copied());
        tasks.store_answered(call, outcome);
    }
}

async fn ask_by_stream(tasks: Arc<CatalogTasks>, to: SocketAddrV4, ask: CatalogMessage) {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        write_frame(&mut stream, &encode(&ask)).await?;
        read_frame(&mut stream, STREAM_LIMIT).await
    };
    match tokio::time::timeout(STREAM_TIMEOUT, exchange).await {
        Ok(Ok(Some(frame))) => {
            if let Ok(message) = postcard::from_bytes(&frame) {
                tasks.accept(message);
            }
        }
        _ => info!(tasks.state.log, "catalog not had by stream"; "balancer" => to.to_string()),
    }
}

async fn take_streams(tasks: Arc<CatalogTasks>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = answer_stream(Arc::clone(&tasks), stream);
                tokio::spawn(tokio::time::timeout(STREAM_TIMEOUT, answer));
            }
            // A shortage of descriptors passes; without a pause it would be met in a loop.
            Err(_) => tokio::time::sleep(MEMBER_TICK).await,
        }
    }
}

async fn answer_stream(tasks: Arc<CatalogTasks>, mut stream: TcpStream) -> std::io::Result<()> {
    let Some(frame) = read_frame(&mut stream, DATAGRAM_LIMIT).await? else {
        return Ok(());
    };
    let Ok(CatalogMessage::Ask { head, .. }) = postcard::from_bytes(&frame) else {
        return Ok(());
    };
    let now = tasks.state.packets.clock.now();
    let answer = tasks.state.member.lock().answer_to(&head, now);
    write_frame(&mut stream, &encode(&answer)).await
}

fn log_notice(log: &Logger, notice: &CatalogNotice) {
    match notice {
        CatalogNotice::Applied {
            head,
            version,
            from,
        } => info!(log, "catalog taken";
            "decision" => DecisionKind::ConfigTaken,
            "version" => version.0,
            "routes_revision" => head.routes.revision,
            "targets_revision" => head.targets.revision,
            "from" => from.map_or_else(|| "store".to_owned(), |peer| peer.to_string())),
        CatalogNotice::Refused(error) => warn!(log, "catalog change refused";
            "decision" => DecisionKind::ConfigRefused, "error" => error.to_string()),
        CatalogNotice::Conflict(peer) => warn!(log, "another content of the same revision";
            "decision" => DecisionKind::ConfigRefused, "balancer" => peer.to_string()),
        CatalogNotice::StoreFailed(failure) => warn!(log, "store lost";
            "reason" => format!("{failure:?}")),
        CatalogNotice::StoreRecovered => info!(log, "store regained"),
        CatalogNotice::Members(members) => info!(log, "balancers known"; "members" => members),
    }
}
