//! Which agents a search queries.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::entry::{FlowSearch, PendingQuery, SearchPhase, ServiceAgent};
use crate::packet::FlowPacket;
use crate::ring::{FlowTarget, SEARCH_CANDIDATES, ServiceTargets};
use crate::view::{FlowRoute, FlowView};

/// Up to this many agents are all queried at once; in larger fleets the flow's candidates go first.
const SINGLE_PHASE_AGENTS: usize = SEARCH_CANDIDATES;

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
        targets: impl Iterator<Item = &'v FlowTarget>,
        now: Moment,
    ) -> QueriedAgents {
        let mut queried = QueriedAgents::new();
        for target in targets {
            let holder = ServiceAgent::of(target);
            self.queried.push(target.agent);
            queried.push(holder);
            if is_likely_alive(target, now) {
                let delegate = None;
                self.pending.push(PendingQuery { holder, delegate });
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
        let before = targets.len();
        targets.retain(|target| view.may_receive_packet(route, target, now));
        self.holder_excluded |= targets.len() < before && now < regions.former_until;
    }

    /// Returns those of `targets` whose agents have not been queried yet.
    pub(super) fn not_queried<'v>(&self, targets: HolderList<'v>) -> HolderList<'v> {
        let mut queried = self.queried.clone();
        queried.sort_unstable();
        let mut targets = targets;
        targets.retain(|target| queried.binary_search(&target.agent).is_err());
        targets
    }
}

/// Returns whether a target is likely enough to be alive that its answer is awaited.
fn is_likely_alive(target: &FlowTarget, now: Moment) -> bool {
    target.may_be_alive() || now.since(target.standing_since) < VANISHED_WINDOW
}

/// Starts a search: with all possible holders in a small fleet, else with the flow's candidates.
pub(super) fn start_search(
    packet: &FlowPacket,
    bytes: &[u8],
    except: Option<AgentAddress>,
    route: &FlowRoute,
    view: &FlowView,
    now: Moment,
) -> (FlowSearch, QueriedAgents) {
    let is_small = is_small_fleet(view, now);
    let mut search = FlowSearch {
        last_packet: now,
        started: now,
        due: now,
        queried_at: now,
        idempotent: route.idempotent,
        acknowledged: packet.acknowledged,
        queried: SmallVec::new(),
        pending: SmallVec::new(),
        bytes: bytes.into(),
        phase: if is_small {
            SearchPhase::AllHolders
        } else {
            SearchPhase::Candidates
        },
        view_complete: view.is_complete(),
        holder_excluded: false,
        holder_unreachable: false,
    };
    let mut targets = if is_small {
        possible_holders(view, now)
    } else {
        candidates(packet, route, view)
    };
    search.exclude_regions(&mut targets, route, view, now);
    let others = targets.into_iter();
    let others = others.filter(|target| Some(target.agent) != except);
    let queried = search.add_queries(others, now);
    (search, queried)
}

/// Returns the flow's candidates in each service that may hold it, one for each agent.
fn candidates<'v>(packet: &FlowPacket, route: &FlowRoute, view: &'v FlowView) -> HolderList<'v> {
    let point = packet.flow.point();
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

/// Returns the targets that are likely alive, of all services that the configuration names.
fn likely_alive_targets(view: &FlowView, now: Moment) -> impl Iterator<Item = &FlowTarget> {
    let targets = view.configured_rings().flat_map(ServiceTargets::targets);
    targets.filter(move |target| is_likely_alive(target, now))
}

/// Returns whether so few agents may hold a flow that all are queried at once. Every search calls
/// this, so it stops as soon as the limit is exceeded: going through 1,000 targets took 40 us.
fn is_small_fleet(view: &FlowView, now: Moment) -> bool {
    let mut agents: SmallVec<[AgentAddress; SINGLE_PHASE_AGENTS]> = SmallVec::new();
    for target in likely_alive_targets(view, now) {
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

/// Returns the targets that may hold a flow, one for each agent, of all services that the
/// configuration names. A route may have been moved to another service a moment ago, and a balancer
/// that has just started, or does not know of the move yet, cannot know which services to query.
///
/// One target per agent, because after a power loss each agent is listed twice until the entries of
/// the former starts expire. Counting both would make the fleet look twice as large. The latest entry
/// counts: the former target may have belonged to another service, whose flows the agent does not
/// hold.
pub(crate) fn possible_holders(view: &FlowView, now: Moment) -> HolderList<'_> {
    let mut holders: HolderList<'_> = likely_alive_targets(view, now).collect();
    holders.sort_unstable_by_key(|target| {
        let order = (target.superseded, !target.listed, target.key);
        (target.agent, order)
    });
    holders.dedup_by_key(|target| target.agent);
    holders
}
