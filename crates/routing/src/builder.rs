//! Making a routing table from services, one after the other.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_settings::ServiceText;

use crate::directory::AgentDirectory;
use crate::hasher::MixMap;
use crate::ring::RingTarget;
use crate::table::{RoutingTable, SHARDS, ServiceEntry, ServiceShard, UNNAMED, shard_of};

/// Makes a whole [`RoutingTable`], reusing the rings of an earlier one whose targets are the
/// same.
#[derive(Debug)]
pub struct TableBuilder<'a> {
    earlier: &'a RoutingTable,
    revision: ConfigRevision,
    text: Arc<ServiceText>,
    addresses: MixMap<SocketAddrV4, ServiceId>,
    shards: Vec<ServiceShard>,
    directory: AgentDirectory,
}

impl<'a> TableBuilder<'a> {
    /// An empty table of a configuration's revision, to follow on `earlier`.
    #[must_use]
    pub fn new(revision: ConfigRevision, earlier: &'a RoutingTable) -> Self {
        Self {
            earlier,
            revision,
            text: Arc::default(),
            addresses: MixMap::default(),
            shards: vec![ServiceShard::default(); SHARDS],
            directory: earlier.directory.clone(),
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
        let earlier = self.earlier.entry(service);
        let entry = match earlier {
            Some(held) if held.ring.is_of(targets) => ServiceEntry {
                position: UNNAMED,
                ring: Arc::clone(&held.ring),
            },
            _ => self.change_targets(earlier, service, targets),
        };
        self.shards[shard_of(service)].insert(service, entry);
        self.with_addresses(service, addresses)
    }

    /// Names the services that were added and that this text names.
    #[must_use]
    pub fn with_text(mut self, text: &Arc<ServiceText>) -> Self {
        for (position, service) in (0..).zip(&text.services) {
            let service = service.name.id();
            if let Some(entry) = self.shards[shard_of(service)].get_mut(&service) {
                entry.position = position;
            }
        }
        self.text = Arc::clone(text);
        self
    }

    /// Adds an address of a service whose targets this process does not need.
    #[must_use]
    pub(crate) fn with_addresses(
        mut self,
        service: ServiceId,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
    ) -> Self {
        let addresses = addresses.into_iter();
        self.addresses
            .extend(addresses.map(|address| (address, service)));
        self
    }

    /// The table.
    #[must_use]
    pub fn build(mut self) -> RoutingTable {
        for (service, ring) in self.earlier.rings() {
            if !self.shards[shard_of(service)].contains_key(&service) {
                self.directory.replace(ring.targets(), &[]);
            }
        }
        self.directory.shrink();
        for shard in &mut self.shards {
            shard.shrink_to_fit();
        }
        self.addresses.shrink_to_fit();
        RoutingTable {
            revision: self.revision,
            text: self.text,
            addresses: Arc::new(self.addresses),
            shards: self.shards.into_iter().map(Arc::new).collect(),
            directory: self.directory,
            gone: Arc::default(),
        }
    }

    fn change_targets(
        &mut self,
        earlier: Option<&ServiceEntry>,
        service: ServiceId,
        targets: &[RingTarget],
    ) -> ServiceEntry {
        let mut entry = ServiceEntry::follow(earlier, service, targets);
        entry.position = UNNAMED;
        let before = earlier.map_or(&[][..], |held| held.ring.targets());
        self.directory.replace(before, entry.ring.targets());
        entry
    }
}
