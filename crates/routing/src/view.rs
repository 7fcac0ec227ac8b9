//! Builds routing tables from views of the fleet.

use std::collections::HashSet;
use std::sync::Arc;

use lovagelatch_domain::ServiceId;
use lovagelatch_membership::{FleetView, ViewTarget};

use crate::builder::TableBuilder;
use crate::ring::RingTarget;
use crate::table::RoutingTable;

/// The difference between two views, computed once for all its users.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// Whether the service text or its revision differs.
    pub config_changed: bool,
    /// The services whose targets may differ.
    pub services: Vec<ServiceId>,
}

impl ViewChange {
    /// Compares two views. Views share the targets of services that are equal in both, so the
    /// comparison visits each service but not its targets.
    #[must_use]
    pub fn between(previous: &FleetView, view: &FleetView) -> Self {
        let changed =
            |service: &ServiceId| !std::ptr::eq(previous.targets(*service), view.targets(*service));
        let mut services: Vec<ServiceId> = view.services().filter(changed).collect();
        let removed = |service: &ServiceId| view.targets(*service).is_empty();
        services.extend(previous.services().filter(removed));
        let same_text = Arc::ptr_eq(previous.text(), view.text());
        Self {
            config_changed: !same_text || previous.revision() != view.revision(),
            services,
        }
    }
}

impl RoutingTable {
    /// Builds the table of a view and reuses the unchanged parts of `previous`. The cost is linear
    /// in the size of the fleet: call it when the service text changes or the fleet is small, not
    /// per packet.
    #[must_use]
    pub fn from_view(view: &FleetView, previous: &Self) -> Self {
        let mut builder = TableBuilder::new(view.revision(), previous);
        let mut configured = HashSet::with_capacity(view.text().services.len());
        for entry in &view.text().services {
            let service = entry.name.id();
            configured.insert(service);
            let addresses = entry.addresses.iter().map(|address| address.address);
            builder = builder.with_service(service, addresses, &targets_of(view, service));
        }
        // Services that are no longer, or not yet, in the service text still have agents that can
        // reset or hold flows.
        let unconfigured = view
            .services()
            .filter(|service| !configured.contains(service));
        for service in unconfigured {
            builder = builder.with_service(service, [], &targets_of(view, service));
        }
        builder.with_text(view.text()).build()
    }

    /// Builds the table of a view with all addresses but only the targets of these services. This
    /// is enough for an agent, which receives packets of its own service and calls its
    /// dependencies. `previous` must have been built in the same way.
    #[must_use]
    pub fn from_view_for(services: &[ServiceId], view: &FleetView, previous: &Self) -> Self {
        let mut builder = TableBuilder::new(view.revision(), previous);
        for entry in &view.text().services {
            let service = entry.name.id();
            let addresses = entry.addresses.iter().map(|address| address.address);
            builder = builder.with_addresses(service, addresses);
        }
        for &service in services {
            builder = builder.with_service(service, [], &targets_of(view, service));
        }
        builder.with_text(view.text()).build()
    }

    /// Builds the table of a view that differs by `change` from the view of this table.
    #[must_use]
    pub fn with_change(&self, view: &FleetView, change: &ViewChange) -> Self {
        if change.config_changed {
            return Self::from_view(view, self);
        }
        let mut table = self.clone();
        for &service in &change.services {
            table.set_targets(service, &targets_of(view, service));
        }
        table
    }
}

fn targets_of(view: &FleetView, service: ServiceId) -> Vec<RingTarget> {
    let ring_target = |target: &ViewTarget| RingTarget {
        agent: target.agent,
        slots: target.slots,
        standing: target.standing,
    };
    view.targets(service).iter().map(ring_target).collect()
}
