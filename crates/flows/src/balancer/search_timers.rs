//! Steps of searches that are due without another packet of the client.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lovagelatch_domain::Moment;

use super::FlowBalancer;
use super::entry::{FlowSearch, SearchPhase};
use super::holders::{HolderList, QueriedAgents};
use super::loss::{GONE_TIMEOUT, UNREACHABLE_TIMEOUT};
use super::search::{BUDGET_RETRY_INTERVAL, DueSearch, QUERY_TIMEOUT, pending_agents};
use super::search_frames::{FrameBuilder, SearchFrames, delegated_bytes};
use crate::packet::FlowKey;
use crate::ring::SEARCH_CANDIDATES;
use crate::view::{FlowRoute, FlowView};

/// How long an agent whose target the store no longer lists may stay silent after the second query
/// before it counts as gone. A live agent answers within some milliseconds, and two datagrams are
/// rarely lost in a row. Without this limit, a search waited for targets that had left, so no flow
/// was known to be lost until three seconds after the last target had left.
const RETRY_TIMEOUT: Duration = Duration::from_millis(250);

/// After this many queries, the interval between two queries of an agent that was heard doubles. If a
/// third of all datagrams are lost, an agent answers one of four with a probability of 0.9.
const FREQUENT_QUERIES: u8 = 4;

/// Limit on how often that interval doubles: a search lasts for two seconds.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// How often an inconclusive search checks whether the view has become complete, so that its
/// answers prove something. A tenth of the time after which a client retransmits; concurrent
/// searches are checked together.
pub(super) const COVERAGE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The same while the view is being compared with the store, which takes some milliseconds.
const VERIFICATION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a search could be widened to all possible holders.
pub(super) enum WidenOutcome {
    Query(QueriedAgents),
    /// The budget is used up for now.
    BudgetExhausted,
    /// The flow has more possible holders than a single search may query.
    TooManyHolders(usize),
}

impl FlowBalancer {
    /// Returns the next step of each search that is due, and the first step of searches that waited
    /// for others to end.
    pub fn due_searches(&self, view: &FlowView, now: Moment) -> Vec<DueSearch> {
        let complete = view.is_complete();
        if complete != self.view_was_complete.swap(complete, Ordering::Relaxed) && complete {
            self.resume_retried(now);
        }
        let mut due = Vec::new();
        loop {
            let next = self.schedule.lock().pop_due(now);
            let Some(flow) = next else {
                break;
            };
            due.extend(self.continue_search(flow, view, now));
        }
        loop {
            let next = self.window.lock().pop_ready(now);
            let Some(flow) = next else {
                return due;
            };
            due.extend(self.start_waiting(flow, view, now));
        }
    }

