//! Per-flow state of an agent, and packets whose outcome at the target is pending.

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use super::service_time::DeliveredRequest;
use crate::flow_table::LastActive;
use crate::frame::{Candidate, FramePurpose, PacketFrame, RequestClass};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// The first packet was delivered to the target.
    Offered,
    /// The target answered the first packet.
    Answered,
    /// The client confirmed this target.
    Open,
    /// The flow ended; the target still answers its last packets.
    Closed,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct FlowEntry {
    pub(super) state: EntryState,
    pub(super) last_active: Moment,
    /// The target's initial sequence number; `None` until it has answered.
    pub(super) target_sequence: Option<u32>,
    /// The balancer that sent the flow's last packet.
    pub(super) balancer: Option<AgentAddress>,
    /// Whether that balancer has been notified that the flow is open here.
    pub(super) notified: bool,
    /// The end of the client's data so far, to tell new data from a retransmission.
    pub(super) client_end: Option<u32>,
    /// When the request in progress was sent to the target; `None` without one.
    pub(super) waiting_since: Option<Moment>,
    /// The request in progress, if the target's service time is learned.
    pub(super) request: Option<DeliveredRequest>,
}

impl LastActive for FlowEntry {
    fn last_active(&self) -> Moment {
        self.last_active
    }
}

impl FlowEntry {
    pub(super) fn new(state: EntryState, balancer: Option<AgentAddress>, now: Moment) -> Self {
        Self {
            state,
            last_active: now,
            target_sequence: None,
            balancer,
            notified: false,
            client_end: None,
            waiting_since: None,
            request: None,
        }
    }
}

/// The routing part of a packet frame: who sent it, and where it is forwarded if it is not for
/// this target.
#[derive(Clone, Debug)]
pub(super) struct FrameOrigin {
    pub(super) purpose: FramePurpose,
    pub(super) zones_revision: u64,
    /// The service of the agent that the frame was sent to.
    pub(super) service: ServiceId,
    pub(super) class: Option<Box<RequestClass>>,
    pub(super) balancer: AgentAddress,
    pub(super) asker: Option<AgentAddress>,
    pub(super) rest: SmallVec<[Candidate; 5]>,
}

impl From<PacketFrame> for FrameOrigin {
    fn from(frame: PacketFrame) -> Self {
        Self {
            purpose: frame.purpose,
            zones_revision: frame.zones_revision,
            service: frame.service,
            class: frame.class,
            balancer: frame.balancer,
            asker: frame.asker,
            rest: frame.rest,
        }
    }
}

/// A packet delivered to the target without knowing whether the target holds or accepts the flow.
#[derive(Clone, Debug)]
pub(super) struct TentativeDelivery {
    pub(super) tag: u32,
    pub(super) origin: FrameOrigin,
}

/// When the target last returned a packet of a flow that it does not hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct AbsentFlow(pub(super) Moment);

impl LastActive for AbsentFlow {
    fn last_active(&self) -> Moment {
        self.0
    }
}
