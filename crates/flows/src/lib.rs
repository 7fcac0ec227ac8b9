//! Decisions about flows of opaque packets. Such packets carry nothing that the system has chosen,
//! so a flow is identified by its source and destination addresses and ports alone.
//!
//! This library only makes decisions: it reads no clock, opens no socket and starts no thread. Its
//! inputs are packets, frames and the time; its outputs are packets and frames to send.
//!
//! ```text
//! caller --> FlowBalancer --PacketFrame--> FlowAgent --> backend server
//!    ^           ^                          |   |             |
//!    |           +--- updates, load --------+   +--- rest ---> next agent
//!    +------------------- direct return ----------------------+
//! ```
//!
//! The target is authoritative for a flow: it either holds the flow or returns the packet. The
//! agent beside it sees every packet in both directions and tracks the flow. A balancer's flow
//! table is only a cache: a lost, stale or absent entry costs a query to a few agents, never a
//! flow.

mod agent;
mod balancer;
mod delegated_search;
mod explain;
mod flow_table;
mod frame;
mod load;
mod packet;
mod ring;
mod view;

pub use agent::{
    AdmissionEvent, AdmissionOrder, AgentSettings, AgentStatus, AgentStep, DelegatedStep,
    DeliveryReason, DropReason, FlowAgent, OfferRefusal, RefusedOffer, RequestDelivery,
    StopAnnouncement, WarmupSettings,
};
pub use balancer::{
    BalancerStep, DueOffer, DueSearch, FlowBalancer, FlowReset, HelloRecipients, LossReason,
    PlacedFlow, RefusalReason, SearchCounts, SearchFrames, UpdateOutcome,
};
pub use explain::{CandidateExplanation, FlowExplanation, FlowStatus};
pub use frame::{
    Candidate, DelegatedSearch, FlowEvent, FlowUpdate, FrameError, FramePurpose, LoadReport,
    PacketFrame, PeerFrame, RequestClass, SearchGroup, SearchResult, WarmupLimit, ZoneNotice,
    is_relayable, read_frame, write_frame, write_relay_frame,
};
pub use load::{LoadTable, TargetLoad};
pub use packet::{FlowKey, FlowPacket, PacketFlags};
pub use ring::{
    FlowStanding, FlowTarget, NameKey, PLACEMENT_CANDIDATES, SEARCH_CANDIDATES, ServiceTargets,
    TargetKey,
};
pub use view::{
    DoubtReason, FlowRoute, FlowView, FlowViewBuilder, RegionIndex, RouteRegions,
    SupersededTargets, ViewCoverage, ViewSettings, ZoneIndex, ZoneTable,
};
