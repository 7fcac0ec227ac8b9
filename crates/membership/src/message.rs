//! Messages between the processes of a fleet.
//!
//! ```text
//! UDP  Head       every second to a few random processes: revisions held, recent events
//! UDP  Heartbeat  every second to the neighbours in the same service: load of the gate
//!      Probe <-> Alive   sent before a silent neighbour is accused
//!      Ask <-> Answer    a pull that fits a datagram, such as a change of one service
//! TCP  Pull  ->   revisions held; requests what is newer
//!      <- PullPart*  deltas, in parts of bounded size
//! ```

use std::net::SocketAddrV4;

use lovagelatch_domain::{AgentAddress, GateReport, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::ConfigDelta;
use crate::delta::{TableDelta, TableHead};
use crate::list::{ListDelta, ZoneId};

/// Maximum rows in one part of an answer; keeps a frame well below its size limit.
const MAX_PART_ROWS: usize = 2_000;

/// Maximum events in one head, so that it remains one small datagram.
pub(crate) const MAX_HEAD_EVENTS: usize = 32;

/// A compact summary of the sender's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipHead {
    /// Control address of the sender.
    pub sender: AgentAddress,
    /// Configuration in force at the sender.
    pub config: TableHead,
    /// Instance list held by the sender.
    pub list: TableHead,
    /// Seconds since the platform last answered any process, as far as the sender knows; 65,535 for
    /// never.
    pub platform_age: u16,
    /// Events that the sender relays in this round.
    pub events: SmallVec<[MemberEvent; 2]>,
}

/// A heartbeat with the sender's load, for its neighbours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Control address of the sender.
    pub sender: AgentAddress,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Load of the sender's gate.
    pub report: GateReport,
}

/// A process is leaving, or a successor at its address refuted that.
///
/// For one address and incarnation, a refuted departure always supersedes one that is not refuted,
/// so the order of arrival does not matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DepartureEvent {
    /// Control address of the process.
    pub agent: AgentAddress,
    /// Incarnation that is leaving.
    pub incarnation: Incarnation,
    /// Whether a later incarnation has been seen at the same address.
    pub refuted: bool,
}

/// Announcement of a starting agent that is not in the list yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArrivalEvent {
    /// Control address of the agent.
    pub agent: AgentAddress,
    /// Address of its operations endpoint.
    pub operations: SocketAddrV4,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Service of its backend server.
    pub service: ServiceId,
    /// Id of its zone.
    pub zone: ZoneId,
    /// Number of its slots.
    pub slots: u16,
}

/// Subject of an accusation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AccusedSubject {
    /// One process.
    Agent(AgentAddress),
    /// Every process of a zone.
    Zone(ZoneId),
}

/// A process lost contact with another process or a zone, or regained it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccusationEvent {
    /// The process or zone that is silent.
    pub subject: AccusedSubject,
    /// Control address of the accuser.
    pub accuser: AgentAddress,
    /// Service of the accuser; a zone is suspected only if accusers of several services agree.
    pub service: ServiceId,
    /// Increases with each accusation of this accuser; an event with a lower serial is stale.
    pub serial: u32,
    /// `false` withdraws an earlier accusation.
    pub holds: bool,
}

/// An event that is relayed from process to process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberEvent {
    /// A process is leaving.
    Departure(DepartureEvent),
    /// A process or zone is silent, or responds again.
    Accusation(AccusationEvent),
    /// An agent is running but not listed yet.
    Arrival(ArrivalEvent),
}

/// A message that is sent as a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Summary of the sender's state.
    Head(GossipHead),
    /// Heartbeat between neighbours.
    Heartbeat(PeerHeartbeat),
    /// Liveness probe, from the given address: sent to a silent neighbour and to other processes of
    /// its zone.
    Probe(AgentAddress),
    /// Reply to a probe, from the given address.
    Alive(AgentAddress),
    /// Pull whose answer is expected to fit a datagram.
    Ask(PullRequest),
    /// Answer to an ask. Empty if it does not fit a datagram; the pull then continues over a
    /// stream.
    Answer {
        /// Control address of the sender.
        sender: AgentAddress,
        /// Parts of the answer.
        parts: Vec<PullPart>,
    },
}

/// A pull request; over a stream, its first frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Control address of the sender.
    pub sender: AgentAddress,
    /// Configuration revision held; 0 requests the full configuration.
    pub config: u64,
    /// List revision held; 0 requests the full list.
    pub list: u64,
    /// Whether departures and arrivals are requested, as after a start or pause.
    pub departures: bool,
}

/// One frame of an answer. The stream ends after [`PullPart::End`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullPart {
    /// Summary of the state of the answering process.
    Head(GossipHead),
    /// Part of the configuration delta.
    Config(ConfigDelta),
    /// Part of the list delta.
    List(ListDelta),
    /// All known departures.
    Departures(Vec<DepartureEvent>),
    /// All known arrivals.
    Arrivals(Vec<ArrivalEvent>),
    /// End of the answer; an answer without it was truncated.
    End,
}

/// Splits a delta into parts of bounded size.
pub(crate) fn split_delta<K: Clone, V: Clone>(delta: TableDelta<K, V>) -> Vec<TableDelta<K, V>> {
    let empty = TableDelta {
        changed: Vec::new(),
        removed: Vec::new(),
        ..delta
    };
    let mut parts = Vec::new();
    let mut changed = delta.changed.into_iter().peekable();
    while changed.peek().is_some() {
        parts.push(TableDelta {
            changed: changed.by_ref().take(MAX_PART_ROWS).collect(),
            ..empty.clone()
        });
    }
    let mut removed = delta.removed.into_iter().peekable();
    while removed.peek().is_some() {
        parts.push(TableDelta {
            removed: removed.by_ref().take(MAX_PART_ROWS).collect(),
            ..empty.clone()
        });
    }
    if parts.is_empty() {
        parts.push(empty);
    }
    parts
}
