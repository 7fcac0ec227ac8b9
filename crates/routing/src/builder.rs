//! Builds a routing table service by service.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_settings::ServiceText;

use crate::directory::AgentDirectory;
use crate::hasher::MixMap;
use crate::ring::RingTarget;
use crate::table::{NO_POSITION, RoutingTable, SHARDS, ServiceEntry, ServiceShard, shard_of};

/// Builds a [`RoutingTable`] and reuses the rings of a previous table whose targets are unchanged.
#[derive(Debug)]
pub struct TableBuilder<'a> {
    previous: &'a RoutingTable,
    revision: ConfigRevision,
    text: Arc<ServiceText>,
    addresses: MixMap<SocketAddrV4, ServiceId>,
    shards: Vec<ServiceShard>,
    directory: AgentDirectory,
}

impl<'a> TableBuilder<'a> {
    /// Starts a table for a configuration revision that replaces `previous`.
    #[must_use]
    pub fn new(revision: ConfigRevision, previous: &'a RoutingTable) -> Self {
        Self {
            previous,
            revision,
            text: Arc::default(),
            addresses: MixMap::default(),
            shards: vec![ServiceShard::default(); SHARDS],
            directory: previous.directory.clone(),
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
        let previous = self.previous.entry(service);
        let entry = match previous {
            Some(entry) if entry.ring.has_targets(targets) => ServiceEntry {
                position: NO_POSITION,
                ring: Arc::clone(&entry.ring),
            },
            _ => self.change_targets(previous, service, targets),
        };
        self.shards[shard_of(service)].insert(service, entry);
        self.with_addresses(service, addresses)
    }

    /// Sets the service names from this text, for services that have already been added.
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

    /// Adds addresses of a service whose targets this process does not need.
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

    /// Builds the table and removes agents of services that were not added from the directory.
    #[must_use]
    pub fn build(mut self) -> RoutingTable {
        for (service, ring) in self.previous.rings() {
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
        previous: Option<&ServiceEntry>,
        service: ServiceId,
        targets: &[RingTarget],
    ) -> ServiceEntry {
        let mut entry = ServiceEntry::with_targets(previous, service, targets);
        entry.position = NO_POSITION;
        let before = previous.map_or(&[][..], |entry| entry.ring.targets());
        self.directory.replace(before, entry.ring.targets());
        entry
    }
}
