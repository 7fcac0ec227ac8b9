//! Searches for flows that this balancer does not know, because another balancer placed them or its
//! flow table was lost.
//!
//! First the flow's candidates are queried, all at once and with the packet itself. The agent whose
//! target holds the flow delivers the packet and sends an update; the others report it as absent.
//! This costs a few datagrams for the first packet of a flow that moved, and a dead agent among the
//! candidates delays nothing.
//!
//! A search must not end without a result: after a power loss, every client keeps sending on flows
//! that no longer exist, and each would lose a request to its deadline before it opens a new flow.
//! So when the candidates have all reported the flow as absent, or do not answer, the packet is
//! shown to all other possible holders, and when all of these have reported it as absent, the flow
//! is reset. The second phase also finds a flow whose target is no longer a candidate because many
//! other targets have joined.
//!
//! A search continues on timers ([`FlowBalancer::due_searches`]), not only with the client's
//! packets. A client retransmits after 200 ms, then after 400 and 800 more, so waiting for its next
//! packet at each phase would cost a request most of its time.
//!
//! ```text
//! candidates queried --all absent--> all holders queried --all absent--> lost
//!         |                               |
//!         +--- some silent for 150 ms ----+--> silent ones queried again --every 250 ms--> lost,
//!                                              if none of them can still hold it and be reached
//! ```
//!
//! Which agents are silent is learned once and shared by all searches
//! ([`FlowBalancer::drop_silent`]). The more agents are queried, the more likely one of them is
//! away, and each search would wait for it again.
//!
//! While the view may lack targets, absence at all known holders proves nothing. These answers stay
//! valid, because an open flow does not move to a target that does not hold it. So the search waits
//! until the view is complete, queries the holders that are new in it, and ends.
//!
//! A view may also lack a target that the store has listed since: other balancers may have heard of
//! it first and placed the flow there. So before a flow counts as lost, the view must have been
//! compared with the store after the flow's packet arrived
//! ([`FlowBalancer::take_verification_request`]).
//!
//! Possible holders are all targets that the store lists, also those of services that the
//! configuration does not name: it may have dropped a service whose flows are still open. Such an
//! entry may instead belong to another writer and name an address without an agent. Whether there is
//! one is learned from the agent itself ([`LoadTable::is_vacant`](crate::load::LoadTable::is_vacant)).
//!
//! Agents in regions that must not see the packet are only asked whether they hold the flow
//! ([`PeerFrame::Locate`](crate::frame::PeerFrame::Locate)).
//!
//! The work of searching must not grow with what fails. So only a few searches have queries in
//! flight, and the others wait in order ([`SearchWindow`](super::window::SearchWindow)); a flow's
//! absence at a target stays known when a search begins again; and copies of a client's packet
//! query nobody whose answer is not overdue.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{FlowSearch, SearchPhase};
use super::holders::{self, QueriedAgents};
use super::search_frames::SearchFrames;
use super::search_timers::WidenOutcome;
use super::{BalancerStep, FlowBalancer, FlowReset, FlowShard};
use crate::packet::{FlowKey, FlowPacket};
use crate::view::{FlowRoute, FlowView};

/// After this time a search begins again with the client's next packet: its target may have been
/// listed meanwhile, and silent agents may be back.
const SEARCH_TTL: Duration = Duration::from_secs(2);

/// How long a flow's absence at a target is taken for granted. A client may open a new flow from the
/// same port through another balancer, which this one does not notice, so the time has to be bounded;
/// a flow that was found to be lost is remembered for longer (15 s). After a power loss the view may
/// be incomplete for some seconds, in which no agent needs to be queried twice.
const ABSENCE_TTL: Duration = Duration::from_secs(6);

/// Minimum interval between queries for packets without data. A client in the middle of a download
/// sends dozens of acknowledgements, each covers all before it, and each query costs a datagram to
/// every agent. Without this limit, an agent received a thousand of them per second after a power
/// loss.
const MIN_REQUERY_INTERVAL: Duration = Duration::from_millis(30);

/// An answer that takes longer than this is overdue, so a copy of the client's packet may query its
/// agent again. Exceeds the time that a delegate waits for others, and a round trip.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(75);

/// How long queried agents have for their answer before the search continues without them. A dead
/// agent never answers; a normal answer takes some milliseconds.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// How long after an inconclusive search the next packet may start another one: the flow's target
/// may be in the view by then. Less than the 200 ms after which a client retransmits; a client in
/// the middle of a download sends dozens of packets in that time.
const RESTART_INTERVAL: Duration = Duration::from_millis(150);

