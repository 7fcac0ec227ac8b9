//! The settings of tests: topology and faults.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The addresses of the network and the delays between them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricTopology {
    /// Service addresses, which the fabric binds.
    pub services: Vec<SocketAddrV4>,
    /// Addresses at which balancers receive callers' datagrams.
    pub balancers: Vec<SocketAddrV4>,
    /// Availability zone of each address of a process.
    pub zones: HashMap<SocketAddrV4, String>,
    /// One-way delay between callers and the network, in microseconds.
    pub client_delay_us: u64,
    /// One-way delay between different zones, in microseconds.
    pub zone_delay_us: u64,
}

impl FabricTopology {
    /// Returns the one-way delay between callers and the network.
    #[must_use]
    pub fn client_delay(&self) -> Duration {
        Duration::from_micros(self.client_delay_us)
    }

    /// Returns the one-way delay between two processes. An address without a zone has no delay.
    #[must_use]
    pub fn delay_between(&self, source: SocketAddrV4, destination: SocketAddrV4) -> Duration {
        match self.zones_between(source, destination) {
            Some((from, to)) if from != to => Duration::from_micros(self.zone_delay_us),
            _ => Duration::ZERO,
        }
    }

    /// Returns the zones of two addresses if both are known.
    #[must_use]
    pub fn zones_between(
        &self,
        source: SocketAddrV4,
        destination: SocketAddrV4,
    ) -> Option<(&str, &str)> {
        let from = self.zones.get(&source)?;
        let to = self.zones.get(&destination)?;
        Some((from, to))
    }
}

/// The faults of the network. Each plan replaces the previous one; fields that are left out mean
/// no fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Share of datagrams that are dropped, 0 to 1.
    pub drop: f64,
    /// Share of datagrams that are duplicated, 0 to 1.
    pub duplicate: f64,
    /// Share of datagrams with an extra delay, so that later ones can overtake them, 0 to 1.
    pub reorder: f64,
    /// Cut links between zones, as pairs of source and destination. A cut applies to one
    /// direction.
    pub cut_zones: Vec<(String, String)>,
    /// Drops all datagrams, in both directions, of callers' flows that were seen before this was
    /// set. Flows from other caller addresses are not affected.
    pub silent_callers: bool,
    /// Stalls all TCP streams that were open before this was set, until it is cleared. New streams
    /// are not affected.
    pub silent_streams: bool,
}

impl FaultPlan {
    /// Whether the link from one zone to another is cut.
    #[must_use]
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut_zones
            .iter()
            .any(|(source, destination)| source == from && destination == to)
    }
}
