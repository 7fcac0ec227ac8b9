//! Making a routing table from a view of the fleet.

use std::collections::HashSet;

use lovagelatch_membership::{FleetView, ViewTarget};

use crate::ring::RingTarget;
use crate::table::{RoutingTable, TableBuilder};

impl RoutingTable {
    /// The table of a view, reusing what `earlier` shares with it. Costs time in proportion to
    /// the fleet: call it when the view changes, not for a packet.
    #[must_use]
    pub fn from_view(view: &FleetView, earlier: &Self) -> Self {
        let mut builder = TableBuilder::new(view.revision(), earlier);
        let mut named = HashSet::with_capacity(view.text().services.len());
        for entry in &view.text().services {
            named.insert(entry.name.id());
            let service = entry.name.id();
            let addresses = entry.addresses.iter().map(|address| address.address);
            builder = builder.with_service(service, addresses, &targets_of(view.targets(service)));
            builder = builder.with_name(&entry.name);
        }
        // Services that the text names no longer, or not yet, still have agents that can reset
        // or hold flows.
        for service in view.services().filter(|service| !named.contains(service)) {
            builder = builder.with_service(service, [], &targets_of(view.targets(service)));
        }
        builder.build()
    }
}

fn targets_of(targets: &[ViewTarget]) -> Vec<RingTarget> {
    let ring_target = |target: &ViewTarget| RingTarget {
        agent: target.agent,
        slots: target.slots,
        standing: target.standing,
    };
    targets.iter().map(ring_target).collect()
}
