//! Words shared by every part of lovagelatch.
//!
//! Machines, zones, customers and back ends are named here once, in the users' words (see
//! `docs/glossary.md`), so that a balancer, an agent and a test tool mean the same thing by
//! *target*, *agency* or *revision*. The crate holds plain data: nothing in it reads a clock, a
//! socket or a file, and every type can be serialized.

mod instance;
mod load;
mod moment;
mod name;
mod outcome;

pub use instance::{
    AgentAddress, BalancerRecord, Incarnation, InstanceList, InstanceState, ListRevision, TargetId,
    TargetRecord,
};
pub use load::{GateCondition, GateReport, PeerReport};
pub use moment::Moment;
pub use name::{
    AgencyName, MAX_NAME_BYTES, NameError, RegionName, ServiceId, ServiceName, ZoneName,
};
pub use outcome::{AttemptId, RefusalReason, RequestOutcome};

use serde::{Deserialize, Serialize};

/// The platform's number for one accepted configuration text.
///
/// Revisions only grow. A process that has seen a revision never takes a lower one, whoever
/// offers it, because a lower one can only come from a stale reader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigRevision(pub u64);

impl std::fmt::Display for ConfigRevision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
