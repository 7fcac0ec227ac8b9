//! Domain types shared by every part of lovagelatch.
//!
//! Instances, zones, agencies and targets are defined here once, in the users' terms (see
//! `docs/glossary.md`), so that a balancer, an agent and a test tool agree on what a *target*, an
//! *agency* or a *revision* is. The crate holds plain data: nothing in it reads a clock, a socket
//! or a file.

mod instance;
mod load;
mod moment;
mod name;
mod outcome;
mod store;

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
pub use store::{StoreEra, StorePosition};

use serde::{Deserialize, Serialize};

/// The revision number that the platform gives to an accepted configuration text.
///
/// Revisions increase monotonically. A process that has seen a revision rejects any lower one,
/// regardless of its source, because a lower revision can only come from a stale reader.
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
