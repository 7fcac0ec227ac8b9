//! The changes between two service texts, with their effects on callers and their risks.
//!
//! A plan depends only on the two texts, so it is the same on an operator's phone, in a check
//! before a merge and on any instance.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;

use lovagelatch_domain::{AgencyName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::text::{OnceRoute, ServiceAddress, ServiceEntry, ServiceText};

/// A change between two texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlanChange {
    /// The new text adds a service.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// The new text no longer has a service.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// The new text adds an address.
    AddressAdded {
        /// The service that the address belongs to.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// The new text no longer has an address.
    AddressRemoved {
        /// The service that the address belonged to.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// An address moves to another service.
    AddressMoved {
        /// The address.
        address: SocketAddrV4,
        /// The service before.
        from: ServiceName,
        /// The service after.
        to: ServiceName,
    },
    /// An address changes its agency, gains one or loses it.
    AgencyChanged {
        /// The address.
        address: SocketAddrV4,
        /// The agency before.
        from: Option<AgencyName>,
        /// The agency after.
        to: Option<AgencyName>,
    },
    /// A service may call another one.
    DependencyAdded {
        /// The service.
        service: ServiceName,
        /// The service that it may call.
        dependency: ServiceName,
    },
    /// A service may no longer call another one.
    DependencyRemoved {
        /// The service.
        service: ServiceName,
        /// The service that it could call.
        dependency: ServiceName,
    },
    /// A route becomes once-only.
    OnceAdded {
        /// The service.
        service: ServiceName,
        /// The route.
        route: OnceRoute,
    },
    /// A route is no longer once-only.
    OnceRemoved {
        /// The service.
        service: ServiceName,
        /// The route.
        route: OnceRoute,
    },
}

/// The risk of a change for callers, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanRisk {
    /// Existing callers are not affected.
    None,
    /// The treatment of some callers changes.
    Notice,
    /// Some callers lose access or a guarantee.
    High,
}

impl PlanChange {
    /// Returns the risk of the change.
    #[must_use]
    pub fn risk(&self) -> PlanRisk {
        match self {
            Self::ServiceAdded { .. }
            | Self::AddressAdded { .. }
            | Self::DependencyAdded { .. } => PlanRisk::None,
            Self::AgencyChanged { .. } | Self::OnceAdded { .. } => PlanRisk::Notice,
            Self::ServiceRemoved { .. }
            | Self::AddressRemoved { .. }
            | Self::AddressMoved { .. }
            | Self::DependencyRemoved { .. }
            | Self::OnceRemoved { .. } => PlanRisk::High,
        }
    }

    /// Describes the effect on callers, as text for operators.
    #[must_use]
    pub fn effect(&self) -> &'static str {
        match self {
            Self::ServiceAdded { .. } => "callers can reach it once its targets are listed",
            Self::ServiceRemoved { .. } => {
                "new flows are refused; open flows stay on their targets until they end"
            }
            Self::AddressAdded { .. } => "new flows to it are accepted",
            Self::AddressRemoved { .. } => {
                "new flows to it are refused; open flows continue until they end"
            }
            Self::AddressMoved { .. } => {
                "new flows go to the new service; open flows stay with the old one until they end"
            }
            Self::AgencyChanged { .. } => "new flows count against the other agency's share",
            Self::DependencyAdded { .. } => "its backend servers may call it",
            Self::DependencyRemoved { .. } => "its backend servers' calls to it are refused",
            Self::OnceAdded { .. } => "requests without a ticket are answered with status 428",
            Self::OnceRemoved { .. } => "requests to it may run twice when callers retry",
        }
    }
}

impl fmt::Display for PlanChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceAdded { service } => write!(formatter, "add service {service}"),
            Self::ServiceRemoved { service } => write!(formatter, "remove service {service}"),
            Self::AddressAdded { service, address } => {
                write!(formatter, "add address {address} to {service}")
            }
            Self::AddressRemoved { service, address } => {
                write!(formatter, "remove address {address} from {service}")
            }
            Self::AddressMoved { address, from, to } => {
                write!(formatter, "move address {address} from {from} to {to}")
            }
            Self::AgencyChanged { address, from, to } => {
                let [from, to] = [from, to].map(|agency| {
                    agency
                        .as_ref()
                        .map_or("no agency", AgencyName::as_str)
                        .to_owned()
                });
                write!(
                    formatter,
                    "change agency of address {address} from {from} to {to}"
                )
            }
            Self::DependencyAdded {
                service,
                dependency,
            } => {
                write!(formatter, "{service} depends on {dependency}")
            }
            Self::DependencyRemoved {
                service,
                dependency,
            } => {
                write!(formatter, "{service} no longer depends on {dependency}")
            }
            Self::OnceAdded { service, route } => {
                write!(
                    formatter,
                    "{service}: {} {} runs at most once",
                    route.method, route.path
                )
            }
            Self::OnceRemoved { service, route } => write!(
                formatter,
                "{service}: {} {} no longer runs at most once",
                route.method, route.path
            ),
        }
    }
}

