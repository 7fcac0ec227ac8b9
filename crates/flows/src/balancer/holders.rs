//! Which agents a search queries.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::FlowBalancer;
use super::entry::{FlowSearch, PendingQuery, QueriedTarget, SearchPhase, ServiceAgent};
use crate::packet::FlowKey;
use crate::ring::{FlowTarget, SEARCH_CANDIDATES, ServiceTargets};
use crate::view::{FlowRoute, FlowView};

/// Up to this many agents are all queried at once; in larger fleets the flow's candidates go first.
const SINGLE_PHASE_AGENTS: usize = SEARCH_CANDIDATES;

/// Limit on agents that are asked whether they hold a flow without being shown its packet. Such
/// questions are not delegated.
const MAX_LOCATED_AGENTS: usize = 64;

/// How long a target may still hold flows after its entry vanished from the store: the store lists
/// a live target again within two seconds.
const VANISHED_WINDOW: Duration = Duration::from_secs(3);

/// Targets that may hold a flow.
pub(crate) type HolderList<'v> = SmallVec<[&'v FlowTarget; SEARCH_CANDIDATES]>;

/// Agents that are shown a packet.
pub(super) type QueriedAgents = SmallVec<[ServiceAgent; SEARCH_CANDIDATES]>;

impl FlowSearch {
    /// Adds targets to the queried ones, one for each agent that has not been queried. A target
    /// that has been off the store's list for long is queried too, since a target that is only cut
    /// off from the store still serves. It is most likely gone, though, so its answer is not
    /// awaited.
    pub(super) fn add_queries<'v>(
        &mut self,
        targets: impl ExactSizeIterator<Item = &'v FlowTarget>,
        now: Moment,
    ) -> QueriedAgents {
        let mut queried = QueriedAgents::new();
        self.queried.reserve_exact(targets.len());
        self.pending.reserve_exact(targets.len());
        for target in targets {
            let holder = ServiceAgent::of(target);
            self.queried.push(QueriedTarget {
                agent: target.agent,
                key: target.key,
                at: now,
                absent: false,
            });
            queried.push(holder);
            if is_likely_alive(target, now) {
                self.pending.push(PendingQuery::new(holder, now));
            }
        }
        queried
    }

    /// Removes targets in regions that must not see the route's packets. Records whether one of the
    /// removed targets may still hold the flow, because the route's regions were changed too
    /// recently.
    pub(super) fn exclude_regions(
        &mut self,
        targets: &mut HolderList<'_>,
        route: &FlowRoute,
        view: &FlowView,
        now: Moment,
    ) {
        let Some(regions) = &route.regions else {
            return;
        };
        let may_hold = now < regions.former_until;
        targets.retain(|target| {
            let is_kept = view.may_receive_packet(route, target, now);
            if !is_kept && may_hold && !self.excluded.contains(&target.agent) {
                self.holder_excluded = true;
                if self.excluded.len() < MAX_LOCATED_AGENTS {
                    self.excluded.push(target.agent);
                }
            }
            is_kept
        });
    }

    /// Adds all possible holders that were not queried yet, and stops waiting for agents that are no
    /// longer among them. Returns the agents to query, which include those that have not answered.
    pub(super) fn query_all(
        &mut self,
        mut all: HolderList<'_>,
        route: &FlowRoute,
        view: &FlowView,
        now: Moment,
    ) -> QueriedAgents {
        self.phase = SearchPhase::AllHolders;
        self.exclude_regions(&mut all, route, view, now);
        self.pending.retain(|query| {
            let agent = &query.holder.agent;
            all.binary_search_by_key(agent, |target| target.agent)
                .is_ok()
        });
        let not_queried = self.not_queried(all);
        let unanswered = self.pending.iter().map(|query| query.holder);
        let unanswered: QueriedAgents = unanswered.collect();
        let mut agents = self.add_queries(not_queried.into_iter(), now);
        agents.extend(unanswered);
        agents
    }

    /// Returns those of `targets` that have not been queried yet. Forgets queries of former targets
    /// at their agents' addresses.
    pub(super) fn not_queried<'v>(&mut self, mut targets: HolderList<'v>) -> HolderList<'v> {
        if self.queried.is_empty() {
            return targets;
        }
        self.queried.sort_unstable_by_key(|queried| queried.agent);
        let mut replaced: SmallVec<[AgentAddress; 4]> = SmallVec::new();
        targets.retain(|target| {
            let known = self
                .queried
                .binary_search_by_key(&target.agent, |queried| queried.agent);
            let Ok(known) = known else {
                return true;
            };
            let is_new = !self.queried[known].covers(target);
            if is_new {
                replaced.push(target.agent);
            }
            is_new
        });
        if !replaced.is_empty() {
            self.queried
                .retain(|queried| !replaced.contains(&queried.agent));
            self.pending
                .retain(|query| !replaced.contains(&query.holder.agent));
        }
        targets
    }
}

