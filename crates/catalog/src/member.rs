//! A balancer as a member of the group that keeps the catalog up to date.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, Moment};
use lovagelatch_membership::TableHead;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use crate::answer::{StoreAnswer, StoreCall, StoreFailure};
use crate::catalog::{Catalog, CatalogChanges, CatalogError, CatalogKeeper};
use crate::message::{CatalogDelta, CatalogHead, CatalogMessage, HeadMessage, ReaderNews};
use crate::peers::{LARGE_FANOUT, PeerTable, SMALL_FANOUT};
use crate::reading::{ReadingInputs, ReadingState};
use crate::stops::{AgentStop, StopList, StopNews, StopTable};

/// How often [`CatalogMember::advance`] is to be called, besides the moments that
/// [`CatalogMember::next_due`] names.
pub const MEMBER_TICK: Duration = Duration::from_millis(250);

/// Time between two regular heads.
const HEAD_INTERVAL: Duration = Duration::from_millis(500);

/// The same while a fresh process knows of nobody. Where all start at once, those whom the settings
/// name may start last; the others find each other only through them, and until then they cannot
/// know of trouble that the store had. It ends with [`INFORM_SPAN`], so at twenty small datagrams
/// to each of three.
const GREETING_INTERVAL: Duration = Duration::from_millis(50);

/// How long an unanswered ask blocks the next one.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a fresh process waits for other balancers before it calls the store: most starts
/// are of single processes, whom the others can tell everything for free. An ask and its answer
/// take two to four milliseconds. It is time that nobody is served in after a loss of power: each
/// tenth of a second there is a request in five hundred of a minute's.
const FIRST_CALL_WAIT: Duration = Duration::from_millis(8);

/// Spread of the first calls of processes that start together.
const FIRST_CALL_SPREAD: Duration = Duration::from_millis(12);

/// How long a fresh process waits for a word of another balancer before it takes itself to be the
/// only one. Until then it cannot know of trouble that the store had before its start.
const INFORM_SPAN: Duration = Duration::from_secs(1);

/// How long ago the store last confirmed what a balancer holds that hears no other one, when it takes itself for cut
/// off. Longer than a watch's wait and the time in which one fails.
const CUT_OFF_AGE: Duration = Duration::from_secs(3);

/// A catalog this fresh is good enough to begin to serve with.
const READY_AGE: Duration = Duration::from_secs(5);

/// What a member is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Where this balancer listens for the others.
    pub own: SocketAddrV4,
    /// Where some others may listen.
    pub seeds: SmallVec<[SocketAddrV4; 3]>,
}

/// Something worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogNotice {
    /// Another state is in force.
    Taken {
        /// What is held now.
        head: CatalogHead,
        /// The operator's number for the configuration.
        version: ConfigRevision,
        /// The balancer that told it; `None` for the store itself.
        from: Option<SocketAddrV4>,
    },
    /// A change or value was not taken.
    Refused(CatalogError),
    /// Another balancer holds another content of the same revision.
    Conflict(SocketAddrV4),
    /// The store did not answer a call as it should.
    StoreLost(StoreFailure),
    /// The store answers again.
    StoreRegained,
    /// The number of living balancers changed, this one included.
    Members(usize),
}

/// What a member wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogAction {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        message: CatalogMessage,
    },
    /// Ask by stream and hand the answer to [`CatalogMember::accept`].
    AskByStream {
        /// Whom.
        to: SocketAddrV4,
        /// The message to send first.
        ask: CatalogMessage,
    },
    /// Call the store and hand the answer to [`CatalogMember::store_answered`].
    Call(StoreCall),
    /// Another catalog is in force.
    Publish {
        /// The catalog. To be let go when it has been gone through: a change of a catalog that is
        /// held elsewhere copies it.
        catalog: Catalog,
        /// What changed since the last one that was published.
        changes: CatalogChanges,
    },
    /// Other balancers have heard agents say that they stop.
    TakeStops(StopList),
    /// Write a log line.
    Notice(CatalogNotice),
}

