//! The balancer's side: decides where a client's packet goes.
//!
//! ```text
//! first packet of a flow      an offer to the candidate with the lowest load, with alternatives
//! known flow                  its agent
//! unknown flow                all its candidates
//! no route or no target       an immediate reset: the flow never opened, so nothing ran
//! flow lost with its target   a reset, so that the client retries elsewhere
//! ```

mod budget;
mod entry;
mod hello;
mod holders;
mod loss;
mod offer;
mod relay;
mod schedule;
mod search;
mod search_answers;
mod search_frames;
mod search_timers;
mod window;

use std::collections::VecDeque;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use lovagelatch_catalog::AgentStop;
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use parking_lot::{Mutex, MutexGuard};
use smallvec::SmallVec;

use self::budget::SearchBudget;
use self::entry::{EntryState, FlowEntry, FlowSearch};
pub use self::hello::HelloRecipients;
use self::hello::HelloSchedule;
pub(crate) use self::holders::possible_holders;
use self::schedule::SearchSchedule;
pub use self::search::DueSearch;
pub use self::search_frames::SearchFrames;
pub use self::window::SearchCounts;
use self::window::SearchWindow;
use crate::flow_table::FlowTable;
use crate::frame::{
    FlowEvent, FlowUpdate, FramePurpose, LoadReport, PacketFrame, SearchResult, ZoneNotice,
};
use crate::load::LoadTable;
use crate::packet::{FlowKey, FlowPacket};
use crate::view::FlowView;

/// Shards of the flow table, each under its own lock.
const SHARD_COUNT: usize = 16;

/// Capacity of a shard: 16 shards of 16,384 entries of about 100 bytes take 26 MB, which fits a
/// balancer's memory. A flow that does not fit is searched for on every packet.
const MAX_FLOWS_PER_SHARD: usize = 16_384;

/// Limit on concurrent searches per shard.
const MAX_SEARCHES_PER_SHARD: usize = 1_024;

/// How long an offer waits for the target's answer before the next target is offered the flow.
/// Twenty times a normal exchange, and short compared with any caller's latency objective. If a
/// second target accepts as well, that costs one connection.
const OFFER_TIMEOUT: Duration = Duration::from_millis(60);

/// Limit on offers per first packet; after them, the client's retransmissions give further chances.
const MAX_OFFERS: usize = 3;

/// Retransmissions of a first packet arrive within this window; a later first packet from the same
/// port opens a new flow.
const RETRANSMIT_WINDOW: Duration = Duration::from_millis(1_500);

/// How long after its announcement a leaving target may still get a flow that no other target
/// accepts. Users allow 3 s after the announcement, which itself may take 1 s to arrive.
const LAST_RESORT_WINDOW: Duration = Duration::from_millis(800);

/// Limit on alternative targets in an offer.
const MAX_ALTERNATIVES: usize = 4;

/// Why a client's first packet was answered with a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The packet's address belongs to no route.
    NoRoute,
    /// No target of the route's services accepts new flows.
    NoTarget,
    /// The only targets that could accept it are in evacuated zones.
    Evacuated,
}

/// Why an open flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// Every possible holder reported the flow as absent.
    Unheld,
    /// Its target is gone from the store, and its agent is silent or announced that it is stopping.
    TargetGone,
    /// Its agent is silent, so nothing can be delivered. Only for routes whose requests are
    /// idempotent.
    AgentSilent,
}

/// A reset of an open flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow to reset.
    pub flow: FlowKey,
    /// The client's last acknowledgement number; the reset must carry a number near it.
    pub acknowledged: u32,
    /// Why the flow is lost.
    pub reason: LossReason,
}

/// Where a new flow was offered, and why; used for logging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedFlow {
    /// The agent beside the chosen target.
    pub agent: AgentAddress,
    /// The service of the chosen target.
    pub service: ServiceId,
    /// The score of the chosen target; lower is better.
    pub score: f32,
    /// The number of targets that could have been chosen.
    pub choices: u16,
    /// The age of the load report behind the score; `None` if there is none.
    pub load_age: Option<Duration>,
    /// The number of earlier offers of this flow.
    pub attempt: u16,
}