/// How long a search without budget to query all holders waits before it tries again.
pub(super) const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// The next step of a search that is waiting for answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueSearch {
    /// More agents are queried, or silent ones again.
    Query {
        /// The flow that is searched for.
        flow: FlowKey,
        /// The client's packet, sent after each frame.
        bytes: Box<[u8]>,
        /// The frames to send.
        frames: SearchFrames,
    },
    /// No target holds the flow.
    Lost(FlowReset),
    /// The flow has more possible holders than a single search may query, so it stays unknown
    /// whether it is lost.
    Abandoned {
        /// The flow that was searched for.
        flow: FlowKey,
        /// The number of agents that would have to be queried.
        holders: usize,
    },
}

impl FlowBalancer {
    /// Queries the possible holders of the packet's flow, except for `except`, which does not hold
    /// it.
    pub(super) fn search(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        except: Option<AgentAddress>,
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        let flow = packet.flow;
        let Some(route) = view.route(&flow) else {
            return BalancerStep::Drop;
        };
        let mut shard = self.shard(flow.point()).lock();
        if let Some(search) = shard.searches.get_mut(&flow) {
            if !search.may_restart(now) {
                return self.search_again(packet, bytes, search, view, now);
            }
            search.restart(packet, bytes, now);
            let step = self.begin_or_wait(flow, search, view, now);
            return step.unwrap_or(BalancerStep::Drop);
        }
        let mut search = FlowSearch::new(packet, bytes, route.idempotent, now);
        if let Some(agent) = except {
            search.record_returned(agent, now);
        }
        let Some(step) = self.begin_or_wait(flow, &mut search, view, now) else {
            return BalancerStep::Drop;
        };
        shard.searches.insert(flow, search, SEARCH_TTL, now);
        step
    }