/// What a member holds, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CatalogStatus {
    /// Which state.
    pub head: CatalogHead,
    /// The operator's number for the configuration.
    pub version: ConfigRevision,
    /// How long ago the store confirmed it; `None` when never.
    pub age: Option<Duration>,
    /// Living balancers, this one included.
    pub members: usize,
    /// Whether this balancer reads the store for the others.
    pub reader: bool,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct CatalogMember {
    settings: MemberSettings,
    started: Moment,
    keeper: CatalogKeeper,
    peers: PeerTable,
    reading: ReadingState,
    random: SmallRng,
    /// When the store last confirmed what is held, to this process or to another.
    confirmed: Option<Moment>,
    /// When the store last failed this process or another.
    trouble: Option<Moment>,
    /// When it first answered anybody after that; older than `trouble` while it has not.
    returned: Option<Moment>,
    /// When the evacuated zones were last read anew, by this process or another.
    zones_since: Moment,
    stops: StopTable,
    /// When the call that is under way, or the last one, was made.
    called: Moment,
    next_head: Moment,
    asked: Option<Moment>,
    /// Ask for the whole of it next: a change did not fit.
    ask_whole: bool,
    store_lost: bool,
    leaving: bool,
    ready: bool,
    members: usize,
    actions: Vec<CatalogAction>,
}

