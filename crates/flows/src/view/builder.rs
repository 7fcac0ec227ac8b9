//! Builds views from catalogs. Also tracks what a catalog alone does not contain: removed targets
//! and the former services of routes, which may still hold flows.
//!
//! A catalog change rebuilds only the ring of the affected service and the affected route. All
//! other parts are shared with earlier views.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_catalog::{
    Catalog, CatalogChanges, PublishedRoute, PublishedTarget, RECOVERY_WINDOW, TargetName,
    TargetRow,
};
use lovagelatch_domain::{
    AgentAddress, Moment, RegionName, ServiceId, ServiceName, StorePosition, ZoneName,
};
use smallvec::SmallVec;

use super::coverage::{CoverageTracker, UNREADABLE_TIMEOUT, ViewCoverage};
use super::edits::{EditContext, ServiceEdits, TargetEdit, TrackedTargets, push};
use super::regions::{RegionList, RegionMap, RouteRegions};
use super::superseded::{ComparedAgents, SharedAddresses, SupersededTargets};
use super::zones::{ZoneIndex, ZoneNames};
use super::{FlowRoute, FlowView, RouteMap};
use crate::ring::{FlowStanding, FlowTarget, NameKey, ServiceTargets, TargetKey};

/// The settings that a view depends on besides the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewSettings {
    /// The zone of this process.
    pub zone: ZoneName,
    /// The region of each zone.
    pub regions: Vec<(ZoneName, RegionName)>,
    /// The port that agents receive frames on, the same on all instances.
    pub agent_port: u16,
    /// The maximum lifetime of a flow, and therefore how long former targets, services and regions
    /// are retained.
    pub flow_lifetime: Duration,
}

/// Above this number of edits, the targets of all agents are compared.
const MAX_COMPARED_EDITS: usize = 1_024;

/// Former services of a route, with the time when each expires.
type FormerServices = Vec<(ServiceId, Moment)>;

/// Evacuated zones that are not in force yet.
#[derive(Clone, Debug)]
struct PendingZones {
    revision: StorePosition,
    evacuated: SmallVec<[ZoneIndex; 4]>,
    /// When they come into force.
    due: Moment,
}

/// Builds views from catalogs and their changes.
#[derive(Clone, Debug)]
pub struct FlowViewBuilder {
    settings: ViewSettings,
    /// The next view. It shares its parts with the views built so far.
    view: FlowView,
    tracked: TrackedTargets,
    former: HashMap<SocketAddrV4, FormerServices>,
    shared: SharedAddresses,
    /// The services in the configuration that no route sends flows to.
    unrouted: Arc<Vec<ServiceName>>,
    /// The services that are in the configuration, or were within the last flow lifetime as far as
    /// this process knows.
    configured: HashSet<ServiceId>,
    zones: ZoneNames,
    /// The zones that the store lists after its return from a copy, if they would end an
    /// evacuation. The copy may be older than the order, which is then written again.
    pending_zones: Option<PendingZones>,
    regions: RegionMap,
    /// Zones of targets without a region in the settings, found since the last call of
    /// [`take_zones_without_region`](Self::take_zones_without_region).
    without_region: Vec<ZoneName>,
    coverage: CoverageTracker,
}

impl FlowViewBuilder {
    /// Creates a builder without a catalog.
    #[must_use]
    pub fn new(settings: ViewSettings) -> Self {
        let zone = settings.zone.clone();
        let mut builder = Self {
            regions: RegionMap::new(&settings.regions),
            settings,
            view: FlowView::default(),
            zones: ZoneNames::default(),
            pending_zones: None,
            without_region: Vec::new(),
            tracked: TrackedTargets::default(),
            former: HashMap::new(),
            shared: SharedAddresses::default(),
            unrouted: Arc::default(),
            configured: HashSet::new(),
            coverage: CoverageTracker::new(),
        };
        builder.view.verified_at = Moment::MAX;
        builder.view.zones.own_zone = builder.zone_index(&zone);
        builder
    }

    /// Returns the index of a zone and records the zone's region when the index is new.
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