/// What to do with a client's packet.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerStep {
    /// Send the packet to an agent.
    Send {
        /// The agent's address.
        to: AgentAddress,
        /// The frame that carries the packet.
        frame: PacketFrame,
        /// The placement, if the packet opens a new flow.
        placed: Option<PlacedFlow>,
        /// An agent that relays a copy of the frame, because `to` is silent.
        relay: Option<AgentAddress>,
    },
    /// Query agents for the flow, with these frames. Empty while the search waits for others to end;
    /// [`FlowBalancer::due_searches`] then returns the first queries.
    Search(SearchFrames),
    /// Answer with a reset: the flow never opened.
    Reset(RefusalReason),
    /// Answer with a reset: the flow is lost.
    Lost,
    /// No configuration is known yet: decide again when there is one.
    Hold,
    /// Discard the packet: there is no agent to send it to now.
    Drop,
}

/// An offer that timed out, to be made to the next target.
#[derive(Clone, Debug, PartialEq)]
pub struct DueOffer {
    /// The flow to offer.
    pub flow: FlowKey,
    /// The first packet as it was received.
    pub bytes: SmallVec<[u8; 64]>,
    /// The agent that did not answer.
    pub silent: AgentAddress,
    /// The agent that gets the offer now.
    pub to: AgentAddress,
    /// The frame that carries the packet.
    pub frame: PacketFrame,
    /// The new placement.
    pub placed: PlacedFlow,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingOffer {
    due: Moment,
    flow: FlowKey,
    bytes: SmallVec<[u8; 64]>,
}

/// The result of handling an agent's message about a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// The reset to send, if the message proves that the flow is lost.
    pub reset: Option<FlowReset>,
    /// The time from the first offer of a new flow to its target's answer.
    pub answered_after: Option<Duration>,
}

/// One shard of the flow table.
#[derive(Debug)]
struct FlowShard {
    flows: FlowTable<FlowEntry>,
    searches: FlowTable<FlowSearch>,
}

/// The state from which a balancer decides about packets, shared by its packet threads.
#[derive(Debug)]
pub struct FlowBalancer {
    own_address: AgentAddress,
    shards: Box<[Mutex<FlowShard>]>,
    loads: Mutex<LoadTable>,
    /// Invariant: ordered by due time, since the timeout is the same for all.
    pending: Mutex<VecDeque<PendingOffer>>,
    budget: Mutex<SearchBudget>,
    schedule: Mutex<SearchSchedule>,
    /// Locked after a shard, and released before any other lock is taken.
    window: Mutex<SearchWindow>,
    hellos: Mutex<HelloSchedule>,
    /// The latest packet whose flow may be lost, for which the view has to be verified.
    verification_request: Mutex<Option<Moment>>,
    /// Whether the view of the last [`due_searches`](Self::due_searches) call was complete.
    view_was_complete: AtomicBool,
}

impl FlowBalancer {
    /// Creates a balancer that listens for agents at `own_address`.
    #[must_use]
    pub fn new(own_address: AgentAddress) -> Self {
        let shard = || {
            Mutex::new(FlowShard {
                flows: FlowTable::new(MAX_FLOWS_PER_SHARD),
                searches: FlowTable::new(MAX_SEARCHES_PER_SHARD),
            })
        };
        Self {
            own_address,
            shards: (0..SHARD_COUNT).map(|_| shard()).collect(),
            loads: Mutex::default(),
            pending: Mutex::default(),
            budget: Mutex::new(SearchBudget::new()),
            schedule: Mutex::default(),
            window: Mutex::default(),
            hellos: Mutex::new(HelloSchedule::new(own_address)),
            verification_request: Mutex::default(),
            view_was_complete: AtomicBool::new(false),
        }
    }

    /// Limits searches to a share of a link with `link_bytes` bytes per second.
    #[must_use]
    pub fn with_link(mut self, link_bytes: u64) -> Self {
        self.budget = Mutex::new(SearchBudget::with_link(link_bytes));
        self
    }

    /// Returns the address at which this balancer listens for agents.
    #[must_use]
    pub fn own_address(&self) -> AgentAddress {
        self.own_address
    }

