//! Instances as the platform lists them.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, ZoneName};

/// The platform's number for one backend server instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u32);

/// Where a process of the system listens for the system's other processes: one address that
/// serves UDP frames and TCP streams alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AgentAddress(pub SocketAddrV4);

impl std::fmt::Display for AgentAddress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A random number drawn at each start of a process, so that a successor at the same address
/// is never taken for its predecessor.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Whether new work may go to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes new work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// One backend server instance (a *target*) with the agent in the slot beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The platform's number for it.
    pub id: TargetId,
    /// The one service it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its agent listens for the system's other processes (UDP and TCP).
    pub agent: AgentAddress,
    /// Where its agent serves health, status and metrics.
    pub operations: SocketAddrV4,
    /// How many requests its backend server runs at once. Invariant: at least 1.
    pub slots: u16,
    /// Whether it takes new work.
    pub state: InstanceState,
}

/// One entry instance running a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerRecord {
    /// Where the balancer listens for the system's other processes (UDP and TCP).
    pub control: AgentAddress,
    /// Where it serves health, status and metrics.
    pub operations: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub state: InstanceState,
}

/// The number of one state of the platform's instance list; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ListRevision(pub u64);

/// The platform's lagging list of live and leaving instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Its number.
    pub revision: ListRevision,
    /// The backend server instances, in order of their numbers.
    pub targets: Vec<TargetRecord>,
    /// The entry instances.
    pub balancers: Vec<BalancerRecord>,
}