    /// Records a store failure at `at`: an entry that vanishes around it does not prove that its
    /// target is gone.
    pub fn record_store_failure(&mut self, at: Moment) {
        self.coverage.record_store_failure(at);
    }

    /// Sets when the store first answered after its last failure; `None` while it has not.
    pub fn set_store_recovered_at(&mut self, recovered_at: Option<Moment>) {
        self.coverage.set_store_recovered_at(recovered_at);
    }

    /// Sets until when the list may be that of a copy from which the store has just been restored;
    /// `None` if the store was never restored.
    pub fn set_restore_possible_until(&mut self, until: Option<Moment>) {
        self.coverage.set_restore_possible_until(until);
    }

    /// Sets the moment at which the next catalog was last compared with the store: it contains
    /// every target that the store listed then. Without a call, catalogs count as current.
    pub fn set_verified_at(&mut self, verified_at: Moment) {
        self.view.verified_at = verified_at;
    }

    /// Returns the moment that [`set_verified_at`](Self::set_verified_at) set.
    #[must_use]
    pub fn verified_at(&self) -> Moment {
        self.view.verified_at
    }

    /// Sets whether this process would know of store failures before its start.
    pub fn set_informed(&mut self, informed: bool) {
        self.coverage.set_informed(informed);
    }

    /// Sets when the evacuated zones of the next catalog were read from the store.
    pub fn set_zones_read_at(&mut self, read_at: Moment) {
        self.view.zones.read_at = read_at;
    }

    /// Sets whether this process is cut off from the store and from all other balancers, so that it
    /// would not learn of an evacuation.
    pub fn set_cut_off(&mut self, cut_off: bool) {
        self.view.zones.cut_off = cut_off;
    }

