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
use lovagelatch_membership::TargetStanding;
use lovagelatch_settings::ServiceText;

use crate::directory::AgentDirectory;
use crate::hasher::{MixMap, MixSet};
use crate::ring::{IDLE_LIMIT, RingTarget, ServiceRing};

/// Parts of the map of services that are shared or copied as one.
pub(crate) const SHARDS: usize = 256;

/// The position of a service that the text does not name.
pub(crate) const UNNAMED: u32 = u32::MAX;

/// Bytes of rows that one call of `tend` works out, unless a single row is larger: a scan for
/// each, so that a call takes some tens of milliseconds at most.
const FILL_BYTES: usize = 128 * 1024;

pub(crate) type ServiceShard = MixMap<ServiceId, ServiceEntry>;

#[derive(Clone, Debug)]
pub(crate) struct ServiceEntry {
    /// Position in the text, for logs; [`UNNAMED`] when the text does not name the service.
    pub(crate) position: u32,
    pub(crate) ring: Arc<ServiceRing>,
}

impl ServiceEntry {
    /// The entry after `earlier` with other targets. A service that gets new flows keeps a row
    /// of buckets, so that no packet meets the change by a scan.
    pub(crate) fn follow(
        earlier: Option<&Self>,
        service: ServiceId,
        targets: &[RingTarget],
    ) -> Self {
        let ring = ServiceRing::new(service, targets);
        let used = earlier.is_some_and(|entry| entry.ring.has_row());
        let ring = if used { ring.with_row() } else { ring };
        Self {
            position: earlier.map_or(UNNAMED, |entry| entry.position),
            ring: Arc::new(ring),
        }
    }
}

/// A compact copy of a view for the packet path.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    pub(crate) revision: ConfigRevision,
    pub(crate) text: Arc<ServiceText>,
    pub(crate) addresses: Arc<MixMap<SocketAddrV4, ServiceId>>,
    /// Invariant: [`SHARDS`] long; holds every service of `addresses`.
    pub(crate) shards: Box<[Arc<ServiceShard>]>,
    /// Every target of every service held.
    pub(crate) directory: AgentDirectory,
    /// Agents known to be gone for good, with all flows they held.
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
        self.ring_of(self.service_at(address)?)
    }

    /// The service that an address leads to.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        self.addresses.get(&address).copied()
    }

    /// The ring of a service.
    #[must_use]
    pub fn ring_of(&self, service: ServiceId) -> Option<&ServiceRing> {
        self.entry(service).map(|entry| entry.ring.as_ref())
    }

    /// The name of a service that the text names.
    #[must_use]
    pub fn service_name(&self, service: ServiceId) -> Option<&ServiceName> {
        let position = self.entry(service)?.position as usize;
        let named = self.text.services.get(position)?;
        Some(&named.name)
    }

    /// Whether the agent that held flows of a service at this address is known to be gone for
    /// good. An agent that no list names is not gone: lists lag, and it may be newer than they
    /// are. Nor is one that the service's own list names and nobody suspects: where an address
    /// went from one service to another, only flows of the former are without their agent.
    #[must_use]
    pub fn is_gone(&self, agent: AgentAddress, service: ServiceId) -> bool {
        !self.gone.is_empty() && self.gone.contains(&agent) && !self.serves(agent, service)
    }

    /// Whether an agent is listed, but for other services than this one: its instance has passed
    /// from one to another.
    #[must_use]
    pub fn is_elsewhere(&self, agent: AgentAddress, service: ServiceId) -> bool {
        let ring = self.ring_of(service);
        let listed = ring.is_some_and(|ring| ring.standing_of(agent).is_some());
        !listed && self.directory.contains(agent)
    }

    fn serves(&self, agent: AgentAddress, service: ServiceId) -> bool {
        let ring = self.ring_of(service);
        let standing = ring.and_then(|ring| ring.standing_of(agent));
        standing.is_some_and(|standing| standing != TargetStanding::Suspected)
    }

    /// Gives a service other targets; its addresses and name stay.
    pub(crate) fn set_targets(&mut self, service: ServiceId, targets: &[RingTarget]) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(service)]);
        let earlier = shard.remove(&service);
        let entry = ServiceEntry::follow(earlier.as_ref(), service, targets);
        let before = earlier.as_ref().map_or(&[][..], |held| held.ring.targets());
        self.directory.replace(before, entry.ring.targets());
        self.directory.shrink();
        shard.insert(service, entry);
    }

    /// Works out the buckets of the services that got new flows since the last call, and gives
    /// up those of services that got none for long; `None` when nothing changes. Rows take
    /// `budget` bytes together at most; a service beyond it is scanned for each new flow, with
    /// the same result.
    ///
    /// To be called once a second. Costs a scan for each bucket of a service that is new to it.
    #[must_use]
    pub fn tend(&self, budget: usize) -> Option<Self> {
        let mut tended = None;
        let (mut held, mut filled) = (0, 0);
        for (service, ring) in self.rings() {
            ring.grow_idle();
            let bytes = ring.row_bytes();
            let fits = bytes > 0 && held + bytes <= budget;
            let wanted = match ring.has_row() {
                true => fits && ring.idle() < IDLE_LIMIT,
                false => fits && ring.idle() == 1 && (filled == 0 || filled + bytes <= FILL_BYTES),
            };
            if wanted {
                held += bytes;
            }
            if wanted != ring.has_row() {
                filled += if wanted { bytes } else { 0 };
                let table = tended.get_or_insert_with(|| self.clone());
                table.set_ring(service, ring.copy(wanted));
            }
        }
        tended
    }

    /// Bytes that the rows of buckets take.
    #[must_use]
    pub fn row_bytes(&self) -> usize {
        let kept = self.rings().filter(|(_, ring)| ring.has_row());
        kept.map(|(_, ring)| ring.row_bytes()).sum()
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
