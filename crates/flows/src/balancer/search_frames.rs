//! In which frames a search asks: one for each agent, or one agent for the others.
//!
//! An agent that asks for a balancer is its delegate. It costs the balancer one datagram and one
//! word instead of one of each for every agent, and takes a way more; so a balancer asks a few by
//! itself, and a flow's candidates as long as its budget is half full.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use super::asking::AskedList;
use super::budget::SearchBudget;
use super::entry::{FlowSearch, ServiceAgent};
use crate::errand::ERRAND_AGENTS;
use crate::frame::{ErrandGroup, FramePurpose, PacketFrame, PeerFrame, SearchErrand};
use crate::load::LoadBoard;
use crate::packet::FlowKey;
use crate::ring::CANDIDATES;

/// From so many agents on, one of them asks the others. Below, the balancer's own datagrams cost
/// less than the way through another agent.
const LEAST_ERRAND: usize = 6;

/// Agents that were heard this recently take errands, in turn; without any, the one that was heard
/// last does. One that died meanwhile costs a search 150 ms.
const DELEGATE_SPAN: Duration = Duration::from_millis(150);

/// Bytes of a frame beside the packet, with the headers below it.
const FRAME_BYTES: usize = 60;

/// Bytes of an agent's name in an errand.
const NAME_BYTES: usize = 4;

/// Frames of a search, with the agents that they go to; the packet follows each.
pub type SearchFrames = Vec<(AgentAddress, PeerFrame)>;

/// Which agent asks each agent for this balancer; `None` where the balancer asks itself.
type AskerMap = HashMap<AgentAddress, Option<AgentAddress>>;

/// Bytes of the errands that ask `agents` agents about a packet.
pub(super) fn errand_bytes(agents: usize, packet_bytes: usize) -> usize {
    let errands = agents.div_ceil(ERRAND_AGENTS);
    errands * (packet_bytes + FRAME_BYTES) + agents * NAME_BYTES
}

/// Makes the frames of searches.
pub(super) struct FrameMaker<'a> {
    /// The balancer.
    pub(super) own: AgentAddress,
    pub(super) loads: &'a LoadBoard,
    pub(super) budget: &'a mut SearchBudget,
    pub(super) now: Moment,
}

impl FrameMaker<'_> {
    /// The frames that ask these agents: one each while that is cheap, else a few errands.
    pub(super) fn make(
        &mut self,
        flow: FlowKey,
        search: &mut FlowSearch,
        asked: AskedList,
    ) -> SearchFrames {
        let packet_bytes = search.bytes.len();
        let direct_bytes = asked.len() * (packet_bytes + FRAME_BYTES);
        let few = asked.len() < LEAST_ERRAND;
        let cheap = asked.len() <= CANDIDATES && self.budget.spend_directly(direct_bytes, self.now);
        if few || cheap {
            ask_directly(search, &asked);
            let frames = asked
                .iter()
                .map(|next| (next.agent, ask_frame(self.own, next)));
            return frames.collect();
        }
        let bytes = errand_bytes(asked.len(), packet_bytes);
        self.budget.charge(bytes, self.now);
        self.errands(flow, search, asked)
    }

    fn errands(&self, flow: FlowKey, search: &mut FlowSearch, asked: AskedList) -> SearchFrames {
        let delegates = self.delegates(flow, search, &asked);
        let is_delegate = |asked: &ServiceAgent| {
            delegates
                .iter()
                .any(|delegate| delegate.agent == asked.agent)
        };
        let others: AskedList = asked
            .into_iter()
            .filter(|asked| !is_delegate(asked))
            .collect();
        let mut frames = SearchFrames::new();
        let mut askers = AskerMap::new();
        let parts = others
            .chunks(ERRAND_AGENTS)
            .chain(std::iter::repeat(&[][..]));
        for (delegate, part) in delegates.iter().zip(parts) {
            askers.extend(part.iter().map(|asked| (asked.agent, Some(delegate.agent))));
            askers.insert(delegate.agent, None);
            frames.push((delegate.agent, errand_frame(self.own, delegate, part)));
        }
        set_askers(search, &askers);
        frames
    }

    /// Which of the asked agents ask the others. One that was to do so before for this search and
    /// brought no end of it is passed over.
    fn delegates(
        &self,
        flow: FlowKey,
        search: &FlowSearch,
        asked: &[ServiceAgent],
    ) -> SmallVec<[ServiceAgent; 4]> {
        let errands = asked.len().div_ceil(ERRAND_AGENTS);
        let failed = |agent| search.open.iter().any(|open| open.through == Some(agent));
        let fresh: SmallVec<[ServiceAgent; CANDIDATES]> = asked
            .iter()
            .filter(|asked| !failed(asked.agent))
            .copied()
            .collect();
        let is_well = |asked: &&ServiceAgent| {
            let heard = self.loads.well_since(asked.agent);
            heard.is_some_and(|heard| self.now.since(heard) < DELEGATE_SPAN)
        };
        let mut best: SmallVec<[ServiceAgent; CANDIDATES]> =
            fresh.iter().filter(is_well).copied().collect();
        if best.len() < errands {
            best = if fresh.len() < errands {
                asked.iter().copied().collect()
            } else {
                fresh
            };
            best.sort_by_key(|asked| std::cmp::Reverse(self.loads.well_since(asked.agent)));
            best.truncate(errands);
        }
        let first = usize::try_from(flow.point() >> 32).unwrap_or(0);
        (0..errands)
            .map(|errand| best[(first + errand) % best.len()])
            .collect()
    }
}

/// Notes that the balancer itself asks these few.
fn ask_directly(search: &mut FlowSearch, asked: &[ServiceAgent]) {
    for open in &mut search.open {
        let mut asked = asked.iter();
        if asked.any(|asked| asked.agent == open.candidate.agent) {
            open.through = None;
        }
    }
}

/// Notes who asks whom, in one pass: a search of thousands has as many errands as it has scores of them.
fn set_askers(search: &mut FlowSearch, askers: &AskerMap) {
    for open in &mut search.open {
        if let Some(asker) = askers.get(&open.candidate.agent) {
            open.through = *asker;
        }
    }
}

fn ask_frame(own: AgentAddress, next: &ServiceAgent) -> PeerFrame {
    PeerFrame::Packet(PacketFrame::new(FramePurpose::Search, next.service, own))
}

fn errand_frame(own: AgentAddress, delegate: &ServiceAgent, others: &[ServiceAgent]) -> PeerFrame {
    let mut groups = Vec::new();
    for other in others {
        let instance = *other.agent.0.ip();
        group_of(&mut groups, other.service).push(instance);
    }
    PeerFrame::Errand(SearchErrand {
        balancer: own,
        service: delegate.service,
        others: groups,
    })
}

fn group_of(groups: &mut Vec<ErrandGroup>, service: ServiceId) -> &mut Vec<Ipv4Addr> {
    let known = groups.iter().position(|group| group.service == service);
    let at = known.unwrap_or(groups.len());
    if known.is_none() {
        let instances = Vec::new();
        groups.push(ErrandGroup { service, instances });
    }
    &mut groups[at].instances
}