impl CatalogMember {
    /// A member that knows nothing yet. `seed` seeds its random choices.
    #[must_use]
    pub fn new(settings: MemberSettings, seed: u64, now: Moment) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let spread = random.random_range(Duration::ZERO..FIRST_CALL_SPREAD);
        Self {
            peers: PeerTable::new(settings.own, &settings.seeds),
            reading: ReadingState::new(now + FIRST_CALL_WAIT + spread),
            settings,
            started: now,
            keeper: CatalogKeeper::default(),
            random,
            confirmed: None,
            trouble: None,
            returned: None,
            zones_since: now,
            stops: StopTable::new(now),
            called: now,
            next_head: now,
            asked: None,
            ask_whole: false,
            store_lost: false,
            leaving: false,
            ready: false,
            members: 1,
            actions: Vec::new(),
        }
    }

    /// What is held now.
    #[must_use]
    pub fn status(&self, now: Moment) -> CatalogStatus {
        CatalogStatus {
            head: self.keeper.head(),
            version: self.keeper.catalog().version,
            age: self.age(now),
            members: self.members,
            reader: self.draw_place(now).is_some(),
        }
    }

    /// Whether enough is known to serve. Once true it stays so: without the store, what is held
    /// is still the best there is.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether this process can know of trouble that the store had before its start: another
    /// balancer has spoken, or none seems to be there.
    #[must_use]
    pub fn is_informed(&self, now: Moment) -> bool {
        self.peers.alive_count(now) > 0 || now.since(self.started) >= INFORM_SPAN
    }

    /// Whether neither the store nor another balancer has spoken to this process for so long that it may have missed
    /// a change of the evacuated zones. One that knows of no other balancer is not cut off from any.
    #[must_use]
    pub fn is_cut_off(&self, now: Moment) -> bool {
        let unconfirmed = self.age(now).is_some_and(|age| age >= CUT_OFF_AGE);
        unconfirmed && self.peers.knows_others() && self.peers.alive_count(now) == 0
    }

    /// When the store last failed this process or another: entries that vanish around that time
    /// prove nothing.
    #[must_use]
    pub fn trouble(&self) -> Option<Moment> {
        self.trouble
    }

    /// When the store first answered this process or another after its last trouble; `None` while it
    /// has not.
    #[must_use]
    pub fn returned(&self) -> Option<Moment> {
        self.returned
            .filter(|at| self.trouble.is_some_and(|trouble| *at >= trouble))
    }

    /// Since when this process would know of an agent that said that it stops: its own start, or that of another
    /// balancer which told it.
    #[must_use]
    pub fn stops_since(&self) -> Moment {
        self.stops.since()
    }

    /// When the evacuated zones that are held were read from the store, by this process or by the one that
    /// told of them first.
    #[must_use]
    pub fn zones_since(&self) -> Moment {
        self.zones_since
    }

    /// Replaces the addresses at which other balancers may be found.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.peers.set_seeds(seeds);
    }

    /// Tells the others that this balancer is stopping.
    pub fn set_leaving(&mut self, now: Moment) -> Vec<CatalogAction> {
        self.leaving = true;
        self.send_heads(now);
        self.take_actions()
    }

    /// When [`advance`](Self::advance) has something to do that is not to wait for the next tick: a
    /// call to the store, or a greeting while nobody is known. What goes wrong without it: a fleet that
    /// lost power waited a quarter of a second with its processes running and the store answering.
    #[must_use]
    pub fn next_due(&self, now: Moment) -> Option<Moment> {
        let greeting = (!self.is_informed(now)).then_some(self.next_head);
        let greeting = greeting.filter(|due| now < *due);
        self.reading.next_due(now).into_iter().chain(greeting).min()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Moment) -> Vec<CatalogAction> {
        self.peers.forget_silent(now);
        if now >= self.next_head {
            self.send_heads(now);
        }
        self.pass_stops_on(now);
        self.note_members(now);
        self.call_store(now);
        self.take_actions()
    }

    /// Takes the agents that have told this balancer that they stop; the next
    /// [`advance`](Self::advance) passes them on.
    pub fn note_stops(&mut self, stops: &[AgentStop], now: Moment) {
        let _new = self.stops.take(stops, now);
    }

    /// Takes a message of another balancer.
    pub fn accept(&mut self, message: CatalogMessage, now: Moment) -> Vec<CatalogAction> {
        match message {
            CatalogMessage::Head(head) => self.accept_head(&head, now),
            CatalogMessage::Ask { sender, head } => {
                let message = self.answer_to(&head, now);
                self.send(sender, message);
            }
            CatalogMessage::Answer {
                sender,
                age,
                zones_age,
                delta,
            } => {
                let zones_since = now - zones_age;
                self.accept_answer(sender, age, zones_since, *delta, now);
            }
            CatalogMessage::TooLarge { sender } => {
                let ask = self.ask_message();
                let action = CatalogAction::AskByStream { to: sender, ask };
                self.actions.push(action);
            }
            CatalogMessage::Stops(news) => self.accept_stops(&news, now),
        }
        self.take_actions()
    }

    fn accept_stops(&mut self, news: &StopNews, now: Moment) {
        let new = self.stops.take_news(news, now);
        if !new.is_empty() {
            self.actions.push(CatalogAction::TakeStops(new));
        }
    }

    fn pass_stops_on(&mut self, now: Moment) {
        let Some(news) = self.stops.next_round(now) else {
            return;
        };
        for to in self.peers.choose(self.fanout(now), &mut self.random) {
            self.send(to, CatalogMessage::Stops(news.clone()));
        }
    }

    /// The answer to a balancer that holds `head`.
    #[must_use]
    pub fn answer_to(&self, head: &CatalogHead, now: Moment) -> CatalogMessage {
        CatalogMessage::Answer {
            sender: self.settings.own,
            age: self.age(now).unwrap_or(Duration::MAX),
            zones_age: now.since(self.zones_since),
            delta: Box::new(self.keeper.delta_since(head)),
        }
    }

    /// Takes the outcome of a call that [`CatalogAction::Call`] asked for.
    pub fn store_answered(
        &mut self,
        call: StoreCall,
        outcome: Result<StoreAnswer, StoreFailure>,
        now: Moment,
    ) -> Vec<CatalogAction> {
        match outcome {
            Ok(answer) => self.accept_store(call, answer, now),
            Err(failure) => self.store_failed(call, failure, now),
        }
        self.call_store(now);
        self.take_actions()
    }

    fn accept_store(&mut self, call: StoreCall, answer: StoreAnswer, now: Moment) {
        let brings = !answer.events.is_empty();
        self.note_confirmed(now);
        let returned = self.returned();
        self.reading
            .succeeded(answer.revision, brings, returned, now);
        if std::mem::take(&mut self.store_lost) {
            self.notice(CatalogNotice::StoreRegained);
        }
        let zones_before = self.keeper.head().zones;
        let (changed, errors) = match call {
            StoreCall::List => self.keeper.take_list(answer),
            StoreCall::Watch { .. } => self.keeper.take_events(answer),
        };
        if errors
            .iter()
            .any(|error| matches!(error, CatalogError::Table(_)))
        {
            self.reading.list_again();
        }
        for error in errors {
            self.notice(CatalogNotice::Refused(error));
        }
        self.note_zones(zones_before, now);
        self.become_ready(now);
        if changed {
            self.publish(None, now);
        }
    }

    fn store_failed(&mut self, call: StoreCall, failure: StoreFailure, now: Moment) {
        let read_before = self.reading.reads();
        let inputs = self.reading_inputs(now);
        self.reading.failed(failure, &inputs, now);
        if failure == StoreFailure::HistoryGone {
            return;
        }
        self.trouble = self.trouble.max(Some(self.trouble_time(call, now)));
        if !std::mem::replace(&mut self.store_lost, true) {
            self.notice(CatalogNotice::StoreLost(failure));
        }
        // The next in the draw takes over as soon as it hears of this.
        if read_before {
            self.send_heads(now);
        }
    }

    /// When the store had the trouble that a failed call shows. A watch whose connection went silent shows it only when
    /// it is overdue; the store may have answered others since, who would see trouble that came later.
    fn trouble_time(&self, call: StoreCall, now: Moment) -> Moment {
        let wait = match call {
            StoreCall::List => Duration::ZERO,
            StoreCall::Watch { wait, .. } => wait,
        };
        let overdue = now.since(self.called) >= wait;
        let answered_since = self.confirmed.is_some_and(|at| at > self.called);
        if overdue && answered_since {
            self.called
        } else {
            now
        }
    }

    fn accept_head(&mut self, message: &HeadMessage, now: Moment) {
        let random = &mut self.random;
        self.peers
            .hear(message.sender, message.reads, message.leaving, random, now);
        // One that starts knows nobody, and until it is told anything it cannot know of trouble
        // that the store had: it takes no flow for lost.
        if message.peers.is_empty() && !message.leaving {
            let reply = CatalogMessage::Head(self.head_message(now));
            self.send(message.sender, reply);
            if let Some(news) = self.stops.latest(now) {
                self.send(message.sender, CatalogMessage::Stops(news));
            }
        }
        for &peer in &message.peers {
            self.peers.name(peer, now);
        }
        for news in &message.readers {
            self.peers.pass_on(news, &mut self.random, now);
        }
        self.trouble = self.trouble.max(message.trouble.map(|age| now - age));
        let (held, offered) = (self.keeper.head(), message.head);
        if offered == held {
            self.confirm(message.age, now);
            return;
        }
        if self.is_conflict(&offered) {
            self.notice(CatalogNotice::Conflict(message.sender));
            self.reading.list_again();
        }
        let newer = offered.routes.revision > held.routes.revision
            || offered.targets.revision > held.targets.revision
            || offered.zones.revision > held.zones.revision;
        if newer {
            self.ask(message.sender, now);
            return;
        }
        // It lags: it asks when it sees this.
        let reply = CatalogMessage::Head(self.head_message(now));
        self.send(message.sender, reply);
    }

    fn is_conflict(&self, offered: &CatalogHead) -> bool {
        let held = self.keeper.head();
        let differs = |a: TableHead, b: TableHead| a.revision == b.revision && a.digest != b.digest;
        differs(held.routes, offered.routes)
            || differs(held.targets, offered.targets)
            || differs(held.zones, offered.zones)
    }

    fn ask(&mut self, peer: SocketAddrV4, now: Moment) {
        if self
            .asked
            .is_some_and(|asked| now.since(asked) < ASK_TIMEOUT)
        {
            return;
        }
        self.asked = Some(now);
        let message = self.ask_message();
        self.send(peer, message);
    }

    fn ask_message(&mut self) -> CatalogMessage {
        let whole = std::mem::take(&mut self.ask_whole);
        CatalogMessage::Ask {
            sender: self.settings.own,
            head: if whole {
                CatalogHead::default()
            } else {
                self.keeper.head()
            },
        }
    }

    fn accept_answer(
        &mut self,
        sender: SocketAddrV4,
        age: Duration,
        zones_since: Moment,
        delta: CatalogDelta,
        now: Moment,
    ) {
        self.asked = None;
        let zones_before = self.keeper.head().zones;
        let taken = self.keeper.take_delta(delta);
        self.note_zones(zones_before, zones_since);
        match taken {
            Ok(changed) => {
                self.confirm(age, now);
                if changed {
                    self.publish(Some(sender), now);
                }
            }
            Err(error) => {
                self.ask_whole = true;
                self.notice(CatalogNotice::Refused(error));
            }
        }
    }

    /// Notes when the evacuated zones were read, if they are others than before.
    fn note_zones(&mut self, before: TableHead, since: Moment) {
        if self.keeper.head().zones != before {
            self.zones_since = since;
        }
    }

    /// Another balancer that holds the same says how long ago the store confirmed it.
    fn confirm(&mut self, age: Duration, now: Moment) {
        if age > READY_AGE {
            return;
        }
        self.note_confirmed(now - age);
        self.become_ready(now);
    }

    fn note_confirmed(&mut self, at: Moment) {
        self.confirmed = Some(self.confirmed.map_or(at, |held| held.max(at)));
        if self.returned().is_none() && self.trouble.is_some_and(|trouble| at >= trouble) {
            self.returned = Some(at);
        }
    }

    fn become_ready(&mut self, now: Moment) {
        // Not before it is known which zones are evacuated: a flow placed in one is against the
        // operator's word.
        let head = self.keeper.head();
        let known = head.routes.revision > 0 && head.zones.revision > 0;
        let fresh = self.age(now).is_some_and(|age| age <= READY_AGE);
        self.ready |= known && fresh;
    }

    fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    fn publish(&mut self, from: Option<SocketAddrV4>, now: Moment) {
        let catalog = self.keeper.catalog().clone();
        self.notice(CatalogNotice::Taken {
            head: self.keeper.head(),
            version: catalog.version,
            from,
        });
        let changes = self.keeper.take_changes();
        self.actions
            .push(CatalogAction::Publish { catalog, changes });
        self.send_heads(now);
    }

    fn call_store(&mut self, now: Moment) {
        let inputs = self.reading_inputs(now);
        let call = self.reading.next_call(&inputs, &mut self.random, now);
        if call.is_some() {
            self.called = now;
        }
        self.actions.extend(call.map(CatalogAction::Call));
    }

    fn reading_inputs(&self, now: Moment) -> ReadingInputs {
        let head = self.keeper.head();
        ReadingInputs {
            drawn: self.draw_place(now),
            holds_catalog: head.routes.revision > 0,
            age: self.age(now),
            members: self.peers.known_count(now) + 1,
            is_large: self.peers.is_large(now),
            revision: head
                .targets
                .revision
                .min(head.routes.revision)
                .min(head.zones.revision),
        }
    }

    fn draw_place(&self, now: Moment) -> Option<usize> {
        let reads = self.reading.reads();
        self.peers.draw_place(reads, self.age(now), now)
    }

    fn note_members(&mut self, now: Moment) {
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
            GREETING_INTERVAL
        };
        self.next_head = now + interval;
        let message = self.head_message(now);
        for to in self.peers.choose(self.fanout(now), &mut self.random) {
            self.send(to, CatalogMessage::Head(message.clone()));
        }
    }

    /// To how many others a message goes at a time.
    fn fanout(&self, now: Moment) -> usize {
        if self.peers.is_large(now) {
            LARGE_FANOUT
        } else {
            SMALL_FANOUT
        }
    }

    fn head_message(&mut self, now: Moment) -> HeadMessage {
        let own = ReaderNews {
            address: self.settings.own,
            age: Duration::ZERO,
            reads: self.reading.reads(),
            leaving: self.leaving,
        };
        HeadMessage {
            sender: self.settings.own,
            head: self.keeper.head(),
            age: self.age(now).unwrap_or(Duration::MAX),
            reads: own.reads,
            trouble: self.trouble.map(|at| now.since(at)),
            leaving: own.leaving,
            peers: self.peers.sample(now, &mut self.random),
            readers: self.peers.reader_news(&own, now),
        }
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