/// All changes between two texts, in the order in which they take effect for a caller. The order is
/// that of their risk: additions, then changed treatment, then moves and removals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPlan {
    /// The changes; those of equal risk are in the order of the texts.
    pub changes: Vec<PlanChange>,
}

impl TextPlan {
    /// Computes the changes that lead from `old` to `new`.
    #[must_use]
    pub fn between(old: &ServiceText, new: &ServiceText) -> Self {
        let (old, new) = (TextIndex::new(old), TextIndex::new(new));
        let mut plan = Self::default();
        for entry in &new.text.services {
            match old.services.get(&entry.name) {
                Some(before) => plan.compare_service(before, entry),
                None => plan.changes.push(PlanChange::ServiceAdded {
                    service: entry.name.clone(),
                }),
            }
            plan.compare_addresses(&old, entry);
        }
        for entry in &old.text.services {
            if !new.services.contains_key(&entry.name) {
                plan.changes.push(PlanChange::ServiceRemoved {
                    service: entry.name.clone(),
                });
            }
            plan.compare_removed_addresses(entry, &new);
        }
        plan.changes.sort_by_key(PlanChange::risk);
        plan
    }

    /// Returns whether the texts are equivalent; comments and the order of lines do not matter.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the highest risk among the changes.
    #[must_use]
    pub fn risk(&self) -> PlanRisk {
        self.changes
            .iter()
            .map(PlanChange::risk)
            .max()
            .unwrap_or(PlanRisk::None)
    }

    fn compare_service(&mut self, old: &ServiceEntry, new: &ServiceEntry) {
        let service = &new.name;
        for dependency in new
            .depends
            .iter()
            .filter(|name| !old.depends.contains(name))
        {
            self.changes.push(PlanChange::DependencyAdded {
                service: service.clone(),
                dependency: dependency.clone(),
            });
        }
        for dependency in old
            .depends
            .iter()
            .filter(|name| !new.depends.contains(name))
        {
            self.changes.push(PlanChange::DependencyRemoved {
                service: service.clone(),
                dependency: dependency.clone(),
            });
        }
        for route in new.once.iter().filter(|route| !old.once.contains(route)) {
            let (service, route) = (service.clone(), route.clone());
            self.changes.push(PlanChange::OnceAdded { service, route });
        }
        for route in old.once.iter().filter(|route| !new.once.contains(route)) {
            let (service, route) = (service.clone(), route.clone());
            self.changes
                .push(PlanChange::OnceRemoved { service, route });
        }
    }

    fn compare_addresses(&mut self, old: &TextIndex<'_>, entry: &ServiceEntry) {
        for current in &entry.addresses {
            let address = current.address;
            let Some((before, old_address)) = old.addresses.get(&address) else {
                let service = entry.name.clone();
                self.changes
                    .push(PlanChange::AddressAdded { service, address });
                continue;
            };
            if before.name != entry.name {
                let (from, to) = (before.name.clone(), entry.name.clone());
                self.changes
                    .push(PlanChange::AddressMoved { address, from, to });
            }
            if old_address.agency != current.agency {
                let (from, to) = (old_address.agency.clone(), current.agency.clone());
                self.changes
                    .push(PlanChange::AgencyChanged { address, from, to });
            }
        }
    }

    fn compare_removed_addresses(&mut self, entry: &ServiceEntry, new: &TextIndex<'_>) {
        for old in &entry.addresses {
            if !new.addresses.contains_key(&old.address) {
                let (service, address) = (entry.name.clone(), old.address);
                self.changes
                    .push(PlanChange::AddressRemoved { service, address });
            }
        }
    }
}

/// A text with its services and addresses indexed by key, so that texts of 28,000 addresses are
/// compared in linear time.
struct TextIndex<'a> {
    text: &'a ServiceText,
    services: HashMap<&'a ServiceName, &'a ServiceEntry>,
    addresses: HashMap<SocketAddrV4, (&'a ServiceEntry, &'a ServiceAddress)>,
}

impl<'a> TextIndex<'a> {
    fn new(text: &'a ServiceText) -> Self {
        let services = text
            .services
            .iter()
            .map(|entry| (&entry.name, entry))
            .collect();
        let addresses = text
            .services
            .iter()
            .flat_map(|entry| entry.addresses.iter().map(move |address| (entry, address)))
            .map(|(entry, address)| (address.address, (entry, address)))
            .collect();
        Self {
            text,
            services,
            addresses,
        }
    }
}
