//! Fleet membership: what a process knows of the fleet, and how that knowledge spreads.
//!
//! This crate contains only the protocol logic: it reads no clock, opens no socket and starts no
//! thread. Its inputs are messages and the current time; its outputs are messages to send and
//! changes of the view.
//!
//! ```text
//! platform --(a few elected readers)--> process <--heads, pulls--> process
//!                                          |  heartbeats among ~6 agents of one service
//!                                          v
//!                                      FleetView
//! ```

mod action;
mod arrival;
mod budget;
mod config;
mod delta;
mod departure;
mod election;
mod list;
mod member;
mod message;
mod neighbour;
mod probe;
mod ring;
mod rumor;
mod stamps;
mod suspicion;
mod table;
mod view;

pub use action::{MemberAction, MemberNotice, MemberSettings, PlatformCall};
pub use budget::{PACKET_OVERHEAD_BYTES, SendBudget, SendPriority};
pub use config::{ConfigDelta, ConfigError, ConfigOutcome, ConfigSource, ConfigTable};
pub use delta::{RowChange, TableDelta, TableError, TableHead, TableRow};
pub use departure::DepartureTracker;
pub use election::{READER_EPOCH, READERS_PER_ZONE, epoch_at, is_reader};
pub use list::{InstanceKey, InstanceRole, InstanceTable, ListDelta, ListedInstance, ZoneId};
pub use member::{FleetMember, FleetStatus, LaggingPeer, MEMBER_TICK, PAUSE_THRESHOLD};
pub use message::{
    AccusationEvent, AccusedSubject, ArrivalEvent, DepartureEvent, GossipHead, MemberEvent,
    MemberMessage, PeerHeartbeat, PullPart, PullRequest,
};
pub use neighbour::{DueAccusation, NeighbourMonitor, SILENCE_TIMEOUT};
pub use ring::ring_neighbours;
pub use stamps::Revision;
pub use suspicion::{
    ACCUSATION_TTL, AccusationOutcome, AccusationTracker, MIN_ACCUSERS, MIN_ZONE_ACCUSERS,
};
pub use table::TableIndex;
pub use view::{FleetView, TargetStanding, ViewTarget};
