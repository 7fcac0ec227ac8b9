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

use std::sync::atomic::Ordering;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{EntryState, FlowEntry, FlowSearch, SearchPhase};
use super::holders::{self, QueriedAgents};
use super::loss::{GONE_TIMEOUT, UNREACHABLE_TIMEOUT};
use super::search_frames::{FrameBuilder, SearchFrames, delegated_bytes};
use super::{BalancerStep, FlowBalancer, FlowReset, FlowShard, LossReason, RETRANSMIT_WINDOW};
use crate::frame::{FlowUpdate, SearchResult};
use crate::packet::{FlowKey, FlowPacket};
use crate::view::FlowView;

/// Answers to a search that is older than this are ignored.
const SEARCH_TTL: Duration = Duration::from_secs(2);

/// Minimum interval between queries for packets without data. A client in the middle of a download
/// sends dozens of acknowledgements, each covers all before it, and each query costs a datagram to
/// every agent. Without this limit, an agent received a thousand of them per second after a power
/// loss.
const MIN_REQUERY_INTERVAL: Duration = Duration::from_millis(30);

/// How long queried agents have for their answer before the search continues without them. A dead
/// agent never answers; a normal answer takes some milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// While at most this many of a flow's candidates have not answered, the second phase waits for
/// them only for a multiple of the time that the others took. An agent that has just stopped never
/// answers, and the flow may be held elsewhere. After a restart of all processes beside live
/// targets, two thirds of the searches in a fleet of 136 had such an agent among their candidates
/// and waited 150 ms for it.
const EARLY_WIDEN_MAX_SILENT: usize = 4;

/// See [`EARLY_WIDEN_MAX_SILENT`]: the multiple of the time that the slowest of the others took.
const EARLY_WIDEN_FACTOR: u32 = 4;

/// See [`EARLY_WIDEN_MAX_SILENT`]: the minimum, ten times a normal round trip between availability
/// zones.
const EARLY_WIDEN_MIN_WAIT: Duration = Duration::from_millis(20);

/// How long an agent whose target the store no longer lists may stay silent after the second query
/// before it counts as gone. A live agent answers within some milliseconds, and two datagrams are
/// rarely lost in a row. Without this limit, a search waited for targets that had left, so no flow
/// was known to be lost until three seconds after the last target had left.
const RETRY_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after an inconclusive search the next packet may start another one: the flow's target
/// may be in the view by then. Less than the 200 ms after which a client retransmits; a client in
/// the middle of a download sends dozens of packets in that time.
const RESTART_INTERVAL: Duration = Duration::from_millis(150);

/// How often an inconclusive search checks whether the view has become complete, so that its
/// answers prove something. A tenth of the time after which a client retransmits; concurrent
/// searches are checked together.
const COVERAGE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How long a search without budget to query all holders waits before it tries again.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(40);

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

/// Whether a search could be widened to all possible holders.
enum WidenOutcome {
    Query(QueriedAgents),
    /// The budget is used up for now.
    BudgetExhausted,
    /// The flow has more possible holders than a single search may query.
    TooManyHolders(usize),
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
        let Some(route) = view.route(&packet.flow) else {
            return BalancerStep::Drop;
        };
        let mut shard = self.shard(packet.flow.point()).lock();
        let known = shard.searches.get_mut(&packet.flow);
        let known = known.filter(|search| !may_restart(search, now));
        if let Some(search) = known {
            if search.phase == SearchPhase::Inconclusive {
                return BalancerStep::Drop;
            }
            if now.since(search.last_packet) < MIN_REQUERY_INTERVAL && packet.data_bytes == 0 {
                return BalancerStep::Drop;
            }
            search.last_packet = now;
            search.acknowledged = packet.acknowledged;
            let agents = self.agents_to_query(packet.flow, search, view, now);
            return self.query_step(packet.flow, search, agents, now);
        }
        let (mut search, agents) = holders::start_search(packet, bytes, except, route, view, now);
        self.drop_silent(&mut search, view, now);
        self.reschedule(now + QUERY_TIMEOUT, packet.flow, &mut search);
        let step = self.query_step(packet.flow, &mut search, agents, now);
        shard.searches.insert(packet.flow, search, SEARCH_TTL, now);
        step
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

