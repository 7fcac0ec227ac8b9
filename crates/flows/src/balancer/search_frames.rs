//! The frames of a search: one to each agent, or one to a delegate that queries other agents.
//!
//! A delegate is an agent that queries others for a balancer. A delegated search costs the balancer
//! one datagram and one answer instead of one of each per agent, and takes one more hop. So a
//! balancer queries a few agents directly, and also a flow's candidates as long as its budget is at
//! least half full and only a few searches are in flight.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use super::budget::SearchBudget;
use super::entry::{FlowSearch, ServiceAgent};
use super::holders::QueriedAgents;
use crate::delegated_search::MAX_DELEGATED_AGENTS;
use crate::frame::{DelegatedSearch, FramePurpose, PacketFrame, PeerFrame, SearchGroup};
use crate::load::LoadTable;
use crate::packet::FlowKey;
use crate::ring::SEARCH_CANDIDATES;

/// From this many agents on, delegates may query the others. Below, direct queries cost less than
/// the additional hop.
const MIN_DELEGATED_AGENTS: usize = 6;

/// Agents that reported within this window act as delegates in turn. If there are too few, the
/// agents that reported last are chosen. A delegate that has died meanwhile delays a search by 150
/// ms.
const DELEGATE_WINDOW: Duration = Duration::from_millis(150);

/// A busy balancer queries candidates through a delegate only if one of them was heard within this
/// window. After a power loss, the others may never come back. Agents that were sent packets report
/// four times per second.
const HEARD_WINDOW: Duration = Duration::from_secs(1);

/// Bytes of a frame without its packet, including the headers below it.
const FRAME_OVERHEAD_BYTES: usize = 60;

/// Bytes of an agent's name in the frame of a delegated search.
const AGENT_NAME_BYTES: usize = 4;

/// Frames of a search, with their destinations; the client's packet follows each frame.
pub type SearchFrames = Vec<(AgentAddress, PeerFrame)>;

/// The delegate that queries each agent; `None` where the balancer queries it directly.
type DelegateMap = HashMap<AgentAddress, Option<AgentAddress>>;

/// Returns the bytes of the delegated searches that query `agents` agents about a packet.
pub(super) fn delegated_bytes(agents: usize, packet_bytes: usize) -> usize {
    let delegate_count = agents.div_ceil(MAX_DELEGATED_AGENTS);
    delegate_count * (packet_bytes + FRAME_OVERHEAD_BYTES) + agents * AGENT_NAME_BYTES
}

/// Builds the frames of searches.
pub(super) struct FrameBuilder<'a> {
    /// The balancer's address.
    pub(super) own_address: AgentAddress,
    pub(super) loads: &'a LoadTable,
    pub(super) budget: &'a mut SearchBudget,
    /// Whether more than a few searches are in flight.
    pub(super) is_busy: bool,
    pub(super) now: Moment,
}

