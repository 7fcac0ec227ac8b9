//! What the packet path looks up: routes by address, targets by service.
//!
//! A view is replaced, never changed. The builder remembers what a catalog alone cannot tell:
//! targets that vanished and services that a route left, where flows may still live.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_catalog::{Catalog, PublishedRoute, PublishedTarget};
use lovagelatch_domain::{AgentAddress, ConfigRevision, Moment, ServiceId, ServiceName, ZoneName};
use smallvec::SmallVec;

use crate::packet::FlowKey;
use crate::ring::{FlowStanding, FlowTarget, ServiceTargets, TargetKey};

/// How long a target whose entry vanished while the store was in trouble may still be given new
/// flows. Live targets are listed again within about two seconds of the store's return.
const LAPSE_SPAN: Duration = Duration::from_millis(2_000);

/// How long after the store's last trouble a vanished entry is taken for a lapse: a target's
/// entry ends three heartbeats (3.6 s) after its last write, and a live one is back 2 s after the
/// store is.
const TROUBLE_SPAN: Duration = Duration::from_secs(6);

/// What a view depends on besides the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewSettings {
    /// This process's zone.
    pub zone: ZoneName,
    /// The port that agents listen on for frames, the same on all instances.
    pub agent_port: u16,
    /// The longest that a flow lives, and so the longest that anything of it is remembered.
    pub flow_lifetime: Duration,
}

/// A route and the services its flows may be at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlowRoute {
    /// The route's name, for logs.
    pub name: String,
    /// Whether its requests may be run again.
    pub idempotent: bool,
    /// Where new flows go, with weights. Invariant: no weight is 0.
    pub shares: SmallVec<[(ServiceId, u32); 2]>,
    /// Services it sent flows to within a flow's lifetime, with the end of that.
    pub former: SmallVec<[(ServiceId, Moment); 2]>,
}

impl FlowRoute {
    /// The service for a new flow, by the route's weights; the same in every process.
    #[must_use]
    pub fn service_for(&self, point: u64) -> Option<ServiceId> {
        let total: u64 = self
            .shares
            .iter()
            .map(|&(_, weight)| u64::from(weight))
            .sum();
        if total == 0 {
            return None;
        }
        // The high half: the low one decides the place on the ring.
        let mut left = (point >> 32) % total;
        for &(service, weight) in &self.shares {
            match left.checked_sub(u64::from(weight)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// Routes and targets for the packet path.
#[derive(Clone, Debug, Default)]
pub struct FlowView {
    /// The operator's number for the configuration in force.
    pub version: ConfigRevision,
    /// How long a flow may be silent before it may be forgotten.
    pub idle_timeout: Duration,
    /// Whether every living target is in it: the store has had no trouble for long enough. Only
    /// then is a flow that nobody holds known to be lost.
    pub complete: bool,
    routes: HashMap<SocketAddrV4, FlowRoute>,
    services: HashMap<ServiceId, Arc<ServiceTargets>>,
    names: HashMap<ServiceId, ServiceName>,
}

impl FlowView {
    /// Whether a configuration is known at all: before, no address can be said to have no route.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > ConfigRevision::default()
    }

    /// The route of a flow.
    #[must_use]
    pub fn route(&self, flow: &FlowKey) -> Option<&FlowRoute> {
        self.routes.get(&flow.service_address)
    }

    /// The targets of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceTargets> {
        self.services.get(&service).map(Arc::as_ref)
    }

    /// All services that have targets, in the order of their numbers.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        services
    }

    /// Whether the store lists a target beside an agent.
    #[must_use]
    pub fn lists_agent(&self, agent: AgentAddress) -> bool {
        let mut targets = self.services.values().flat_map(|service| service.targets());
        targets.any(|target| target.agent == agent && target.listed)
    }

    /// Agents all of whose targets vanished from the store and have this standing.
    #[must_use]
    pub fn unlisted_agents(&self, standing: FlowStanding) -> Vec<AgentAddress> {
        let targets = || self.services.values().flat_map(|service| service.targets());
        let listed: HashSet<_> = targets()
            .filter(|target| target.listed || target.standing != standing)
            .map(|target| target.agent)
            .collect();
        let agents = targets().map(|target| target.agent);
        agents.filter(|agent| !listed.contains(agent)).collect()
    }

    /// A service's name, for logs.
    #[must_use]
    pub fn service_name(&self, service: ServiceId) -> &str {
        self.names.get(&service).map_or("", ServiceName::as_str)
    }

    /// How many routes and targets there are.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let targets = self
            .services
            .values()
            .map(|service| service.targets().len());
        (self.routes.len(), targets.sum())
    }
}

