//! What the packet path looks up: routes by address, targets by service.
//!
//! A view is replaced, never changed, and shares with the one before whatever is the same: at
//! 160,000 targets a view made anew took 93 ms and as much memory again.

mod builder;
mod doubt;
mod regions;
mod zones;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_catalog::WarmupRule;
use lovagelatch_domain::{AgentAddress, ConfigRevision, Moment, ServiceId, ServiceName};
use smallvec::SmallVec;

use crate::frame::WarmupLimit;
use crate::packet::FlowKey;
use crate::ring::{FlowStanding, FlowTarget, ServiceTargets};

pub use self::builder::{FlowViewBuilder, ViewSettings};
pub use self::doubt::{ViewCoverage, ViewDoubt};
pub use self::regions::{RegionIndex, RouteHomes};
pub use self::zones::{ZoneIndex, ZoneOutlook};

/// Routes by the address that callers send to.
type RouteMap = HashMap<SocketAddrV4, Arc<FlowRoute>>;

/// Targets by their service.
type ServiceMap = HashMap<ServiceId, Arc<ServiceTargets>>;

/// A route and the services its flows may be at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlowRoute {
    /// The route's name, for logs.
    pub name: String,
    /// Whether its requests may be run again.
    pub idempotent: bool,
    /// Where new flows go, with weights. Invariant: no weight is 0.
    pub shares: SmallVec<[(ServiceId, u32); 2]>,
    /// Services it sent flows to within a flow's lifetime, with the end of that. Mostly none, and
    /// then without an allocation.
    pub former: Vec<(ServiceId, Moment)>,
    /// The regions that its flows are bound to; `None` where they may go anywhere.
    pub homes: Option<Box<RouteHomes>>,
}

impl FlowRoute {
    /// Every service that its flows may be at, as far as this process has seen.
    pub(crate) fn services(&self) -> impl Iterator<Item = ServiceId> {
        let shares = self.shares.iter().map(|&(service, _)| service);
        let former = self.former.iter().map(|&(service, _)| service);
        shares.chain(former)
    }

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
    /// Whether every living target is in it. Only then is a flow that nobody holds known to be lost.
    pub coverage: ViewCoverage,
    /// Which zones get no new flows.
    pub zones: ZoneOutlook,
    routes: Arc<RouteMap>,
    services: Arc<ServiceMap>,
    names: Arc<HashMap<ServiceId, ServiceName>>,
    /// What cold targets of services bear, where the operator names a bound.
    warmups: Arc<HashMap<ServiceId, WarmupRule>>,
    /// The services that the configuration names: entries of others are another writer's.
    named: Arc<HashSet<ServiceId>>,
    /// Targets that the store lists no more, beside agents of which it lists none.
    unlisted: Vec<FlowTarget>,
}

impl FlowView {
    /// Whether enough is known to decide: before a configuration is, no address can be said to have no
    /// route, and before the evacuated zones are, no target may be given a flow.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > ConfigRevision::default() && self.zones.is_known()
    }

    /// Whether every living target is in it.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.coverage == ViewCoverage::Complete
    }

    /// The route of a flow.
    #[must_use]
    pub fn route(&self, flow: &FlowKey) -> Option<&FlowRoute> {
        self.routes.get(&flow.service_address).map(Arc::as_ref)
    }

    /// The targets of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceTargets> {
        self.services.get(&service).map(Arc::as_ref)
    }

    /// The targets of each service, in no order.
    pub(crate) fn rings(&self) -> impl Iterator<Item = &ServiceTargets> {
        self.services.values().map(Arc::as_ref)
    }

    /// The targets of each service that the configuration names, in no order.
    pub(crate) fn named_rings(&self) -> impl Iterator<Item = &ServiceTargets> {
        let named = self.services.iter();
        let named = named.filter(|(service, _)| self.named.contains(service));
        named.map(|(_, ring)| ring.as_ref())
    }

    /// Whether a target beside an agent may live, by the store's word alone.
    #[must_use]
    pub fn may_live_beside(&self, agent: AgentAddress) -> bool {
        let mut targets = self.rings().flat_map(ServiceTargets::targets);
        targets.any(|target| target.agent == agent && target.may_live())
    }

    /// Agents all of whose targets vanished from the store and have this standing.
    #[must_use]
    pub fn unlisted_agents(&self, standing: FlowStanding) -> Vec<AgentAddress> {
        let unlisted = self.unlisted.iter();
        let alike = unlisted.filter(|target| target.standing == standing);
        let differs = |agent| {
            let mut unlisted = self.unlisted.iter();
            unlisted.any(|other| other.agent == agent && other.standing != standing)
        };
        let agents = alike.map(|target| target.agent);
        agents.filter(|agent| !differs(*agent)).collect()
    }

    /// Whether a new flow of a route may go to a target's region.
    pub(crate) fn is_home(&self, route: &FlowRoute, target: &FlowTarget) -> bool {
        route.homes.as_ref().is_none_or(|homes| {
            let region = self.zones.region_of(target.zone);
            region.is_some_and(|region| homes.allowed.contains(&region))
        })
    }

    /// Whether a packet of a route's open flow may be shown to a target's agent: its region is one of those
    /// that the flow may be in, or this process's own.
    pub(crate) fn may_be_shown(&self, route: &FlowRoute, target: &FlowTarget, now: Moment) -> bool {
        route.homes.as_ref().is_none_or(|homes| {
            let region = self.zones.region_of(target.zone);
            let own = self.zones.region_of(self.zones.own);
            homes.may_hold(region, now) || (region.is_some() && region == own)
        })
    }

    /// What a target bears while it is cold, and for how long it is; `None` where no bound is named.
    #[must_use]
    pub fn warmup_of(&self, target: &FlowTarget, now: Moment) -> Option<WarmupLimit> {
        if self.warmups.is_empty() {
            return None;
        }
        let rule = self.warmups.get(&target.service)?;
        let span = Duration::from_millis(rule.span_ms.into());
        let back = self.zones.restored_at(target.zone);
        let warm_at = back.map_or(target.warm_at, |back| target.warm_at.max(back + span));
        Some(WarmupLimit::new(rule, warm_at.since(now)))
    }

    /// A service's name, for logs.
    #[must_use]
    pub fn service_name(&self, service: ServiceId) -> &str {
        self.names.get(&service).map_or("", ServiceName::as_str)
    }

    /// How many targets are cold, by their entries and by the zones that came back.
    #[must_use]
    pub fn cold_targets(&self, now: Moment) -> usize {
        let targets = self.rings().flat_map(ServiceTargets::targets);
        let cold = targets.filter(|target| {
            let limit = self.warmup_of(target, now);
            now < target.warm_at || limit.is_some_and(|limit| !limit.remaining().is_zero())
        });
        cold.count()
    }

    /// How many routes and targets there are.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let targets = self.rings().map(|ring| ring.targets().len());
        (self.routes.len(), targets.sum())
    }
}
