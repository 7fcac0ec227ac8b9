//! An open flow: every packet reaches the agent that holds it, whatever the views say.
//!
//! ```text
//! caller --datagram--> any balancer --forward frame--> agent [--one hop--> agent]
//!    ^                                                   |
//!    +---------------- answer, or stateless reset -------+
//! ```
//!
//! Callers speak as little QUIC as the decisions look at: real headers, connection IDs and
//! retransmission, no encryption. Time is pressed together: a dead agent is suspected after
//! 1 s and held to be gone after 3 s.

mod agent;
mod balancer;
mod caller;
mod strike;
mod truth;
mod world;

pub use world::FlowWorld;

use lovagelatch_domain::ServiceId;

use crate::history::MatrixHistory;
use crate::plan::FaultPlan;

/// The service that callers want.
pub const CLAIMS: ServiceId = ServiceId(11);

/// Another service.
pub const MAPS: ServiceId = ServiceId(22);

/// What goes wrong with a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowFault {
    /// Half of all datagrams are lost.
    Drop,
    /// Nearly all datagrams come twice.
    Duplicate,
    /// Most datagrams come up to a second late.
    Delay,
    /// Datagrams overtake each other.
    Reorder,
    /// Targets change and one balancer does not hear of it.
    StaleView,
    /// Each balancer misses another target.
    ViewsDiffer,
    /// A balancer stops and wakes; what it held back goes on then.
    BalancerPaused,
    /// A balancer is replaced by one that knows nothing yet.
    BalancerReplaced,
    /// A balancer reaches no agent.
    BalancerCutOff,
    /// One balancer and the holder do not reach each other.
    HolderCutOff,
    /// The holder stops for a while; its peers suspect it.
    HolderPaused,
    /// One balancer holds the holder to be gone, and it lives.
    HeldGone,
    /// The holder takes no new flows.
    HolderLeaving,
    /// The holder dies and a successor starts at its address.
    HolderReplaced,
    /// The holder dies.
    HolderDead,
    /// The holder dies and an instance of another service starts at its address.
    InstanceMoved,
    /// The service address passes to another service.
    AddressMoved,
    /// The processes switch to another key generation one after the other.
    KeyRotation,
}

/// All of them.
pub const FLOW_FAULTS: [FlowFault; 18] = [
    FlowFault::Drop,
    FlowFault::Duplicate,
    FlowFault::Delay,
    FlowFault::Reorder,
    FlowFault::StaleView,
    FlowFault::ViewsDiffer,
    FlowFault::BalancerPaused,
    FlowFault::BalancerReplaced,
    FlowFault::BalancerCutOff,
    FlowFault::HolderCutOff,
    FlowFault::HolderPaused,
    FlowFault::HeldGone,
    FlowFault::HolderLeaving,
    FlowFault::HolderReplaced,
    FlowFault::HolderDead,
    FlowFault::InstanceMoved,
    FlowFault::AddressMoved,
    FlowFault::KeyRotation,
];

/// The steps of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowStep {
    /// The first datagram of the handshake.
    FirstInitial,
    /// The second datagram of the handshake.
    SecondInitial,
    /// The agent issues its first connection ID.
    TokenIssued,
    /// The caller's first packet with a token.
    Handshake,
    /// A packet of the open flow.
    Data,
    /// A packet from another address of the caller.
    AddressChange,
    /// A later packet.
    MoreData,
}

/// All of them, in order.
pub const FLOW_STEPS: [FlowStep; 7] = [
    FlowStep::FirstInitial,
    FlowStep::SecondInitial,
    FlowStep::TokenIssued,
    FlowStep::Handshake,
    FlowStep::Data,
    FlowStep::AddressChange,
    FlowStep::MoreData,
];

/// What keeps the promises; each can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct FlowMechanisms {
    /// Balancers read the token, and do not place open flows by their view.
    pub tokens: bool,
    /// An agent resets another one's flow only when its own view agrees.
    pub two_views: bool,
    /// Balancers and agents refuse a flow of another service.
    pub service_check: bool,
    /// A reset is made with the key generation that the connection ID names.
    pub generation_of_reset: bool,
    /// Agents that are gone become known.
    pub absence: bool,
}

impl Default for FlowMechanisms {
    fn default() -> Self {
        Self {
            tokens: true,
            two_views: true,
            service_check: true,
            generation_of_reset: true,
            absence: true,
        }
    }
}

/// Plays some flows under the faults of a plan.
#[must_use]
pub fn play_flows(
    plan: &FaultPlan<FlowFault, FlowStep>,
    mechanisms: FlowMechanisms,
) -> MatrixHistory {
    FlowWorld::new(plan.clone(), mechanisms).play()
}