    /// Returns the number of flows in the flow table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        let counts = self.shards.iter().map(|shard| shard.lock().flows.len());
        counts.sum()
    }

    /// Returns the agent that this balancer believes to hold a flow, for operators.
    #[must_use]
    pub fn agent_of(&self, flow: &FlowKey) -> Option<AgentAddress> {
        let shard = self.shard(flow.point()).lock();
        shard.flows.get(flow).map(|entry| entry.agent)
    }

    /// Returns how many searches are in flight and waiting, and how many packets caused no query.
    #[must_use]
    pub fn search_counts(&self) -> SearchCounts {
        self.window.lock().counts()
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadTable> {
        self.loads.lock()
    }

    /// Decides what to do with a client's packet. `bytes` is the whole packet, kept while an offer
    /// or a search is waiting for answers.
    pub fn handle_packet(
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
            return self.handle_opening(packet, bytes, view, now);
        }
        let mut shard = self.shard(packet.flow.point()).lock();
        if let Some(entry) = shard.flows.get_mut(&packet.flow) {
            entry.last_packet = now;
            entry.acknowledged = packet.acknowledged;
            if entry.state == EntryState::Lost {
                return BalancerStep::Lost;
            }
            let mut loads = self.loads.lock();
            loads.record_sent(entry.agent, entry.service, now);
            let relay = self.relay_for(entry, packet.flow.point(), &loads, view, now);
            return self.forward_known(entry, relay);
        }
        drop(shard);
        self.search(packet, bytes, None, view, now)
    }

    /// Handles a packet that an agent returned because its target does not hold the flow. `bytes`
    /// is the whole packet, kept while the flow is searched for.
    pub fn handle_returned_packet(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        agent: AgentAddress,
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        let mut shard = self.shard(packet.flow.point()).lock();
        let known = shard.flows.get(&packet.flow);
        if known.is_some_and(|entry| entry.agent == agent && entry.state != EntryState::Lost) {
            shard.flows.remove(&packet.flow);
        }
        drop(shard);
        self.search(packet, bytes, Some(agent), view, now)
    }

    /// Handles an agent's message about a flow.
    pub fn handle_flow_update(&self, update: &FlowUpdate, now: Moment) -> UpdateOutcome {
        self.loads.lock().record_report(&update.load, now);
        let mut outcome = UpdateOutcome::default();
        match update.event {
            FlowEvent::Answered => outcome.answered_after = self.record_answered(update, now),
            FlowEvent::Opened => self.record_opened(update, now),
            FlowEvent::Absent => outcome.reset = self.record_absent(update, now),
            FlowEvent::Refused => self.record_refused(update),
        }
        outcome
    }

    /// Handles the result of a search that an agent made for this balancer. Returns a
    /// reset if the result proves that no agent holds the flow.
    pub fn handle_search_result(&self, result: &SearchResult, now: Moment) -> Option<FlowReset> {
        self.record_search_result(result, now)
    }

    /// Records an agent's load report.
    pub fn record_load(&self, report: &LoadReport, now: Moment) {
        self.loads.lock().record_report(report, now);
    }

    /// Records stops that agents announced to other balancers.
    pub fn record_stops(&self, stops: &[AgentStop], now: Moment) {
        let mut loads = self.loads.lock();
        for stop in stops {
            loads.record_stop(stop, now);
        }
    }

    /// Sets the time since when every stop of an agent is known. Without a call, all are assumed
    /// known.
    pub fn set_stops_known_since(&self, since: Moment) {
        self.loads.lock().set_stops_known_since(since);
    }

    /// Returns the stops that agents announced to this balancer directly, which the caller relays to
    /// the other balancers.
    #[must_use]
    pub fn stops_to_relay(&self, now: Moment) -> Vec<AgentStop> {
        self.loads.lock().stops_to_relay(now)
    }

    /// Returns whether a load report announces a stop that this balancer has relayed.
    #[must_use]
    pub fn confirms_stop(&self, report: &LoadReport) -> bool {
        report.leaving && self.loads.lock().is_stop_relayed(report.agent)
    }

    /// Returns the zone notice for an agent whose report shows an older zone revision than this
    /// balancer's; `None` if the agent is up to date, or if its zone is unknown here.
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
        view.zones.notice_for(target.zone, now)
    }

    /// Returns when [`due_offers`](Self::due_offers) or [`due_searches`](Self::due_searches) has
    /// work to do next.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        let search = self.schedule.lock().next_due();
        let waiting = self.window.lock().next_due();
        let offer = self.next_offer();
        search.into_iter().chain(waiting).chain(offer).min()
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

    /// Returns the offers that timed out, each made to the next target.
    pub fn due_offers(&self, view: &FlowView, now: Moment) -> Vec<DueOffer> {
        let mut due = Vec::new();
        loop {
            let mut pending = self.pending.lock();
            let Some(first) = pending.pop_front_if(|first| first.due <= now) else {
                return due;
            };
            drop(pending);
            due.extend(self.reoffer(first, view, now));
        }
    }

    /// Returns the agents to probe now.
    pub fn due_probes(&self, now: Moment) -> Vec<AgentAddress> {
        self.loads.lock().due_probes(now)
    }

    /// Returns whether this balancer is isolated: it hears no agent, so its clients are better
    /// served by another one.
    #[must_use]
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.loads.lock().is_isolated(now)
    }

    /// Expires flows, searches and load reports that have been idle for `idle`. Sweeps flows and
    /// searches only at intervals.
    pub fn expire_idle(&self, idle: Duration, now: Moment) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.flows.expire_idle(idle, now);
            shard.searches.expire_idle(idle, now);
        }
        self.loads.lock().expire_idle(idle, now);
    }

    fn shard(&self, point: u64) -> &Mutex<FlowShard> {
        // Uses the high bits, because the low bits decide the place on the ring.
        let index = usize::try_from(point >> 60).unwrap_or(0);
        &self.shards[index % SHARD_COUNT]
    }

    fn is_unanswered(&self, flow: &FlowKey) -> bool {
        let shard = self.shard(flow.point()).lock();
        let entry = shard.flows.get(flow);
        entry.is_some_and(|entry| entry.state == EntryState::Offered)
    }

    fn forward_known(&self, entry: &FlowEntry, relay: Option<AgentAddress>) -> BalancerStep {
        let others = entry.offered.iter();
        let others = others.filter(|other| other.agent != entry.agent);
        BalancerStep::Send {
            to: entry.agent,
            frame: PacketFrame {
                rest: others.map(|other| other.as_candidate()).collect(),
                ..PacketFrame::new(FramePurpose::Known, entry.service, self.own_address)
            },
            placed: None,
            relay,
        }
    }

    fn record_answered(&self, update: &FlowUpdate, now: Moment) -> Option<Duration> {
        let mut shard = self.shard(update.flow.point()).lock();
        let entry = shard.flows.get_mut(&update.flow)?;
        if entry.state != EntryState::Offered {
            return None;
        }
        entry.state = EntryState::Answered;
        entry.agent = update.load.agent;
        entry.service = update.load.service;
        Some(now.since(entry.created))
    }

    /// Removes a flow that an agent refused: its client was sent a reset, so it must not be offered
    /// to another target.
    fn record_refused(&self, update: &FlowUpdate) {
        let mut shard = self.shard(update.flow.point()).lock();
        let known = shard.flows.get(&update.flow);
        if known.is_some_and(|entry| entry.state == EntryState::Offered) {
            shard.flows.remove(&update.flow);
        }
    }

    fn record_opened(&self, update: &FlowUpdate, now: Moment) {
        let (agent, service) = (update.load.agent, update.load.service);
        let mut shard = self.shard(update.flow.point()).lock();
        let search = self.remove_search(&mut shard, &update.flow);
        if let Some(entry) = shard.flows.get_mut(&update.flow) {
            entry.state = EntryState::Open;
            entry.agent = agent;
            entry.service = service;
            entry.offered.clear();
            return;
        }
        let mut entry = FlowEntry::new(agent, service, EntryState::Open, now);
        entry.acknowledged = search.map_or(0, |search| search.acknowledged);
        shard
            .flows
            .insert(update.flow, entry, RETRANSMIT_WINDOW * 10, now);
    }
}
