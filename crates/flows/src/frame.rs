//! Frames between balancers and agents. Each is one UDP datagram: a `postcard` value, followed by
//! the packet as it was received if the frame carries one.

use std::net::Ipv4Addr;
use std::num::{NonZeroU16, NonZeroU32};
use std::time::Duration;

use lovagelatch_catalog::WarmupRule;
use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId, StorePosition};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::packet::FlowKey;

/// Why a packet was sent to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FramePurpose {
    /// The flow is new, and offered to the target.
    Offer,
    /// The sender knows that the flow is at this agent's target.
    Known,
    /// The holder of the flow is not known, and is searched for.
    Search,
}

/// How many new flows per second a target can take while it is cold, and for how long it is cold.
/// In tenths, so that an offer with four more candidates stays small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WarmupLimit {
    /// New flows per second, in tenths.
    rate_tenths: NonZeroU16,
    /// How long a target is cold after its start, in tenths of a second.
    span_tenths: u16,
    /// How much of that time remains according to the sender, in tenths of a second.
    left_tenths: u16,
}

impl WarmupLimit {
    /// Creates the limit of an operator's rule, for a target that stays cold for `remaining`.
    /// Rounds to the safe side: fewer flows, for longer.
    #[must_use]
    pub fn new(rule: &WarmupRule, remaining: Duration) -> Self {
        let rate = u16::try_from(rule.rate_milli.get() / 100).unwrap_or(u16::MAX);
        let tenths = |millis: u128| u16::try_from(millis.div_ceil(100)).unwrap_or(u16::MAX);
        Self {
            rate_tenths: NonZeroU16::new(rate).unwrap_or(NonZeroU16::MIN),
            span_tenths: tenths(rule.span_ms.into()),
            left_tenths: tenths(remaining.as_millis()),
        }
    }

    /// Returns the new flows per second.
    #[must_use]
    pub fn rate(&self) -> f32 {
        f32::from(self.rate_tenths.get()) / 10.0
    }

    /// Returns the time between two new flows at the limit's rate.
    #[must_use]
    pub fn interval(&self) -> Duration {
        Duration::from_secs(10) / u32::from(self.rate_tenths.get())
    }

    /// Returns how many whole flows the rate allows in `window`, at least one.
    #[must_use]
    pub fn flows_within(&self, window: Duration) -> u16 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let flows = (self.rate() * window.as_secs_f32()) as u16;
        flows.max(1)
    }

    /// Returns how long a target is cold after its start.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(u64::from(self.span_tenths) * 100)
    }

    /// Returns how much of [`duration`](Self::duration) remains according to the sender.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(u64::from(self.left_tenths) * 100)
    }
}

/// What an agent knows of the requests of a route to its service. It is learned from offers, and
/// applies to all flows to the route's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestClass {
    /// The version of the configuration that it was taken from; a higher one supersedes it.
    pub version: ConfigRevision,
    /// The urgency of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The latency objective in milliseconds. Invariant: at least 1.
    pub aim_ms: u32,
    /// The time after which callers give up, in milliseconds. Invariant: at least `aim_ms`.
    pub timeout_ms: u32,
    /// Whether the requests may be run again.
    pub idempotent: bool,
    /// How many flows a target of the receiver's service can hold; `None` without a limit.
    pub max_flows: Option<NonZeroU32>,
}

/// An agent that a packet may be forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The address at which it receives frames.
    pub agent: AgentAddress,
    /// The service of its target according to the sender. An agent of another service does not
    /// deliver the packet: addresses are reused.
    pub service: ServiceId,
    /// How many requests that target runs concurrently.
    pub slots: u16,
    /// How many new flows it can take while it is cold; `None` without a limit, and in frames other
    /// than offers.
    pub warmup: Option<WarmupLimit>,
}

/// The header of a client's packet on its way to a target; the packet follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketFrame {
    /// The service of the receiver's target according to the sender.
    pub service: ServiceId,
    /// The balancer that read the packet; updates about the flow are sent to it.
    pub balancer: AgentAddress,
    /// How many requests the receiver's target runs concurrently, according to the sender.
    pub slots: u16,
    /// How many new flows that target can take while it is cold; `None` without a limit, and in
    /// frames other than offers.
    pub warmup: Option<WarmupLimit>,
    /// The class of the route's requests, in the first offer of a flow; `None` in further offers and
    /// other frames, where the operator does not say, and at an agent of another service than that
    /// of the first choice. Boxed, because most frames have none.
    pub class: Option<Box<RequestClass>>,
    /// For an offer, the store revision up to which the balancer knew the evacuated zones; at that
    /// revision neither the receiver's zone nor that of any agent in `rest` is evacuated. The default if the
    /// balancer makes no such statement: it is cut off, or the packet is a copy of one that the
    /// receiver's target answered.
    pub zones_revision: StorePosition,
    /// Why the packet was sent to the receiver.
    pub purpose: FramePurpose,
    /// The delegate that collects the answers of a search; `None` if the balancer itself does.
    pub asker: Option<AgentAddress>,
    /// The agents to try next, best first. An agent that forwards the frame removes the one that it
    /// forwards to, so no agent receives the frame twice and the forwarding ends.
    pub rest: SmallVec<[Candidate; 5]>,
}

