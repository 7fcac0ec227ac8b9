//! What a process knows of the fleet, and how that knowledge spreads.
//!
//! This library decides; it reads no clock, opens no socket and starts no thread. Messages and
//! the time come in, messages to send and changes of the view come out.
//!
//! ```text
//! platform --(few readers, drawn by lot)--> process <--heads, pulls--> process
//!                                             |  heartbeats among ~6 agents of one service
//!                                             v
//!                                         FleetView
//! ```

mod action;
mod arrival;
mod budget;
mod config;
mod delta;
mod departure;
mod list;
mod lot;
mod member;
mod message;
mod neighbour;
mod probe;
mod ring;
mod rumor;
mod suspicion;
mod table;
mod view;

pub use action::{MemberAction, MemberNotice, MemberSettings, PlatformCall};
pub use budget::{PACKET_OVERHEAD_BYTES, SendBudget, SendUrgency};
pub use config::{ConfigDelta, ConfigError, ConfigKeeper, ConfigSource, ConfigVerdict};
pub use delta::{RowChange, TableDelta, TableError, TableHead, TableRow};
pub use departure::DepartureTracker;
pub use list::{InstanceDuty, InstanceKey, ListDelta, ListKeeper, ListedInstance, ZoneId};
pub use lot::{LOT_EPOCH, READERS_PER_ZONE, epoch_at, is_reader};
pub use member::{FleetMember, FleetStatus, LaggingPeer, MEMBER_TICK, PAUSE_LIMIT};
pub use message::{
    AccusationEvent, AccusedSubject, ArrivalEvent, DepartureEvent, GossipHead, MemberEvent,
    MemberMessage, PeerHeartbeat, PullPart, PullRequest,
};
pub use neighbour::{DueWord, NeighbourWatch, SILENCE_LIMIT};
pub use ring::ring_neighbours;
pub use suspicion::{
    ACCUSATION_LIFETIME, ACCUSERS_NEEDED, AccusationTracker, AccusationVerdict,
    ZONE_ACCUSERS_NEEDED,
};
pub use table::TableIndex;
pub use view::{FleetView, TargetStanding, ViewTarget};
