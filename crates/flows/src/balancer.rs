//! The balancer's side: where a client's packet goes.
//!
//! ```text
//! first packet of a flow   the best of its candidates by load, as an offer with the next best
//! known flow               its agent
//! unknown flow             all its candidates
//! no route, no target      a reset at once: the flow never opened, so nothing ran
//! flow lost with its target  a reset, so that the client asks elsewhere
//! ```

mod asking;
mod budget;
mod entry;
mod loss;
mod offer;
mod relay;
mod schedule;
mod search;
mod search_frames;

use std::collections::VecDeque;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use lovagelatch_catalog::AgentStop;
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use parking_lot::{Mutex, MutexGuard};
use smallvec::SmallVec;

pub(crate) use self::asking::possible_holders;
use self::budget::SearchBudget;
use self::entry::{EntryState, FlowEntry, FlowSearch};
use self::schedule::SearchSchedule;
pub use self::search::DueSearch;
pub use self::search_frames::SearchFrames;
use crate::frame::{
    ErrandWord, FlowEvent, FlowNote, FramePurpose, LoadReport, PacketFrame, ZoneNotice,
};
use crate::load::LoadBoard;
use crate::memory::FlowMemory;
use crate::packet::{FlowKey, FlowPacket};
use crate::view::FlowView;

/// Parts of the flow memory, each under its own lock.
const SHARDS: usize = 16;

/// Flows remembered in a shard at most; 16 shards of 16,384 entries of about 100 bytes are
/// 26 MB, within a balancer's memory. A flow beyond them is searched for at each packet.
const SHARD_FLOWS: usize = 16_384;

/// Searches under way in a shard at most.
const SHARD_SEARCHES: usize = 1_024;

/// How long an offer waits for the target's answer before the next one is asked. Twenty times
/// what a calm exchange takes; short against any caller's objective. A second target that
/// accepts as well costs a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Offers of one packet at most; after them the client's own copies are further chances.
const MAX_OFFERS: usize = 3;

/// Copies of a first packet come within this time; a later one from the same port is a new flow.
const COPY_SPAN: Duration = Duration::from_millis(1_500);

/// How long a leaving target may still be given a flow that nobody else can take. The users
/// allow 3 s after its announcement; the announcement itself may have taken one to arrive.
const LAST_RESORT_SPAN: Duration = Duration::from_millis(800);

/// Next best targets that travel with an offer.
const OFFER_REST: usize = 4;

/// Why a client's first packet got a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No route has the packet's address.
    NoRoute,
    /// The route's services have no target that may take a flow.
    NoTarget,
    /// The targets that could take it are in evacuated zones.
    Evacuated,
}

/// Why an open flow got a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// Everybody who could hold it said that they do not.
    Unheld,
    /// Its target is gone from the store and its agent is silent or said that it stops.
    TargetGone,
    /// Its agent is silent, so nothing can be delivered; its requests may be run again.
    AgentSilent,
}

/// A reset of an open flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowKey,
    /// What its client last acknowledged.
    pub acknowledged: u32,
    /// Why.
    pub reason: LossReason,
}

/// A decision about where a new flow was offered, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedFlow {
    /// The agent chosen.
    pub agent: AgentAddress,
    /// Its service.
    pub service: ServiceId,
    /// Its score; lower is better.
    pub score: f32,
    /// How many targets could have been chosen.
    pub choices: u16,
    /// How old the load behind the score is; `None` when nothing is known.
    pub load_age: Option<Duration>,
    /// How often this flow had been offered before.
    pub attempt: u16,
}

/// What to do with a client's packet.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerStep {
    /// Send it to an agent.
    Send {
        /// Where.
        to: AgentAddress,
        /// In which frame.
        frame: PacketFrame,
        /// The decision, when a new flow was placed.
        placed: Option<PlacedFlow>,
        /// An agent through which the same frame goes as well, because this one is silent.
        through: Option<AgentAddress>,
    },
    /// Show it to agents, in these frames.
    Search(SearchFrames),
    /// Answer with a reset: the flow never opened.
    Reset(RefusalReason),
    /// Answer with a reset: the flow is lost.
    Lost,
    /// No configuration is known yet: decide about it again when one is.
    Hold,
    /// Nobody can be asked.
    Drop,
}

/// An offer that nobody answered in time, to be made to the next target.
#[derive(Clone, Debug, PartialEq)]
pub struct DueOffer {
    /// The flow.
    pub flow: FlowKey,
    /// The first packet as it was received.
    pub bytes: SmallVec<[u8; 64]>,
    /// The agent that did not answer.
    pub silent: AgentAddress,
    /// Where it goes now.
    pub to: AgentAddress,
    /// In which frame.
    pub frame: PacketFrame,
    /// The decision.
    pub placed: PlacedFlow,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingOffer {
    due: Moment,
    flow: FlowKey,
    bytes: SmallVec<[u8; 64]>,
}

/// What an agent's word led to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoteOutcome {
    /// A flow that is known to be lost by it.
    pub reset: Option<FlowReset>,
    /// How long a new flow's target took to answer, from the first offer on.
    pub answered_after: Option<Duration>,
}