/// Returns whether a target is likely enough to be alive that its answer is awaited.
fn is_likely_alive(target: &FlowTarget, now: Moment) -> bool {
    target.may_be_alive() || now.since(target.standing_since) < VANISHED_WINDOW
}

/// Returns the flow's candidates in each service that may hold it, one for each agent.
pub(super) fn candidates<'v>(
    flow: FlowKey,
    route: &FlowRoute,
    view: &'v FlowView,
) -> HolderList<'v> {
    let point = flow.point();
    let rings = route.services().filter_map(|service| view.service(service));
    let mut candidates = HolderList::new();
    for target in rings.flat_map(|ring| ring.candidates(point)) {
        let mut known = candidates.iter();
        if known.all(|known: &&FlowTarget| known.agent != target.agent) {
            candidates.push(target);
        }
    }
    candidates
}

/// Returns whether so few agents may hold a flow that all are queried at once. Every search calls
/// this, so it stops as soon as the limit is exceeded: going through 1,000 targets took 40 us.
pub(super) fn is_small_fleet(view: &FlowView, now: Moment) -> bool {
    let mut agents: SmallVec<[AgentAddress; SINGLE_PHASE_AGENTS]> = SmallVec::new();
    for target in likely_alive(view.rings(), now) {
        if agents.contains(&target.agent) {
            continue;
        }
        if agents.len() == SINGLE_PHASE_AGENTS {
            return false;
        }
        agents.push(target.agent);
    }
    true
}

/// Returns the targets that may hold a flow, one for each agent, of all services that have targets.
/// A route may have been moved to another service a moment ago, and the configuration may no longer
/// name the former one; a balancer that has just started, or does not know of the move yet, cannot
/// know which services to query.
///
/// Of the targets at one agent's address, one in a service that the configuration names counts
/// first: an entry of another writer may name the same address.
pub(crate) fn possible_holders(view: &FlowView, now: Moment) -> HolderList<'_> {
    let mut holders = one_per_agent(likely_alive(view.configured_rings(), now));
    if !view.has_unconfigured() {
        return holders;
    }
    let mut others = one_per_agent(likely_alive(view.unconfigured_rings(), now));
    others.retain(|other| {
        let known = holders.binary_search_by_key(&other.agent, |target| target.agent);
        known.is_err()
    });
    holders.extend(others);
    holders.sort_unstable_by_key(|target| target.agent);
    holders
}

fn likely_alive<'v>(
    rings: impl Iterator<Item = &'v ServiceTargets>,
    now: Moment,
) -> impl Iterator<Item = &'v FlowTarget> {
    let targets = rings.flat_map(ServiceTargets::targets);
    targets.filter(move |target| is_likely_alive(target, now))
}

/// Returns one target for each agent, because after a power loss each agent is listed twice until
/// the entries of the former starts expire. Counting both would make the fleet look twice as large.
/// The latest entry counts: the former target may have belonged to another service, whose flows the
/// agent does not hold.
fn one_per_agent<'v>(targets: impl Iterator<Item = &'v FlowTarget>) -> HolderList<'v> {
    let mut holders: HolderList<'v> = targets.collect();
    holders.sort_unstable_by_key(|target| {
        let order = (target.superseded, !target.listed, target.key);
        (target.agent, order)
    });
    holders.dedup_by_key(|target| target.agent);
    holders
}

impl FlowBalancer {
    /// Returns the possible holders that a search queries: all except vacant addresses, which only
    /// entries outside the configuration name and where no agent answers.
    pub(super) fn holders_to_query<'v>(&self, view: &'v FlowView, now: Moment) -> HolderList<'v> {
        let mut holders = possible_holders(view, now);
        if view.has_unconfigured() {
            let mut loads = self.loads.lock();
            holders.retain(|target| {
                !view.is_unconfigured(target.service) || !loads.is_vacant(target.agent, now)
            });
        }
        holders
    }

    /// Records which of the targets to query are in services that the configuration does not name,
    /// so that there may be no agent at their addresses.
    pub(super) fn record_unconfirmed(&self, agents: &QueriedAgents, view: &FlowView) {
        if !view.has_unconfigured() {
            return;
        }
        let unconfigured = agents
            .iter()
            .filter(|holder| view.is_unconfigured(holder.service));
        let mut loads = self.loads.lock();
        for holder in unconfigured {
            loads.record_unconfirmed(holder.agent, holder.service);
        }
    }
}
