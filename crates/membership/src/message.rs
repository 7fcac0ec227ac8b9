//! What the processes of a fleet tell each other.
//!
//! ```text
//! UDP  Head       every second to a few random processes: what I hold, fresh events
//! UDP  Heartbeat  every second to the neighbours of one service: my gate's load
//!      Probe <-> Alive   before a silent neighbour is accused
//!      Ask <-> Answer    a pull that fits a datagram: a change of one service does
//! TCP  Pull  ->   what I hold; send me what is newer
//!      <- PullPart*  deltas, in parts of bounded size
//! ```

use std::net::SocketAddrV4;

use lovagelatch_domain::{AgentAddress, GateReport, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::ConfigDelta;
use crate::delta::{TableDelta, TableHead};
use crate::list::{ListDelta, ZoneId};

/// Rows that one part of an answer carries at most; keeps a frame well below its limit.
const PART_ROWS: usize = 2_000;

/// Events that one head carries at most, so that it stays one small datagram.
pub(crate) const MAX_HEAD_EVENTS: usize = 32;

/// What a process holds, in few bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipHead {
    /// Who says it.
    pub sender: AgentAddress,
    /// The configuration in force there.
    pub config: TableHead,
    /// The instance list held there.
    pub list: TableHead,
    /// Seconds since the platform last spoke, as far as the sender knows; 65,535 for never.
    pub platform_age: u16,
    /// Events that the sender heard lately.
    pub events: SmallVec<[MemberEvent; 2]>,
}

/// A neighbour's word about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Who says it.
    pub sender: AgentAddress,
    /// That process's start.
    pub incarnation: Incarnation,
    /// Its gate's load.
    pub report: GateReport,
}

/// A process said that it is leaving, or that word was about a predecessor at its address.
///
/// For one address and incarnation, `refuted` wins over not refuted for good, so the order in
/// which the two are heard does not matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DepartureEvent {
    /// The process.
    pub agent: AgentAddress,
    /// The start of it that is leaving.
    pub incarnation: Incarnation,
    /// Whether a later start at the same address has spoken since.
    pub refuted: bool,
}

/// A fresh agent announces itself while the list does not name it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArrivalEvent {
    /// The agent.
    pub agent: AgentAddress,
    /// Where it serves operations.
    pub operations: SocketAddrV4,
    /// This start of it.
    pub incarnation: Incarnation,
    /// The service of its backend server.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its slots.
    pub slots: u16,
}

/// What an accusation is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AccusedSubject {
    /// One process.
    Agent(AgentAddress),
    /// Every process of a zone.
    Zone(ZoneId),
}

/// One process lost touch with another, or found it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccusationEvent {
    /// Who or what is silent.
    pub subject: AccusedSubject,
    /// Who says so.
    pub accuser: AgentAddress,
    /// The accuser's service; a zone's loss needs the word of several.
    pub service: ServiceId,
    /// Grows with each word of this accuser; a lower one is late.
    pub serial: u32,
    /// Whether it still holds.
    pub holds: bool,
}

/// A change that spreads from process to process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberEvent {
    /// A process is leaving.
    Departure(DepartureEvent),
    /// A process or zone is silent.
    Accusation(AccusationEvent),
    /// An agent is there before the list names it.
    Arrival(ArrivalEvent),
}

/// A datagram between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// What the sender holds.
    Head(GossipHead),
    /// A neighbour's load.
    Heartbeat(PeerHeartbeat),
    /// Are you there? Its sender lost touch with another process of the receiver's zone.
    Probe(AgentAddress),
    /// The answer to a probe, from this process.
    Alive(AgentAddress),
    /// A pull whose answer is expected to be small.
    Ask(PullRequest),
    /// The answer to an ask; without its end it was too long, and a stream is to be used.
    Answer {
        /// Who answers.
        sender: AgentAddress,
        /// The parts.
        parts: Vec<PullPart>,
    },
}

/// The first frame of a stream: what its sender holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Who asks.
    pub sender: AgentAddress,
    /// The configuration revision held; 0 asks for the whole.
    pub config: u64,
    /// The list revision held; 0 asks for the whole.
    pub list: u64,
    /// Whether departures and arrivals are asked for: after a start or a pause.
    pub departures: bool,
}

/// One frame of an answer. The stream ends after [`PullPart::End`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullPart {
    /// What the answering process holds.
    Head(GossipHead),
    /// Part of a configuration's delta.
    Config(ConfigDelta),
    /// Part of a list's delta.
    List(ListDelta),
    /// Departures, all that are held.
    Departures(Vec<DepartureEvent>),
    /// Arrivals, all that are held.
    Arrivals(Vec<ArrivalEvent>),
    /// Nothing follows: an answer without it broke off.
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
            changed: changed.by_ref().take(PART_ROWS).collect(),
            ..empty.clone()
        });
    }
    let mut removed = delta.removed.into_iter().peekable();
    while removed.peek().is_some() {
        parts.push(TableDelta {
            removed: removed.by_ref().take(PART_ROWS).collect(),
            ..empty.clone()
        });
    }
    if parts.is_empty() {
        parts.push(empty);
    }
    parts
}
