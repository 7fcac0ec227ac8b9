//! What an agent tells its peers about its own gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AgentAddress, Moment, ZoneName};

/// Whether a gate takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateCondition {
    /// It does.
    #[default]
    Open,
    /// Its backend server is still starting; `remaining` is the expected rest of that.
    Warming {
        /// Time until it takes requests.
        remaining: Duration,
    },
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// The load of one gate at one moment, counted where the slots are, so it is exact when made
/// and only old, never wrong, when read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateReport {
    /// How many requests its backend server runs at once.
    pub slots: u16,
    /// How many it runs now. Invariant: at most `slots`.
    pub in_use: u16,
    /// How many wait for a slot.
    pub queued: u32,
    /// How long a request that came now would wait for a slot.
    pub expected_wait: Duration,
    /// Mean time a request holds a slot.
    pub service_time: Duration,
    /// Whether it takes new requests.
    pub condition: GateCondition,
}

/// A peer's newest report as this process holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The peer.
    pub agent: AgentAddress,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it said.
    pub report: GateReport,
    /// When this process received it, by its own clock.
    pub received: Moment,
    /// Whether passive evidence (failed exchanges) says to avoid it.
    pub suspected: bool,
}