    /// Returns the next step of each search that is due.
    pub fn due_searches(&self, view: &FlowView, now: Moment) -> Vec<DueSearch> {
        let complete = view.is_complete();
        if complete != self.view_was_complete.swap(complete, Ordering::Relaxed) && complete {
            self.resume_retried(now);
        }
        let mut due = Vec::new();
        loop {
            let next = self.schedule.lock().pop_due(now);
            let Some(flow) = next else {
                return due;
            };
            due.extend(self.continue_search(flow, view, now));
        }
    }

    /// Continues searches that are waiting for silent agents: the view has become complete, and
    /// shows which of these agents' targets are gone.
    fn resume_retried(&self, now: Moment) {
        for shard in &self.shards {
            shard.lock().searches.visit(|flow, search| {
                let is_retrying = search.phase == SearchPhase::Retried && now < search.due;
                if is_retrying && now.since(search.queried_at) >= RETRY_TIMEOUT {
                    self.reschedule(now, *flow, search);
                }
            });
        }
    }

    /// Reschedules a search. Only the last due time counts; earlier timers are ignored when they
    /// fire.
    fn reschedule(&self, due: Moment, flow: FlowKey, search: &mut FlowSearch) {
        search.due = due;
        self.schedule.lock().push(flow, due);
    }

    fn continue_search(&self, flow: FlowKey, view: &FlowView, now: Moment) -> Option<DueSearch> {
        let mut shard = self.shard(flow.point()).lock();
        let search = shard.searches.get_mut(&flow)?;
        if now < search.due || is_stale(search, now) {
            return None;
        }
        if search.phase == SearchPhase::Inconclusive {
            if !view.is_complete() {
                self.reschedule(now + COVERAGE_CHECK_INTERVAL, flow, search);
                return None;
            }
            search.resume();
        }
        self.drop_silent(search, view, now);
        let agents = match search.phase {
            SearchPhase::Candidates => match self.widen(flow, search, view, now) {
                WidenOutcome::Query(agents) => agents,
                WidenOutcome::BudgetExhausted => {
                    self.reschedule(now + BUDGET_RETRY_INTERVAL, flow, search);
                    return None;
                }
                WidenOutcome::TooManyHolders(holders) => {
                    search.phase = SearchPhase::Abandoned;
                    return Some(DueSearch::Abandoned { flow, holders });
                }
            },
            SearchPhase::AllHolders => {
                search.phase = SearchPhase::Retried;
                pending_agents(search)
            }
            SearchPhase::Retried => {
                search
                    .pending
                    .retain(|query| view.may_have_live_target(query.holder.agent));
                self.heard_since_query(search)
            }
            SearchPhase::Inconclusive | SearchPhase::Abandoned => return None,
        };
        if search.pending.is_empty() {
            return self.end_search(&mut shard, flow, now).map(DueSearch::Lost);
        }
        let wait = if search.phase == SearchPhase::Retried {
            RETRY_TIMEOUT
        } else {
            QUERY_TIMEOUT
        };
        self.reschedule(now + wait, flow, search);
        if agents.is_empty() {
            return None;
        }
        search.queried_at = now;
        let frames = self.search_frames(flow, search, agents, now);
        let bytes = search.bytes.clone();
        Some(DueSearch::Query {
            flow,
            bytes,
            frames,
        })
    }

    fn search_frames(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        agents: QueriedAgents,
        now: Moment,
    ) -> SearchFrames {
        let mut loads = self.loads.lock();
        let mut builder = FrameBuilder {
            own_address: self.own_address,
            loads: &loads,
            budget: &mut self.budget.lock(),
            now,
        };
        let frames = builder.build(flow, search, agents);
        for query in search
            .pending
            .iter()
            .filter(|query| query.delegate.is_none())
        {
            loads.record_sent(query.holder.agent, query.holder.service, now);
        }
        frames
    }