impl PacketFrame {
    /// Creates a frame for an agent of `service`, with no further agents to try.
    #[must_use]
    pub fn new(purpose: FramePurpose, service: ServiceId, balancer: AgentAddress) -> Self {
        Self {
            service,
            balancer,
            slots: 0,
            warmup: None,
            class: None,
            zones_revision: StorePosition::default(),
            purpose,
            asker: None,
            rest: SmallVec::new(),
        }
    }

    /// Sets the delegate that collects the answers of a search.
    #[must_use]
    pub fn with_asker(mut self, asker: AgentAddress) -> Self {
        self.asker = Some(asker);
        self
    }
}

/// A balancer's request that an agent search for a flow at other agents; the client's packet
/// follows.
///
/// Without it, a balancer with a link of 11 Mbit/s and a twenty-fifth of a core has to query 54
/// agents for each of a hundred lost flows after a power loss, with one packet per agent. That
/// saturated link and core for seconds, and new flows waited. One datagram in each direction costs
/// the balancer a fiftieth of that; agents have the capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedSearch {
    /// The balancer that receives the result.
    pub balancer: AgentAddress,
    /// The service of the receiver's own target according to the balancer.
    pub service: ServiceId,
    /// The agents to query. They listen at the same port as the receiver.
    pub others: Vec<SearchGroup>,
}

/// The agents of one service that a delegated search queries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchGroup {
    /// The service of their targets.
    pub service: ServiceId,
    /// The addresses of their instances.
    pub instances: Vec<Ipv4Addr>,
}

/// The result of a delegated search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchResult {
    /// The flow that was searched for.
    pub flow: FlowKey,
    /// The agent that ran the search.
    pub delegate: AgentAddress,
    /// The agents that did not report the flow as absent: one of them holds it, or they did not
    /// answer.
    pub silent: SmallVec<[AgentAddress; 4]>,
}

/// Load and health of an agent's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent that reports.
    pub agent: AgentAddress,
    /// The service of its target.
    pub service: ServiceId,
    /// Requests sent to the target that it has not begun to answer.
    pub in_progress: u16,
    /// Number of open flows.
    pub flows: u32,
    /// Average of `in_progress` plus `waiting` over about a second, in thousandths.
    pub average_milli: u32,
    /// Whether the target answers first packets, as far as the agent knows.
    pub responsive: bool,
    /// Whether the target resets its requests instead of answering them.
    pub failing: bool,
    /// Whether the agent is stopping.
    pub leaving: bool,
    /// The store revision up to which the agent knows whether its zone is evacuated; the default before the
    /// first notice.
    pub zones_revision: StorePosition,
    /// Whether its zone is evacuated, so that its target gets no new flows.
    pub evacuated: bool,
    /// How many more new flows its cold target can take until the next report; `None` where no
    /// limit applies.
    pub room: Option<u16>,
    /// Requests that wait at the agent until the target can take them.
    pub waiting: u16,
    /// The learned mean time that the target works on a request, in microseconds; `None` while it
    /// is not known.
    pub service_time_us: Option<NonZeroU32>,
}

impl LoadReport {
    /// Returns the report assumed for an agent that has sent none: an idle, healthy target.
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
            zones_revision: StorePosition::default(),
            evacuated: false,
            room: None,
            waiting: 0,
            service_time_us: None,
        }
    }
}

/// What happened to a flow at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FlowEvent {
    /// The target answered the flow's first packet.
    Answered,
    /// The client confirmed this target: the flow is open here.
    Opened,
    /// The target does not hold the flow.
    Absent,
    /// The new flow was refused, and its client was sent a reset.
    Refused,
}

/// An agent's update about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowUpdate {
    /// The flow concerned.
    pub flow: FlowKey,
    /// What happened to it.
    pub event: FlowEvent,
    /// The load of the agent that sends the update.
    pub load: LoadReport,
}

/// A balancer's notice about the zone of the agent that it is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneNotice {
    /// The store revision at which the notice is valid; a notice with a later revision supersedes
    /// it, whichever balancer sends it.
    pub revision: StorePosition,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// How long ago the store reported this.
    pub age: Duration,
}