#[derive(Clone, Debug)]
struct Remembered {
    target: FlowTarget,
    /// When its entry vanished; `None` while it is listed.
    vanished: Option<Moment>,
}

/// Makes views from catalogs.
#[derive(Clone, Debug)]
pub struct FlowViewBuilder {
    settings: ViewSettings,
    targets: HashMap<TargetKey, Remembered>,
    names: HashMap<ServiceId, ServiceName>,
    former: HashMap<SocketAddrV4, SmallVec<[(ServiceId, Moment); 2]>>,
    current: HashMap<SocketAddrV4, SmallVec<[(ServiceId, u32); 2]>>,
    /// When the store was last known to be in trouble.
    trouble: Option<Moment>,
    /// Whether trouble from before this process's start would be known.
    informed: bool,
    catalog: Catalog,
}

impl FlowViewBuilder {
    /// A builder that remembers nothing.
    #[must_use]
    pub fn new(settings: ViewSettings) -> Self {
        Self {
            settings,
            targets: HashMap::new(),
            names: HashMap::new(),
            former: HashMap::new(),
            current: HashMap::new(),
            trouble: None,
            informed: true,
            catalog: Catalog::default(),
        }
    }

    /// Notes that the store had trouble at `at`: an entry that vanishes proves nothing.
    pub fn note_trouble(&mut self, at: Moment) {
        self.trouble = Some(self.trouble.map_or(at, |known| known.max(at)));
    }

    /// Notes whether trouble that the store had before this process started would be known.
    pub fn set_informed(&mut self, informed: bool) {
        self.informed = informed;
    }

    /// Takes a catalog.
    pub fn take(&mut self, catalog: Catalog, now: Moment) {
        self.take_targets(&catalog.targets, now);
        self.take_routes(&catalog.routes, now);
        self.catalog = catalog;
    }

    /// When the first lapse that is under way ends.
    #[must_use]
    pub fn next_lapse_end(&self) -> Option<Moment> {
        let lapsed = self
            .targets
            .values()
            .filter(|held| held.target.standing == FlowStanding::Lapsed);
        lapsed.map(|held| held.target.since + LAPSE_SPAN).min()
    }

    /// Whether every living target is known: the store has had no trouble for long enough.
    #[must_use]
    pub fn is_complete(&self, now: Moment) -> bool {
        let calm = self.trouble.is_none_or(|at| now.since(at) >= TROUBLE_SPAN);
        calm && self.informed
    }

    /// The view now.
    pub fn build(&mut self, now: Moment) -> FlowView {
        self.forget(now);
        let mut services: HashMap<ServiceId, Vec<FlowTarget>> = HashMap::new();
        for held in self.targets.values() {
            services
                .entry(held.target.service)
                .or_default()
                .push(held.target);
        }
        let rings = services.into_iter();
        let rings =
            rings.map(|(service, targets)| (service, Arc::new(ServiceTargets::new(targets))));
        FlowView {
            version: self.catalog.version,
            idle_timeout: self.catalog.idle_timeout,
            complete: self.is_complete(now),
            routes: self.routes(),
            services: rings.collect(),
            names: self.names.clone(),
        }
    }

