//! Makes views from catalogs, and remembers what a catalog alone cannot tell: targets that vanished
//! and services that a route left, where flows may still live.
//!
//! A change of the catalog changes the ring of its service and the address of its route; all others
//! are shared with the views before.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_catalog::{
    Catalog, CatalogChanges, PublishedRoute, PublishedTarget, TargetName, TargetRow, WarmupRule,
};
use lovagelatch_domain::{AgentAddress, Moment, RegionName, ServiceId, ServiceName, ZoneName};
use smallvec::SmallVec;

use super::doubt::{DoubtRecord, UNREADABLE_SPAN, ViewCoverage};
use super::regions::{RegionList, RegionMap, RouteHomes};
use super::zones::{ZoneIndex, ZoneNames};
use super::{FlowRoute, FlowView, RouteMap, ServiceMap};
use crate::ring::{FlowStanding, FlowTarget, NameKey, ServiceTargets, TargetKey};

/// What a view depends on besides the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewSettings {
    /// This process's zone.
    pub zone: ZoneName,
    /// The region of each zone.
    pub regions: Vec<(ZoneName, RegionName)>,
    /// The port that agents listen on for frames, the same on all instances.
    pub agent_port: u16,
    /// The longest that a flow lives, and so the longest that anything of it is remembered.
    pub flow_lifetime: Duration,
}

/// Services with the end of the time for which they are remembered.
type FormerServices = Vec<(ServiceId, Moment)>;

/// A target that the store lists no more.
#[derive(Clone, Copy, Debug)]
struct VanishedTarget {
    key: TargetKey,
    service: ServiceId,
    at: Moment,
}

/// What happened to a target of a service.
enum TargetEdit {
    /// The store lists it.
    Listed(FlowTarget),
    /// The store lists it no more.
    Vanished(TargetKey),
    /// Its entry cannot be read: it may live, but is no target to use.
    Unreadable(TargetKey),
    /// It belongs to another service now, or is forgotten.
    Removed(TargetKey),
    /// Its lapse is over.
    Gone(TargetKey),
}

/// The edits of each service.
type ServiceEdits = HashMap<ServiceId, Vec<TargetEdit>>;

/// Makes views from catalogs.
#[derive(Clone, Debug)]
pub struct FlowViewBuilder {
    settings: ViewSettings,
    /// What the next view is made of; its parts are shared with the views made so far.
    view: FlowView,
    /// Invariant: the targets of the view that are not listed.
    vanished: HashMap<NameKey, VanishedTarget>,
    former: HashMap<SocketAddrV4, FormerServices>,
    /// The services that the configuration names and sends no route's flows to.
    unrouted: Arc<Vec<ServiceName>>,
    zones: ZoneNames,
    regions: RegionMap,
    /// Zones that targets name and the settings give no region, since they were last taken.
    without_region: Vec<ZoneName>,
    doubts: DoubtRecord,
}

impl FlowViewBuilder {
    /// A builder that remembers nothing.
    #[must_use]
    pub fn new(settings: ViewSettings) -> Self {
        let zone = settings.zone.clone();
        let mut builder = Self {
            regions: RegionMap::new(&settings.regions),
            settings,
            view: FlowView::default(),
            zones: ZoneNames::default(),
            without_region: Vec::new(),
            vanished: HashMap::new(),
            former: HashMap::new(),
            unrouted: Arc::default(),
            doubts: DoubtRecord::new(),
        };
        builder.view.zones.own = builder.zone_index(&zone);
        builder
    }

    /// The number of a zone, whose region is noted with it.
    fn zone_index(&mut self, zone: &ZoneName) -> ZoneIndex {
        let index = self.zones.index_of(zone);
        let at = usize::from(index.0);
        if at >= self.view.zones.regions.len() {
            let region = self.regions.region_of(zone);
            if region.is_none() && !self.settings.regions.is_empty() {
                self.without_region.push(zone.clone());
            }
            let regions = Arc::make_mut(&mut self.view.zones.regions);
            regions.resize(at + 1, None);
            regions[at] = region;
        }
        index
    }

    /// Notes that the store had trouble at `at`: an entry that vanishes proves nothing.
    pub fn note_trouble(&mut self, at: Moment) {
        self.doubts.note_trouble(at);
    }

    /// Notes when the store first answered after its last trouble; `None` while it has not.
    pub fn set_returned(&mut self, returned: Option<Moment>) {
        self.doubts.set_returned(returned);
    }

