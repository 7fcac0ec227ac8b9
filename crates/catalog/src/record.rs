//! The records that the store holds, in the project's own words.

use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, RegionName, ServiceName, ZoneName};
use lovagelatch_membership::TableRow;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The store's name of a backend server. A restart mostly has another; where it has the same,
/// [`TargetStart`] tells them apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetName(
    /// A boxed slice: 8 bytes less than a string, 1.3 MB at 160,000 targets.
    pub Box<str>,
);

/// Which start of a backend server a record is of: the Unix millisecond that it names, 0 where it names
/// none. Only compared for equality: a clock may be set back, so a later start may name less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetStart(pub u64);

/// One backend server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedTarget {
    /// Its name.
    pub name: TargetName,
    /// The one service it serves.
    pub service: ServiceName,
    /// Where it listens. Only its IP address matters here: packets go to the agent beside it.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How many requests it runs at once. Invariant: at least 1.
    pub slots: u16,
    /// Whether it has announced that it will stop: no new flows.
    pub leaving: bool,
    /// How long it stays slow after its start, in milliseconds from when the record was written.
    pub warming_ms: u32,
    /// Which of its starts this is: another one holds none of the flows of the one before.
    pub start: TargetStart,
}

/// What the store holds under a target's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetRow {
    /// A target.
    Published(PublishedTarget),
    /// Something that cannot be read, perhaps of another writer: no target to use. It is a row all
    /// the same, so that what balancers hold depends on what the store holds and on nothing else:
    /// one that kept its last good record would differ from one that started since, and both would
    /// take the store's list again and again.
    Unreadable(TargetName),
}

impl TargetRow {
    /// Under which name it lies in the store.
    #[must_use]
    pub fn name(&self) -> &TargetName {
        match self {
            Self::Published(target) => &target.name,
            Self::Unreadable(name) => name,
        }
    }

    /// The target, if it could be read.
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

/// A zone whose targets get no new flows, because the operator evacuates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EvacuatedZone(pub ZoneName);

impl TableRow for EvacuatedZone {
    type Key = ZoneName;

    fn key(&self) -> ZoneName {
        self.0.clone()
    }
}

/// What a service's targets bear in the time after their start, where the operator names a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WarmupRule {
    /// How long a target is cold from its start on, in milliseconds.
    pub span_ms: u32,
    /// How many new flows it bears a second meanwhile, in thousandths. Never 0: no bound is no rule.
    pub rate_milli: NonZeroU32,
}

/// A service that a route sends flows to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// The service.
    pub service: ServiceName,
    /// Its part of the new flows, relative to the route's other shares.
    pub weight: u32,
    /// What its targets bear while they are cold; the same in every share of the service.
    pub warmup: Option<WarmupRule>,
}

/// One address that callers send to, and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRoute {
    /// The address and port in callers' packets.
    pub address: SocketAddrV4,
    /// The route's name, for logs.
    pub name: String,
    /// Whether its requests may be run again: then a flow whose target is lost may be ended early,
    /// so that its client asks elsewhere.
    pub idempotent: bool,
    /// Where new flows go.
    pub shares: SmallVec<[RouteShare; 2]>,
    /// The regions that its flows are bound to; empty where they may go anywhere.
    pub homes: Box<[RegionName]>,
}

impl TableRow for PublishedRoute {
    type Key = SocketAddrV4;

    fn key(&self) -> SocketAddrV4 {
        self.address
    }
}

/// A whole configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// The operator's own number for it.
    pub version: ConfigRevision,
    /// How long a flow may be silent before it may be forgotten.
    pub idle_timeout: Duration,
    /// Its routes, in any order.
    pub routes: Vec<PublishedRoute>,
    /// The services that it names and sends no route's flows to. Targets of services that it does
    /// not name at all are not this system's.
    pub unrouted: Vec<ServiceName>,
}