    fn routes(&self) -> HashMap<SocketAddrV4, FlowRoute> {
        let routes = self.catalog.routes.iter().map(|route| {
            let former = self.former.get(&route.address).cloned().unwrap_or_default();
            let shares = self
                .current
                .get(&route.address)
                .cloned()
                .unwrap_or_default();
            let name = route.name.clone();
            let idempotent = route.idempotent;
            (
                route.address,
                FlowRoute {
                    name,
                    idempotent,
                    shares,
                    former,
                },
            )
        });
        routes.collect()
    }

    fn take_targets(&mut self, rows: &[PublishedTarget], now: Moment) {
        let mut listed = Vec::with_capacity(rows.len());
        for row in rows {
            let key = TargetKey::from_name(&row.name.0);
            listed.push(key);
            let target = self.target_of(row, key, now);
            self.names.insert(target.service, row.service.clone());
            let vanished = None;
            self.targets.insert(key, Remembered { target, vanished });
        }
        listed.sort_unstable();
        let doubtful = self.trouble.is_some_and(|at| now.since(at) < TROUBLE_SPAN);
        for (key, held) in &mut self.targets {
            if held.vanished.is_some() || listed.binary_search(key).is_ok() {
                continue;
            }
            held.vanished = Some(now);
            held.target.listed = false;
            let lapses = doubtful && held.target.standing == FlowStanding::Serving;
            held.target.standing = if lapses {
                FlowStanding::Lapsed
            } else {
                FlowStanding::Leaving
            };
            held.target.since = now;
        }
    }

    fn target_of(&self, row: &PublishedTarget, key: TargetKey, now: Moment) -> FlowTarget {
        let standing = if row.leaving {
            FlowStanding::Leaving
        } else {
            FlowStanding::Serving
        };
        let before = self.targets.get(&key).map(|held| &held.target);
        let since = match before {
            Some(held) if held.standing == standing => held.since,
            _ => now,
        };
        FlowTarget {
            key,
            agent: AgentAddress(SocketAddrV4::new(
                *row.address.ip(),
                self.settings.agent_port,
            )),
            service: row.service.id(),
            listed: true,
            near: row.zone == self.settings.zone,
            slots: row.slots.max(1),
            standing,
            since,
            warm_at: now + row.warming,
        }
    }

    fn take_routes(&mut self, routes: &[PublishedRoute], now: Moment) {
        let mut next = HashMap::with_capacity(routes.len());
        for route in routes {
            let weighted = route.shares.iter().filter(|share| share.weight > 0);
            let shares: SmallVec<[(ServiceId, u32); 2]> = weighted
                .map(|share| (share.service.id(), share.weight))
                .collect();
            for share in &route.shares {
                self.names.insert(share.service.id(), share.service.clone());
            }
            next.insert(route.address, shares);
        }
        let until = now + self.settings.flow_lifetime;
        for (address, shares) in &self.current {
            let after = next.get(address);
            let left = shares.iter().filter(|(service, _)| {
                after.is_none_or(|after| after.iter().all(|(kept, _)| kept != service))
            });
            for &(service, _) in left {
                let former = self.former.entry(*address).or_default();
                former.retain(|(held, _)| *held != service);
                former.push((service, until));
            }
        }
        self.current = next;
    }

    fn forget(&mut self, now: Moment) {
        let lifetime = self.settings.flow_lifetime;
        for held in self.targets.values_mut() {
            let lapsed = held.target.standing == FlowStanding::Lapsed;
            if lapsed && now.since(held.target.since) >= LAPSE_SPAN {
                held.target.standing = FlowStanding::Leaving;
            }
        }
        self.targets
            .retain(|_, held| held.vanished.is_none_or(|at| now.since(at) < lifetime));
        self.former.retain(|_, services| {
            services.retain(|(_, until)| now < *until);
            !services.is_empty()
        });
    }
}
