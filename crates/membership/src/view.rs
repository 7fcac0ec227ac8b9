//! A snapshot of the fleet as one process knows it: the configuration, and which instances are
//! listed, leaving or suspected.
//!
//! A view decides only where *new* flows and *new* requests go. Open flows and once-only requests
//! carry their own home, so two processes with different views never split one.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{
    AgencyName, AgentAddress, BalancerRecord, ConfigRevision, InstanceList, InstanceState,
    ListRevision, ServiceId, ServiceName, TargetId, TargetRecord, ZoneName,
};
use lovagelatch_settings::ServiceText;
use serde::{Deserialize, Serialize};

/// Whether a target may receive new work, most usable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetStanding {
    /// The target accepts new work.
    Live,
    /// At least two neighbours accuse the target; it is avoided until the accusations expire.
    Suspected,
    /// The target accepts no new work.
    Leaving,
}

/// A target in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewTarget {
    /// Id that the platform assigned.
    pub id: TargetId,
    /// Address of the agent's control socket.
    pub agent: AgentAddress,
    /// Address of the agent's operations endpoint.
    pub operations: SocketAddrV4,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Number of slots. Invariant: at least 1.
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

/// Service and agency of an advertised address.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AddressEntry {
    service: ServiceId,
    agency: Option<AgencyName>,
}

/// A view of the fleet. A published view is immutable: a newer one replaces it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    revision: ConfigRevision,
    list_revision: ListRevision,
    text: Arc<ServiceText>,
    /// Invariant: holds every address of `text`. Shared by views of the same text.
    addresses: Arc<HashMap<SocketAddrV4, AddressEntry>>,
    /// Invariant: sorted by target id, so that equal views are equal in every process; no list is
    /// empty. The targets of a service are shared by all views in which they are equal, so that the
    /// cost of a new view depends on the changes and not on the size of the list.
    targets: HashMap<ServiceId, Arc<Vec<ViewTarget>>>,
    balancers: Arc<Vec<BalancerRecord>>,
}

impl FleetView {
    /// Creates a view of an accepted text and an instance list.
    #[must_use]
    pub fn new(revision: ConfigRevision, text: Arc<ServiceText>, list: &InstanceList) -> Self {
        let mut view = Self {
            revision,
            text,
            ..Self::default()
        };
        view.addresses = Arc::new(address_index(&view.text));
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
        self.addresses = Arc::new(address_index(text));
    }

    /// Sets the revision of the instance list.
    pub(crate) fn set_list_revision(&mut self, revision: ListRevision) {
        self.list_revision = revision;
    }

    /// Inserts a target, or replaces the one with the same id.
    pub(crate) fn put_target(&mut self, service: ServiceId, target: ViewTarget) {
        let targets = Arc::make_mut(self.targets.entry(service).or_default());
        match targets.binary_search_by_key(&target.id, |held| held.id) {
            Ok(position) => targets[position] = target,
            Err(position) => targets.insert(position, target),
        }
    }

    /// Removes a target if the service has it at this address.
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

    /// Sets the standing of a target; returns whether it changed.
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

    /// Releases spare capacity of the target lists.
    pub(crate) fn shrink(&mut self) {
        for held in self.targets.values_mut() {
            if let Some(targets) = Arc::get_mut(held) {
                targets.shrink_to_fit();
            }
        }
    }

    /// Replaces the balancers.
    pub(crate) fn set_balancers(&mut self, balancers: Vec<BalancerRecord>) {
        self.balancers = Arc::new(balancers);
    }

    /// Sets the standing of the targets at an agent's address.
    #[must_use]
    pub fn with_standing(mut self, agent: AgentAddress, standing: TargetStanding) -> Self {
        for held in self.targets.values_mut() {
            let matches = |target: &ViewTarget| target.agent == agent;
            if held.iter().any(matches) {
                let targets = Arc::make_mut(held).iter_mut();
                for target in targets.filter(|target| matches(target)) {
                    target.standing = standing;
                }
            }
        }
        self
    }

    /// Returns the revision of the configuration; 0 before any is known.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns the revision of the instance list.
    #[must_use]
    pub fn list_revision(&self) -> ListRevision {
        self.list_revision
    }

    /// Returns the service text in force.
    #[must_use]
    pub fn text(&self) -> &Arc<ServiceText> {
        &self.text
    }

    /// Returns the service that advertises an address.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        self.addresses.get(&address).map(|entry| entry.service)
    }

    /// Returns the agency that an address is assigned to, if any.
    #[must_use]
    pub fn agency_at(&self, address: SocketAddrV4) -> Option<&AgencyName> {
        self.addresses.get(&address)?.agency.as_ref()
    }

    /// Returns the targets of a service, sorted by id, whatever their standing.
    #[must_use]
    pub fn targets(&self, service: ServiceId) -> &[ViewTarget] {
        self.targets
            .get(&service)
            .map_or(&[], |held| held.as_slice())
    }

    /// Returns the services that have targets.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> + '_ {
        self.targets.keys().copied()
    }

    /// Returns the listed balancers.
    #[must_use]
    pub fn balancers(&self) -> &[BalancerRecord] {
        &self.balancers
    }

    /// Returns whether backend servers of `service` may call `dependency`.
    #[must_use]
    pub fn may_call(&self, service: &ServiceName, dependency: &ServiceName) -> bool {
        let entry = self.text.service(service.as_str());
        entry.is_some_and(|entry| entry.depends.contains(dependency))
    }
}

fn address_index(text: &ServiceText) -> HashMap<SocketAddrV4, AddressEntry> {
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