/// A datagram between a balancer and an agent, or between two agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A client's packet for an agent; the packet follows.
    Packet(PacketFrame),
    /// An agent's update about a flow, for a balancer or for the agent that searches for it.
    Note(FlowUpdate),
    /// An agent's load, for a balancer.
    Load(LoadReport),
    /// Liveness probe, which the agent answers with its load. Agents send unsolicited reports to
    /// some balancers only, so a balancer has to probe an agent before it may conclude anything
    /// from silence.
    Probe {
        /// The balancer that receives the answer.
        balancer: AgentAddress,
    },
    /// Whether the agent's zone is evacuated, for an agent whose report shows a stale revision.
    Zone(ZoneNotice),
    /// A balancer's request to search for a flow; the packet follows.
    Errand(DelegatedSearch),
    /// The result of a delegated search, for its balancer.
    ErrandEnd(SearchResult),
    /// A packet of an open flow for an agent that its balancer cannot reach; a complete frame with
    /// the packet follows, and is forwarded unchanged.
    Relay {
        /// The agent to forward the frame to.
        to: AgentAddress,
    },
    /// A packet of a flow that the balancer assumed to be at this agent, but that is not there;
    /// the packet follows, and the balancer searches for the flow.
    Unknown {
        /// The agent that does not know the flow.
        agent: AgentAddress,
    },
    /// Asks an agent that must not be shown a flow's packets whether its target holds the flow. The
    /// agent answers with an update, or not at all if it does not know.
    Locate {
        /// The flow to locate.
        flow: FlowKey,
        /// The balancer that receives the answer.
        balancer: AgentAddress,
    },
    /// Makes a balancer known to an agent, which notifies it when it stops. Not answered.
    Hello {
        /// The balancer.
        balancer: AgentAddress,
    },
    /// Confirms to a stopping agent that a balancer relays its announcement to the others.
    StopRecorded {
        /// The balancer.
        balancer: AgentAddress,
    },
}

impl PeerFrame {
    /// Returns how many agents receive the packet that follows the frame.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        match self {
            Self::Packet(_) => 1,
            Self::Errand(search) => {
                let others = search.others.iter().map(|group| group.instances.len());
                1 + others.sum::<usize>()
            }
            _ => 0,
        }
    }

    /// Returns whether a client's packet follows the frame in a search.
    #[must_use]
    pub fn carries_packet(&self) -> bool {
        self.agent_count() > 0
    }
}

/// Writes a [`PeerFrame::Relay`] with an inner frame and its packet into `out`, which is cleared
/// first.
pub fn write_relay_frame(to: AgentAddress, frame: &PeerFrame, packet: &[u8], out: &mut Vec<u8>) {
    let mut inner = Vec::with_capacity(packet.len() + RELAYED_HEADER_BYTES);
    write_frame(frame, packet, &mut inner);
    write_frame(&PeerFrame::Relay { to }, &inner, out);
}

/// Returns whether the inner frame of a [`PeerFrame::Relay`] may be forwarded: only a packet of a
/// known flow, so that no frame is relayed twice and no flow is offered without its balancer's
/// knowledge.
#[must_use]
pub fn is_relayable(inner: &[u8]) -> bool {
    match read_frame(inner) {
        Ok((PeerFrame::Packet(frame), _)) => frame.purpose == FramePurpose::Known,
        _ => false,
    }
}

/// Initial capacity for the frame before a relayed packet.
const RELAYED_HEADER_BYTES: usize = 64;

/// Why a datagram is not a frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The bytes do not decode as a frame.
    #[error("frame of {length} bytes does not decode")]
    Malformed {
        /// Length of the datagram in bytes.
        length: usize,
    },
}

/// Writes a frame and the packet that follows it into `out`, which is cleared first.
pub fn write_frame(frame: &PeerFrame, packet: &[u8], out: &mut Vec<u8>) {
    out.clear();
    let mut buffer = std::mem::take(out);
    match postcard::to_extend(frame, std::mem::take(&mut buffer)) {
        Ok(written) => *out = written,
        // Writing to a vector does not fail, and all the types here are serializable.
        Err(_) => out.clear(),
    }
    out.extend_from_slice(packet);
}

/// Reads a frame and the packet that follows it.
///
/// # Errors
///
/// [`FrameError::Malformed`] if the datagram does not start with a frame.
pub fn read_frame(datagram: &[u8]) -> Result<(PeerFrame, &[u8]), FrameError> {
    postcard::take_from_bytes(datagram).map_err(|_| FrameError::Malformed {
        length: datagram.len(),
    })
}
