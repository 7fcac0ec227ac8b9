//! Per-flow state of an agent, and packets whose outcome at the target is pending.

use lovagelatch_domain::{AgentAddress, Moment, ServiceId, StorePosition};
use smallvec::SmallVec;

use super::service_time::DeliveredRequest;
use crate::flow_table::LastActive;
use crate::frame::{Candidate, FramePurpose, PacketFrame, RequestClass};
use crate::packet::FlowPacket;

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

/// The part of a flow's request in the admission. Always `Idle` where no class is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// The flow has no request that the admission knows.
    Idle,
    /// The flow is about to open, and counts as a request that will come.
    Opening,
    /// The request waits, and further packets of the client with it.
    Waiting,
    /// The request was delivered, with this number.
    Delivered(u64),
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
    pub(super) phase: RequestPhase,
    /// The end of the target's data so far, to tell an answer from a retransmission.
    pub(super) target_end: Option<u32>,
    /// Whether the flow counts against the limit of the target's flows.
    pub(super) counted: bool,
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
            phase: RequestPhase::Idle,
            target_end: None,
            counted: true,
        }
    }

    /// Records the end of a client's data. Returns whether it is new, not a retransmission.
    pub(super) fn record_client_data(&mut self, packet: &FlowPacket) -> bool {
        advance_end(&mut self.client_end, packet)
    }

    /// Records the end of the target's data. Returns whether it is new, not a retransmission.
    pub(super) fn record_target_data(&mut self, packet: &FlowPacket) -> bool {
        packet.data_bytes > 0 && advance_end(&mut self.target_end, packet)
    }
}

fn advance_end(known_end: &mut Option<u32>, packet: &FlowPacket) -> bool {
    let end = packet.sequence.wrapping_add(packet.data_bytes.into());
    let is_new = known_end.is_none_or(|known| end.wrapping_sub(known).cast_signed() > 0);
    if is_new {
        *known_end = Some(end);
    }
    is_new
}

/// The routing part of a packet frame: who sent it, and where it is forwarded if it is not for
/// this target.
#[derive(Clone, Debug)]
pub(super) struct FrameOrigin {
    pub(super) purpose: FramePurpose,
    pub(super) zones_revision: StorePosition,
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
