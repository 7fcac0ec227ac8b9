//! What an agent remembers of flows and of packets on their way.

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use crate::frame::{Candidate, FramePurpose, PacketFrame};
use crate::memory::Remembered;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// The first packet was handed to the target.
    Offered,
    /// The target answered.
    Answered,
    /// The flow lives here.
    Open,
    /// It ended; the target still answers its last packets.
    Closed,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct FlowEntry {
    pub(super) state: EntryState,
    pub(super) last: Moment,
    /// The number that the target chose for its end, once it has answered.
    pub(super) number: Option<u32>,
    /// The balancer that sent the flow's last packet.
    pub(super) balancer: Option<AgentAddress>,
    /// Whether that balancer has been told that the flow lives here.
    pub(super) told: bool,
    /// The end of the client's data so far, to tell new data from a retransmission.
    pub(super) client_end: Option<u32>,
    /// Since when the target owes an answer.
    pub(super) waiting: Option<Moment>,
}

impl Remembered for FlowEntry {
    fn last(&self) -> Moment {
        self.last
    }
}

impl FlowEntry {
    pub(super) fn new(state: EntryState, balancer: Option<AgentAddress>, now: Moment) -> Self {
        Self {
            state,
            last: now,
            number: None,
            balancer,
            told: false,
            client_end: None,
            waiting: None,
        }
    }
}

/// Where a packet came from, and where it goes when it is not for this target.
#[derive(Clone, Debug)]
pub(super) struct FrameOrigin {
    pub(super) purpose: FramePurpose,
    pub(super) zones_revision: u64,
    pub(super) balancer: AgentAddress,
    pub(super) asker: Option<AgentAddress>,
    pub(super) rest: SmallVec<[Candidate; 5]>,
}

impl From<PacketFrame> for FrameOrigin {
    fn from(frame: PacketFrame) -> Self {
        Self {
            purpose: frame.purpose,
            zones_revision: frame.zones_revision,
            balancer: frame.balancer,
            asker: frame.asker,
            rest: frame.rest,
        }
    }
}

/// A packet that was handed to the target without knowing whether it holds the flow.
#[derive(Clone, Debug)]
pub(super) struct Trial {
    pub(super) tag: u32,
    pub(super) origin: FrameOrigin,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Absence(pub(super) Moment);

impl Remembered for Absence {
    fn last(&self) -> Moment {
        self.0
    }
}
