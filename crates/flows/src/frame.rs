//! What balancers and agents tell each other, each a UDP datagram: a `postcard` value, and behind
//! it, where one travels, the packet as it was received.

use std::net::Ipv4Addr;
use std::num::NonZeroU16;
use std::time::Duration;

use lovagelatch_catalog::WarmupRule;
use lovagelatch_domain::{AgentAddress, ServiceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::packet::FlowKey;

/// Why a packet was sent to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FramePurpose {
    /// The flow is new: the target is asked to take it.
    Offer,
    /// The flow is said to be at this agent's target.
    Known,
    /// Nobody asked so far holds the flow.
    Search,
}

/// How many new flows a target bears while it is cold, and for how long that is. In tenths, so that an offer
/// with four others to try stays small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WarmupLimit {
    /// New flows a second, in tenths.
    rate_tenths: NonZeroU16,
    /// How long a target is cold from its start on, in tenths of a second.
    span_tenths: u16,
    /// How much of that is left, as far as the sender knows, in tenths of a second.
    left_tenths: u16,
}

impl WarmupLimit {
    /// The limit by a rule of the operator's, for a target that is cold for `left` more. Rounded to the safe
    /// side: fewer flows, for longer.
    #[must_use]
    pub fn new(rule: &WarmupRule, left: Duration) -> Self {
        let rate = u16::try_from(rule.rate_milli.get() / 100).unwrap_or(u16::MAX);
        let tenths = |millis: u128| u16::try_from(millis.div_ceil(100)).unwrap_or(u16::MAX);
        Self {
            rate_tenths: NonZeroU16::new(rate).unwrap_or(NonZeroU16::MIN),
            span_tenths: tenths(rule.span_ms.into()),
            left_tenths: tenths(left.as_millis()),
        }
    }

    /// New flows a second.
    #[must_use]
    pub fn rate(&self) -> f32 {
        f32::from(self.rate_tenths.get()) / 10.0
    }

    /// The time between two new flows.
    #[must_use]
    pub fn interval(&self) -> Duration {
        Duration::from_secs(10) / u32::from(self.rate_tenths.get())
    }

    /// Whole new flows in a span, one at least.
    #[must_use]
    pub fn room(&self, span: Duration) -> u16 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let flows = (self.rate() * span.as_secs_f32()) as u16;
        flows.max(1)
    }

    /// How long a target is cold from its start on.
    #[must_use]
    pub fn span(&self) -> Duration {
        Duration::from_millis(u64::from(self.span_tenths) * 100)
    }

    /// How much of that is left.
    #[must_use]
    pub fn left(&self) -> Duration {
        Duration::from_millis(u64::from(self.left_tenths) * 100)
    }
}

/// An agent that may be tried next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// Where it listens.
    pub agent: AgentAddress,
    /// The service of its target as the sender knows it. An agent of another service refuses the
    /// frame: addresses are used again.
    pub service: ServiceId,
    /// How many requests that target runs at once.
    pub slots: u16,
    /// How many new flows it bears while it is cold; `None` where no bound is named, and in what is no
    /// offer.
    pub warmup: Option<WarmupLimit>,
}

/// A client's packet on its way to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketFrame {
    /// The service of the receiver's target as the sender knows it.
    pub service: ServiceId,
    /// The balancer that read the packet; notes about the flow go there.
    pub balancer: AgentAddress,
    /// How many requests the receiver's target runs at once, as the sender knows it.
    pub slots: u16,
    /// How many new flows that target bears while it is cold; `None` where no bound is named, and in what
    /// is no offer.
    pub warmup: Option<WarmupLimit>,
    /// Of an offer, the store's revision up to which the balancer knew which zones are evacuated; by that
    /// the receiver's is not, nor that of anybody in `rest`. 0 where it vouches for nothing: the packet is
    /// a copy of one that the receiver's target answered.
    pub zones_revision: u64,
    /// Why it comes here.
    pub purpose: FramePurpose,
    /// Who counts the answers of a search; the balancer itself where nobody is named.
    pub asker: Option<AgentAddress>,
    /// Who is tried next, best first; whoever passes the frame on takes itself out, so no agent
    /// sees it twice and the walk ends.
    pub rest: SmallVec<[Candidate; 5]>,
}