    /// Begins a search if the window permits it; otherwise the search waits for its turn. Returns
    /// `None` if there is no room for it to wait.
    fn begin_or_wait(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> Option<BalancerStep> {
        let mut window = self.window.lock();
        if window.try_enter_new(flow, now) {
            drop(window);
            let agents = self.begin_search(flow, search, view, now);
            return Some(self.query_step(flow, search, agents, now));
        }
        if !window.push_waiting(flow) {
            window.record_suppressed();
            return None;
        }
        search.is_waiting = true;
        Some(BalancerStep::Search(SearchFrames::new()))
    }

    /// Begins a search that is in the window: with the flow's candidates, or with all possible
    /// holders if there are few or if the candidates were queried before. Returns the agents to
    /// query.
    pub(super) fn begin_search(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> QueriedAgents {
        let Some(route) = view.route(&flow) else {
            self.window.lock().leave(&flow);
            return QueriedAgents::new();
        };
        search.view_complete = view.is_complete();
        search.view_verified = view.verified_at >= search.created;
        let agents = self.first_agents(flow, search, route, view, now);
        search.is_repeated = true;
        self.drop_silent(search, view, now);
        if agents.is_empty() {
            self.window.lock().leave(&flow);
        }
        let is_delayed = search.phase == SearchPhase::Candidates && agents.is_empty();
        let wait = match (agents.is_empty(), is_delayed) {
            (false, _) => QUERY_TIMEOUT,
            (true, true) => BUDGET_RETRY_INTERVAL,
            (true, false) => Duration::ZERO,
        };
        self.reschedule(now + wait, flow, search);
        agents
    }

    fn first_agents(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        route: &FlowRoute,
        view: &FlowView,
        now: Moment,
    ) -> QueriedAgents {
        if holders::is_small_fleet(view, now) {
            let all = self.holders_to_query(view, now);
            return self.query_holders(all, search, route, view, now);
        }
        if search.is_repeated {
            match self.widen(flow, search, view, now) {
                WidenOutcome::Query(agents) => return agents,
                WidenOutcome::BudgetExhausted => {
                    search.phase = SearchPhase::Candidates;
                    return QueriedAgents::new();
                }
                WidenOutcome::TooManyHolders(_) => {}
            }
        }
        search.phase = SearchPhase::Candidates;
        let mut agents = pending_agents(search);
        let mut targets = holders::candidates(flow, route, view);
        search.exclude_regions(&mut targets, route, view, now);
        let targets = search.not_queried(targets);
        agents.extend(search.add_queries(targets.into_iter(), now));
        agents
    }

    /// Handles another packet of a flow that is being searched for.
    fn search_again(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        let flow = packet.flow;
        if search.phase == SearchPhase::Inconclusive {
            return BalancerStep::Drop;
        }
        let is_acknowledgement = packet.data_bytes == 0;
        if now.since(search.last_packet) < MIN_REQUERY_INTERVAL && is_acknowledgement {
            return BalancerStep::Drop;
        }
        let is_new = search.record_packet(packet, bytes, now);
        let mut window = self.window.lock();
        if search.is_waiting || window.is_busy(now) {
            window.record_suppressed();
            return BalancerStep::Drop;
        }
        drop(window);
        let agents = self.agents_to_query(flow, search, is_new, view, now);
        if agents.is_empty() {
            self.window.lock().record_suppressed();
        }
        self.query_step(flow, search, agents, now)
    }

    /// Returns the agents that are shown another packet of a flow that is being searched for: those
    /// whose answer is overdue or which have not been shown this data, and, once the candidates have
    /// timed out, also those that have not been queried yet.
    fn agents_to_query(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        is_new: bool,
        view: &FlowView,
        now: Moment,
    ) -> QueriedAgents {
        let awaits_answers =
            !search.pending.is_empty() && now.since(search.started) < QUERY_TIMEOUT;
        let may_widen = search.phase == SearchPhase::Candidates && !awaits_answers;
        if may_widen
            && self.window.lock().try_enter(flow, now)
            && let WidenOutcome::Query(agents) = self.widen(flow, search, view, now)
        {
            return agents;
        }
        if search.phase == SearchPhase::Retried {
            return self.heard_since_query(search, now);
        }
        let pending = search.pending.iter();
        let shown =
            pending.filter(|query| is_new || now.since(query.queried_at) >= OVERDUE_TIMEOUT);
        shown.map(|query| query.holder).collect()
    }

    fn query_step(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        agents: QueriedAgents,
        now: Moment,
    ) -> BalancerStep {
        if agents.is_empty() {
            return BalancerStep::Drop;
        }
        BalancerStep::Search(self.search_frames(flow, search, agents, now))
    }

    /// Removes the search for a flow, if there is one.
    pub(super) fn remove_search(
        &self,
        shard: &mut FlowShard,
        flow: &FlowKey,
    ) -> Option<FlowSearch> {
        let search = shard.searches.remove(flow)?;
        self.window.lock().leave(flow);
        Some(search)
    }
}

pub(super) fn pending_agents(search: &FlowSearch) -> QueriedAgents {
    search.pending.iter().map(|query| query.holder).collect()
}

impl FlowSearch {
    /// Returns whether the flow's next packet begins the search again.
    fn may_restart(&self, now: Moment) -> bool {
        let is_retryable = self.phase == SearchPhase::Inconclusive
            && now.since(self.last_packet) >= RESTART_INTERVAL;
        !self.is_waiting && (is_retryable || self.is_stale(now))
    }

    /// Returns whether the search is so old that only another packet of the client continues it.
    pub(super) fn is_stale(&self, now: Moment) -> bool {
        now.since(self.started) >= SEARCH_TTL
    }

    /// Returns whether the client has sent nothing for so long that it has given the flow up. A
    /// client that still waits retransmits after 1.6 s at the latest.
    pub(super) fn is_deserted(&self, now: Moment) -> bool {
        now.since(self.last_packet) >= SEARCH_TTL
    }

    /// Begins the search again for another packet. Absences at targets stay known for
    /// [`ABSENCE_TTL`].
    fn restart(&mut self, packet: &FlowPacket, bytes: &[u8], now: Moment) {
        self.record_packet(packet, bytes, now);
        self.bytes = bytes.into();
        self.renew(now);
    }

    /// Begins the search again for the packet that it has.
    pub(super) fn renew(&mut self, now: Moment) {
        self.started = now;
        self.phase = SearchPhase::Candidates;
        self.holder_excluded = false;
        self.excluded.clear();
        self.located = 0;
        self.holder_unreachable = false;
        let Self {
            queried, pending, ..
        } = self;
        queried.retain(|queried| {
            let is_known = queried.absent && now.since(queried.at) < ABSENCE_TTL;
            let mut pending = pending.iter();
            is_known || pending.any(|query| query.holder.agent == queried.agent)
        });
    }

    /// Records another packet of the client. Returns whether it carries data that this search has
    /// not shown to agents.
    fn record_packet(&mut self, packet: &FlowPacket, bytes: &[u8], now: Moment) -> bool {
        self.last_packet = now;
        self.acknowledged = packet.acknowledged;
        let end = packet.end();
        let is_new = packet.data_bytes > 0 && end.wrapping_sub(self.client_end).cast_signed() > 0;
        if is_new {
            if self.is_waiting && !self.has_data {
                self.bytes = bytes.into();
            }
            self.client_end = end;
            self.has_data = true;
        }
        is_new
    }
}