    /// Begins or continues a search that waited for the window, unless it has ended meanwhile or its
    /// client sends no longer.
    fn start_waiting(&self, flow: FlowKey, view: &FlowView, now: Moment) -> Option<DueSearch> {
        let mut shard = self.shard(flow.point()).lock();
        let search = shard.searches.get_mut(&flow)?;
        if !std::mem::take(&mut search.is_waiting) {
            return None;
        }
        if search.is_deserted(now) {
            shard.searches.remove(&flow);
            return None;
        }
        let bytes = delegated_bytes(SEARCH_CANDIDATES, search.bytes.len());
        if !self.budget.lock().has_available(bytes, now) {
            search.is_waiting = true;
            let until = now + BUDGET_RETRY_INTERVAL;
            self.window.lock().block(flow, until);
            return None;
        }
        self.window.lock().try_enter(flow, now);
        search.started = now;
        let agents = self.begin_search(flow, search, view, now);
        self.due_query(flow, search, agents, now)
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
    pub(super) fn reschedule(&self, due: Moment, flow: FlowKey, search: &mut FlowSearch) {
        search.due = due;
        self.schedule.lock().push(flow, due);
    }

    /// Makes an inconclusive search wait for a view that proves something.
    fn await_view(&self, flow: FlowKey, search: &mut FlowSearch, view: &FlowView, now: Moment) {
        let interval = if view.is_complete() {
            let mut request = self.verification_request.lock();
            *request = (*request).max(Some(search.created));
            VERIFICATION_CHECK_INTERVAL
        } else {
            COVERAGE_CHECK_INTERVAL
        };
        self.reschedule(now + interval, flow, search);
    }

    /// Returns the moment at or after which the view has to be compared with the store for a search
    /// to end, and clears it; `None` if no search has asked for that since the last call.
    #[must_use]
    pub fn take_verification_request(&self) -> Option<Moment> {
        self.verification_request.lock().take()
    }

    fn continue_search(&self, flow: FlowKey, view: &FlowView, now: Moment) -> Option<DueSearch> {
        let mut shard = self.shard(flow.point()).lock();
        let search = shard.searches.get_mut(&flow)?;
        if search.is_waiting || now < search.due || search.is_stale(now) {
            return None;
        }
        if search.phase == SearchPhase::Inconclusive {
            if !view.proves_absence(search.created) {
                self.await_view(flow, search, view, now);
                return None;
            }
            search.resume();
        }
        self.drop_silent(search, view, now);
        let agents = match search.phase {
            SearchPhase::Candidates => {
                if !self.window.lock().try_enter(flow, now) {
                    search.is_waiting = true;
                    self.window.lock().push_resuming(flow);
                    return None;
                }
                match self.widen(flow, search, view, now) {
                    WidenOutcome::Query(agents) => agents,
                    WidenOutcome::BudgetExhausted => {
                        self.window.lock().leave(&flow);
                        self.reschedule(now + BUDGET_RETRY_INTERVAL, flow, search);
                        return None;
                    }
                    WidenOutcome::TooManyHolders(holders) => {
                        self.window.lock().leave(&flow);
                        search.phase = SearchPhase::Abandoned;
                        return Some(DueSearch::Abandoned { flow, holders });
                    }
                }
            }
            SearchPhase::AllHolders => {
                search.phase = SearchPhase::Retried;
                self.window.lock().leave(&flow);
                pending_agents(search)
            }
            SearchPhase::Retried => {
                search
                    .pending
                    .retain(|query| view.may_have_live_target(query.holder.agent));
                self.heard_since_query(search, now)
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
        self.due_query(flow, search, agents, now)
    }

    fn due_query(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        agents: QueriedAgents,
        now: Moment,
    ) -> Option<DueSearch> {
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

    pub(super) fn search_frames(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        agents: QueriedAgents,
        now: Moment,
    ) -> SearchFrames {
        let is_busy = self.window.lock().is_busy(now);
        let mut loads = self.loads.lock();
        let mut builder = FrameBuilder {
            own_address: self.own_address,
            loads: &loads,
            budget: &mut self.budget.lock(),
            is_busy,
            now,
        };
        let mut frames = builder.build(flow, search, agents);
        frames.extend(builder.locate(flow, search));
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
    ///
    /// An address that only entries outside the configuration name may have no agent at all.
    pub(super) fn drop_silent(&self, search: &mut FlowSearch, view: &FlowView, now: Moment) {
        let mut loads = self.loads.lock();
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
            if view.is_unconfigured(query.holder.service) && loads.is_vacant(agent, now) {
                return false;
            }
            let is_unreachable = *idempotent && loads.is_silent(agent, UNREACHABLE_TIMEOUT, now);
            *holder_unreachable |= is_unreachable;
            !is_unreachable
        });
    }

    /// Returns agents that have not answered but were heard after the query: their processes have
    /// restarted and do not know of it, or a datagram was lost. The interval between two queries of
    /// an agent doubles after some queries, since a balancer that reads its answers late hears
    /// agents all the time.
    pub(super) fn heard_since_query(&self, search: &FlowSearch, now: Moment) -> QueriedAgents {
        let loads = self.loads.lock();
        let pending = search.pending.iter().filter(|query| {
            let doublings =
                u32::from(query.count.saturating_sub(FREQUENT_QUERIES)).min(MAX_RETRY_DOUBLINGS);
            now.since(query.queried_at) >= RETRY_TIMEOUT * 2_u32.pow(doublings)
        });
        let heard = pending.filter(|query| {
            let load = loads.load(query.holder.agent);
            load.is_some_and(|load| load.last_heard > query.queried_at)
        });
        heard.map(|query| query.holder).collect()
    }

    /// Extends a search to these holders. Returns the agents to query now, which include those that
    /// have not answered.
    pub(super) fn query_holders(
        &self,
        all: HolderList<'_>,
        search: &mut FlowSearch,
        route: &FlowRoute,
        view: &FlowView,
        now: Moment,
    ) -> QueriedAgents {
        let agents = search.query_all(all, route, view, now);
        self.record_unconfirmed(&agents, view);
        agents
    }

    /// Adds all possible holders that were not queried yet. Returns the agents to query now, which
    /// include those that have not answered.
    pub(super) fn widen(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> WidenOutcome {
        let mut all = self.holders_to_query(view, now);
        let count = all.len();
        let mut bytes = delegated_bytes(count, search.bytes.len());
        let mut budget = self.budget.lock();
        if !budget.permits(bytes) && view.has_unconfigured() {
            // The flow can still be found, but not be proven lost.
            all.retain(|target| !view.is_unconfigured(target.service));
            search.holder_excluded = true;
            bytes = delegated_bytes(all.len(), search.bytes.len());
        }
        if !budget.permits(bytes) {
            return WidenOutcome::TooManyHolders(count);
        }
        if !budget.has_available(bytes, now) {
            return WidenOutcome::BudgetExhausted;
        }
        drop(budget);
        let Some(route) = view.route(&flow) else {
            return WidenOutcome::BudgetExhausted;
        };
        let agents = self.query_holders(all, search, route, view, now);
        self.drop_silent(search, view, now);
        WidenOutcome::Query(agents)
    }
}

impl FlowSearch {
    /// Continues in a complete view, after all holders in an earlier view have reported the flow as
    /// absent.
    fn resume(&mut self) {
        self.view_complete = true;
        self.view_verified = true;
        self.phase = SearchPhase::Candidates;
    }
}
