//! A balancer as a member of the group that keeps the catalog up to date.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, Moment, StoreEra, StorePosition};
use lovagelatch_membership::TableHead;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use crate::answer::{StoreAnswer, StoreCall, StoreFailure};
use crate::catalog::{Catalog, CatalogChanges, CatalogError, CatalogTables};
use crate::era::EraSighting;
use crate::message::{CatalogDelta, CatalogHead, CatalogMessage, HeadMessage, ReaderStatus};
use crate::peers::{LARGE_FLEET_FANOUT, PeerTable, SMALL_FLEET_FANOUT};
use crate::reader::{ReadReason, ReaderInputs, ReaderState};
use crate::stops::{AgentStop, StopList, StopTable, StopUpdate};
use crate::unusable::UnusableValue;
use crate::verification::{RequestNumber, VerificationQueue, VerificationRequests};

/// How often [`CatalogMember::advance`] must be called, in addition to the moments that
/// [`CatalogMember::next_due`] returns.
pub const MEMBER_TICK: Duration = Duration::from_millis(250);

/// Interval between regular heads.
const HEAD_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between heads of a new process that has heard no peer yet. When all balancers start at
/// once, the configured seeds may start last; the others find each other only through them, and
/// until then they cannot know of earlier failures of the store. Ends with [`DISCOVERY_TIMEOUT`],
/// so at most twenty small datagrams go to each of three seeds.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(50);

/// How long an unanswered [`CatalogMessage::Ask`] blocks the next one.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a new process waits for other balancers before it calls the store: usually a single
/// process starts, and the others can send it everything without a call. An `Ask` and its answer
/// take 2 to 4 ms. After a power loss, nothing is served during this wait: a tenth of a second
/// costs one request in five hundred of that minute.
const FIRST_CALL_DELAY: Duration = Duration::from_millis(8);

/// Jitter of the first calls of processes that start together.
const FIRST_CALL_JITTER: Duration = Duration::from_millis(12);

/// How long a new process waits to hear another balancer before it considers itself the only one.
/// Until then it cannot know of failures of the store before its start.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of the last confirmation above which a balancer that hears no other one considers itself cut
/// off. Longer than the wait of a watch and the time until one fails.
const CUT_OFF_AGE: Duration = Duration::from_secs(3);

/// The oldest catalog that a process may become ready with.
const MAX_READY_AGE: Duration = Duration::from_secs(5);

/// Limit on the rejected changes and values of one answer of the store that are reported one by
/// one: anyone who writes to the store decides on their number.
pub const MAX_REFUSED_NOTICES: usize = 8;

/// Settings of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Address of its gossip socket, where it receives messages of other balancers.
    pub gossip: SocketAddrV4,
    /// Configured gossip addresses of some other balancers.
    pub seeds: SmallVec<[SocketAddrV4; 3]>,
}