impl PacketFrame {
    /// A frame for an agent of `service` that names nobody else.
    #[must_use]
    pub fn new(purpose: FramePurpose, service: ServiceId, balancer: AgentAddress) -> Self {
        Self {
            service,
            balancer,
            slots: 0,
            warmup: None,
            zones_revision: 0,
            purpose,
            asker: None,
            rest: SmallVec::new(),
        }
    }

    /// The same, whose answers another agent counts.
    #[must_use]
    pub fn with_asker(mut self, asker: AgentAddress) -> Self {
        self.asker = Some(asker);
        self
    }
}

/// A balancer's request that an agent look for a flow among others; the client's packet follows.
///
/// What goes wrong without it: after a power loss a balancer with a link of 11 Mbit/s and a
/// twenty-fifth of a core has a hundred lost flows to ask 54 agents about, with a packet each. In
/// measurements that took both for seconds, and new flows waited. One datagram there and one back
/// costs it a fiftieth; agents have room.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchErrand {
    /// The balancer.
    pub balancer: AgentAddress,
    /// The service of the receiver's own target, as the balancer knows it.
    pub service: ServiceId,
    /// Whom to ask. They listen at the receiver's own port.
    pub others: Vec<ErrandGroup>,
}

/// Agents of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrandGroup {
    /// The service.
    pub service: ServiceId,
    /// Their instances.
    pub instances: Vec<Ipv4Addr>,
}

/// What came of an errand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrandWord {
    /// The flow.
    pub flow: FlowKey,
    /// The agent that asked for the balancer.
    pub delegate: AgentAddress,
    /// Who did not say that they do not hold the flow: one of them holds it, or they are silent.
    pub silent: SmallVec<[AgentAddress; 4]>,
}

/// What an agent's target is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent.
    pub agent: AgentAddress,
    /// Its service.
    pub service: ServiceId,
    /// Requests sent to the target that it has not begun to answer.
    pub in_progress: u16,
    /// Open flows.
    pub flows: u32,
    /// Average of `in_progress` over about a second, in thousandths.
    pub average_milli: u32,
    /// Whether the target answers, as far as the agent knows.
    pub responsive: bool,
    /// Whether the target resets its requests instead of answering them.
    pub failing: bool,
    /// Whether the agent has been told to stop.
    pub leaving: bool,
    /// The store's revision up to which the agent knows whether its zone is evacuated; 0 before any word.
    pub zones_revision: u64,
    /// Whether its zone is, so that its target gets no new flows.
    pub evacuated: bool,
    /// How many more new flows its target bears until the next report, because it is cold; `None` where no
    /// bound holds.
    pub room: Option<u16>,
}

impl LoadReport {
    /// What is taken of an agent that has said nothing: an idle target that is well.
    #[must_use]
    pub fn idle(agent: AgentAddress, service: ServiceId) -> Self {
        Self {
            agent,
            service,
            in_progress: 0,
            flows: 0,
            average_milli: 0,
            responsive: true,
            failing: false,
            leaving: false,
            zones_revision: 0,
            evacuated: false,
            room: None,
        }
    }
}

/// What happened to a flow at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FlowEvent {
    /// The target answered the flow's first packet.
    Answered,
    /// The client's end confirmed this target: the flow lives here.
    Opened,
    /// The target does not hold the flow.
    Absent,
    /// The new flow was refused, and its client told so.
    Refused,
}

/// An agent's word about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowNote {
    /// The flow.
    pub flow: FlowKey,
    /// What happened.
    pub event: FlowEvent,
    /// The agent and its load.
    pub load: LoadReport,
}

