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
    /// Invariant: holds every address of `text`. Shared by views of one text.
    addresses: Arc<HashMap<SocketAddrV4, AddressEntry>>,
    /// Invariant: sorted by the platform's numbers, so that equal views are equal everywhere;
    /// no list is empty. A service's targets are shared by all views in which they are equal,
    /// so that a new view costs what changed and not what is listed.
    targets: HashMap<ServiceId, Arc<Vec<ViewTarget>>>,
    balancers: Arc<Vec<BalancerRecord>>,
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
        view.addresses = Arc::new(addresses_of(&view.text));
        view.list_revision = list.revision;
        view.balancers = Arc::new(list.balancers.clone());
        let mut targets: HashMap<ServiceId, Vec<ViewTarget>> = HashMap::new();
        for record in &list.targets {
            let targets = targets.entry(record.service.id()).or_default();
            targets.push(ViewTarget::new(record));
        }
        for (service, mut targets) in targets {
            targets.sort_by_key(|target| target.id);
            view.targets.insert(service, Arc::new(targets));
        }
        view
    }

    /// Replaces the configuration.
    pub(crate) fn set_text(&mut self, revision: ConfigRevision, text: &Arc<ServiceText>) {
        self.revision = revision;
        self.text = Arc::clone(text);
        self.addresses = Arc::new(addresses_of(text));
    }

    /// Sets the list's number.
    pub(crate) fn set_list_revision(&mut self, revision: ListRevision) {
        self.list_revision = revision;
    }

    /// Adds a target, or replaces the one with its number.
    pub(crate) fn put_target(&mut self, service: ServiceId, target: ViewTarget) {
        let targets = Arc::make_mut(self.targets.entry(service).or_default());
        match targets.binary_search_by_key(&target.id, |held| held.id) {
            Ok(position) => targets[position] = target,
            Err(position) => targets.insert(position, target),
        }
    }

    /// Takes a target out, if that service lists it at that address.
    pub(crate) fn remove_target(&mut self, service: ServiceId, id: TargetId, agent: AgentAddress) {
        let Some(held) = self.targets.get_mut(&service) else {
            return;
        };
        let Ok(position) = held.binary_search_by_key(&id, |target| target.id) else {
            return;
        };
        if held[position].agent != agent {
            return;
        }
        let targets = Arc::make_mut(held);
        targets.remove(position);
        if targets.is_empty() {
            self.targets.remove(&service);
        }
    }

    /// Sets what is held of one target of a service; whether that changed anything.
    pub(crate) fn set_standing(
        &mut self,
        service: ServiceId,
        id: TargetId,
        standing: TargetStanding,
    ) -> bool {
        let Some(held) = self.targets.get_mut(&service) else {
            return false;
        };
        let Ok(position) = held.binary_search_by_key(&id, |target| target.id) else {
            return false;
        };
        if held[position].standing == standing {
            return false;
        }
        Arc::make_mut(held)[position].standing = standing;
        true
    }

    /// Gives back what the lists of targets reserve beyond their length.
    pub(crate) fn shrink(&mut self) {
        for held in self.targets.values_mut() {
            if let Some(targets) = Arc::get_mut(held) {
                targets.shrink_to_fit();
            }
        }
    }

    /// Replaces the entry instances.
    pub(crate) fn set_balancers(&mut self, balancers: Vec<BalancerRecord>) {
        self.balancers = Arc::new(balancers);
    }

    /// Changes what is held of one agent's target: its own announcement, or its peers'.
    #[must_use]
    pub fn with_standing(mut self, agent: AgentAddress, standing: TargetStanding) -> Self {
        for held in self.targets.values_mut() {
            let concerned = |target: &ViewTarget| target.agent == agent;
            if held.iter().any(concerned) {
                let targets = Arc::make_mut(held).iter_mut();
                for target in targets.filter(|target| concerned(target)) {
                    target.standing = standing;
                }
            }
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
        self.targets
            .get(&service)
            .map_or(&[], |held| held.as_slice())
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
