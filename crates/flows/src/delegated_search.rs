//! Searches for flows that an agent runs on behalf of balancers.
//!
//! The agent queries every agent on the balancer's list with the packet and tracks which of them
//! report the flow as absent. An agent that holds the flow notifies the balancer itself. When all
//! have answered, or after [`DELEGATED_SEARCH_TIMEOUT`], the balancer receives one result for all
//! of them.
//!
//! A balancer that got no result in time may ask again. What the agent has learned and whom it is
//! still waiting for stays valid for as long as the first search lasts, so it queries nobody twice
//! within that time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use crate::frame::{DelegatedSearch, FramePurpose, PacketFrame, SearchResult};
use crate::packet::FlowKey;

/// How long the other agents may take to answer. Ten times a normal round trip between availability
/// zones, and short enough that the balancer can query the silent ones itself within 150 ms of its
/// first frame.
pub(crate) const DELEGATED_SEARCH_TIMEOUT: Duration = Duration::from_millis(60);

/// Maximum number of searches in flight, each 100 bytes and 8 for each queried agent. The balancer
/// continues further searches itself.
const MAX_SEARCHES: usize = 1_024;

/// Maximum number of agents that one delegated search names: 256 bytes beside a packet of at most
/// 1,236. Agents beyond this are not queried, so that one datagram cannot make an agent send
/// without a bound.
pub(crate) const MAX_DELEGATED_AGENTS: usize = 64;

#[derive(Clone, Debug)]
struct PendingSearch {
    balancer: AgentAddress,
    started: Moment,
    /// Agents that have not answered yet, with the services that their queries name.
    unanswered: SmallVec<[(AgentAddress, ServiceId); 16]>,
    /// Agents that have reported the flow as absent.
    absent: SmallVec<[AgentAddress; 16]>,
}

impl PendingSearch {
    fn new(balancer: AgentAddress, now: Moment) -> Self {
        Self {
            balancer,
            started: now,
            unanswered: SmallVec::new(),
            absent: SmallVec::new(),
        }
    }

    fn is_queried(&self, agent: AgentAddress) -> bool {
        let mut unanswered = self.unanswered.iter();
        unanswered.any(|(known, _)| *known == agent) || self.absent.contains(&agent)
    }
}

/// The delegated searches in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelegatedSearches {
    pending: HashMap<FlowKey, PendingSearch>,
    /// Invariant: ordered by start, since all have the same timeout.
    start_order: VecDeque<(Moment, FlowKey)>,
    /// Searches that were repeated and have all their answers.
    answered: Vec<FlowKey>,
}

impl DelegatedSearches {
    /// Starts a search of the agent at `own_address`. Returns the agents to send the packet to,
    /// each with its frame.
    pub(crate) fn start(
        &mut self,
        search: &DelegatedSearch,
        flow: FlowKey,
        own_address: AgentAddress,
        now: Moment,
    ) -> Vec<(AgentAddress, PacketFrame)> {
        if self.start_order.len() >= MAX_SEARCHES {
            return Vec::new();
        }
        let known = self.pending.remove(&flow).filter(|known| {
            known.balancer == search.balancer && !has_timed_out(known.started, now)
        });
        let mut pending = known.unwrap_or_else(|| PendingSearch::new(search.balancer, now));
        pending.started = now;
        let mut named: SmallVec<[(AgentAddress, ServiceId); 16]> = SmallVec::new();
        let mut frames = Vec::new();
        for group in &search.others {
            for &instance in &group.instances {
                if named.len() == MAX_DELEGATED_AGENTS {
                    break;
                }
                let agent = AgentAddress(SocketAddrV4::new(instance, own_address.0.port()));
                named.push((agent, group.service));
                if !pending.is_queried(agent) {
                    let frame =
                        PacketFrame::new(FramePurpose::Search, group.service, search.balancer);
                    frames.push((agent, frame.with_asker(own_address)));
                }
            }
        }
        let absent = &pending.absent;
        let unanswered = named.iter().filter(|(agent, _)| !absent.contains(agent));
        pending.unanswered = unanswered.copied().collect();
        if pending.unanswered.is_empty() && !named.is_empty() {
            self.answered.push(flow);
        }
        self.pending.insert(flow, pending);
        self.start_order.push_back((now, flow));
        frames
    }

    /// Records that the agent of a service does not hold a flow. Returns the result of the search if
    /// that was the last pending answer. If the query named another service, the agent counts as
    /// silent, because it may not have asked its target.
    pub(crate) fn record_absent(
        &mut self,
        flow: &FlowKey,
        agent: AgentAddress,
        service: ServiceId,
        own_address: AgentAddress,
    ) -> Option<(AgentAddress, SearchResult)> {
        let search = self.pending.get_mut(flow)?;
        let before = search.unanswered.len();
        let answered = (agent, service);
        search
            .unanswered
            .retain(|unanswered| *unanswered != answered);
        if search.unanswered.len() < before {
            search.absent.push(agent);
        }
        if !search.unanswered.is_empty() {
            return None;
        }
        self.finish(flow, own_address)
    }

    /// Ends the searches that have timed out, or were repeated after all answers had arrived, and
    /// returns their results.
    pub(crate) fn expire(
        &mut self,
        own_address: AgentAddress,
        now: Moment,
    ) -> Vec<(AgentAddress, SearchResult)> {
        let answered = std::mem::take(&mut self.answered);
        let mut results: Vec<_> = answered
            .iter()
            .filter_map(|flow| self.finish(flow, own_address))
            .collect();
        while let Some((_, flow)) = self
            .start_order
            .pop_front_if(|(started, _)| has_timed_out(*started, now))
        {
            // The flow may have a later search, which is not due yet.
            let search = self.pending.get(&flow);
            if search.is_some_and(|search| has_timed_out(search.started, now)) {
                results.extend(self.finish(&flow, own_address));
            }
        }
        results
    }

    /// Returns when the oldest search times out. A search that has ended meanwhile still counts
    /// until then.
    pub(crate) fn next_deadline(&self) -> Option<Moment> {
        if !self.answered.is_empty() {
            return Some(Moment::ZERO);
        }
        self.start_order
            .front()
            .map(|(started, _)| *started + DELEGATED_SEARCH_TIMEOUT)
    }

    fn finish(
        &mut self,
        flow: &FlowKey,
        own_address: AgentAddress,
    ) -> Option<(AgentAddress, SearchResult)> {
        let search = self.pending.remove(flow)?;
        let result = SearchResult {
            flow: *flow,
            delegate: own_address,
            silent: search.unanswered.iter().map(|(agent, _)| *agent).collect(),
        };
        Some((search.balancer, result))
    }
}

fn has_timed_out(started: Moment, now: Moment) -> bool {
    now.since(started) >= DELEGATED_SEARCH_TIMEOUT
}
