//! Decisions about flows whose packets are opaque: nothing that the system chooses comes back in
//! them, so the four addresses and ports are all that names a flow.
//!
//! This library decides; it reads no clock, opens no socket and starts no thread. Packets, frames
//! and the time come in, packets to send come out.
//!
//! ```text
//! caller --> FlowBalancer --PacketFrame--> FlowAgent --> backend server
//!    ^           ^                          |   |             |
//!    |           +---- notes, load ---------+   +--- rest ---> next agent
//!    +-------------------- straight back ---------------------+
//! ```
//!
//! The truth about a flow is its target: it holds the flow or returns the packet. The agent
//! beside it sees every packet both ways and remembers. A balancer's memory is only a cache: lost,
//! stale or absent, it costs a question to a few agents, never a flow.

mod agent;
mod balancer;
mod delegated_search;
mod flow_table;
mod frame;
mod load;
mod outlook;
mod packet;
mod ring;
mod view;

pub use agent::{
    AgentSettings, AgentStatus, AgentStep, DelegatedStep, DropReason, FlowAgent, WarmupSettings,
};
pub use balancer::{
    BalancerStep, DueOffer, DueSearch, FlowBalancer, FlowReset, LossReason, PlacedFlow,
    RefusalReason, SearchFrames, UpdateOutcome,
};
pub use frame::{
    Candidate, DelegatedSearch, FlowEvent, FlowUpdate, FrameError, FramePurpose, LoadReport,
    PacketFrame, PeerFrame, SearchGroup, SearchResult, WarmupLimit, ZoneNotice, is_relayable,
    read_frame, write_frame, write_relay_frame,
};
pub use load::{LoadTable, TargetLoad};
pub use outlook::{CandidateOutlook, FlowOutlook, HeldFlow};
pub use packet::{FlowKey, FlowPacket, PacketFlags};
pub use ring::{CANDIDATES, FlowStanding, FlowTarget, NameKey, PLACES, ServiceTargets, TargetKey};
pub use view::{
    FlowRoute, FlowView, FlowViewBuilder, RegionIndex, RouteHomes, ViewCoverage, ViewDoubt,
    ViewSettings, ZoneIndex, ZoneOutlook,
};
