//! Simulated QUIC flows: every packet of an open flow must reach the agent that holds it, even
//! when the views of balancers and agents are wrong.
//!
//! ```text
//! caller --datagram--> any balancer --forward frame--> agent [--one hop--> agent]
//!    ^                                                   |
//!    +---------------- response, or stateless reset -----+
//! ```
//!
//! Callers implement only the part of QUIC that routing decisions depend on: real headers,
//! connection IDs and retransmission, but no encryption. Timeouts are shorter than in production:
//! a crashed agent is suspected after 1 s and considered gone after 3 s.

mod agent;
mod balancer;
mod caller;
mod fault;
mod fleet;
mod world;

pub use world::FlowWorld;

use lovagelatch_domain::ServiceId;

use crate::history::MatrixHistory;
use crate::plan::FaultPlan;

/// The service that callers open flows to.
pub const CLAIMS: ServiceId = ServiceId(11);

/// A second service, whose agents must not accept flows of [`CLAIMS`].
pub const MAPS: ServiceId = ServiceId(22);

/// A fault that can be injected into a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowFault {
    /// Half of all datagrams are lost.
    Drop,
    /// 90% of all datagrams are duplicated.
    Duplicate,
    /// 70% of all datagrams are delayed by up to one second.
    Delay,
    /// Datagrams are reordered.
    Reorder,
    /// The targets change and one balancer does not receive the update.
    StaleView,
    /// Each balancer's view lacks a different target.
    ViewsDiffer,
    /// A balancer pauses; packets that arrive meanwhile are forwarded when it resumes.
    BalancerPaused,
    /// A balancer is replaced by one whose view is still empty.
    BalancerReplaced,
    /// A balancer cannot reach any agent.
    BalancerIsolated,
    /// One balancer cannot reach the holder.
    HolderUnreachable,
    /// The holder pauses, and its peers suspect it.
    HolderPaused,
    /// One balancer considers the holder gone although it is alive.
    HolderFalselyGone,
    /// The holder announces that it is leaving and accepts no new flows.
    HolderLeaving,
    /// The holder crashes and a new instance of its service starts at its address.
    HolderReplaced,
    /// The holder crashes and is not replaced.
    HolderCrashed,
    /// The holder crashes and an instance of another service starts at its address.
    HolderAddressReused,
    /// The service address moves to another service.
    AddressMoved,
    /// The processes switch to another key generation one by one.
    KeyRotation,
}

/// Every [`FlowFault`].
pub const FLOW_FAULTS: [FlowFault; 18] = [
    FlowFault::Drop,
    FlowFault::Duplicate,
    FlowFault::Delay,
    FlowFault::Reorder,
    FlowFault::StaleView,
    FlowFault::ViewsDiffer,
    FlowFault::BalancerPaused,
    FlowFault::BalancerReplaced,
    FlowFault::BalancerIsolated,
    FlowFault::HolderUnreachable,
    FlowFault::HolderPaused,
    FlowFault::HolderFalselyGone,
    FlowFault::HolderLeaving,
    FlowFault::HolderReplaced,
    FlowFault::HolderCrashed,
    FlowFault::HolderAddressReused,
    FlowFault::AddressMoved,
    FlowFault::KeyRotation,
];

/// A step of a flow before which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowStep {
    /// The first datagram of the handshake.
    FirstInitial,
    /// The second datagram of the handshake.
    SecondInitial,
    /// The agent has issued its first connection ID.
    TokenIssued,
    /// The caller's first packet that carries a flow token.
    Handshake,
    /// A packet of the open flow.
    Data,
    /// A packet from a new address of the caller.
    AddressChange,
    /// A later packet, from the same new address.
    MoreData,
}

/// Every [`FlowStep`], in the order in which a flow reaches them.
pub const FLOW_STEPS: [FlowStep; 7] = [
    FlowStep::FirstInitial,
    FlowStep::SecondInitial,
    FlowStep::TokenIssued,
    FlowStep::Handshake,
    FlowStep::Data,
    FlowStep::AddressChange,
    FlowStep::MoreData,
];

/// The mechanisms that the guarantees depend on.
///
/// Tests disable them one at a time to verify that the checks detect it.
#[derive(Clone, Copy, Debug)]
pub struct FlowMechanisms {
    /// Balancers route open flows by their flow token instead of placing them by their view.
    pub tokens: bool,
    /// An agent resets a flow that another agent held only if its own view, too, no longer lists
    /// the holder as alive.
    pub two_views: bool,
    /// Balancers and agents refuse flows of another service.
    pub service_check: bool,
    /// A reset is computed with the key generation named by the connection ID.
    pub reset_generation: bool,
    /// Balancers learn which agents are gone.
    pub absence_tracking: bool,
}

impl Default for FlowMechanisms {
    fn default() -> Self {
        Self {
            tokens: true,
            two_views: true,
            service_check: true,
            reset_generation: true,
            absence_tracking: true,
        }
    }
}

/// Simulates a few flows while injecting the faults of a plan.
#[must_use]
pub fn run_flows(
    plan: &FaultPlan<FlowFault, FlowStep>,
    mechanisms: FlowMechanisms,
) -> MatrixHistory {
    FlowWorld::new(plan.clone(), mechanisms).run()
}
