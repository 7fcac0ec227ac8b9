//! A balancer's state for each flow.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use crate::flow_table::LastActive;
use crate::frame::Candidate;
use crate::packet::FlowPacket;
use crate::ring::{FlowTarget, TargetKey};

/// An agent, and the service of its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceAgent {
    pub(super) agent: AgentAddress,
    pub(super) service: ServiceId,
}

impl ServiceAgent {
    /// Returns the agent beside a target.
    pub(super) fn of(target: &FlowTarget) -> Self {
        Self {
            agent: target.agent,
            service: target.service,
        }
    }

    /// Returns the agent as an alternative in the frame of a packet that does not open a flow.
    pub(super) fn as_candidate(self) -> Candidate {
        Candidate {
            agent: self.agent,
            service: self.service,
            slots: 0,
            warmup: None,
        }
    }
}

/// The state of a flow, as far as this balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// Offered to a target; no answer yet.
    Offered,
    /// The agent's target answered the first packet; another target may have answered as well.
    Answered,
    /// The agent's target holds the flow.
    Open,
    /// No target holds the flow: every further packet is answered with a reset.
    Lost,
}

/// A flow and the agent that is believed to hold it.
#[derive(Clone, Debug)]
pub(super) struct FlowEntry {
    pub(super) agent: AgentAddress,
    pub(super) service: ServiceId,
    pub(super) state: EntryState,
    pub(super) last_packet: Moment,
    pub(super) created: Moment,
    /// The client's last acknowledgement number; a reset must carry a number near it.
    pub(super) acknowledged: u32,
    /// All agents that were offered the flow, until it is known which one holds it.
    pub(super) offered: SmallVec<[ServiceAgent; 2]>,
}

impl FlowEntry {
    pub(super) fn new(
        agent: AgentAddress,
        service: ServiceId,
        state: EntryState,
        now: Moment,
    ) -> Self {
        Self {
            agent,
            service,
            state,
            last_packet: now,
            created: now,
            acknowledged: 0,
            offered: SmallVec::new(),
        }
    }

    /// Switches the flow to another agent that was offered it, because the current one is lost.
    /// Returns whether there is one. Several targets may have accepted the offer, and only the
    /// client's choice decides which one holds the flow, so losing one of them does not end the
    /// flow.
    pub(super) fn switch_to_other_offer(&mut self) -> bool {
        if self.state != EntryState::Answered {
            return false;
        }
        self.offered.retain(|offered| offered.agent != self.agent);
        let Some(other) = self.offered.first() else {
            return false;
        };
        self.agent = other.agent;
        self.service = other.service;
        true
    }

    /// Creates the entry of a flow that no target holds.
    pub(super) fn lost(now: Moment) -> Self {
        let no_agent = AgentAddress(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
        Self::new(no_agent, ServiceId::default(), EntryState::Lost, now)
    }
}

/// A query that has to be answered and has not been.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingQuery {
    pub(super) holder: ServiceAgent,
    /// The agent that sends the query for this balancer; `None` if the balancer sends it directly.
    pub(super) delegate: Option<AgentAddress>,
    /// When the agent was last queried.
    pub(super) queried_at: Moment,
    /// How often the agent was queried.
    pub(super) count: u8,
}

impl PendingQuery {
    pub(super) fn new(holder: ServiceAgent, now: Moment) -> Self {
        Self {
            holder,
            delegate: None,
            queried_at: now,
            count: 0,
        }
    }

    /// Records that the agent is queried, by the balancer itself or by a delegate.
    pub(super) fn record_sent(&mut self, delegate: Option<AgentAddress>, now: Moment) {
        self.delegate = delegate;
        self.queried_at = now;
        self.count = self.count.saturating_add(1);
    }
}

/// An agent that was queried, and the target that was known at its address.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueriedTarget {
    pub(super) agent: AgentAddress,
    pub(super) key: TargetKey,
    pub(super) at: Moment,
    /// Whether the agent has reported the flow as absent.
    pub(super) absent: bool,
}

