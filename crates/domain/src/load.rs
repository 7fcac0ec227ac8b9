//! Load reports that an agent sends to its peers about its own gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AgentAddress, Moment, ZoneName};

/// Whether a gate admits new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateCondition {
    /// The gate admits requests.
    #[default]
    Open,
    /// The backend server is still starting.
    Warming {
        /// The expected time until it accepts requests.
        remaining: Duration,
    },
    /// The gate is draining: it finishes its requests in progress and admits no others.
    Leaving,
}

/// The load of one gate at one moment.
///
/// It is counted where the slots are, so it is exact when it is made. A reader may see a stale
/// report, but never a wrong one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateReport {
    /// How many requests the backend server runs concurrently.
    pub slots: u16,
    /// How many requests are running. Invariant: at most `slots`.
    pub in_use: u16,
    /// How many requests are waiting for a slot.
    pub queued: u32,
    /// How long a request that arrived now would wait for a slot.
    pub expected_wait: Duration,
    /// The mean time that a request occupies a slot.
    pub service_time: Duration,
    /// Whether the gate admits new requests.
    pub condition: GateCondition,
}

/// The newest report of a peer that this process has received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The peer's address.
    pub agent: AgentAddress,
    /// The peer's availability zone.
    pub zone: ZoneName,
    /// The load of the peer's gate.
    pub report: GateReport,
    /// When this process received the report, on its own clock.
    pub received: Moment,
    /// Whether the peer should be avoided, judging by failed exchanges with it.
    pub suspected: bool,
}