    /// Notes whether trouble that the store had before this process started would be known.
    pub fn set_informed(&mut self, informed: bool) {
        self.doubts.set_informed(informed);
    }

    /// Notes when the store was asked for the evacuated zones of the next catalog.
    pub fn set_zones_since(&mut self, since: Moment) {
        self.view.zones.since = since;
    }

    /// Sets whether this process would hear of an evacuation.
    pub fn set_cut_off(&mut self, cut_off: bool) {
        self.view.zones.cut_off = cut_off;
    }

    /// Whether it would not.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.view.zones.cut_off
    }

    /// The zones that were first named since the last call and have no region by the settings: their targets
    /// get no flows of routes that are bound to regions.
    pub fn take_without_region(&mut self) -> Vec<ZoneName> {
        std::mem::take(&mut self.without_region)
    }

    /// Takes a catalog, with what changed since the last one that was taken.
    pub fn take_changes(&mut self, catalog: &Catalog, changes: &CatalogChanges, now: Moment) {
        let CatalogChanges::Rows { targets, routes } = changes else {
            return self.take(catalog, now);
        };
        let mut edits = ServiceEdits::new();
        for change in targets {
            let old = change.old.as_ref().and_then(TargetRow::target);
            match &change.new {
                Some(TargetRow::Published(row)) => {
                    // Its former start is gone, and its flows with it.
                    let replaced =
                        old.filter(|old| old.service != row.service || key_of(old) != key_of(row));
                    if let Some(old) = replaced {
                        let edit = TargetEdit::Removed(key_of(old));
                        push(&mut edits, old.service.id(), edit);
                    }
                    self.list_target(row, &mut edits, now);
                }
                Some(TargetRow::Unreadable(name)) => {
                    if let Some(old) = old {
                        let edit = TargetEdit::Unreadable(key_of(old));
                        push(&mut edits, old.service.id(), edit);
                    }
                    self.note_unreadable(name, now);
                }
                None => {
                    if let Some(old) = old {
                        let edit = TargetEdit::Vanished(key_of(old));
                        push(&mut edits, old.service.id(), edit);
                    }
                    if let Some(row) = &change.old {
                        self.doubts.forget_unreadable(NameKey::of(&row.name().0));
                    }
                }
            }
        }
        self.edit_targets(edits, now);
        for change in routes {
            let address = change.new.as_ref().or(change.old.as_ref());
            if let Some(address) = address.map(|route| route.address) {
                self.set_route(address, change.new.as_ref(), now);
            }
        }
        self.take_head(catalog, now);
    }

    /// Takes a whole catalog.
    pub fn take(&mut self, catalog: &Catalog, now: Moment) {
        self.take_targets(&catalog.targets, now);
        self.take_routes(&catalog.routes, now);
        self.take_head(catalog, now);
    }

    /// Takes what the catalog says besides routes and targets.
    fn take_head(&mut self, catalog: &Catalog, now: Moment) {
        if self.view.zones.revision != catalog.zones_revision {
            let zones = catalog.evacuated.iter();
            let zones = zones.map(|zone| self.zone_index(&zone.0)).collect();
            self.view.zones.take(catalog.zones_revision, zones, now);
        }
        let changed = self.view.version != catalog.version || self.unrouted != catalog.unrouted;
        self.view.version = catalog.version;
        self.view.idle_timeout = catalog.idle_timeout;
        if changed {
            self.unrouted = Arc::clone(&catalog.unrouted);
            self.view.named = Arc::new(self.named_services(catalog));
        }
    }

    /// The services that the configuration names, or named within a flow's lifetime.
    fn named_services(&self, catalog: &Catalog) -> HashSet<ServiceId> {
        let unrouted = catalog.unrouted.iter().map(ServiceName::id);
        let routed = self.view.routes.values().flat_map(|route| &route.shares);
        let former = self.former.values().flatten();
        let known = routed.map(|(service, _)| *service);
        let known = known.chain(former.map(|(service, _)| *service));
        unrouted.chain(known).collect()
    }

    /// When the first lapse that is under way ends, or an entry has been unreadable for so long that
    /// its target counts as gone.
    #[must_use]
    pub fn next_lapse_end(&self) -> Option<Moment> {
        let vanished = self.vanished.values();
        let targets = vanished.filter_map(|held| self.target(held.service, held.key));
        targets.filter_map(|target| self.doubt_end(target)).min()
    }

    /// When the passing of time next changes what a view says.
    #[must_use]
    pub fn next_change(&self, now: Moment) -> Option<Moment> {
        let coverage = self.doubts.next_change(now);
        let lapse = self.next_lapse_end().filter(|end| *end > now);
        coverage.into_iter().chain(lapse).min()
    }

    /// Until when a target may still turn out to live; `None` where that is not the question.
    fn doubt_end(&self, target: &FlowTarget) -> Option<Moment> {
        match target.standing {
            FlowStanding::Lapsed => Some(self.doubts.lapse_end(target.since)),
            FlowStanding::Unreadable => Some(target.since + UNREADABLE_SPAN),
            FlowStanding::Serving | FlowStanding::Leaving => None,
        }
    }

    /// Whether every living target is known.
    #[must_use]
    pub fn is_complete(&self, now: Moment) -> bool {
        self.coverage(now) == ViewCoverage::Complete
    }

    /// Whether every living target is known, and if not, why.
    #[must_use]
    pub fn coverage(&self, now: Moment) -> ViewCoverage {
        self.doubts.coverage(now)
    }

    fn note_unreadable(&mut self, name: &TargetName, now: Moment) {
        let name = NameKey::of(&name.0);
        let mut targets = self.view.rings().flat_map(ServiceTargets::targets);
        let is_placed = targets.any(|target| target.name == name);
        self.doubts.note_unreadable(name, is_placed, now);
    }

    /// The view now.
    pub fn build(&mut self, now: Moment) -> FlowView {
        self.forget(now);
        self.view.coverage = self.coverage(now);
        self.view.unlisted = self.unlisted();
        self.view.clone()
    }

    /// Targets that vanished beside agents that have no listed one.
    fn unlisted(&self) -> Vec<FlowTarget> {
        let vanished = self.vanished.values();
        let targets = vanished.filter_map(|held| self.target(held.service, held.key));
        let mut unlisted: Vec<FlowTarget> = targets.copied().collect();
        if unlisted.is_empty() {
            return unlisted;
        }
        unlisted.sort_unstable_by_key(|target| target.agent);
        let agents: Vec<AgentAddress> = unlisted.iter().map(|target| target.agent).collect();
        let listed: Vec<AgentAddress> = self
            .view
            .rings()
            .flat_map(ServiceTargets::targets)
            .filter(|target| target.listed && agents.binary_search(&target.agent).is_ok())
            .map(|target| target.agent)
            .collect();
        unlisted.retain(|target| !listed.contains(&target.agent));
        unlisted
    }

    fn target(&self, service: ServiceId, key: TargetKey) -> Option<&FlowTarget> {
        self.view.services.get(&service)?.target(key)
    }

    fn take_targets(&mut self, rows: &[TargetRow], now: Moment) {
        let mut edits = ServiceEdits::new();
        let mut listed = Vec::with_capacity(rows.len());
        let mut unreadable = Vec::new();
        for row in rows {
            match row {
                TargetRow::Published(row) => {
                    listed.push(self.list_target(row, &mut edits, now));
                }
                TargetRow::Unreadable(name) => unreadable.push(name),
            }
        }
        listed.sort_unstable();
        let strange: HashSet<NameKey> =
            unreadable.iter().map(|name| NameKey::of(&name.0)).collect();
        self.doubts.retain_unreadable(&strange);
        for name in unreadable {
            self.note_unreadable(name, now);
        }
        for target in self.view.rings().flat_map(ServiceTargets::targets) {
            let at = listed.binary_search_by_key(&target.name, |(name, ..)| *name);
            let edit = match at {
                Ok(at) if listed[at] == (target.name, target.key, target.service) => continue,
                // It moved, or this was a former start of it.
                Ok(_) => TargetEdit::Removed(target.key),
                Err(_) if !target.listed => continue,
                Err(_) if strange.contains(&target.name) => TargetEdit::Unreadable(target.key),
                Err(_) => TargetEdit::Vanished(target.key),
            };
            push(&mut edits, target.service, edit);
        }
        self.edit_targets(edits, now);
    }

    fn list_target(
        &mut self,
        row: &PublishedTarget,
        edits: &mut ServiceEdits,
        now: Moment,
    ) -> (NameKey, TargetKey, ServiceId) {
        let target = self.target_of(row, now);
        self.doubts.forget_unreadable(target.name);
        if !self.view.names.contains_key(&target.service) {
            Arc::make_mut(&mut self.view.names).insert(target.service, row.service.clone());
        }
        let before = self.vanished.get(&target.name);
        let place = (target.key, target.service);
        if let Some(before) = before.filter(|before| (before.key, before.service) != place) {
            push(edits, before.service, TargetEdit::Removed(before.key));
        }
        push(edits, target.service, TargetEdit::Listed(target));
        (target.name, target.key, target.service)
    }

    fn target_of(&mut self, row: &PublishedTarget, now: Moment) -> FlowTarget {
        let (key, service) = (key_of(row), row.service.id());
        let standing = if row.leaving {
            FlowStanding::Leaving
        } else {
            FlowStanding::Serving
        };
        let zone = self.zone_index(&row.zone);
        let held = self.target(service, key);
        let since = match held {
            Some(held) if held.standing == standing => held.since,
            _ => now,
        };
        let warm_at = match held {
            // The same record may be taken again later; its warm-up has gone on meanwhile.
            Some(held) if held.warming_ms == row.warming_ms => held.warm_at,
            _ => now + Duration::from_millis(row.warming_ms.into()),
        };
        let agent = SocketAddrV4::new(*row.address.ip(), self.settings.agent_port);
        FlowTarget {
            key,
            name: NameKey::of(&row.name.0),
            agent: AgentAddress(agent),
            service,
            listed: true,
            zone,
            slots: row.slots.max(1),
            standing,
            since,
            warming_ms: row.warming_ms,
            warm_at,
        }
    }

    fn edit_targets(&mut self, edits: ServiceEdits, now: Moment) {
        if edits.is_empty() {
            return;
        }
        let doubtful = self.doubts.is_troubled(now);
        let services = Arc::make_mut(&mut self.view.services);
        for (service, edits) in edits {
            edit_service(services, service, edits, doubtful, &mut self.vanished, now);
        }
    }

    fn take_routes(&mut self, routes: &[PublishedRoute], now: Moment) {
        let mut gone: Vec<SocketAddrV4> = self.view.routes.keys().copied().collect();
        gone.sort_unstable();
        for route in routes {
            if let Ok(at) = gone.binary_search(&route.address) {
                gone.remove(at);
            }
            self.set_route(route.address, Some(route), now);
        }
        for address in gone {
            self.set_route(address, None, now);
        }
    }

    /// Sets or drops a route, and remembers the services that it leaves.
    fn set_route(&mut self, address: SocketAddrV4, route: Option<&PublishedRoute>, now: Moment) {
        let shares = route.map_or_else(SmallVec::new, |route| self.shares_of(route));
        let before = self.view.routes.get(&address);
        let left = before.into_iter().flat_map(|before| &before.shares);
        let left = left.filter(|(service, _)| shares.iter().all(|(kept, _)| kept != service));
        let until = now + self.settings.flow_lifetime;
        for &(service, _) in left {
            let former = self.former.entry(address).or_default();
            former.retain(|(held, _)| *held != service);
            former.push((service, until));
        }
        let homes = route.and_then(|route| self.homes_of(route, before.map(Arc::as_ref), now));
        let next = route.map(|route| FlowRoute {
            name: route.name.clone(),
            idempotent: route.idempotent,
            shares,
            former: self.former.get(&address).cloned().unwrap_or_default(),
            homes,
        });
        if before.map(Arc::as_ref) != next.as_ref() {
            replace_route(&mut self.view.routes, address, next);
        }
    }

    /// The regions that a route is bound to. Where they are others than before, or this process has just
    /// begun, flows may be elsewhere for as long as one lives.
    fn homes_of(
        &self,
        route: &PublishedRoute,
        before: Option<&FlowRoute>,
        now: Moment,
    ) -> Option<Box<RouteHomes>> {
        if route.homes.is_empty() {
            return None;
        }
        let allowed = self.regions.numbers(&route.homes);
        let settled = now + self.settings.flow_lifetime;
        let former = match before {
            // Nothing is known of before: a packet goes to no other region on a mere chance.
            None => Some(RegionList::new()),
            Some(before) => match &before.homes {
                Some(homes) if homes.allowed == allowed => return Some(homes.clone()),
                Some(homes) => homes.former.as_ref().map(|former| {
                    let mut all = homes.allowed.clone();
                    all.extend(former.iter().copied().filter(|_| now < homes.settled));
                    all
                }),
                None => None,
            },
        };
        Some(Box::new(RouteHomes {
            allowed,
            former,
            settled,
        }))
    }

    fn set_warmup(&mut self, service: ServiceId, rule: Option<WarmupRule>) {
        if self.view.warmups.get(&service) == rule.as_ref() {
            return;
        }
        let warmups = Arc::make_mut(&mut self.view.warmups);
        match rule {
            Some(rule) => warmups.insert(service, rule),
            None => warmups.remove(&service),
        };
    }

    fn shares_of(&mut self, route: &PublishedRoute) -> SmallVec<[(ServiceId, u32); 2]> {
        for share in &route.shares {
            let service = share.service.id();
            if !self.view.names.contains_key(&service) {
                Arc::make_mut(&mut self.view.names).insert(service, share.service.clone());
            }
            self.set_warmup(service, share.warmup);
        }
        let weighted = route.shares.iter().filter(|share| share.weight > 0);
        weighted
            .map(|share| (share.service.id(), share.weight))
            .collect()
    }

    fn forget(&mut self, now: Moment) {
        self.forget_targets(now);
        self.forget_former(now);
    }

    fn forget_targets(&mut self, now: Moment) {
        let mut edits = ServiceEdits::new();
        for held in self.vanished.values() {
            let key = held.key;
            let Some(target) = self.target(held.service, key) else {
                continue;
            };
            let over = self.doubt_end(target).is_some_and(|end| now >= end);
            if now.since(held.at) >= self.settings.flow_lifetime {
                push(&mut edits, held.service, TargetEdit::Removed(key));
            } else if over {
                push(&mut edits, held.service, TargetEdit::Gone(key));
            }
        }
        self.edit_targets(edits, now);
    }

    fn forget_former(&mut self, now: Moment) {
        let mut changed = Vec::new();
        self.former.retain(|address, services| {
            let before = services.len();
            services.retain(|(_, until)| now < *until);
            if services.len() < before {
                changed.push((*address, services.clone()));
            }
            !services.is_empty()
        });
        for (address, former) in changed {
            let Some(route) = self.view.routes.get(&address) else {
                continue;
            };
            let next = FlowRoute {
                former,
                ..FlowRoute::clone(route)
            };
            replace_route(&mut self.view.routes, address, Some(next));
        }
    }
}

