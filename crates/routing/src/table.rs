//! The parts of a view that the routing decision reads, computed when the view changes.
//!
//! ```text
//! address --> service --> shard --> ring of the service's targets
//! ```
//!
//! A table is never modified in place but replaced by a newer one. Both share the address map
//! while the service text is unchanged, and every shard without changed services. The cost of a
//! change therefore depends on the changed services and not on the size of the fleet.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId, ServiceName};
use lovagelatch_membership::TargetStanding;
use lovagelatch_settings::ServiceText;

use crate::directory::AgentDirectory;
use crate::hasher::{MixMap, MixSet};
use crate::ring::{MAX_IDLE_TICKS, RingTarget, ServiceRing};

/// The number of shards of the service map. Each is shared between tables or copied as a whole.
pub(crate) const SHARDS: usize = 256;

/// The position of a service that is not in the service text.
pub(crate) const NO_POSITION: u32 = u32::MAX;

/// The maximum size of the bucket tables that one call of `refresh_buckets` builds, in bytes, unless
/// a single one is larger. Each byte costs at most one scan, so a call takes some tens of milliseconds at
/// most.
const MAX_FILL_BYTES: usize = 128 * 1024;

pub(crate) type ServiceShard = MixMap<ServiceId, ServiceEntry>;

#[derive(Clone, Debug)]
pub(crate) struct ServiceEntry {
    /// Position in the service text, to find the name for logs, or [`NO_POSITION`].
    pub(crate) position: u32,
    pub(crate) ring: Arc<ServiceRing>,
}

impl ServiceEntry {
    /// Builds the entry that replaces `previous` with other targets. If the previous ring has a
    /// bucket table, a new one is built here, so that no packet has to scan after the change.
    pub(crate) fn with_targets(
        previous: Option<&Self>,
        service: ServiceId,
        targets: &[RingTarget],
    ) -> Self {
        let ring = ServiceRing::new(service, targets);
        let used = previous.is_some_and(|entry| entry.ring.has_buckets());
        let ring = if used { ring.with_buckets() } else { ring };
        Self {
            position: previous.map_or(NO_POSITION, |entry| entry.position),
            ring: Arc::new(ring),
        }
    }
}

/// A compact representation of a view for the packet path.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    pub(crate) revision: ConfigRevision,
    pub(crate) text: Arc<ServiceText>,
    pub(crate) addresses: Arc<MixMap<SocketAddrV4, ServiceId>>,
    /// Invariant: [`SHARDS`] long.
    pub(crate) shards: Box<[Arc<ServiceShard>]>,
    /// The agents of all services in `shards`.
    pub(crate) directory: AgentDirectory,
    /// Agents that are gone for good together with the flows they held.
    pub(crate) gone: Arc<MixSet<AgentAddress>>,
}

impl Default for RoutingTable {
    fn default() -> Self {
        let empty = Arc::new(ServiceShard::default());
        Self {
            revision: ConfigRevision::default(),
            text: Arc::default(),
            addresses: Arc::default(),
            shards: vec![empty; SHARDS].into_boxed_slice(),
            directory: AgentDirectory::default(),
            gone: Arc::default(),
        }
    }
}

pub(crate) fn shard_of(service: ServiceId) -> usize {
    // A service ID is already a hash.
    service.0 as usize % SHARDS
}

impl RoutingTable {
    /// Returns the configuration revision that the table was built from.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Replaces the set of agents that are gone for good.
    #[must_use]
    pub fn with_gone(mut self, agents: impl IntoIterator<Item = AgentAddress>) -> Self {
        self.gone = Arc::new(agents.into_iter().collect());
        self
    }

    /// Returns the ring of the service at an address.
    #[must_use]
    pub fn ring_at(&self, address: SocketAddrV4) -> Option<&ServiceRing> {
        self.ring_of(self.service_at(address)?)
    }

