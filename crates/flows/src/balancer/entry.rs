//! What a balancer remembers of a flow.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use crate::frame::Candidate;
use crate::memory::Remembered;
use crate::ring::FlowTarget;

/// An agent, and the service of its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceAgent {
    pub(super) agent: AgentAddress,
    pub(super) service: ServiceId,
}

impl ServiceAgent {
    /// The agent beside a target.
    pub(super) fn of(target: &FlowTarget) -> Self {
        Self {
            agent: target.agent,
            service: target.service,
        }
    }

    /// The agent as one to try next with a packet that opens no flow.
    pub(super) fn as_candidate(self) -> Candidate {
        Candidate {
            agent: self.agent,
            service: self.service,
            slots: 0,
            warmup: None,
        }
    }
}

/// How far a flow has come, as far as this balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// Offered; nobody has answered.
    Offered,
    /// The agent's target answered the first packet; another one may have as well.
    Answered,
    /// The flow lives at the agent's target.
    Open,
    /// Nobody holds it any more: every further packet is answered with a reset.
    Lost,
}

/// One flow with an agent.
#[derive(Clone, Debug)]
pub(super) struct FlowEntry {
    pub(super) agent: AgentAddress,
    pub(super) service: ServiceId,
    pub(super) state: EntryState,
    pub(super) last: Moment,
    pub(super) created: Moment,
    /// What the client last acknowledged: a reset must carry a number near it.
    pub(super) acknowledged: u32,
    /// Every agent that it was offered to, while none holds it for sure.
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
            last: now,
            created: now,
            acknowledged: 0,
            offered: SmallVec::new(),
        }
    }

    /// Takes the flow to be at another one of those that it was offered to, because the agent that it
    /// was taken to be at is lost; whether there is one. Several may have accepted the offer, and
    /// only the client's choice tells where the flow lives: the end of one is not its end.
    pub(super) fn try_other(&mut self) -> bool {
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

    /// A flow that nobody holds.
    pub(super) fn lost(now: Moment) -> Self {
        let nobody = AgentAddress(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
        Self::new(nobody, ServiceId::default(), EntryState::Lost, now)
    }
}

/// An agent whose word about a flow is needed and has not come.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAsk {
    pub(super) candidate: ServiceAgent,
    /// The agent that asks for this balancer.
    pub(super) through: Option<AgentAddress>,
}

/// How far a search has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchStep {
    /// The flow's candidates were asked.
    Candidates,
    /// Everybody was.
    Everybody,
    /// Those who did not answer then were asked once more.
    Repeated,
    /// Everybody has said no without proving anything.
    Exhausted,
    /// More may hold the flow than one search may ask.
    Abandoned,
}

/// A flow that is being searched for.
#[derive(Clone, Debug)]
pub(super) struct FlowSearch {
    pub(super) last: Moment,
    pub(super) started: Moment,
    /// When it goes on by itself.
    pub(super) due: Moment,
    /// When those who have not answered were last asked.
    pub(super) asked_at: Moment,
    /// Whether the route's requests may be run again.
    pub(super) idempotent: bool,
    pub(super) acknowledged: u32,
    /// Everybody who was asked.
    pub(super) asked: SmallVec<[AgentAddress; 8]>,
    /// Those whose word is needed and who have not said that they do not hold it.
    pub(super) open: SmallVec<[OpenAsk; 8]>,
    /// The client's packet that it began with, shown to whoever is asked.
    pub(super) bytes: Box<[u8]>,
    /// How far it has come.
    pub(super) step: SearchStep,
    /// Whether the view that it began with held every living target.
    pub(super) certain: bool,
    /// Whether somebody who may hold it must not be asked, so that nobody's word proves anything.
    pub(super) withheld: bool,
    /// Whether somebody who may hold it is out of reach, and is not waited for.
    pub(super) unreachable: bool,
}

impl Remembered for FlowEntry {
    fn last(&self) -> Moment {
        self.last
    }
}

impl Remembered for FlowSearch {
    fn last(&self) -> Moment {
        self.last
    }
}