/// An event to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogNotice {
    /// A new catalog is in force.
    Applied {
        /// Head of the new state.
        head: CatalogHead,
        /// The operator's version number of the configuration.
        version: ConfigRevision,
        /// The balancer that sent it; `None` if it was read from the store.
        from: Option<SocketAddrV4>,
    },
    /// A configuration that this balancer read from the store is in force, and a default is used
    /// instead of one of its values.
    DefaultUsed {
        /// The operator's version number of the configuration.
        version: ConfigRevision,
        /// The value that cannot be used.
        value: UnusableValue,
    },
    /// A change or value was rejected.
    Refused(CatalogError),
    /// So many more changes or values of the same answer were rejected.
    MoreRefused(usize),
    /// Another balancer has different content for the same revision.
    Conflict(SocketAddrV4),
    /// A call to the store failed.
    StoreFailed(StoreFailure),
    /// The store answers again.
    StoreRecovered,
    /// The store came back from a copy.
    EraChanged {
        /// The era of the catalog before.
        from: StoreEra,
        /// The position of the store, as this process or another read it.
        to: StorePosition,
    },
    /// This balancer calls the store for another reason than before.
    Reading(ReadReason),
    /// This balancer is no longer an elected reader.
    ReadingEnded,
    /// The number of live balancers changed, this one included.
    Members(usize),
    /// The catalog was compared with the store, as requested.
    Verified {
        /// Time from the request to the answer.
        elapsed: Duration,
        /// The position up to which the targets were known before.
        from: StorePosition,
        /// The position up to which they are known now.
        to: StorePosition,
    },
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogAction {
    /// Send a message as a datagram.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddrV4,
        /// The message to send.
        message: CatalogMessage,
    },
    /// Send an `Ask` over a stream and pass the answer to [`CatalogMember::accept`].
    AskByStream {
        /// Gossip address of the receiver.
        to: SocketAddrV4,
        /// The [`CatalogMessage::Ask`], which is the first message on the stream.
        ask: CatalogMessage,
    },
    /// Call the store and pass the result to [`CatalogMember::store_answered`].
    Call(StoreCall),
    /// Call the store, beside any other call, and pass the result to
    /// [`CatalogMember::store_verified`].
    Verify(StoreCall),
    /// Publish a new catalog.
    Publish {
        /// The catalog. Drop it after processing: a change clones tables that are referenced
        /// elsewhere.
        catalog: Catalog,
        /// Changes since the last published catalog.
        changes: CatalogChanges,
    },
    /// Record stop announcements of agents that other balancers relayed.
    RecordStops(StopList),
    /// Log an event.
    Notice(CatalogNotice),
}

/// State of a member, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogStatus {
    /// Head of the catalog in force.
    pub head: CatalogHead,
    /// The operator's version number of the configuration.
    pub version: ConfigRevision,
    /// Time since the store last confirmed the catalog; `None` if never.
    pub age: Option<Duration>,
    /// Number of live balancers, this one included.
    pub members: usize,
    /// Whether this balancer is an elected reader of the store.
    pub reader: bool,
}

/// Keeps the catalog of a balancer up to date by calls to the store and messages to its peers.
#[derive(Clone, Debug)]
pub struct CatalogMember {
    settings: MemberSettings,
    started: Moment,
    tables: CatalogTables,
    peers: PeerTable,
    reader: ReaderState,
    random: SmallRng,
    /// When the store last confirmed the catalog, to this process or another.
    confirmed_at: Option<Moment>,
    /// When the store last failed this process or another.
    last_failure: Option<Moment>,
    /// When a reader last lost the store.
    reader_lost_at: Option<Moment>,
    /// Whether this process was an elected reader when it last considered a call.
    elected: bool,
    /// First answer of the store to any process after `last_failure`; older than it while there is
    /// none.
    recovered_at: Option<Moment>,
    /// When the current evacuated zones were read from the store, by this process or another.
    zones_read_at: Moment,
    sighting: EraSighting,
    stops: StopTable,
    verification: VerificationRequests,
    verifying: VerificationQueue,
    /// When the call in flight, or the last one, was made.
    called_at: Moment,
    next_head_at: Moment,
    asked_at: Option<Moment>,
    /// Whether the next `Ask` requests the full tables because a delta did not fit.
    ask_full: bool,
    store_failing: bool,
    leaving: bool,
    ready: bool,
    members: usize,
    actions: Vec<CatalogAction>,
}