    /// Returns the service at an address.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        self.addresses.get(&address).copied()
    }

    /// Returns the ring of a service, if the table has its targets.
    #[must_use]
    pub fn ring_of(&self, service: ServiceId) -> Option<&ServiceRing> {
        self.entry(service).map(|entry| entry.ring.as_ref())
    }

    /// Returns the name of a service that is in the service text.
    #[must_use]
    pub fn service_name(&self, service: ServiceId) -> Option<&ServiceName> {
        let position = self.entry(service)?.position as usize;
        let named = self.text.services.get(position)?;
        Some(&named.name)
    }

    /// Returns whether the agent that held flows of a service at this address is gone for good.
    ///
    /// An agent is not gone merely because it is not listed: lists lag, and the agent may be newer
    /// than the list. An agent that is listed for this service and not suspected is not gone
    /// either: when an address moves from one service to another, only flows of the former service
    /// have lost their agent.
    #[must_use]
    pub fn is_gone(&self, agent: AgentAddress, service: ServiceId) -> bool {
        !self.gone.is_empty() && self.gone.contains(&agent) && !self.serves(agent, service)
    }

    /// Returns whether an agent is listed, but only for other services: its instance has moved to
    /// another service.
    #[must_use]
    pub fn is_reassigned(&self, agent: AgentAddress, service: ServiceId) -> bool {
        let ring = self.ring_of(service);
        let listed = ring.is_some_and(|ring| ring.standing_of(agent).is_some());
        !listed && self.directory.contains(agent)
    }

    fn serves(&self, agent: AgentAddress, service: ServiceId) -> bool {
        let ring = self.ring_of(service);
        let standing = ring.and_then(|ring| ring.standing_of(agent));
        standing.is_some_and(|standing| standing != TargetStanding::Suspected)
    }

    /// Replaces the targets of a service and keeps its addresses and name.
    pub(crate) fn set_targets(&mut self, service: ServiceId, targets: &[RingTarget]) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(service)]);
        let previous = shard.remove(&service);
        let entry = ServiceEntry::with_targets(previous.as_ref(), service, targets);
        let before = previous
            .as_ref()
            .map_or(&[][..], |entry| entry.ring.targets());
        self.directory.replace(before, entry.ring.targets());
        self.directory.shrink();
        shard.insert(service, entry);
    }

    /// Builds bucket tables for services that received new flows since the last call and drops
    /// those of services that have been idle for [`MAX_IDLE_TICKS`] calls. Returns `None` when
    /// nothing changes. All bucket tables together take at most `budget` bytes; a service that does
    /// not fit is scanned for each new flow, with the same result.
    ///
    /// Call this once a second. It costs one scan per bucket of each bucket table that it builds.
    #[must_use]
    pub fn refresh_buckets(&self, budget: usize) -> Option<Self> {
        let mut refreshed = None;
        let (mut used, mut filled) = (0, 0);
        for (service, ring) in self.rings() {
            ring.increment_idle();
            let bytes = ring.bucket_bytes();
            let fits = bytes > 0 && used + bytes <= budget;
            let wanted = match ring.has_buckets() {
                true => fits && ring.idle_ticks() < MAX_IDLE_TICKS,
                false => {
                    fits && ring.idle_ticks() == 1
                        && (filled == 0 || filled + bytes <= MAX_FILL_BYTES)
                }
            };
            if wanted {
                used += bytes;
            }
            if wanted != ring.has_buckets() {
                filled += if wanted { bytes } else { 0 };
                let table = refreshed.get_or_insert_with(|| self.clone());
                table.set_ring(service, ring.rebuilt(wanted));
            }
        }
        refreshed
    }

    /// Returns the size of all bucket tables in bytes.
    #[must_use]
    pub fn bucket_bytes(&self) -> usize {
        let cached = self.rings().filter(|(_, ring)| ring.has_buckets());
        cached.map(|(_, ring)| ring.bucket_bytes()).sum()
    }

    pub(crate) fn rings(&self) -> impl Iterator<Item = (ServiceId, &ServiceRing)> {
        let entries = self.shards.iter().flat_map(|shard| shard.iter());
        entries.map(|(service, entry)| (*service, entry.ring.as_ref()))
    }

    fn set_ring(&mut self, service: ServiceId, ring: ServiceRing) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(service)]);
        if let Some(entry) = shard.get_mut(&service) {
            entry.ring = Arc::new(ring);
        }
    }

    pub(crate) fn entry(&self, service: ServiceId) -> Option<&ServiceEntry> {
        self.shards[shard_of(service)].get(&service)
    }
}
