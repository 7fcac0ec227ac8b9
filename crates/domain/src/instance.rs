//! Instances as listed by the platform.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{ServiceName, ZoneName};

/// The number that the platform assigns to a backend server instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u32);

/// The address on which a process of the system, an agent or a balancer, listens for the other
/// processes: one address for both UDP frames and TCP streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AgentAddress(pub SocketAddrV4);

impl std::fmt::Display for AgentAddress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A random number generated at each start of a process, so that a restarted process at the same
/// address is not mistaken for the previous one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The instance is draining: it finishes its work in progress and accepts none.
    Leaving,
}

/// A backend server instance (a *target*) and the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The platform's number for the instance.
    pub id: TargetId,
    /// The one service that the target serves.
    pub service: ServiceName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// Where its agent listens for other processes of the system (UDP and TCP).
    pub agent: AgentAddress,
    /// The agent's HTTP address for health, status and metrics.
    pub operations: SocketAddrV4,
    /// How many requests the backend server runs concurrently. Invariant: at least 1.
    pub slots: u16,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
}

/// An instance that runs a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerRecord {
    /// Where the balancer listens for other processes of the system (UDP and TCP).
    pub control: AgentAddress,
    /// The balancer's HTTP address for health, status and metrics.
    pub operations: SocketAddrV4,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
}

/// The revision of the platform's instance list. It increases monotonically.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ListRevision(pub u64);

/// The platform's list of live and leaving instances. It lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Increases with every change of the list.
    pub revision: ListRevision,
    /// The backend server instances, sorted by id.
    pub targets: Vec<TargetRecord>,
    /// The instances that run balancers.
    pub balancers: Vec<BalancerRecord>,
}