fn key_of(row: &PublishedTarget) -> TargetKey {
    TargetKey::of(&row.name.0, row.start)
}

fn push(edits: &mut ServiceEdits, service: ServiceId, edit: TargetEdit) {
    edits.entry(service).or_default().push(edit);
}

fn replace_route(routes: &mut Arc<RouteMap>, address: SocketAddrV4, next: Option<FlowRoute>) {
    let routes = Arc::make_mut(routes);
    match next {
        Some(next) => routes.insert(address, Arc::new(next)),
        None => routes.remove(&address),
    };
}

/// Replaces the ring of a service by one with these edits.
fn edit_service(
    services: &mut ServiceMap,
    service: ServiceId,
    edits: Vec<TargetEdit>,
    doubtful: bool,
    vanished: &mut HashMap<NameKey, VanishedTarget>,
    now: Moment,
) {
    let held = services.get(&service);
    let mut targets: HashMap<TargetKey, FlowTarget> = held
        .into_iter()
        .flat_map(|ring| ring.targets())
        .map(|target| (target.key, *target))
        .collect();
    for edit in edits {
        match edit {
            TargetEdit::Listed(target) => {
                forget_vanished(vanished, &target);
                targets.insert(target.key, target);
            }
            TargetEdit::Vanished(key) | TargetEdit::Unreadable(key) => {
                let readable = matches!(edit, TargetEdit::Vanished(_));
                if let Some(target) = targets.get_mut(&key) {
                    let lapses = doubtful && target.standing == FlowStanding::Serving;
                    target.listed = false;
                    target.standing = match (readable, lapses) {
                        (false, _) => FlowStanding::Unreadable,
                        (true, true) => FlowStanding::Lapsed,
                        (true, false) => FlowStanding::Leaving,
                    };
                    target.since = now;
                    let at = now;
                    vanished.insert(target.name, VanishedTarget { key, service, at });
                }
            }
            TargetEdit::Gone(key) => {
                if let Some(target) = targets.get_mut(&key) {
                    target.standing = FlowStanding::Leaving;
                }
            }
            TargetEdit::Removed(key) => {
                if let Some(target) = targets.remove(&key) {
                    forget_vanished(vanished, &target);
                }
            }
        }
    }
    if targets.is_empty() {
        services.remove(&service);
    } else {
        let targets = targets.into_values().collect();
        services.insert(service, Arc::new(ServiceTargets::new(targets)));
    }
}

fn forget_vanished(vanished: &mut HashMap<NameKey, VanishedTarget>, target: &FlowTarget) {
    let held = vanished.get(&target.name);
    let place = (target.key, target.service);
    if held.is_some_and(|held| (held.key, held.service) == place) {
        vanished.remove(&target.name);
    }
}
