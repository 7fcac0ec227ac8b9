//! One process's view of the fleet at one moment: what the configuration says, and which
//! instances are listed, leaving or suspected.
//!
//! A view decides only where *new* flows and *new* requests go. Open flows and once-only
//! requests name their own home, so two processes whose views differ never split one.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{
    AgencyName, AgentAddress, BalancerRecord, ConfigRevision, InstanceList, InstanceState,
    ListRevision, ServiceId, ServiceName, TargetId, TargetRecord, ZoneName,
};
use lovagelatch_settings::ServiceText;
use serde::{Deserialize, Serialize};

/// What a process holds of a target, most usable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetStanding {
    /// It takes new work.
    Live,
    /// Two peers lost touch with it; it is avoided until that expires.
    Suspected,
    /// It takes no new work.
    Leaving,
}

/// One target as a view holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewTarget {
    /// The platform's number for it.
    pub id: TargetId,
    /// Its agent.
    pub agent: AgentAddress,
    /// Where its agent serves operations.
    pub operations: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its slots. Invariant: at least 1.
    pub slots: u16,
    /// Whether new work may go there.
    pub standing: TargetStanding,
}

impl ViewTarget {
    fn new(record: &TargetRecord) -> Self {
        Self {
            id: record.id,
            agent: record.agent,
            operations: record.operations,
            zone: record.zone.clone(),
            slots: record.slots.max(1),
            standing: match record.state {
                InstanceState::Live => TargetStanding::Live,
                InstanceState::Leaving => TargetStanding::Leaving,
            },
        }
    }
}

/// What an address leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AddressEntry {
    service: ServiceId,
    agency: Option<AgencyName>,
}

/// A view of the fleet. It is never changed in place: a newer one takes its place.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    revision: ConfigRevision,
    list_revision: ListRevision,
    text: Arc<ServiceText>,
    /// Invariant: holds every address of `text`.
    addresses: HashMap<SocketAddrV4, AddressEntry>,
    /// Invariant: sorted by the platform's numbers, so that equal views are equal everywhere.
    targets: HashMap<ServiceId, Vec<ViewTarget>>,
    balancers: Vec<BalancerRecord>,
}

impl FleetView {
    /// A view of an accepted text and an instance list.
    #[must_use]
    pub fn new(revision: ConfigRevision, text: Arc<ServiceText>, list: &InstanceList) -> Self {
        let mut view = Self {
            revision,
            text,
            ..Self::default()
        };
        view.addresses = addresses_of(&view.text);
        view.list_revision = list.revision;
        view.balancers.clone_from(&list.balancers);
        for record in &list.targets {
            let targets = view.targets.entry(record.service.id()).or_default();
            targets.push(ViewTarget::new(record));
        }
        for targets in view.targets.values_mut() {
            targets.sort_by_key(|target| target.id);
        }
        view
    }

    /// Changes what is held of one agent's target: its own word, or its peers'.
    #[must_use]
    pub fn with_standing(mut self, agent: AgentAddress, standing: TargetStanding) -> Self {
        let targets = self.targets.values_mut().flatten();
        for target in targets.filter(|target| target.agent == agent) {
            target.standing = standing;
        }
        self
    }

    /// The configuration's revision; 0 before any is known.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// The instance list's revision.
    #[must_use]
    pub fn list_revision(&self) -> ListRevision {
        self.list_revision
    }

    /// The service text in force.
    #[must_use]
    pub fn text(&self) -> &Arc<ServiceText> {
        &self.text
    }

    /// The service that an address leads to.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        self.addresses.get(&address).map(|entry| entry.service)
    }

    /// The agency that an address belongs to, if the text names one.
    #[must_use]
    pub fn agency_at(&self, address: SocketAddrV4) -> Option<&AgencyName> {
        self.addresses.get(&address)?.agency.as_ref()
    }

    /// The targets of a service in order of their numbers, whatever their standing.
    #[must_use]
    pub fn targets(&self, service: ServiceId) -> &[ViewTarget] {
        self.targets.get(&service).map_or(&[], Vec::as_slice)
    }

    /// The services that have listed targets.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> + '_ {
        self.targets.keys().copied()
    }

    /// The entry instances.
    #[must_use]
    pub fn balancers(&self) -> &[BalancerRecord] {
        &self.balancers
    }

    /// Whether backend servers of `service` may call `dependency`.
    #[must_use]
    pub fn may_call(&self, service: &ServiceName, dependency: &ServiceName) -> bool {
        let entry = self.text.service(service.as_str());
        entry.is_some_and(|entry| entry.depends.contains(dependency))
    }
}

fn addresses_of(text: &ServiceText) -> HashMap<SocketAddrV4, AddressEntry> {
    let mut addresses = HashMap::new();
    for service in &text.services {
        for address in &service.addresses {
            let entry = AddressEntry {
                service: service.name.id(),
                agency: address.agency.clone(),
            };
            addresses.insert(address.address, entry);
        }
    }
    addresses
}