/// A balancer's word about the zone of the agent that it is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneNotice {
    /// The store's revision up to which it holds: a later one goes before it, whoever brings it.
    pub revision: u64,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// How long ago the store said so.
    pub age: Duration,
}

/// A datagram between a balancer and an agent, or two agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A client's packet for an agent; the packet follows.
    Packet(PacketFrame),
    /// An agent's word about a flow, for a balancer.
    Note(FlowNote),
    /// An agent's load, for a balancer.
    Load(LoadReport),
    /// Are you there? The agent answers with its load. Agents report on their own to some balancers
    /// only, so a balancer that hears nothing has to ask before it may draw a conclusion.
    Probe {
        /// The balancer that asks.
        balancer: AgentAddress,
    },
    /// Whether the agent's zone is evacuated, for an agent whose report shows that it has not heard.
    Zone(ZoneNotice),
    /// Look for a flow, for a balancer; the packet follows.
    Errand(SearchErrand),
    /// What came of an errand, for its balancer.
    ErrandEnd(ErrandWord),
    /// A packet of an open flow for an agent that its balancer does not hear; a whole frame with the packet
    /// follows, and is handed on as it is.
    Relay {
        /// The agent that it is for.
        to: AgentAddress,
    },
    /// A packet of a flow that a balancer took to be at this agent, and that nobody there knows;
    /// the packet follows. The balancer searches.
    Unknown {
        /// The agent that does not know the flow.
        agent: AgentAddress,
    },
}

impl PeerFrame {
    /// How many agents are shown the packet behind it.
    #[must_use]
    pub fn agents(&self) -> usize {
        match self {
            Self::Packet(_) => 1,
            Self::Errand(errand) => {
                let others = errand.others.iter().map(|group| group.instances.len());
                1 + others.sum::<usize>()
            }
            _ => 0,
        }
    }
}

/// Writes a frame that another agent hands on, and the packet behind it, into `out`, which is cleared first.
pub fn write_relayed(to: AgentAddress, frame: &PeerFrame, packet: &[u8], out: &mut Vec<u8>) {
    let mut inner = Vec::with_capacity(packet.len() + RELAYED_HEADER_BYTES);
    write_frame(frame, packet, &mut inner);
    write_frame(&PeerFrame::Relay { to }, &inner, out);
}

/// Whether what follows a [`PeerFrame::Relay`] may be handed on: a packet of a known flow and nothing else, so
/// that no frame is relayed twice and no flow is offered behind its balancer's back.
#[must_use]
pub fn may_be_relayed(inner: &[u8]) -> bool {
    match open_frame(inner) {
        Ok((PeerFrame::Packet(frame), _)) => frame.purpose == FramePurpose::Known,
        _ => false,
    }
}

/// Room for the frame before a relayed packet.
const RELAYED_HEADER_BYTES: usize = 64;

/// Why a datagram is no frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// It does not decode.
    #[error("frame of {length} bytes does not decode")]
    Malformed {
        /// Its length.
        length: usize,
    },
}

/// Writes a frame and the packet behind it into `out`, which is cleared first.
pub fn write_frame(frame: &PeerFrame, packet: &[u8], out: &mut Vec<u8>) {
    out.clear();
    let mut buffer = std::mem::take(out);
    match postcard::to_extend(frame, std::mem::take(&mut buffer)) {
        Ok(written) => *out = written,
        // Writing into a vector cannot fail, and every type here can be written.
        Err(_) => out.clear(),
    }
    out.extend_from_slice(packet);
}

/// Reads a frame and the packet behind it.
///
/// # Errors
///
/// [`FrameError::Malformed`].
pub fn open_frame(datagram: &[u8]) -> Result<(PeerFrame, &[u8]), FrameError> {
    postcard::take_from_bytes(datagram).map_err(|_| FrameError::Malformed {
        length: datagram.len(),
    })
}
