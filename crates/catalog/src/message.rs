//! What balancers tell each other about the catalog.
//!
//! ```text
//! UDP  Head     every half second, and at once after a change: what I hold, how sure I am of it
//! UDP  Ask  ->  what I hold; send me what is newer
//! UDP  <- Answer | TooLarge
//! TCP  Ask  ->  <- Answer      the same where an answer does not fit a datagram
//! UDP  Stops    agents that have said that they stop
//! ```

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, ServiceName, ZoneName};
use lovagelatch_membership::{TableDelta, TableHead};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::record::{EvacuatedZone, PublishedRoute, TargetName, TargetRow};
use crate::stops::StopNews;

/// Which state of the catalog a balancer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CatalogHead {
    /// The routes.
    pub routes: TableHead,
    /// The targets.
    pub targets: TableHead,
    /// The evacuated zones.
    pub zones: TableHead,
}

/// What a balancer knows of one that may read the store for all.
///
/// In a large fleet a balancer is heard itself by few others at a time. What goes wrong if they know of the
/// readers only what these told them: most do not hear the two whom the lot draws, take themselves to be
/// drawn, and the calls to the store grow with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderNews {
    /// Which balancer.
    pub address: SocketAddrV4,
    /// How long ago it said this.
    pub age: Duration,
    /// Whether the store answers it.
    pub reads: bool,
    /// Whether it has been told to stop.
    pub leaving: bool,
}

/// A head with what a receiver needs to judge it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadMessage {
    /// Who says it.
    pub sender: SocketAddrV4,
    /// What it holds.
    pub head: CatalogHead,
    /// How long ago the store last confirmed this state to anybody, as far as the sender knows.
    pub age: Duration,
    /// Whether the store answers the sender: who is turned away leaves reading to others.
    pub reads: bool,
    /// How long ago the store last failed anybody, as far as the sender knows. Entries that
    /// vanish around that time prove nothing, and a process that starts then cannot know it.
    pub trouble: Option<Duration>,
    /// Whether the sender has been told to stop.
    pub leaving: bool,
    /// Some other balancers that the sender has heard lately.
    pub peers: SmallVec<[SocketAddrV4; 4]>,
    /// The balancers whom the lot draws first, as far as the sender knows; the sender may be among them.
    pub readers: SmallVec<[ReaderNews; 4]>,
}

/// What changed in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The operator's own number for the result.
    pub version: ConfigRevision,
    /// The idle timeout of the result.
    pub idle_timeout: Duration,
    /// The services of the result that no route sends flows to; mostly none.
    pub unrouted: Vec<ServiceName>,
    /// The routes.
    pub routes: TableDelta<SocketAddrV4, PublishedRoute>,
}

/// What changed in the catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// The configuration, when it changed.
    pub config: Option<ConfigDelta>,
    /// The targets, when they changed.
    pub targets: Option<TableDelta<TargetName, TargetRow>>,
    /// The evacuated zones, when they changed.
    pub zones: Option<TableDelta<ZoneName, EvacuatedZone>>,
}

/// A message between balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogMessage {
    /// What the sender holds.
    Head(HeadMessage),
    /// Send what is newer than this head.
    Ask {
        /// Who asks.
        sender: SocketAddrV4,
        /// What it holds.
        head: CatalogHead,
    },
    /// What was asked for.
    Answer {
        /// Who answers.
        sender: SocketAddrV4,
        /// How long ago the store last confirmed the result.
        age: Duration,
        /// How long ago the evacuated zones were last read anew, so that it shows how long a change takes
        /// until it is obeyed.
        zones_age: Duration,
        /// The changes.
        delta: Box<CatalogDelta>,
    },
    /// The answer does not fit a datagram: ask by stream.
    TooLarge {
        /// Who says it.
        sender: SocketAddrV4,
    },
    /// Agents that have said that they stop.
    Stops(StopNews),
}