    /// Returns whether this process is cut off, so that it would not learn of an evacuation.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.view.zones.cut_off
    }

    /// Returns the zones that were first seen since the last call and have no region in the
    /// settings. Their targets get no flows of routes that are restricted to regions.
    pub fn take_zones_without_region(&mut self) -> Vec<ZoneName> {
        std::mem::take(&mut self.without_region)
    }

    /// Returns the targets that others replaced at their addresses since the last call. They get no
    /// new flows, whatever their entries say.
    pub fn take_superseded(&mut self) -> Option<SupersededTargets> {
        self.shared.take_marked()
    }

    /// Applies a catalog, given the changes since the last one applied.
    pub fn apply_changes(&mut self, catalog: &Catalog, changes: &CatalogChanges, now: Moment) {
        let CatalogChanges::Rows { targets, routes } = changes else {
            return self.apply(catalog, now);
        };
        let mut edits = ServiceEdits::new();
        for change in targets {
            let old = change.old.as_ref().and_then(TargetRow::target);
            match &change.new {
                Some(TargetRow::Published(row)) => {
                    // The previous start of the target is gone, and its flows with it.
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
                    self.record_unreadable(name, now);
                }
                None => {
                    if let Some(old) = old {
                        let edit = TargetEdit::Unlisted(key_of(old));
                        push(&mut edits, old.service.id(), edit);
                    }
                    if let Some(row) = &change.old {
                        self.coverage.clear_unreadable(NameKey::of(&row.name().0));
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
        self.apply_head(catalog, now);
    }

    /// Applies a whole catalog.
    pub fn apply(&mut self, catalog: &Catalog, now: Moment) {
        self.apply_targets(&catalog.targets, now);
        self.apply_routes(&catalog.routes, now);
        self.apply_head(catalog, now);
    }

    /// Applies the parts of a catalog other than routes and targets.
    fn apply_head(&mut self, catalog: &Catalog, now: Moment) {
        let pending = self.pending_zones.as_ref().map(|zones| zones.revision);
        if pending.unwrap_or(self.view.zones.revision) != catalog.zones_revision {
            let zones = catalog.evacuated.iter();
            let zones = zones.map(|zone| self.zone_index(&zone.0)).collect();
            self.apply_zones(catalog.zones_revision, zones, now);
        }
        let changed = self.view.version != catalog.version || self.unrouted != catalog.unrouted;
        self.view.version = catalog.version;
        self.view.idle_timeout = catalog.idle_timeout;
        if changed {
            self.unrouted = Arc::clone(&catalog.unrouted);
            self.configured = self.configured_services(catalog);
            let services = self.view.services.keys().copied();
            let unconfigured = services.filter(|service| !self.configured.contains(service));
            let unconfigured: HashSet<ServiceId> = unconfigured.collect();
            if unconfigured != *self.view.unconfigured {
                self.view.unconfigured = Arc::new(unconfigured);
                self.mark_superseded(&ComparedAgents::All);
            }
        }
    }

    /// Records whether a service whose targets have changed is one that the configuration does not
    /// name.
    fn update_unconfigured(&mut self, service: ServiceId) {
        let has_targets = self.view.services.contains_key(&service);
        let is_unconfigured = has_targets && !self.configured.contains(&service);
        if is_unconfigured == self.view.unconfigured.contains(&service) {
            return;
        }
        let unconfigured = Arc::make_mut(&mut self.view.unconfigured);
        if is_unconfigured {
            unconfigured.insert(service);
        } else {
            unconfigured.remove(&service);
        }
    }

    fn apply_zones(
        &mut self,
        revision: StorePosition,
        evacuated: SmallVec<[ZoneIndex; 4]>,
        now: Moment,
    ) {
        let known = &self.view.zones;
        let ends_one = known.evacuated.iter().any(|zone| !evacuated.contains(zone));
        let due = match &self.pending_zones {
            Some(pending) => Some(pending.due),
            None if revision.era > known.revision.era => Some(now + RECOVERY_WINDOW),
            None => None,
        };
        self.pending_zones = match due.filter(|due| ends_one && now < *due) {
            Some(due) => Some(PendingZones {
                revision,
                evacuated,
                due,
            }),
            None => {
                self.view.zones.apply(revision, evacuated, now);
                None
            }
        };
    }

    /// Returns the services that are in the configuration, or were within the last flow lifetime.
    fn configured_services(&self, catalog: &Catalog) -> HashSet<ServiceId> {
        let unrouted = catalog.unrouted.iter().map(ServiceName::id);
        let routed = self.view.routes.values().flat_map(|route| &route.shares);
        let former = self.former.values().flatten();
        let known = routed.map(|(service, _)| *service);
        let known = known.chain(former.map(|(service, _)| *service));
        unrouted.chain(known).collect()
    }

    /// Returns when the next target with a lapsed or unreadable entry is presumed gone, the next
    /// address of a vanished target may get flows again, or the next evacuation ends that the store
    /// no longer lists.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Moment> {
        let pending = self.pending_zones.as_ref().map(|zones| zones.due);
        let withheld = &self.tracked.withheld;
        let withheld = withheld.next_expiry(|since| self.coverage.lapse_end(since));
        let target = self.next_target_expiry();
        [target, withheld, pending].into_iter().flatten().min()
    }

    fn next_target_expiry(&self) -> Option<Moment> {
        let unlisted = self.tracked.unlisted.values();
        let targets = unlisted.filter_map(|known| self.target(known.service, known.key));
        targets
            .filter_map(|target| self.presumed_gone_at(target))
            .min()
    }

    /// Returns when the view next changes by the passage of time alone.
    #[must_use]
    pub fn next_change(&self, now: Moment) -> Option<Moment> {
        let coverage = self.coverage.next_change(now);
        let expiry = self.next_expiry().filter(|at| *at > now);
        coverage.into_iter().chain(expiry).min()
    }

    /// Returns when a target with a lapsed or unreadable entry is presumed gone; `None` for other
    /// targets.
    fn presumed_gone_at(&self, target: &FlowTarget) -> Option<Moment> {
        match target.standing {
            FlowStanding::Lapsed => Some(self.coverage.lapse_end(target.standing_since)),
            FlowStanding::Unreadable => Some(target.standing_since + UNREADABLE_TIMEOUT),
            FlowStanding::Serving | FlowStanding::Leaving => None,
        }
    }

    /// Returns whether every live target is known.
    #[must_use]
    pub fn is_complete(&self, now: Moment) -> bool {
        self.coverage(now) == ViewCoverage::Complete
    }

    /// Returns whether every live target is known, and if not, why.
    #[must_use]
    pub fn coverage(&self, now: Moment) -> ViewCoverage {
        self.coverage.coverage(now)
    }

    fn record_unreadable(&mut self, name: &TargetName, now: Moment) {
        let name = NameKey::of(&name.0);
        let mut targets = self.view.rings().flat_map(ServiceTargets::targets);
        let is_located = targets.any(|target| target.name == name);
        self.coverage.record_unreadable(name, is_located, now);
    }

    /// Returns the view at `now`, after removing what has expired.
    pub fn build(&mut self, now: Moment) -> FlowView {
        self.expire(now);
        self.view.coverage = self.coverage(now);
        self.view.unlisted = self.targets_of_unlisted_agents();
        self.view.withheld = self.tracked.withheld.agents(now);
        self.view.clone()
    }

    /// Returns the unlisted targets beside agents without a listed target.
    fn targets_of_unlisted_agents(&self) -> Vec<FlowTarget> {
        let unlisted = self.tracked.unlisted.values();
        let targets = unlisted.filter_map(|known| self.target(known.service, known.key));
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

    fn apply_targets(&mut self, rows: &[TargetRow], now: Moment) {
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
        let unreadable_names: HashSet<NameKey> =
            unreadable.iter().map(|name| NameKey::of(&name.0)).collect();
        self.coverage.retain_unreadable(&unreadable_names);
        for name in unreadable {
            self.record_unreadable(name, now);
        }
        for target in self.view.rings().flat_map(ServiceTargets::targets) {
            let at = listed.binary_search_by_key(&target.name, |(name, ..)| *name);
            let edit = match at {
                Ok(at) if listed[at] == (target.name, target.key, target.service) => continue,
                // The target moved to another service, or this is a previous start of it.
                Ok(_) => TargetEdit::Removed(target.key),
                Err(_) if !target.listed => continue,
                Err(_) if unreadable_names.contains(&target.name) => {
                    TargetEdit::Unreadable(target.key)
                }
                Err(_) => TargetEdit::Unlisted(target.key),
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
        self.coverage.clear_unreadable(target.name);
        if !self.view.names.contains_key(&target.service) {
            Arc::make_mut(&mut self.view.names).insert(target.service, row.service.clone());
        }
        let before = self.tracked.unlisted.get(&target.name);
        let identity = (target.key, target.service);
        if let Some(before) = before.filter(|before| (before.key, before.service) != identity) {
            push(edits, before.service, TargetEdit::Removed(before.key));
        }
        push(edits, target.service, TargetEdit::Listed(target));
        (target.name, target.key, target.service)
    }

    fn target_of(&mut self, row: &PublishedTarget, now: Moment) -> FlowTarget {
        let (key, service) = (key_of(row), row.service.id());
        let standing = if row.leaving || self.has_announced(service, key) {
            FlowStanding::Leaving
        } else {
            FlowStanding::Serving
        };
        let zone = self.zone_index(&row.zone);
        let known = self.target(service, key);
        let standing_since = match known {
            // Its entry comes back, and those that were listed meanwhile are former ones.
            Some(known) if self.tracked.withheld.is_missing(known.key) => now,
            // Its entry comes back. It was there before any other target that was seen at its
            // address since, and if it is leaving, that is no news.
            Some(known) if !known.may_be_alive() => Moment::ZERO,
            Some(known) if known.standing == standing => known.standing_since,
            _ => now,
        };
        let warm_at = match known {
            // The same record may be applied again later; the warm-up has progressed since.
            Some(known) if known.warming_ms == row.warming_ms => known.warm_at,
            _ => now + Duration::from_millis(row.warming_ms.into()),
        };
        let agent = SocketAddrV4::new(*row.address.ip(), self.settings.agent_port);
        let agent = AgentAddress(agent);
        FlowTarget {
            key,
            name: NameKey::of(&row.name.0),
            agent,
            service,
            listed: true,
            superseded: known.is_some_and(|known| known.agent == agent && known.superseded),
            zone,
            slots: row.slots.max(1),
            standing,
            standing_since,
            warming_ms: row.warming_ms,
            warm_at,
        }
    }

    /// Returns whether a target announced that it is leaving, which it never takes back. A store
    /// that comes back from a copy may list it as it was before.
    fn has_announced(&self, service: ServiceId, key: TargetKey) -> bool {
        let Some(known) = self.target(service, key) else {
            return false;
        };
        if known.listed {
            return known.standing == FlowStanding::Leaving;
        }
        let unlisted = self.tracked.unlisted.get(&known.name);
        unlisted.is_some_and(|unlisted| unlisted.key == key && unlisted.announced)
    }

    fn edit_targets(&mut self, edits: ServiceEdits, now: Moment) {
        if edits.is_empty() {
            return;
        }
        let context = EditContext {
            now,
            store_failed: self.coverage.has_recent_failure(now),
            is_recovering: self.coverage.is_recovering(now),
        };
        let agents = self.agents_to_compare(&edits);
        for (service, edits) in edits {
            let services = Arc::make_mut(&mut self.view.services);
            self.tracked.edit_service(services, service, edits, context);
            self.update_unconfigured(service);
        }
        self.mark_superseded(&agents);
    }

    fn mark_superseded(&mut self, agents: &ComparedAgents) {
        let services = &mut self.view.services;
        self.shared
            .mark_superseded(services, &self.view.unconfigured, agents);
    }

    /// Returns the agents whose targets have to be compared after these edits.
    fn agents_to_compare(&mut self, edits: &ServiceEdits) -> ComparedAgents {
        if edits.values().map(Vec::len).sum::<usize>() > MAX_COMPARED_EDITS {
            return ComparedAgents::All;
        }
        let mut agents = BTreeSet::new();
        for (service, edits) in edits {
            for edit in edits {
                let key = match edit {
                    TargetEdit::Listed(target) => target.key,
                    TargetEdit::Unlisted(key)
                    | TargetEdit::Unreadable(key)
                    | TargetEdit::Removed(key)
                    | TargetEdit::PresumedGone(key) => *key,
                };
                let before = self.target(*service, key).map(|target| target.agent);
                agents.extend(before.filter(|agent| self.shared.is_shared(*agent)));
                if let TargetEdit::Listed(target) = edit
                    && before != Some(target.agent)
                    && self.shared.record_new(target.agent)
                {
                    agents.insert(target.agent);
                }
            }
        }
        ComparedAgents::Only(agents)
    }

    fn apply_routes(&mut self, routes: &[PublishedRoute], now: Moment) {
        let mut removed: Vec<SocketAddrV4> = self.view.routes.keys().copied().collect();
        removed.sort_unstable();
        for route in routes {
            if let Ok(at) = removed.binary_search(&route.address) {
                removed.remove(at);
            }
            self.set_route(route.address, Some(route), now);
        }
        for address in removed {
            self.set_route(address, None, now);
        }
    }

    /// Adds, replaces or removes a route, and retains the services that it no longer sends flows
    /// to.
    fn set_route(&mut self, address: SocketAddrV4, route: Option<&PublishedRoute>, now: Moment) {
        let shares = route.map_or_else(SmallVec::new, |route| self.shares_of(route));
        let before = self.view.routes.get(&address);
        let dropped = before.into_iter().flat_map(|before| &before.shares);
        let dropped = dropped.filter(|(service, _)| shares.iter().all(|(kept, _)| kept != service));
        let until = now + self.settings.flow_lifetime;
        for &(service, _) in dropped {
            let former = self.former.entry(address).or_default();
            former.retain(|(known, _)| *known != service);
            former.push((service, until));
        }
        let regions = route.and_then(|route| self.regions_of(route, before.map(Arc::as_ref), now));
        let next = route.map(|route| FlowRoute {
            name: route.name.clone(),
            idempotent: route.idempotent,
            policy: route.policy,
            shares,
            former: self.former.get(&address).cloned().unwrap_or_default(),
            regions,
        });
        if before.map(Arc::as_ref) != next.as_ref() {
            replace_route(&mut self.view.routes, address, next);
        }
    }

    /// Returns the regions that a route is restricted to. If they changed or the process has just
    /// started, flows may be in other regions for up to a flow lifetime.
    fn regions_of(
        &self,
        route: &PublishedRoute,
        before: Option<&FlowRoute>,
        now: Moment,
    ) -> Option<Box<RouteRegions>> {
        if route.homes.is_empty() {
            return None;
        }
        let allowed = self.regions.indices_of(&route.homes);
        let former_until = now + self.settings.flow_lifetime;
        let former = match before {
            // The former regions are unknown: packets are not sent to other regions without
            // evidence that these may hold the flow.
            None => Some(RegionList::new()),
            Some(before) => match &before.regions {
                Some(regions) if regions.allowed == allowed => return Some(regions.clone()),
                Some(regions) => regions.former.as_ref().map(|former| {
                    let mut all = regions.allowed.clone();
                    all.extend(
                        former
                            .iter()
                            .copied()
                            .filter(|_| now < regions.former_until),
                    );
                    all
                }),
                None => None,
            },
        };
        Some(Box::new(RouteRegions {
            allowed,
            former,
            former_until,
        }))
    }

    fn shares_of(&mut self, route: &PublishedRoute) -> SmallVec<[(ServiceId, u32); 2]> {
        for share in &route.shares {
            let service = share.service.id();
            if !self.view.names.contains_key(&service) {
                Arc::make_mut(&mut self.view.names).insert(service, share.service.clone());
            }
            set_limit(&mut self.view.warmups, service, share.warmup);
            set_limit(&mut self.view.flow_limits, service, share.max_flows);
        }
        let weighted = route.shares.iter().filter(|share| share.weight > 0);
        weighted
            .map(|share| (share.service.id(), share.weight))
            .collect()
    }

    fn expire(&mut self, now: Moment) {
        if let Some(zones) = self.pending_zones.take_if(|zones| now >= zones.due) {
            self.view.zones.apply(zones.revision, zones.evacuated, now);
        }
        let coverage = &self.coverage;
        let withheld = &mut self.tracked.withheld;
        withheld.expire(|since| coverage.lapse_end(since), now);
        self.expire_targets(now);
        self.expire_former_services(now);
    }

    fn expire_targets(&mut self, now: Moment) {
        let mut edits = ServiceEdits::new();
        for known in self.tracked.unlisted.values() {
            let key = known.key;
            let Some(target) = self.target(known.service, key) else {
                continue;
            };
            let presumed_gone = self.presumed_gone_at(target).is_some_and(|at| now >= at);
            if now.since(known.unlisted_at) >= self.settings.flow_lifetime {
                push(&mut edits, known.service, TargetEdit::Removed(key));
            } else if presumed_gone {
                push(&mut edits, known.service, TargetEdit::PresumedGone(key));
            }
        }
        self.edit_targets(edits, now);
    }

    fn expire_former_services(&mut self, now: Moment) {
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

/// Sets or removes the limit of a service. Copies the map only if the limit changes.
fn set_limit<L: Copy + PartialEq>(
    limits: &mut Arc<HashMap<ServiceId, L>>,
    service: ServiceId,
    limit: Option<L>,
) {
    if limits.get(&service) == limit.as_ref() {
        return;
    }
    let limits = Arc::make_mut(limits);
    match limit {
        Some(limit) => limits.insert(service, limit),
        None => limits.remove(&service),
    };
}

fn replace_route(routes: &mut Arc<RouteMap>, address: SocketAddrV4, next: Option<FlowRoute>) {
    let routes = Arc::make_mut(routes);
    match next {
        Some(next) => routes.insert(address, Arc::new(next)),
        None => routes.remove(&address),
    };
}
