//! The records of the store, decoded into types of this project.

use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, RegionName, ServiceName, ZoneName};
use lovagelatch_membership::TableRow;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::unusable::UnusableValue;

/// The name of a backend server in the store. A restarted server usually gets another name; if it
/// keeps the name, [`TargetStart`] tells the two apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetName(
    /// A boxed slice: 8 bytes less than a string, 1.3 MB at 160,000 targets.
    pub Box<str>,
);

/// Identifies one start of a backend server: its start time in Unix milliseconds, or 0 if the
/// record does not say. Compared for equality only: after a clock is set back, a later start may
/// have a lower value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetStart(pub u64);

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedTarget {
    /// The name in the key of its entry.
    pub name: TargetName,
    /// The one service that it serves.
    pub service: ServiceName,
    /// Where it listens. Only the IP address matters here: packets go to the agent beside it.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The number of requests that it runs concurrently. Invariant: at least 1.
    pub slots: u16,
    /// Whether it has announced that it will stop; it gets no new flows then.
    pub leaving: bool,
    /// Remaining warm-up time in milliseconds, as of when the record was written.
    pub warming_ms: u32,
    /// Identifies the current start. A restarted server holds no flows of an earlier start.
    pub start: TargetStart,
}

/// The entry that the store holds under a target's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetRow {
    /// A decoded target.
    Published(PublishedTarget),
    /// An entry that cannot be decoded, perhaps of another writer; it provides no target. It still
    /// takes a row, so that the catalog depends on the content of the store alone: a balancer that
    /// kept the last good record would differ from one that has started since, and both would list
    /// the store again and again.
    Unreadable(TargetName),
}

impl TargetRow {
    /// Returns the name that the store holds the entry under.
    #[must_use]
    pub fn name(&self) -> &TargetName {
        match self {
            Self::Published(target) => &target.name,
            Self::Unreadable(name) => name,
        }
    }

    /// Returns the target, or `None` if the entry could not be decoded.
    #[must_use]
    pub fn target(&self) -> Option<&PublishedTarget> {
        match self {
            Self::Published(target) => Some(target),
            Self::Unreadable(_) => None,
        }
    }
}

impl TableRow for TargetRow {
    type Key = TargetName;

    fn key(&self) -> TargetName {
        self.name().clone()
    }
}

/// A zone that the operator evacuates; its targets get no new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EvacuatedZone(pub ZoneName);

impl TableRow for EvacuatedZone {
    type Key = ZoneName;

    fn key(&self) -> ZoneName {
        self.0.clone()
    }
}

/// The limit on new flows of a service's cold targets, if the operator sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WarmupRule {
    /// How long a target is cold after its start, in milliseconds.
    pub span_ms: u32,
    /// New flows per second that a cold target can take, in thousandths. Non-zero: a service
    /// without a limit has no rule.
    pub rate_milli: NonZeroU32,
}

/// What the operator expects of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestPolicy {
    /// The urgency of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The latency objective in milliseconds. Invariant: at least 1.
    pub aim_ms: u32,
    /// The time after which callers give up, in milliseconds. Invariant: at least `aim_ms`.
    pub timeout_ms: u32,
}

/// A service that a route sends flows to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// The service that receives this share of the flows.
    pub service: ServiceName,
    /// Share of the new flows, relative to the route's other weights.
    pub weight: u32,
    /// Limit of its cold targets; the same in every share of the service.
    pub warmup: Option<WarmupRule>,
    /// How many flows a target of the service can hold; the same in every share of the service.
    pub max_flows: Option<NonZeroU32>,
}

/// An address that callers send to, and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRoute {
    /// Destination address and port in callers' packets.
    pub address: SocketAddrV4,
    /// The route's name, for logs.
    pub name: String,
    /// Whether its requests may be retried. If so, a flow whose target is lost may be ended early,
    /// so that the client retries elsewhere.
    pub idempotent: bool,
    /// The urgency of its requests; `None` where the operator does not say.
    pub policy: Option<RequestPolicy>,
    /// The services that new flows are distributed to.
    pub shares: SmallVec<[RouteShare; 2]>,
    /// The regions that its flows are restricted to; empty if there is no restriction.
    pub homes: Box<[RegionName]>,
}

impl TableRow for PublishedRoute {
    type Key = SocketAddrV4;

    fn key(&self) -> SocketAddrV4 {
        self.address
    }
}

/// A complete configuration as written by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// The operator's version number.
    pub version: ConfigRevision,
    /// How long a flow may be idle before its state may be dropped.
    pub idle_timeout: Duration,
    /// The routes, in any order.
    pub routes: Vec<PublishedRoute>,
    /// The services that it lists without sending flows of any route to them. Targets of services
    /// that the configuration does not list belong to another system.
    pub unrouted: Vec<ServiceName>,
    /// Values that cannot be used, for the log. Invariant: at most [`MAX_UNUSABLE_VALUES`].
    ///
    /// [`MAX_UNUSABLE_VALUES`]: crate::MAX_UNUSABLE_VALUES
    pub unusable: Vec<UnusableValue>,
}
