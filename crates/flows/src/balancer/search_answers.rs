//! Answers to searches, and how a search ends.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use super::entry::{EntryState, FlowEntry, FlowSearch, SearchPhase};
use super::search::QUERY_TIMEOUT;
use super::search_timers::COVERAGE_CHECK_INTERVAL;
use super::{FlowBalancer, FlowReset, FlowShard, LossReason, RETRANSMIT_WINDOW};
use crate::delegated_search::MAX_DELEGATED_AGENTS;
use crate::frame::{FlowUpdate, SearchResult};
use crate::packet::FlowKey;

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

impl FlowBalancer {
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

    /// Handles an agent's report that it does not hold a flow. Returns a reset if no agent does.
    pub(super) fn record_absent(&self, update: &FlowUpdate, now: Moment) -> Option<FlowReset> {
        let agent = update.load.agent;
        let mut shard = self.shard(update.flow.point()).lock();
        let known = shard.flows.get(&update.flow);
        if known.is_some_and(|entry| entry.agent == agent && entry.state != EntryState::Lost) {
            shard.flows.remove(&update.flow);
        }
        let search = shard.searches.get_mut(&update.flow)?;
        if search.correct_service(agent, update.load.service) {
            if search.phase == SearchPhase::AllHolders {
                self.reschedule(now, update.flow, search);
            }
            return self.advance_search(&mut shard, update.flow, now);
        }
        let mut pending = search.pending.iter();
        if let Some(answered) = pending.find(|query| query.holder.agent == agent)
            && answered.count == 1
            && answered.delegate.is_none()
        {
            let response_time = now.since(answered.queried_at);
            let mut window = self.window.lock();
            window.record_response_time(response_time, now);
        }
        search.pending.retain(|query| query.holder.agent != agent);
        search.record_absences(&[agent]);
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
        let mut absent: SmallVec<[AgentAddress; MAX_DELEGATED_AGENTS]> = SmallVec::new();
        search.pending.retain(|query| {
            let agent = query.holder.agent;
            let is_absent = query.delegate == delegate && !result.silent.contains(&agent);
            if is_absent {
                absent.push(agent);
            }
            !is_absent
        });
        absent.sort_unstable();
        search.record_absences(&absent);
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
        if search.is_waiting {
            return None;
        }
        if search.pending.is_empty() {
            self.window.lock().leave(&flow);
        }
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
    pub(super) fn end_search(
        &self,
        shard: &mut FlowShard,
        flow: FlowKey,
        now: Moment,
    ) -> Option<FlowReset> {
        let search = shard.searches.get_mut(&flow)?;
        if !search.pending.is_empty() || !search.has_queried_all_holders() {
            return None;
        }
        self.window.lock().leave(&flow);
        if !search.view_complete || !search.view_verified || search.holder_excluded {
            search.phase = SearchPhase::Inconclusive;
            // Only another view can change the result before the next packet.
            if !search.view_complete {
                self.reschedule(now + COVERAGE_CHECK_INTERVAL, flow, search);
            } else if !search.view_verified {
                self.reschedule(now, flow, search);
            }
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

impl FlowSearch {
    /// Corrects the service that queries of an agent name, if it reports another one: an agent that
    /// started after its target denies the flows of other services, even those that its target
    /// holds. Returns whether the agent has to be queried again.
    fn correct_service(&mut self, agent: AgentAddress, service: ServiceId) -> bool {
        let mut pending = self.pending.iter_mut();
        let query = pending.find(|query| query.holder.agent == agent);
        let query = query.filter(|query| query.holder.service != service);
        query.is_some_and(|query| {
            query.holder.service = service;
            true
        })
    }

    /// Records which agents reported the flow as absent. `agents` must be sorted.
    fn record_absences(&mut self, agents: &[AgentAddress]) {
        for queried in &mut self.queried {
            queried.absent |= agents.binary_search(&queried.agent).is_ok();
        }
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