impl FrameBuilder<'_> {
    /// Builds the frames that query these agents: one for each if there are few or the budget
    /// allows it, else one for each of a few delegates.
    pub(super) fn build(
        &mut self,
        flow: FlowKey,
        search: &mut FlowSearch,
        agents: QueriedAgents,
    ) -> SearchFrames {
        let packet_bytes = search.bytes.len();
        let direct_bytes = agents.len() * (packet_bytes + FRAME_OVERHEAD_BYTES);
        let is_small = agents.len() < MIN_DELEGATED_AGENTS;
        let prefers_delegate = self.is_busy && self.has_heard_any(&agents);
        let within_budget = !prefers_delegate
            && agents.len() <= SEARCH_CANDIDATES
            && self.budget.try_spend_direct(direct_bytes, self.now);
        if is_small || within_budget {
            mark_direct(search, &agents, self.now);
            let frames = agents
                .iter()
                .map(|next| (next.agent, query_frame(self.own_address, next)));
            return frames.collect();
        }
        let bytes = delegated_bytes(agents.len(), packet_bytes);
        self.budget.charge(bytes, self.now);
        self.build_delegated(flow, search, agents)
    }

    /// Returns the frames that ask agents whether they hold the flow, each once per search, if the
    /// budget allows it. These agents must not be shown the flow's packets.
    pub(super) fn locate(&mut self, flow: FlowKey, search: &mut FlowSearch) -> SearchFrames {
        let agents = &search.excluded[search.located..];
        let bytes = agents.len() * FRAME_OVERHEAD_BYTES;
        if agents.is_empty() || !self.budget.try_spend_direct(bytes, self.now) {
            return SearchFrames::new();
        }
        let balancer = self.own_address;
        let frames = agents
            .iter()
            .map(|agent| (*agent, PeerFrame::Locate { flow, balancer }));
        let frames = frames.collect();
        search.located = search.excluded.len();
        frames
    }

    /// Returns whether one of these agents was heard lately, so that it is likely to be alive.
    fn has_heard_any(&self, agents: &[ServiceAgent]) -> bool {
        agents.iter().any(|holder| {
            let reported_at = self.loads.last_healthy_report(holder.agent);
            reported_at.is_some_and(|at| self.now.since(at) < HEARD_WINDOW)
        })
    }

    fn build_delegated(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        agents: QueriedAgents,
    ) -> SearchFrames {
        let delegates = self.choose_delegates(flow, search, &agents);
        let is_delegate = |holder: &ServiceAgent| {
            delegates
                .iter()
                .any(|delegate| delegate.agent == holder.agent)
        };
        let others: QueriedAgents = agents
            .into_iter()
            .filter(|holder| !is_delegate(holder))
            .collect();
        let mut frames = SearchFrames::new();
        let mut delegate_of = DelegateMap::new();
        let parts = others
            .chunks(MAX_DELEGATED_AGENTS)
            .chain(std::iter::repeat(&[][..]));
        for (delegate, part) in delegates.iter().zip(parts) {
            delegate_of.extend(
                part.iter()
                    .map(|holder| (holder.agent, Some(delegate.agent))),
            );
            delegate_of.insert(delegate.agent, None);
            frames.push((
                delegate.agent,
                delegated_frame(self.own_address, delegate, part),
            ));
        }
        set_delegates(search, &delegate_of, self.now);
        frames
    }

    /// Chooses which of the queried agents query the others. An agent that was a delegate of this
    /// search before and has not returned a result is avoided.
    fn choose_delegates(
        &self,
        flow: FlowKey,
        search: &FlowSearch,
        agents: &[ServiceAgent],
    ) -> SmallVec<[ServiceAgent; 4]> {
        let delegate_count = agents.len().div_ceil(MAX_DELEGATED_AGENTS);
        let failed = |agent| {
            search
                .pending
                .iter()
                .any(|query| query.delegate == Some(agent))
        };
        let not_failed: SmallVec<[ServiceAgent; SEARCH_CANDIDATES]> = agents
            .iter()
            .filter(|holder| !failed(holder.agent))
            .copied()
            .collect();
        let reported_recently = |holder: &&ServiceAgent| {
            let reported_at = self.loads.last_healthy_report(holder.agent);
            reported_at.is_some_and(|at| self.now.since(at) < DELEGATE_WINDOW)
        };
        let mut eligible: SmallVec<[ServiceAgent; SEARCH_CANDIDATES]> = not_failed
            .iter()
            .filter(reported_recently)
            .copied()
            .collect();
        if eligible.len() < delegate_count {
            eligible = if not_failed.len() < delegate_count {
                agents.iter().copied().collect()
            } else {
                not_failed
            };
            eligible.sort_by_key(|holder| {
                std::cmp::Reverse(self.loads.last_healthy_report(holder.agent))
            });
            eligible.truncate(delegate_count);
        }
        let first = usize::try_from(flow.point() >> 32).unwrap_or(0);
        (0..delegate_count)
            .map(|index| eligible[(first + index) % eligible.len()])
            .collect()
    }
}

/// Records that the balancer queries these agents directly.
fn mark_direct(search: &mut FlowSearch, agents: &[ServiceAgent], now: Moment) {
    for query in &mut search.pending {
        let mut agents = agents.iter();
        if agents.any(|holder| holder.agent == query.holder.agent) {
            query.record_sent(None, now);
        }
    }
}

/// Records the delegate of each agent in one pass: a search of thousands of agents has dozens of
/// delegates.
fn set_delegates(search: &mut FlowSearch, delegate_of: &DelegateMap, now: Moment) {
    for query in &mut search.pending {
        if let Some(delegate) = delegate_of.get(&query.holder.agent) {
            query.record_sent(*delegate, now);
        }
    }
}

fn query_frame(own_address: AgentAddress, next: &ServiceAgent) -> PeerFrame {
    PeerFrame::Packet(PacketFrame::new(
        FramePurpose::Search,
        next.service,
        own_address,
    ))
}

fn delegated_frame(
    own_address: AgentAddress,
    delegate: &ServiceAgent,
    others: &[ServiceAgent],
) -> PeerFrame {
    let mut groups = Vec::new();
    for other in others {
        let instance = *other.agent.0.ip();
        group_of(&mut groups, other.service).push(instance);
    }
    PeerFrame::Errand(DelegatedSearch {
        balancer: own_address,
        service: delegate.service,
        others: groups,
    })
}

fn group_of(groups: &mut Vec<SearchGroup>, service: ServiceId) -> &mut Vec<Ipv4Addr> {
    let known = groups.iter().position(|group| group.service == service);
    let at = known.unwrap_or(groups.len());
    if known.is_none() {
        let instances = Vec::new();
        groups.push(SearchGroup { service, instances });
    }
    &mut groups[at].instances
}
