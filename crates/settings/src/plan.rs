//! What a new text changes for callers, and what is risky about it.
//!
//! The plan is worked out from the two texts alone, so it is the same on an operator's phone,
//! in a check before a merge and on any instance.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;

use lovagelatch_domain::{AgencyName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::text::{OnceRoute, ServiceAddress, ServiceEntry, ServiceText};

/// One change between two texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlanChange {
    /// A service is new.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// A service is gone.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// An address is new.
    AddressAdded {
        /// The service it leads to.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// An address is gone.
    AddressRemoved {
        /// The service it led to.
        service: ServiceName,
        /// The address.
        address: SocketAddrV4,
    },
    /// An address leads to another service.
    AddressMoved {
        /// The address.
        address: SocketAddrV4,
        /// The service it led to.
        from: ServiceName,
        /// The service it leads to.
        to: ServiceName,
    },
    /// An address belongs to another agency, or to none.
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
        /// What it may call.
        dependency: ServiceName,
    },
    /// A service may no longer call another one.
    DependencyRemoved {
        /// The service.
        service: ServiceName,
        /// What it could call.
        dependency: ServiceName,
    },
    /// A route is once-only from now on.
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

/// How much care a change asks for, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanRisk {
    /// Callers notice nothing, or only something new.
    None,
    /// Some callers are treated differently.
    Notice,
    /// Some callers lose something.
    High,
}

impl PlanChange {
    /// How much care it asks for.
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

    /// What happens to callers, for an operator.
    #[must_use]
    pub fn effect(&self) -> &'static str {
        match self {
            Self::ServiceAdded { .. } => "callers can reach it once its targets are listed",
            Self::ServiceRemoved { .. } => {
                "new flows are refused; open flows stay on their targets until they end"
            }
            Self::AddressAdded { .. } => "new flows to it are accepted",
            Self::AddressRemoved { .. } => {
                "new flows to it are refused; open flows stay until they end"
            }
            Self::AddressMoved { .. } => {
                "new flows go to the other service; open flows stay with the old one until they end"
            }
            Self::AgencyChanged { .. } => "new flows count against the other agency's share",
            Self::DependencyAdded { .. } => "its backend servers may call it",
            Self::DependencyRemoved { .. } => "its backend servers' calls to it are refused",
            Self::OnceAdded { .. } => "requests without a ticket are answered 428 from now on",
            Self::OnceRemoved { .. } => "requests on it may run twice when callers retry",
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
                write!(formatter, "address {address} passes from {from} to {to}")
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

/// All changes between two texts, in the order in which they take effect for a caller:
/// what is added first, then what is moved, then what is taken away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPlan {
    /// The changes.
    pub changes: Vec<PlanChange>,
}

impl TextPlan {
    /// Compares two texts.
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
            plan.find_removed_addresses(entry, &new);
        }
        plan.changes.sort_by_key(PlanChange::risk);
        plan
    }

    /// Whether the texts mean the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The greatest risk among the changes.
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

    fn find_removed_addresses(&mut self, entry: &ServiceEntry, new: &TextIndex<'_>) {
        for old in &entry.addresses {
            if !new.addresses.contains_key(&old.address) {
                let (service, address) = (entry.name.clone(), old.address);
                self.changes
                    .push(PlanChange::AddressRemoved { service, address });
            }
        }
    }
}

/// A text with its services and addresses by key, so that two texts of 28,000 addresses are
/// compared in one pass.
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