    /// Stops waiting for agents that are known to be silent: they were queried long ago, probed
    /// twice since, and not heard, while others were. The same rule ends known flows of such
    /// targets. A search on its own takes 400 ms or more to detect this, and would do so again for
    /// each lost flow.
    ///
    /// Once the store no longer lists the target, this silence, or an announced stop of its agent,
    /// proves that the target is gone. While the target is listed, it counts as unreachable,
    /// provided that requests may be run again. Machines that never come back after a power loss
    /// stay listed for three heartbeats (3.6 s); without this, no flow was known to be lost until
    /// then, and 1.2 s of a fleet's requests on pooled flows failed.
    fn drop_silent(&self, search: &mut FlowSearch, view: &FlowView, now: Moment) {
        let loads = self.loads.lock();
        let FlowSearch {
            pending,
            idempotent,
            holder_unreachable,
            ..
        } = search;
        pending.retain(|query| {
            let agent = query.holder.agent;
            if loads.is_gone(agent, GONE_TIMEOUT, now) && !view.may_have_live_target(agent) {
                return false;
            }
            let is_unreachable = *idempotent && loads.is_silent(agent, UNREACHABLE_TIMEOUT, now);
            *holder_unreachable |= is_unreachable;
            !is_unreachable
        });
    }

    /// Returns agents that have not answered but were heard after the query: their processes have
    /// restarted and do not know of it.
    fn heard_since_query(&self, search: &FlowSearch) -> QueriedAgents {
        let loads = self.loads.lock();
        let pending = search.pending.iter().map(|query| query.holder);
        pending
            .filter(|holder| {
                let load = loads.load(holder.agent);
                load.is_some_and(|load| load.last_heard > search.queried_at)
            })
            .collect()
    }

    /// Returns until when a search waits for candidates that have not answered. This is `now` if
    /// the answers of all of them are overdue, for this search or another.
    fn widen_due(&self, search: &FlowSearch, now: Moment) -> Moment {
        let loads = self.loads.lock();
        let mut pending = search.pending.iter();
        if pending.all(|query| loads.is_overdue(query.holder.agent, QUERY_TIMEOUT, now)) {
            return now;
        }
        if search.pending.len() > EARLY_WIDEN_MAX_SILENT {
            return search.due;
        }
        let response_time = now.since(search.started);
        search.started + (response_time * EARLY_WIDEN_FACTOR).max(EARLY_WIDEN_MIN_WAIT)
    }

