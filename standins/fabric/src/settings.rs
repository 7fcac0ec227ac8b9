//! What tests tell the fabric.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Which addresses there are, and how far apart they lie.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricTopology {
    /// The service addresses, which the fabric binds.
    pub services: Vec<SocketAddrV4>,
    /// Where balancers take callers' datagrams.
    pub balancers: Vec<SocketAddrV4>,
    /// The availability zone of each address that processes send from or to.
    pub zones: HashMap<SocketAddrV4, String>,
    /// Delay between callers and the network, one way, in microseconds.
    pub client_delay_us: u64,
    /// Delay between different zones, one way, in microseconds.
    pub zone_delay_us: u64,
}

impl FabricTopology {
    /// Delay between callers and the network, one way.
    #[must_use]
    pub fn client_delay(&self) -> Duration {
        Duration::from_micros(self.client_delay_us)
    }

    /// Delay from one process to another, one way; an address without a zone is near all.
    #[must_use]
    pub fn delay_between(&self, source: SocketAddrV4, destination: SocketAddrV4) -> Duration {
        match self.zones_between(source, destination) {
            Some((from, to)) if from != to => Duration::from_micros(self.zone_delay_us),
            _ => Duration::ZERO,
        }
    }

    /// The zones of two addresses, when both are known.
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

/// What goes wrong on the network now. Each plan replaces the one before; what it leaves out is
/// in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// The share of datagrams that are lost, 0 to 1.
    pub drop: f64,
    /// The share of datagrams that arrive twice, 0 to 1.
    pub duplicate: f64,
    /// The share of datagrams that are overtaken by later ones, 0 to 1.
    pub reorder: f64,
    /// Pairs of zones between which nothing passes, one way each.
    pub cut_zones: Vec<(String, String)>,
    /// Loses all datagrams, both ways, of callers' flows that were seen before this was set;
    /// flows from other caller addresses pass.
    pub silent_callers: bool,
    /// Holds back, for good, all bytes of TCP streams that were open before this was set; new
    /// streams pass.
    pub silent_streams: bool,
}

impl FaultPlan {
    /// Whether nothing passes from one zone to another.
    #[must_use]
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut_zones
            .iter()
            .any(|(source, destination)| source == from && destination == to)
    }
}