impl QueriedTarget {
    /// Returns whether a query about `target` would repeat this one. Another target at the same
    /// address counts as queried if the view had it then, since an agent answers for the target that
    /// runs beside it.
    pub(super) fn covers(&self, target: &FlowTarget) -> bool {
        self.agent == target.agent && (self.key == target.key || target.standing_since <= self.at)
    }
}

/// The phase of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchPhase {
    /// The flow's candidates were queried.
    Candidates,
    /// All possible holders were queried.
    AllHolders,
    /// Holders that did not answer were queried again.
    Retried,
    /// All queried holders reported the flow as absent, which proves nothing, because the view may
    /// lack targets or some possible holder must not be queried.
    Inconclusive,
    /// The flow has more possible holders than a single search may query.
    Abandoned,
}

/// A flow that is being searched for.
#[derive(Clone, Debug)]
pub(super) struct FlowSearch {
    pub(super) last_packet: Moment,
    /// When the first packet arrived. The flow was open by then.
    pub(super) created: Moment,
    /// When the search began, or last began again.
    pub(super) started: Moment,
    /// When the search continues without another packet of the client.
    pub(super) due: Moment,
    /// When the agents with pending queries were last queried.
    pub(super) queried_at: Moment,
    /// Whether the route's requests may be run again.
    pub(super) idempotent: bool,
    pub(super) acknowledged: u32,
    /// The end of the client's data that agents were shown.
    pub(super) client_end: u32,
    /// Whether the packet in `bytes` carries data.
    pub(super) has_data: bool,
    /// All agents that were queried. Invariant: one entry for each agent.
    pub(super) queried: Vec<QueriedTarget>,
    /// Queries that have to be answered before the flow counts as lost.
    pub(super) pending: Vec<PendingQuery>,
    /// The client's packet that started the search, shown to every queried agent.
    pub(super) bytes: Box<[u8]>,
    pub(super) phase: SearchPhase,
    /// Whether the search waits for others to leave the window. Then it has no timer.
    pub(super) is_waiting: bool,
    /// Whether the search has begun before, so that its first queries go to all possible holders
    /// that have not answered.
    pub(super) is_repeated: bool,
    /// Whether the view that the search uses includes every live target.
    pub(super) view_complete: bool,
    /// Whether that view was compared with the store after the first packet arrived.
    pub(super) view_verified: bool,
    /// Whether some possible holder must not be queried, so that the answers of the others prove
    /// nothing.
    pub(super) holder_excluded: bool,
    /// Agents that may hold the flow and must not be shown its packets.
    pub(super) excluded: SmallVec<[AgentAddress; 4]>,
    /// How many of these were asked whether they hold the flow.
    pub(super) located: usize,
    /// Whether some possible holder is unreachable, so that its answer is no longer awaited.
    pub(super) holder_unreachable: bool,
}

impl FlowSearch {
    /// Creates a search that has queried nobody.
    pub(super) fn new(packet: &FlowPacket, bytes: &[u8], idempotent: bool, now: Moment) -> Self {
        Self {
            last_packet: now,
            created: now,
            started: now,
            due: now,
            queried_at: now,
            idempotent,
            acknowledged: packet.acknowledged,
            client_end: packet.end(),
            has_data: packet.data_bytes > 0,
            queried: Vec::new(),
            pending: Vec::new(),
            bytes: bytes.into(),
            phase: SearchPhase::Candidates,
            is_waiting: false,
            is_repeated: false,
            view_complete: false,
            view_verified: false,
            holder_excluded: false,
            excluded: SmallVec::new(),
            located: 0,
            holder_unreachable: false,
        }
    }

    /// Records that an agent returned the flow's packet, so its target does not hold the flow.
    pub(super) fn record_returned(&mut self, agent: AgentAddress, now: Moment) {
        self.queried.push(QueriedTarget {
            agent,
            key: TargetKey::default(),
            at: now,
            absent: true,
        });
    }
}

impl LastActive for FlowEntry {
    fn last_active(&self) -> Moment {
        self.last_packet
    }
}

impl LastActive for FlowSearch {
    fn last_active(&self) -> Moment {
        self.last_packet
    }
}