impl CatalogMember {
    /// Creates a member without a catalog. `seed` seeds its random choices.
    #[must_use]
    pub fn new(settings: MemberSettings, seed: u64, now: Moment) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let jitter = random.random_range(Duration::ZERO..FIRST_CALL_JITTER);
        Self {
            peers: PeerTable::new(settings.gossip, &settings.seeds),
            reader: ReaderState::new(now + FIRST_CALL_DELAY + jitter),
            settings,
            started: now,
            tables: CatalogTables::default(),
            confirmed_at: None,
            last_failure: None,
            recovered_at: None,
            reader_lost_at: None,
            elected: false,
            zones_read_at: now,
            sighting: EraSighting::default(),
            stops: StopTable::new(now),
            verification: VerificationRequests::new(random.clone().random()),
            verifying: VerificationQueue::default(),
            called_at: now,
            next_head_at: now,
            asked_at: None,
            ask_full: false,
            store_failing: false,
            leaving: false,
            ready: false,
            members: 1,
            actions: Vec::new(),
            random,
        }
    }

    /// Returns the current state for operators.
    #[must_use]
    pub fn status(&self, now: Moment) -> CatalogStatus {
        CatalogStatus {
            head: self.tables.head(),
            version: self.tables.catalog().version,
            age: self.age(now),
            members: self.members,
            reader: self.reader_rank(now).is_some(),
        }
    }

    /// Returns whether the catalog suffices to serve. Never becomes false again: without the store,
    /// the catalog held is still the best one available.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether this process can know of failures of the store before its start: it has
    /// heard another balancer, or there seems to be none.
    #[must_use]
    pub fn is_informed(&self, now: Moment) -> bool {
        self.peers.alive_count(now) > 0 || now.since(self.started) >= DISCOVERY_TIMEOUT
    }

    /// Returns whether this process has heard neither the store nor another balancer for so long
    /// that it may have missed a change of the evacuated zones. A balancer that knows no other one
    /// is not cut off.
    #[must_use]
    pub fn is_cut_off(&self, now: Moment) -> bool {
        let is_stale = self.age(now).is_some_and(|age| age >= CUT_OFF_AGE);
        is_stale && self.peers.knows_others() && self.peers.alive_count(now) == 0
    }

    /// Returns when the store last failed this process or another. Entries that vanish around that
    /// time prove nothing.
    #[must_use]
    pub fn last_store_failure(&self) -> Option<Moment> {
        self.last_failure
    }

    /// Returns the first answer of the store to this process or another after its last failure;
    /// `None` while there is none.
    #[must_use]
    pub fn store_recovered_at(&self) -> Option<Moment> {
        self.recovered_at
            .filter(|at| self.last_failure.is_some_and(|failure| *at >= failure))
    }

    /// Returns until when the catalog may be that of a copy from which the store has just been
    /// restored; `None` if the store was never restored. Balancers that all start around a restore
    /// know no earlier era, so their first reads do not show that the store came back. Entries that
    /// the copy lacks are written again within [`RECOVERY_WINDOW`](crate::RECOVERY_WINDOW).
    #[must_use]
    pub fn restore_possible_until(&self) -> Option<Moment> {
        self.sighting.settles_at()
    }

    /// Returns the time since which this process would know of any stopping agent: its own start,
    /// or that of another balancer that sent it a [`StopUpdate`].
    #[must_use]
    pub fn stops_known_since(&self) -> Moment {
        self.stops.since()
    }

    /// Returns when the current evacuated zones were read from the store, by this process or by the
    /// one that first announced them.
    #[must_use]
    pub fn zones_read_at(&self) -> Moment {
        self.zones_read_at
    }

    /// Replaces the seeds, the gossip addresses of some other balancers.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.peers.set_seeds(seeds);
    }

    /// Announces to the other balancers that this one is stopping.
    pub fn set_leaving(&mut self, now: Moment) -> Vec<CatalogAction> {
        self.leaving = true;
        self.send_heads(now);
        self.take_actions()
    }

    /// Returns when [`advance`](Self::advance) is due before the next tick: for a call to the
    /// store, or for a head while no peer is known. Waiting for the tick instead cost a quarter of
    /// a second after a power loss, while all processes ran and the store answered.
    #[must_use]
    pub fn next_due(&self, now: Moment) -> Option<Moment> {
        let discovery = (!self.is_informed(now)).then_some(self.next_head_at);
        let discovery = discovery.filter(|due| now < *due);
        let verification = self.verification.next_due();
        let verification = verification.filter(|due| now < *due);
        let call = self.reader.next_due(now);
        [call, discovery, verification].into_iter().flatten().min()
    }

    /// Returns the moment at which the catalog was last compared with the store at this process's
    /// request: it contains every target that the store listed then.
    #[must_use]
    pub fn verified_at(&self) -> Moment {
        self.verification.verified_at()
    }

    /// Requests that the catalog is compared with the store at or after `moment`.
    pub fn request_verification(&mut self, moment: Moment, now: Moment) -> Vec<CatalogAction> {
        self.verification.want(moment);
        self.send_verification(now);
        self.take_actions()
    }

    /// Performs the work that is due at `now`.
    pub fn advance(&mut self, now: Moment) -> Vec<CatalogAction> {
        self.peers.remove_silent(now);
        if now >= self.next_head_at {
            self.send_heads(now);
        }
        self.relay_stops(now);
        self.send_verification(now);
        self.update_members(now);
        self.call_store(now);
        self.take_actions()
    }

    /// Records stop announcements that agents sent to this balancer; the next
    /// [`advance`](Self::advance) relays them. Returns those that are new.
    pub fn record_stops(&mut self, stops: &[AgentStop], now: Moment) -> StopList {
        self.stops.record(stops, now)
    }

    /// Handles a message of another balancer.
    pub fn accept(&mut self, message: CatalogMessage, now: Moment) -> Vec<CatalogAction> {
        match message {
            CatalogMessage::Head(head) => {
                self.accept_head(&head, now);
                // Not at the next tick: a reader that lost the store leaves a gap.
                if !self.elected && self.reader_rank(now).is_some() {
                    self.call_store(now);
                }
            }
            CatalogMessage::Ask {
                sender,
                head,
                verification: Some(number),
            } => {
                self.verifying.push(sender, number, head);
                self.read_for_verification(now);
            }
            CatalogMessage::Ask { sender, head, .. } => {
                let message = self.answer_to(&head, now);
                self.send(sender, message);
            }
            CatalogMessage::Answer {
                sender,
                age,
                zones_age,
                verification,
                delta,
            } => {
                let zones_read_at = now - zones_age;
                let before = self.tables.position();
                let applied = self.accept_answer(sender, age, zones_read_at, *delta, now);
                if let Some(number) = verification.filter(|_| applied) {
                    self.record_verified(number, before, now);
                }
            }
            CatalogMessage::TooLarge { sender } => {
                let ask = self.ask_message();
                let action = CatalogAction::AskByStream { to: sender, ask };
                self.actions.push(action);
            }
            CatalogMessage::Stops(update) => self.accept_stops(&update, now),
        }
        self.take_actions()
    }

    fn accept_stops(&mut self, update: &StopUpdate, now: Moment) {
        let new = self.stops.merge_update(update, now);
        if !new.is_empty() {
            self.actions.push(CatalogAction::RecordStops(new));
        }
    }

    fn relay_stops(&mut self, now: Moment) {
        let Some(update) = self.stops.next_round(now) else {
            return;
        };
        for to in self.peers.choose(self.fanout(now), &mut self.random) {
            self.send(to, CatalogMessage::Stops(update.clone()));
        }
    }

    /// Returns the answer to an `Ask` of a balancer that holds `head`.
    #[must_use]
    pub fn answer_to(&self, head: &CatalogHead, now: Moment) -> CatalogMessage {
        CatalogMessage::Answer {
            sender: self.settings.gossip,
            age: self.age(now).unwrap_or(Duration::MAX),
            zones_age: now.since(self.zones_read_at),
            verification: None,
            delta: Box::new(self.tables.delta_since(head)),
        }
    }

    /// Handles the result of a call that [`CatalogAction::Call`] requested.
    pub fn store_answered(
        &mut self,
        call: StoreCall,
        outcome: Result<StoreAnswer, StoreFailure>,
        now: Moment,
    ) -> Vec<CatalogAction> {
        match outcome {
            Ok(answer) => self.accept_store_answer(call, answer, now),
            Err(failure) => self.store_failed(call, failure, now),
        }
        self.call_store(now);
        self.take_actions()
    }

    fn accept_store_answer(&mut self, call: StoreCall, answer: StoreAnswer, now: Moment) {
        let position = answer.position();
        if matches!(call, StoreCall::Watch { .. }) && !self.reader.continues(position) {
            self.reader.interrupted();
            return;
        }
        let has_changes = !answer.events.is_empty();
        self.record_position(position, now);
        let doubted = self.doubt(now).is_some();
        self.record_confirmation(now);
        if doubted {
            self.send_heads(now);
        }
        let recovered_at = self.store_recovered_at();
        self.reader
            .succeeded(position, has_changes, recovered_at, now);
        if std::mem::take(&mut self.store_failing) {
            self.notice(CatalogNotice::StoreRecovered);
        }
        self.apply_store_answer(call, answer, now);
    }

    /// Applies an answer of the store and publishes what it changes. Returns whether all tables are
    /// up to date; otherwise a list follows.
    fn apply_store_answer(&mut self, call: StoreCall, answer: StoreAnswer, now: Moment) -> bool {
        let zones_before = self.tables.head().zones;
        let (changed, errors) = match call {
            StoreCall::List => self.tables.apply_list(answer),
            StoreCall::Watch { .. } => self.tables.apply_events(answer),
        };
        let is_current = !errors
            .iter()
            .any(|error| matches!(error, CatalogError::Routes(_) | CatalogError::Rows(_)));
        if !is_current {
            self.reader.list_again();
        }
        let omitted = errors.len().saturating_sub(MAX_REFUSED_NOTICES);
        for error in errors.into_iter().take(MAX_REFUSED_NOTICES) {
            self.notice(CatalogNotice::Refused(error));
        }
        if omitted > 0 {
            self.notice(CatalogNotice::MoreRefused(omitted));
        }
        self.record_zones_read(zones_before, now);
        self.update_readiness(now);
        if changed {
            self.publish(None, now);
        }
        let version = self.tables.catalog().version;
        for value in self.tables.take_unusable() {
            self.notice(CatalogNotice::DefaultUsed { version, value });
        }
        is_current
    }

    /// Sends a request for a verification if one is due: to the elected readers in turn, and to this
    /// process itself if it is one of them or if they do not answer.
    fn send_verification(&mut self, now: Moment) {
        let Some(attempt) = self.verification.due_attempt(now) else {
            return;
        };
        let is_reader = self.reader_rank(now).is_some() && self.reader.store_reachable();
        let readers = self.peers.other_readers(self.age(now), now);
        let reader = readers.get(attempt % (readers.len() + 1));
        let reader = reader.filter(|_| !is_reader);
        let members = self.peers.known_count(now) + 1;
        let number = self
            .verification
            .record_sent(reader.is_none(), members, now);
        let head = self.tables.head();
        match reader {
            Some(&reader) => {
                let ask = CatalogMessage::Ask {
                    sender: self.settings.gossip,
                    head,
                    verification: Some(number),
                };
                self.send(reader, ask);
            }
            None => {
                self.verifying.push(self.settings.gossip, number, head);
                self.read_for_verification(now);
            }
        }
    }

    /// Reads the store for the requests that wait, unless a read for earlier ones is in flight.
    fn read_for_verification(&mut self, now: Moment) {
        let has_catalog = self.tables.position().is_known();
        if has_catalog && self.verifying.begin_read() {
            let call = self.reader.verifying_call(&self.reader_inputs(now));
            self.actions.push(CatalogAction::Verify(call));
        }
    }

    /// Handles the result of a call that [`CatalogAction::Verify`] requested.
    pub fn store_verified(
        &mut self,
        call: StoreCall,
        outcome: Result<StoreAnswer, StoreFailure>,
        now: Moment,
    ) -> Vec<CatalogAction> {
        let requests = self.verifying.end_read();
        let before = self.tables.position();
        let is_current = match outcome {
            Ok(answer) if answer.era == self.tables.position().era => {
                self.apply_store_answer(call, answer, now)
            }
            // The store is in another era.
            Ok(_) => {
                self.reader.list_again();
                false
            }
            // The regular calls notice failures of the store.
            Err(failure) => {
                if failure.requires_list(call) {
                    self.reader.list_again();
                }
                false
            }
        };
        for request in requests.into_iter().filter(|_| is_current) {
            if request.sender == self.settings.gossip {
                self.record_verified(request.number, before, now);
                continue;
            }
            let mut message = self.answer_to(&request.head, now);
            if let CatalogMessage::Answer { verification, .. } = &mut message {
                *verification = Some(request.number);
            }
            self.send(request.sender, message);
        }
        self.read_for_verification(now);
        self.take_actions()
    }

    /// Records the answer to a request for a verification. `from` is the position before it.
    fn record_verified(&mut self, number: RequestNumber, from: StorePosition, now: Moment) {
        if let Some(elapsed) = self.verification.record_answer(number, now) {
            let to = self.tables.position();
            self.notice(CatalogNotice::Verified { elapsed, from, to });
        }
        self.send_verification(now);
    }

    /// Records a return of the store from a copy if `position`, which this process or another read,
    /// shows one. It counts as a failure of the store: entries that the copy lacks may be those of
    /// live targets, which are about to write them again.
    fn record_position(&mut self, position: StorePosition, now: Moment) {
        self.sighting.record_read(position.era, now);
        let known = self.tables.position();
        if !known.is_known() || position.era <= known.era {
            return;
        }
        self.last_failure = Some(now);
        self.notice(CatalogNotice::EraChanged {
            from: known.era,
            to: position,
        });
    }

    fn store_failed(&mut self, call: StoreCall, failure: StoreFailure, now: Moment) {
        let was_reachable = self.reader.store_reachable();
        let inputs = self.reader_inputs(now);
        self.reader.failed(call, failure, &inputs, now);
        if failure.requires_list(call) {
            return;
        }
        self.last_failure = self.last_failure.max(Some(self.failure_time(call, now)));
        if !std::mem::replace(&mut self.store_failing, true) {
            self.notice(CatalogNotice::StoreFailed(failure));
        }
        // The balancer next in rank takes over as soon as it receives this.
        if was_reachable {
            self.send_heads(now);
        }
    }

    /// Returns the time of the store failure that a failed call shows. A watch on a connection that
    /// went silent fails only when it is overdue. If the store has answered others since the call
    /// was made, the failure is dated back to the call; dated now, it would look to them like a
    /// failure after the recovery.
    fn failure_time(&self, call: StoreCall, now: Moment) -> Moment {
        let wait = match call {
            StoreCall::List => Duration::ZERO,
            StoreCall::Watch { wait, .. } => wait,
        };
        let overdue = now.since(self.called_at) >= wait;
        let answered_since = self.confirmed_at.is_some_and(|at| at > self.called_at);
        if overdue && answered_since {
            self.called_at
        } else {
            now
        }
    }

    fn accept_head(&mut self, message: &HeadMessage, now: Moment) {
        let random = &mut self.random;
        let mut lost_store =
            self.peers
                .record_head(message.sender, message.reads, message.leaving, random, now);
        // A new process knows no peers, and until it hears one it cannot know of earlier failures
        // of the store, so it treats no flow as lost.
        if message.peers.is_empty() && !message.leaving {
            let reply = CatalogMessage::Head(self.head_message(now));
            self.send(message.sender, reply);
            if let Some(update) = self.stops.recent(now) {
                self.send(message.sender, CatalogMessage::Stops(update));
            }
        }
        for &peer in &message.peers {
            self.peers.record_mention(peer, now);
        }
        for status in &message.readers {
            lost_store |= self.peers.record_status(status, &mut self.random, now);
        }
        if lost_store {
            self.reader_lost_at = Some(now);
        }
        self.last_failure = self.last_failure.max(message.trouble.map(|age| now - age));
        if let Some(remaining) = message.era_settles_in {
            let position = message.head.targets.revision;
            self.sighting.record_settling(position.era, now + remaining);
        }
        let (known, offered) = (self.tables.head(), message.head);
        if offered == known {
            self.confirm(message.age, now);
            return;
        }
        if self.is_conflict(&offered) {
            self.notice(CatalogNotice::Conflict(message.sender));
            self.reader.list_again();
        }
        let newer = offered.routes.revision > known.routes.revision
            || offered.targets.revision > known.targets.revision
            || offered.zones.revision > known.zones.revision;
        if newer {
            self.ask(message.sender, now);
            return;
        }
        // The sender lags; it will send an `Ask` when it receives this head.
        let reply = CatalogMessage::Head(self.head_message(now));
        self.send(message.sender, reply);
    }

    fn is_conflict(&self, offered: &CatalogHead) -> bool {
        let known = self.tables.head();
        known.routes.conflicts_with(&offered.routes)
            || known.targets.conflicts_with(&offered.targets)
            || known.zones.conflicts_with(&offered.zones)
    }

    fn ask(&mut self, peer: SocketAddrV4, now: Moment) {
        if self
            .asked_at
            .is_some_and(|asked_at| now.since(asked_at) < ASK_TIMEOUT)
        {
            return;
        }
        self.asked_at = Some(now);
        let message = self.ask_message();
        self.send(peer, message);
    }

    fn ask_message(&mut self) -> CatalogMessage {
        let full = std::mem::take(&mut self.ask_full);
        CatalogMessage::Ask {
            sender: self.settings.gossip,
            head: if full {
                CatalogHead::default()
            } else {
                self.tables.head()
            },
            verification: None,
        }
    }

    /// Applies a delta of another balancer. Returns whether it could be applied.
    fn accept_answer(
        &mut self,
        sender: SocketAddrV4,
        age: Duration,
        zones_read_at: Moment,
        delta: CatalogDelta,
        now: Moment,
    ) -> bool {
        self.asked_at = None;
        if let Some(targets) = &delta.targets {
            self.record_position(targets.to.revision, now);
        }
        let zones_before = self.tables.head().zones;
        let applied = self.tables.apply_delta(delta);
        self.record_zones_read(zones_before, zones_read_at);
        match applied {
            Ok(changed) => {
                self.confirm(age, now);
                if changed {
                    self.publish(Some(sender), now);
                }
                true
            }
            Err(error) => {
                self.ask_full = true;
                self.notice(CatalogNotice::Refused(error));
                false
            }
        }
    }

    /// Records when the evacuated zones were read, if they changed.
    fn record_zones_read(&mut self, before: TableHead<StorePosition>, read_at: Moment) {
        if self.tables.head().zones != before {
            self.zones_read_at = read_at;
        }
    }

    /// Records the last confirmation by the store that a balancer with the same state reports.
    fn confirm(&mut self, age: Duration, now: Moment) {
        if age > MAX_READY_AGE {
            return;
        }
        self.record_confirmation(now - age);
        self.update_readiness(now);
    }

    fn record_confirmation(&mut self, at: Moment) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
        if self.store_recovered_at().is_none()
            && self.last_failure.is_some_and(|failure| at >= failure)
        {
            self.recovered_at = Some(at);
        }
    }

    fn update_readiness(&mut self, now: Moment) {
        // Wait until the evacuated zones are known: a flow placed in one violates the operator's
        // decision.
        let head = self.tables.head();
        let known = head.routes.revision > 0 && head.zones.revision.is_known();
        let is_recent = self.age(now).is_some_and(|age| age <= MAX_READY_AGE);
        self.ready |= known && is_recent;
    }

    /// Returns the time since a reader lost the store, if nobody has confirmed the catalog since.
    fn doubt(&self, now: Moment) -> Option<Duration> {
        let lost_at = self.reader_lost_at?;
        let confirmed = self.confirmed_at.is_some_and(|at| at >= lost_at);
        (!confirmed).then(|| now.since(lost_at))
    }

    fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    fn publish(&mut self, from: Option<SocketAddrV4>, now: Moment) {
        let catalog = self.tables.catalog().clone();
        self.notice(CatalogNotice::Applied {
            head: self.tables.head(),
            version: catalog.version,
            from,
        });
        let changes = self.tables.take_changes();
        self.actions
            .push(CatalogAction::Publish { catalog, changes });
        self.send_heads(now);
    }

    fn call_store(&mut self, now: Moment) {
        let inputs = self.reader_inputs(now);
        let reason = self.reader.reason();
        let call = self.reader.next_call(&inputs, &mut self.random, now);
        if call.is_some() {
            self.called_at = now;
        }
        let elected = inputs.rank.is_some();
        if std::mem::replace(&mut self.elected, elected) && !elected {
            self.reader.stand_down();
            self.notice(CatalogNotice::ReadingEnded);
        }
        if let Some(next) = self.reader.reason().filter(|next| Some(*next) != reason) {
            self.notice(CatalogNotice::Reading(next));
        }
        self.actions.extend(call.map(CatalogAction::Call));
    }

    fn reader_inputs(&self, now: Moment) -> ReaderInputs {
        let head = self.tables.head();
        ReaderInputs {
            rank: self.reader_rank(now),
            holds_catalog: head.routes.revision > 0,
            age: self.age(now),
            doubt: self.doubt(now),
            members: self.peers.known_count(now) + 1,
            is_large: self.peers.is_large(now),
            position: head.targets.revision.min(head.zones.revision),
        }
    }

    fn reader_rank(&self, now: Moment) -> Option<usize> {
        let store_reachable = self.reader.store_reachable();
        self.peers.reader_rank(store_reachable, self.age(now), now)
    }

    fn update_members(&mut self, now: Moment) {
        let members = self.peers.alive_count(now) + 1;
        if members != self.members {
            self.members = members;
            self.notice(CatalogNotice::Members(members));
        }
    }

    fn send_heads(&mut self, now: Moment) {
        let interval = if self.is_informed(now) {
            HEAD_INTERVAL
        } else {
            DISCOVERY_INTERVAL
        };
        self.next_head_at = now + interval;
        let message = self.head_message(now);
        for to in self.peers.choose(self.fanout(now), &mut self.random) {
            self.send(to, CatalogMessage::Head(message.clone()));
        }
    }

    /// Returns the number of peers that a message is sent to per round.
    fn fanout(&self, now: Moment) -> usize {
        if self.peers.is_large(now) {
            LARGE_FLEET_FANOUT
        } else {
            SMALL_FLEET_FANOUT
        }
    }

    fn head_message(&mut self, now: Moment) -> HeadMessage {
        let own_status = ReaderStatus {
            address: self.settings.gossip,
            age: Duration::ZERO,
            reads: self.reader.store_reachable(),
            leaving: self.leaving,
        };
        HeadMessage {
            sender: self.settings.gossip,
            head: self.tables.head(),
            age: self.age(now).unwrap_or(Duration::MAX),
            reads: own_status.reads,
            trouble: self.last_failure.map(|at| now.since(at)),
            era_settles_in: self.era_settles_in(now),
            leaving: own_status.leaving,
            peers: self.peers.sample(now, &mut self.random),
            readers: self.peers.reader_statuses(&own_status, now),
        }
    }

    /// Returns the remaining time in which the era of the catalog may have begun recently; `None` in
    /// the first era.
    fn era_settles_in(&self, now: Moment) -> Option<Duration> {
        let settles_at = self.sighting.settles_at()?;
        let is_current = self.sighting.era() == self.tables.position().era;
        is_current.then(|| settles_at.since(now))
    }

    fn send(&mut self, to: SocketAddrV4, message: CatalogMessage) {
        self.actions.push(CatalogAction::Send { to, message });
    }

    fn notice(&mut self, notice: CatalogNotice) {
        self.actions.push(CatalogAction::Notice(notice));
    }

    fn take_actions(&mut self) -> Vec<CatalogAction> {
        std::mem::take(&mut self.actions)
    }
}
