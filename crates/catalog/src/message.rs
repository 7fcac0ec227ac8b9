//! Messages between balancers about the catalog.
//!
//! ```text
//! UDP  Head     every half second and after each change: known state and its last confirmation
//! UDP  Ask  ->  known state; requests everything newer, after a read of the store if it has a number
//! UDP  <- Answer | TooLarge
//! TCP  Ask  ->  <- Answer      for an answer that does not fit a datagram
//! UDP  Stops    agents that announced that they are stopping
//! ```

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, ServiceName, StorePosition, ZoneName};
use lovagelatch_membership::{TableDelta, TableHead};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::record::{EvacuatedZone, PublishedRoute, TargetName, TargetRow};
use crate::stops::StopUpdate;

/// First byte of an encoded message. The first byte of the unversioned format before it was 0 to 4.
const MESSAGE_VERSION: u8 = 0x85;

/// Why a message could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// It is of another release, whose revisions may mean something else.
    #[error("message of another version")]
    Version,
    /// It does not follow the format.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The state of the catalog that a balancer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CatalogHead {
    /// Head of the route table.
    pub routes: TableHead,
    /// Head of the target table.
    pub targets: TableHead<StorePosition>,
    /// Head of the table of evacuated zones.
    pub zones: TableHead<StorePosition>,
}

/// Second-hand status of a balancer that may be an elected reader.
///
/// In a large fleet a balancer receives heads from few others at a time. If balancers knew only of
/// readers that they hear themselves, most would not hear the two elected ones, would consider
/// themselves elected, and the calls to the store would grow with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderStatus {
    /// The balancer that the status is about.
    pub address: SocketAddrV4,
    /// Time since the balancer reported this status.
    pub age: Duration,
    /// Whether the store answers its calls.
    pub reads: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// A head with the data that a receiver needs to judge it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadMessage {
    /// Gossip address of the sender.
    pub sender: SocketAddrV4,
    /// The state that the sender holds.
    pub head: CatalogHead,
    /// Time since the store last confirmed this state to any balancer, as far as the sender knows.
    pub age: Duration,
    /// Whether the store answers the sender's calls. A balancer whose calls fail ranks behind the
    /// others in the reader election.
    pub reads: bool,
    /// Time since the store last failed any balancer, as far as the sender knows. Entries that
    /// vanish around that time prove nothing, and a process that has started since cannot know of
    /// the failure otherwise.
    pub trouble: Option<Duration>,
    /// Remaining time in which the era of `head` may have begun so recently that live targets are
    /// missing from the list, as far as the sender knows; `None` in the first era. A process that
    /// has started since cannot know otherwise how old the era is.
    pub era_settles_in: Option<Duration>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// A sample of other balancers that the sender has heard recently.
    pub peers: SmallVec<[SocketAddrV4; 4]>,
    /// The balancers with the lowest election ranks, as far as the sender knows; the sender may be
    /// among them.
    pub readers: SmallVec<[ReaderStatus; 4]>,
}

/// Changes of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The operator's version number of the resulting configuration.
    pub version: ConfigRevision,
    /// The idle timeout of the resulting configuration.
    pub idle_timeout: Duration,
    /// The services of the resulting configuration that no route sends flows to; usually none.
    pub unrouted: Vec<ServiceName>,
    /// Changes of the routes.
    pub routes: TableDelta<SocketAddrV4, PublishedRoute>,
}

/// Changes of the catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// Changes of the configuration, if any.
    pub config: Option<ConfigDelta>,
    /// Changes of the targets, if any.
    pub targets: Option<TableDelta<TargetName, TargetRow, StorePosition>>,
    /// Changes of the evacuated zones, if any.
    pub zones: Option<TableDelta<ZoneName, EvacuatedZone, StorePosition>>,
}

/// A message between balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogMessage {
    /// Announces the state that the sender holds.
    Head(HeadMessage),
    /// Requests everything newer than a head.
    Ask {
        /// Gossip address of the requester.
        sender: SocketAddrV4,
        /// The state that the requester holds.
        head: CatalogHead,
        /// Set if the responder must read the store before it answers, and repeat this number.
        verification: Option<u32>,
    },
    /// The answer to an [`Ask`](Self::Ask).
    Answer {
        /// Gossip address of the responder.
        sender: SocketAddrV4,
        /// Time since the store last confirmed the resulting state.
        age: Duration,
        /// Time since the store read that brought the current evacuated zones; shows how long an
        /// evacuation takes to come into force.
        zones_age: Duration,
        /// The number of the [`Ask`](Self::Ask), if the responder has read the store since.
        verification: Option<u32>,
        /// The changes since the requested head.
        delta: Box<CatalogDelta>,
    },
    /// The answer does not fit a datagram; the requester must repeat its [`Ask`](Self::Ask) over a
    /// stream.
    TooLarge {
        /// Gossip address of the responder.
        sender: SocketAddrV4,
    },
    /// Announces agents that are stopping.
    Stops(StopUpdate),
}

impl CatalogMessage {
    /// Encodes the message for a datagram or a stream.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Serialization into a vector cannot fail for these types.
        postcard::to_extend(self, vec![MESSAGE_VERSION]).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns a [`MessageError`] if the bytes are not a message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let message = bytes.strip_prefix(&[MESSAGE_VERSION]);
        Ok(postcard::from_bytes(message.ok_or(MessageError::Version)?)?)
    }
}