/// A part of the flow memory.
#[derive(Debug)]
struct FlowShard {
    flows: FlowMemory<FlowEntry>,
    searches: FlowMemory<FlowSearch>,
}

/// Decides for a balancer. Shared by its packet threads.
#[derive(Debug)]
pub struct FlowBalancer {
    own: AgentAddress,
    shards: Box<[Mutex<FlowShard>]>,
    loads: Mutex<LoadBoard>,
    /// Invariant: in the order of their due times, since the timeout is the same for all.
    pending: Mutex<VecDeque<PendingOffer>>,
    budget: Mutex<SearchBudget>,
    schedule: Mutex<SearchSchedule>,
    /// Whether the view that searches went by last was complete.
    complete: AtomicBool,
}

impl FlowBalancer {
    /// A balancer that listens for agents at `own`.
    #[must_use]
    pub fn new(own: AgentAddress) -> Self {
        let shard = || {
            Mutex::new(FlowShard {
                flows: FlowMemory::new(SHARD_FLOWS),
                searches: FlowMemory::new(SHARD_SEARCHES),
            })
        };
        Self {
            own,
            shards: (0..SHARDS).map(|_| shard()).collect(),
            loads: Mutex::default(),
            pending: Mutex::default(),
            budget: Mutex::new(SearchBudget::new()),
            schedule: Mutex::default(),
            complete: AtomicBool::new(false),
        }
    }

    /// The same behind a link of so many bytes a second, of which searches fill a part at most.
    #[must_use]
    pub fn with_link(mut self, link_bytes: u64) -> Self {
        self.budget = Mutex::new(SearchBudget::with_link(link_bytes));
        self
    }

    /// Where it listens for agents.
    #[must_use]
    pub fn own(&self) -> AgentAddress {
        self.own
    }

