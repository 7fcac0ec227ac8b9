//! What the routing decision reads of a view, worked out when the view changes.
//!
//! ```text
//! address --> service --> shard --> ring of the service's targets
//! ```
//!
//! A table is never changed in place: a newer one takes its place. Both share the map of
//! addresses while the text is the same, and every shard in which no service has changed, so
//! that a change costs what it concerns and not the size of the fleet.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId, ServiceName};

use crate::hasher::{MixMap, MixSet};
use crate::ring::{RingTarget, ServiceRing};

/// Parts of the map of services that are shared or copied as one.
const SHARDS: usize = 256;

type ServiceShard = MixMap<ServiceId, ServiceEntry>;

#[derive(Clone, Debug)]
struct ServiceEntry {
    /// For logs; `None` when the text does not name the service.
    name: Option<ServiceName>,
    ring: Arc<ServiceRing>,
    /// What the ring was made from, to see whether it must be made again.
    targets: Arc<[RingTarget]>,
}

impl ServiceEntry {
    fn new(service: ServiceId, targets: &[RingTarget]) -> Self {
        Self {
            name: None,
            ring: Arc::new(ServiceRing::new(service, targets)),
            targets: targets.into(),
        }
    }
}

/// A compact copy of a view for the packet path.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    revision: ConfigRevision,
    addresses: Arc<MixMap<SocketAddrV4, ServiceId>>,
    /// Invariant: [`SHARDS`] long; holds every service of `addresses`.
    shards: Box<[Arc<ServiceShard>]>,
    /// Agents known to be gone for good, with all flows they held.
    gone: Arc<MixSet<AgentAddress>>,
}

impl Default for RoutingTable {
    fn default() -> Self {
        let empty = Arc::new(ServiceShard::default());
        Self {
            revision: ConfigRevision::default(),
            addresses: Arc::default(),
            shards: vec![empty; SHARDS].into_boxed_slice(),
            gone: Arc::default(),
        }
    }
}

fn shard_of(service: ServiceId) -> usize {
    // The number of a service is a hash already.
    service.0 as usize % SHARDS
}

impl RoutingTable {
    /// The configuration's revision that the table was made from.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// The same table with these agents, and no others, known to be gone for good.
    #[must_use]
    pub fn with_gone(mut self, agents: impl IntoIterator<Item = AgentAddress>) -> Self {
        self.gone = Arc::new(agents.into_iter().collect());
        self
    }

    /// The ring of the service that an address leads to.
    #[must_use]
    pub fn ring_at(&self, address: SocketAddrV4) -> Option<&ServiceRing> {
        self.ring_of(*self.addresses.get(&address)?)
    }

    /// The ring of a service.
    #[must_use]
    pub fn ring_of(&self, service: ServiceId) -> Option<&ServiceRing> {
        self.entry(service).map(|entry| entry.ring.as_ref())
    }

    /// The name of a service that the text names.
    #[must_use]
    pub fn service_name(&self, service: ServiceId) -> Option<&ServiceName> {
        self.entry(service)?.name.as_ref()
    }

    /// Whether an agent is known to be gone for good. An agent that no list names is not gone:
    /// lists lag, and it may be newer than they are.
    #[must_use]
    pub fn is_gone(&self, agent: AgentAddress) -> bool {
        !self.gone.is_empty() && self.gone.contains(&agent)
    }

    /// Gives a service other targets; its addresses and name stay.
    pub(crate) fn set_targets(&mut self, service: ServiceId, targets: &[RingTarget]) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(service)]);
        let name = shard.remove(&service).and_then(|entry| entry.name);
        let entry = ServiceEntry::new(service, targets);
        shard.insert(service, ServiceEntry { name, ..entry });
    }

    fn entry(&self, service: ServiceId) -> Option<&ServiceEntry> {
        self.shards[shard_of(service)].get(&service)
    }
}

/// Makes a whole [`RoutingTable`], reusing the rings of an earlier one whose targets are the
/// same.
#[derive(Debug)]
pub struct TableBuilder<'a> {
    earlier: &'a RoutingTable,
    revision: ConfigRevision,
    addresses: MixMap<SocketAddrV4, ServiceId>,
    shards: Vec<ServiceShard>,
}

impl<'a> TableBuilder<'a> {
    /// An empty table of a configuration's revision, to follow on `earlier`.
    #[must_use]
    pub fn new(revision: ConfigRevision, earlier: &'a RoutingTable) -> Self {
        Self {
            earlier,
            revision,
            addresses: MixMap::default(),
            shards: vec![ServiceShard::default(); SHARDS],
        }
    }

    /// Adds a service with its addresses and targets.
    #[must_use]
    pub fn with_service(
        mut self,
        service: ServiceId,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
        targets: &[RingTarget],
    ) -> Self {
        let entry = match self.earlier.entry(service) {
            Some(entry) if *entry.targets == *targets => entry.clone(),
            _ => ServiceEntry::new(service, targets),
        };
        self.shards[shard_of(service)].insert(service, entry);
        let addresses = addresses.into_iter();
        self.addresses
            .extend(addresses.map(|address| (address, service)));
        self
    }

    /// Names a service that was added.
    #[must_use]
    pub fn with_name(mut self, name: &ServiceName) -> Self {
        let service = name.id();
        if let Some(entry) = self.shards[shard_of(service)].get_mut(&service) {
            entry.name = Some(name.clone());
        }
        self
    }

    /// The table.
    #[must_use]
    pub fn build(self) -> RoutingTable {
        RoutingTable {
            revision: self.revision,
            addresses: Arc::new(self.addresses),
            shards: self.shards.into_iter().map(Arc::new).collect(),
            gone: Arc::default(),
        }
    }
}
