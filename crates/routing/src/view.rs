//! Making a routing table from a view of the fleet.

use std::collections::HashSet;
use std::sync::Arc;

use lovagelatch_domain::ServiceId;
use lovagelatch_membership::{FleetView, ViewTarget};

use crate::builder::TableBuilder;
use crate::ring::RingTarget;
use crate::table::RoutingTable;

/// What differs between two views, worked out once for all who follow them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// Whether they differ in their service text or its revision.
    pub text: bool,
    /// The services whose targets may differ.
    pub services: Vec<ServiceId>,
}

impl ViewChange {
    /// Compares two views. Views share the targets of the services in which they are equal, so
    /// this looks at each service but not at its targets.
    #[must_use]
    pub fn between(earlier: &FleetView, view: &FleetView) -> Self {
        let differs =
            |service: &ServiceId| !std::ptr::eq(earlier.targets(*service), view.targets(*service));
        let mut services: Vec<ServiceId> = view.services().filter(differs).collect();
        let left = |service: &ServiceId| view.targets(*service).is_empty();
        services.extend(earlier.services().filter(left));
        let same_text = Arc::ptr_eq(earlier.text(), view.text());
        Self {
            text: !same_text || earlier.revision() != view.revision(),
            services,
        }
    }
}

impl RoutingTable {
    /// The table of a view, reusing what `earlier` shares with it. Costs time in proportion to
    /// the fleet: call it when the text changes or the fleet is small, not for a packet.
    #[must_use]
    pub fn from_view(view: &FleetView, earlier: &Self) -> Self {
        let mut builder = TableBuilder::new(view.revision(), earlier);
        let mut named = HashSet::with_capacity(view.text().services.len());
        for entry in &view.text().services {
            let service = entry.name.id();
            named.insert(service);
            let addresses = entry.addresses.iter().map(|address| address.address);
            builder = builder.with_service(service, addresses, &targets_of(view, service));
        }
        // Services that the text names no longer, or not yet, still have agents that can reset
        // or hold flows.
        let unnamed = view.services().filter(|service| !named.contains(service));
        for service in unnamed {
            builder = builder.with_service(service, [], &targets_of(view, service));
        }
        builder.with_text(view.text()).build()
    }

    /// The table of a view with the targets of these services only, and all addresses: enough for
    /// an agent, which meets packets of its own service and calls its dependencies. `earlier` is
    /// a table made in the same way.
    #[must_use]
    pub fn from_view_of(services: &[ServiceId], view: &FleetView, earlier: &Self) -> Self {
        let mut builder = TableBuilder::new(view.revision(), earlier);
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

    /// The table of a view that differs by `change` from the one that this table was made from.
    #[must_use]
    pub fn follow(&self, view: &FleetView, change: &ViewChange) -> Self {
        if change.text {
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