    /// How many flows are remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        let counts = self.shards.iter().map(|shard| shard.lock().flows.len());
        counts.sum()
    }

    /// Where a flow is taken to be, for operators.
    #[must_use]
    pub fn agent_of(&self, flow: &FlowKey) -> Option<AgentAddress> {
        let shard = self.shard(flow.point()).lock();
        shard.flows.get(flow).map(|entry| entry.agent)
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadBoard> {
        self.loads.lock()
    }

    /// Decides about a client's packet. `bytes` is the whole packet, kept while an offer or
    /// a search waits for answers.
    pub fn take_packet(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        if !view.is_known() {
            return BalancerStep::Hold;
        }
        if packet.opens() {
            return self.take_opening(packet, bytes, view, now);
        }
        let mut shard = self.shard(packet.flow.point()).lock();
        if let Some(entry) = shard.flows.get_mut(&packet.flow) {
            entry.last = now;
            entry.acknowledged = packet.acknowledged;
            if entry.state == EntryState::Lost {
                return BalancerStep::Lost;
            }
            let mut loads = self.loads.lock();
            loads.note_sent(entry.agent, entry.service, now);
            let through = self.relay_for(entry, packet.flow.point(), &loads, view, now);
            return self.to_known(entry, through);
        }
        drop(shard);
        self.search(packet, bytes, None, view, now)
    }

    /// Takes a packet that an agent sent back: its target does not hold the flow. `bytes` is the
    /// whole packet, kept while it is searched for.
    pub fn take_unknown(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        agent: AgentAddress,
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        let mut shard = self.shard(packet.flow.point()).lock();
        let held = shard.flows.get(&packet.flow);
        if held.is_some_and(|entry| entry.agent == agent && entry.state != EntryState::Lost) {
            shard.flows.remove(&packet.flow);
        }
        drop(shard);
        self.search(packet, bytes, Some(agent), view, now)
    }

    /// Takes an agent's word about a flow.
    pub fn take_note(&self, note: &FlowNote, now: Moment) -> NoteOutcome {
        self.loads.lock().take(&note.load, now);
        let mut outcome = NoteOutcome::default();
        match note.event {
            FlowEvent::Answered => outcome.answered_after = self.note_answered(note, now),
            FlowEvent::Opened => self.note_opened(note, now),
            FlowEvent::Absent => outcome.reset = self.note_absent(note, now),
            FlowEvent::Refused => self.note_refused(note),
        }
        outcome
    }

    /// Takes what came of a search that an agent made for this balancer; a reset when by it nobody
    /// holds the flow.
    pub fn take_errand_word(&self, word: &ErrandWord, now: Moment) -> Option<FlowReset> {
        self.note_errand_end(word, now)
    }

    /// Takes an agent's load.
    pub fn take_load(&self, report: &LoadReport, now: Moment) {
        self.loads.lock().take(report, now);
    }

    /// Takes what other balancers heard: these agents stop.
    pub fn take_stops(&self, stops: &[AgentStop], now: Moment) {
        let mut loads = self.loads.lock();
        for stop in stops {
            loads.take_stop(stop, now);
        }
    }

    /// Sets since when every agent's stop is known; before any word, since always.
    pub fn set_stops_since(&self, since: Moment) {
        self.loads.lock().set_stops_since(since);
    }

    /// The agents that told this balancer that they stop.
    #[must_use]
    pub fn heard_stops(&self, now: Moment) -> Vec<AgentStop> {
        self.loads.lock().heard_stops(now)
    }

    /// What to tell an agent whose report shows that it knows less of its zone than this balancer; `None`
    /// where it knows as much, or its zone is not known here.
    #[must_use]
    pub fn zone_notice(
        &self,
        report: &LoadReport,
        view: &FlowView,
        now: Moment,
    ) -> Option<ZoneNotice> {
        if report.zones_revision >= view.zones.revision {
            return None;
        }
        let mut targets = view.service(report.service)?.targets().iter();
        let target = targets.find(|target| target.agent == report.agent)?;
        view.zones.notice_of(target.zone, now)
    }

    /// When [`due_offers`](Self::due_offers) or [`due_searches`](Self::due_searches) has something
    /// to do next.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        let search = self.schedule.lock().next_due();
        let offer = self.next_offer();
        search.into_iter().chain(offer).min()
    }

    fn next_offer(&self) -> Option<Moment> {
        let mut pending = self.pending.lock();
        while let Some(first) = pending.front() {
            if self.is_unanswered(&first.flow) {
                return Some(first.due);
            }
            pending.pop_front();
        }
        None
    }

    /// The offers that were not answered in time, each made to the next target.
    pub fn due_offers(&self, view: &FlowView, now: Moment) -> Vec<DueOffer> {
        let mut due = Vec::new();
        loop {
            let mut pending = self.pending.lock();
            let Some(first) = pending.pop_front_if(|first| first.due <= now) else {
                return due;
            };
            drop(pending);
            due.extend(self.offer_again(first, view, now));
        }
    }

    /// The agents to probe now.
    pub fn due_probes(&self, now: Moment) -> Vec<AgentAddress> {
        self.loads.lock().due_probes(now)
    }

    /// Whether this balancer is cut off from all agents, and better sends its clients elsewhere.
    #[must_use]
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.loads.lock().is_isolated(now)
    }

    /// Forgets silent flows and targets, now and then.
    pub fn tend(&self, idle: Duration, now: Moment) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.flows.tend(idle, now);
            shard.searches.tend(idle, now);
        }
        self.loads.lock().forget_silent(idle, now);
    }

    fn shard(&self, point: u64) -> &Mutex<FlowShard> {
        // The top bits: the low ones decide the place on the ring.
        let index = usize::try_from(point >> 60).unwrap_or(0);
        &self.shards[index % SHARDS]
    }

    fn is_unanswered(&self, flow: &FlowKey) -> bool {
        let shard = self.shard(flow.point()).lock();
        let entry = shard.flows.get(flow);
        entry.is_some_and(|entry| entry.state == EntryState::Offered)
    }

    fn to_known(&self, entry: &FlowEntry, through: Option<AgentAddress>) -> BalancerStep {
        let others = entry.offered.iter();
        let others = others.filter(|other| other.agent != entry.agent);
        BalancerStep::Send {
            to: entry.agent,
            frame: PacketFrame {
                rest: others.map(|other| other.as_candidate()).collect(),
                ..PacketFrame::new(FramePurpose::Known, entry.service, self.own)
            },
            placed: None,
            through,
        }
    }

    fn note_answered(&self, note: &FlowNote, now: Moment) -> Option<Duration> {
        let mut shard = self.shard(note.flow.point()).lock();
        let entry = shard.flows.get_mut(&note.flow)?;
        if entry.state != EntryState::Offered {
            return None;
        }
        entry.state = EntryState::Answered;
        entry.agent = note.load.agent;
        entry.service = note.load.service;
        Some(now.since(entry.created))
    }

    /// The client has been told: nobody else is to be offered the flow.
    fn note_refused(&self, note: &FlowNote) {
        let mut shard = self.shard(note.flow.point()).lock();
        let held = shard.flows.get(&note.flow);
        if held.is_some_and(|entry| entry.state == EntryState::Offered) {
            shard.flows.remove(&note.flow);
        }
    }

    fn note_opened(&self, note: &FlowNote, now: Moment) {
        let (agent, service) = (note.load.agent, note.load.service);
        let mut shard = self.shard(note.flow.point()).lock();
        let search = shard.searches.remove(&note.flow);
        if let Some(entry) = shard.flows.get_mut(&note.flow) {
            entry.state = EntryState::Open;
            entry.agent = agent;
            entry.service = service;
            entry.offered.clear();
            return;
        }
        let mut entry = FlowEntry::new(agent, service, EntryState::Open, now);
        entry.acknowledged = search.map_or(0, |search| search.acknowledged);
        shard.flows.insert(note.flow, entry, COPY_SPAN * 10, now);
    }
}
