//! What the routing decision reads of a view, worked out when the view changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId, ServiceName};

use crate::ring::{RingTarget, ServiceRing};

/// A compact copy of a view for the packet path. It is never changed in place: a newer one
/// takes its place.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    revision: ConfigRevision,
    addresses: HashMap<SocketAddrV4, Arc<ServiceRing>>,
    services: HashMap<ServiceId, ServiceEntry>,
    /// Agents known to be gone for good, with all flows they held.
    gone: HashSet<AgentAddress>,
}

#[derive(Clone, Debug)]
struct ServiceEntry {
    /// For logs; `None` when the text does not name the service.
    name: Option<ServiceName>,
    ring: Arc<ServiceRing>,
    /// What the ring was made from, to see whether it must be made again.
    targets: Box<[RingTarget]>,
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
        self.gone = agents.into_iter().collect();
        self
    }

    /// The ring of the service that an address leads to.
    #[must_use]
    pub fn ring_at(&self, address: SocketAddrV4) -> Option<&ServiceRing> {
        self.addresses.get(&address).map(Arc::as_ref)
    }

    /// The ring of a service.
    #[must_use]
    pub fn ring_of(&self, service: ServiceId) -> Option<&ServiceRing> {
        self.services.get(&service).map(|entry| entry.ring.as_ref())
    }

    /// The name of a service that the text names.
    #[must_use]
    pub fn service_name(&self, service: ServiceId) -> Option<&ServiceName> {
        self.services.get(&service)?.name.as_ref()
    }

    /// Whether an agent is known to be gone for good. An agent that no list names is not gone:
    /// lists lag, and it may be newer than they are.
    #[must_use]
    pub fn is_gone(&self, agent: AgentAddress) -> bool {
        !self.gone.is_empty() && self.gone.contains(&agent)
    }
}

/// Makes a [`RoutingTable`], reusing the rings of an earlier one whose targets are the same:
/// a change of one service costs nothing for the others.
#[derive(Debug)]
pub struct TableBuilder<'a> {
    earlier: &'a RoutingTable,
    table: RoutingTable,
}

impl<'a> TableBuilder<'a> {
    /// An empty table of a configuration's revision, to follow on `earlier`.
    #[must_use]
    pub fn new(revision: ConfigRevision, earlier: &'a RoutingTable) -> Self {
        let table = RoutingTable {
            revision,
            ..RoutingTable::default()
        };
        Self { earlier, table }
    }

    /// Adds a service with its addresses and targets.
    #[must_use]
    pub fn with_service(
        mut self,
        service: ServiceId,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
        targets: &[RingTarget],
    ) -> Self {
        let entry = self.entry(service, targets);
        for address in addresses {
            self.table
                .addresses
                .insert(address, Arc::clone(&entry.ring));
        }
        self.table.services.insert(service, entry);
        self
    }

    /// Names a service that was added.
    #[must_use]
    pub fn with_name(mut self, name: &ServiceName) -> Self {
        if let Some(entry) = self.table.services.get_mut(&name.id()) {
            entry.name = Some(name.clone());
        }
        self
    }

    /// The table.
    #[must_use]
    pub fn build(self) -> RoutingTable {
        self.table
    }

    fn entry(&self, service: ServiceId, targets: &[RingTarget]) -> ServiceEntry {
        match self.earlier.services.get(&service) {
            Some(entry) if *entry.targets == *targets => entry.clone(),
            _ => ServiceEntry {
                name: None,
                ring: Arc::new(ServiceRing::new(service, targets)),
                targets: targets.into(),
            },
        }
    }
}