    /// Returns the agents that are shown another packet of a flow that is being searched for: those
    /// that have not answered and, once they have timed out, also those that have not been queried
    /// yet.
    fn agents_to_query(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> QueriedAgents {
        let awaits_answers =
            !search.pending.is_empty() && now.since(search.started) < QUERY_TIMEOUT;
        if awaits_answers || search.phase != SearchPhase::Candidates {
            return pending_agents(search);
        }
        match self.widen(flow, search, view, now) {
            WidenOutcome::Query(agents) => agents,
            WidenOutcome::BudgetExhausted | WidenOutcome::TooManyHolders(_) => {
                pending_agents(search)
            }
        }
    }

    /// Adds all possible holders that were not queried yet. Returns the agents to query now, which
    /// include those that have not answered.
    fn widen(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> WidenOutcome {
        let mut all = holders::possible_holders(view, now);
        if let Some(route) = view.route(&flow) {
            search.exclude_regions(&mut all, route, view, now);
        }
        let bytes = delegated_bytes(all.len(), search.bytes.len());
        let mut budget = self.budget.lock();
        if !budget.permits(bytes) {
            return WidenOutcome::TooManyHolders(all.len());
        }
        if !budget.has_available(bytes, now) {
            return WidenOutcome::BudgetExhausted;
        }
        drop(budget);
        search.phase = SearchPhase::AllHolders;
        let pending = pending_agents(search);
        let not_queried = search.not_queried(all);
        let mut agents = search.add_queries(not_queried.into_iter(), now);
        agents.extend(pending);
        self.drop_silent(search, view, now);
        WidenOutcome::Query(agents)
    }

    /// Handles an agent's report that it does not hold a flow. Returns a reset if no agent does.
    pub(super) fn record_absent(&self, update: &FlowUpdate, now: Moment) -> Option<FlowReset> {
        let agent = update.load.agent;
        let mut shard = self.shard(update.flow.point()).lock();
        let known = shard.flows.get(&update.flow);
        if known.is_some_and(|entry| entry.agent == agent && entry.state != EntryState::Lost) {
            shard.flows.remove(&update.flow);
        }
        let search = shard.searches.get_mut(&update.flow)?;
        search.pending.retain(|query| query.holder.agent != agent);
        self.advance_search(&mut shard, update.flow, now)
    }

    /// Handles the result of a delegated search: all agents that it covered reported the flow as
    /// absent, except for the silent ones.
    pub(super) fn record_search_result(
        &self,
        result: &SearchResult,
        now: Moment,
    ) -> Option<FlowReset> {
        let mut shard = self.shard(result.flow.point()).lock();
        let search = shard.searches.get_mut(&result.flow)?;
        let delegate = Some(result.delegate);
        search.pending.retain(|query| {
            query.delegate != delegate || result.silent.contains(&query.holder.agent)
        });
        let mut loads = self.loads.lock();
        for query in search
            .pending
            .iter()
            .filter(|query| query.delegate == delegate)
        {
            loads.record_sent(query.holder.agent, query.holder.service, now);
        }
        drop(loads);
        self.advance_search(&mut shard, result.flow, now)
    }

    /// Ends a search if all agents have answered, or moves on to those that were not queried yet.
    fn advance_search(
        &self,
        shard: &mut FlowShard,
        flow: FlowKey,
        now: Moment,
    ) -> Option<FlowReset> {
        let search = shard.searches.get_mut(&flow)?;
        if search.phase == SearchPhase::Candidates {
            let due = self.widen_due(search, now);
            if due < search.due {
                self.reschedule(due, flow, search);
            }
            return None;
        }
        self.end_search(shard, flow, now)
    }

    /// Ends a search for a flow that no target holds; `None` while that is not proven.
    fn end_search(&self, shard: &mut FlowShard, flow: FlowKey, now: Moment) -> Option<FlowReset> {
        let search = shard.searches.get_mut(&flow)?;
        if !search.pending.is_empty() || !search.has_queried_all_holders() {
            return None;
        }
        if !search.view_complete || search.holder_excluded {
            search.phase = SearchPhase::Inconclusive;
            self.reschedule(now + COVERAGE_CHECK_INTERVAL, flow, search);
            return None;
        }
        let reason = if search.holder_unreachable {
            LossReason::AgentSilent
        } else {
            LossReason::Unheld
        };
        Some(shard.record_lost(flow, reason, now))
    }
}

/// Returns whether the flow's next packet starts another search.
fn may_restart(search: &FlowSearch, now: Moment) -> bool {
    let is_retryable = search.phase == SearchPhase::Inconclusive
        && now.since(search.last_packet) >= RESTART_INTERVAL;
    is_retryable || is_stale(search, now)
}

/// Returns whether a search is so old that its answers are ignored.
fn is_stale(search: &FlowSearch, now: Moment) -> bool {
    now.since(search.started) >= SEARCH_TTL
}

fn pending_agents(search: &FlowSearch) -> QueriedAgents {
    search.pending.iter().map(|query| query.holder).collect()
}

impl FlowSearch {
    /// Continues in a complete view, after all holders in an earlier view have reported the flow as
    /// absent.
    fn resume(&mut self) {
        self.view_complete = true;
        self.phase = SearchPhase::Candidates;
    }

    fn has_queried_all_holders(&self) -> bool {
        !matches!(self.phase, SearchPhase::Candidates | SearchPhase::Abandoned)
    }
}

impl FlowShard {
    /// Ends a search for a flow that no target holds.
    fn record_lost(&mut self, flow: FlowKey, reason: LossReason, now: Moment) -> FlowReset {
        let search = self.searches.remove(&flow);
        let acknowledged = search.map_or(0, |search| search.acknowledged);
        let mut entry = FlowEntry::lost(now);
        entry.acknowledged = acknowledged;
        self.flows.insert(flow, entry, RETRANSMIT_WINDOW * 10, now);
        FlowReset {
            flow,
            acknowledged,
            reason,
        }
    }
}
