//! Whom a search asks.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::entry::{FlowSearch, OpenAsk, SearchStep, ServiceAgent};
use crate::packet::FlowPacket;
use crate::ring::{CANDIDATES, FlowTarget, ServiceTargets};
use crate::view::{FlowRoute, FlowView};

/// Up to so many agents are asked at once; beyond, the flow's candidates go first.
const FEW_AGENTS: usize = CANDIDATES;

/// How long an entry that vanished from the store still counts as a target that may hold a flow:
/// the store lists a living target again within two seconds.
const VANISHED_SPAN: Duration = Duration::from_secs(3);

/// Targets that may hold a flow.
pub(crate) type HolderList<'v> = SmallVec<[&'v FlowTarget; CANDIDATES]>;

/// Agents that are shown a packet.
pub(super) type AskedList = SmallVec<[ServiceAgent; CANDIDATES]>;

impl FlowSearch {
    /// Adds targets, one for each agent that was not asked, to those who are asked. A target that has
    /// been off the store's list for long is asked as well, since one that is merely cut off from the
    /// store still serves; but it is most likely gone, and its word is not waited for.
    pub(super) fn ask<'v>(
        &mut self,
        targets: impl Iterator<Item = &'v FlowTarget>,
        now: Moment,
    ) -> AskedList {
        let mut asked = AskedList::new();
        for target in targets {
            let candidate = ServiceAgent::of(target);
            self.asked.push(target.agent);
            asked.push(candidate);
            if is_likely(target, now) {
                let through = None;
                self.open.push(OpenAsk { candidate, through });
            }
        }
        asked
    }

    /// Leaves out the targets in regions that the route's packets must not be shown to, and notes where one of
    /// them may hold the flow all the same, since the route's regions are not known for long enough.
    pub(super) fn leave_out(
        &mut self,
        targets: &mut HolderList<'_>,
        route: &FlowRoute,
        view: &FlowView,
        now: Moment,
    ) {
        let Some(homes) = &route.homes else {
            return;
        };
        let before = targets.len();
        targets.retain(|target| view.may_be_shown(route, target, now));
        self.withheld |= targets.len() < before && now < homes.settled;
    }

    /// The targets of these beside agents that were not asked yet.
    pub(super) fn unasked<'v>(&self, targets: HolderList<'v>) -> HolderList<'v> {
        let mut asked = self.asked.clone();
        asked.sort_unstable();
        let mut targets = targets;
        targets.retain(|target| asked.binary_search(&target.agent).is_err());
        targets
    }
}

/// Whether a target is likely enough to live that its word is waited for.
fn is_likely(target: &FlowTarget, now: Moment) -> bool {
    target.may_live() || now.since(target.since) < VANISHED_SPAN
}

/// Begins a search at the flow's candidates.
pub(super) fn first_search(
    packet: &FlowPacket,
    bytes: &[u8],
    except: Option<AgentAddress>,
    route: &FlowRoute,
    view: &FlowView,
    now: Moment,
) -> (FlowSearch, AskedList) {
    let few = has_few_agents(view, now);
    let mut search = FlowSearch {
        last: now,
        started: now,
        due: now,
        asked_at: now,
        idempotent: route.idempotent,
        acknowledged: packet.acknowledged,
        asked: SmallVec::new(),
        open: SmallVec::new(),
        bytes: bytes.into(),
        step: if few {
            SearchStep::Everybody
        } else {
            SearchStep::Candidates
        },
        certain: view.is_complete(),
        withheld: false,
        unreachable: false,
    };
    let mut targets = if few {
        possible_holders(view, now)
    } else {
        candidates(packet, route, view)
    };
    search.leave_out(&mut targets, route, view, now);
    let others = targets.into_iter();
    let others = others.filter(|target| Some(target.agent) != except);
    let asked = search.ask(others, now);
    (search, asked)
}

/// The flow's candidates in each service that it may be at, one for each agent.
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

/// The targets that may live, of all services that the configuration names.
fn likely_targets(view: &FlowView, now: Moment) -> impl Iterator<Item = &FlowTarget> {
    let targets = view.named_rings().flat_map(ServiceTargets::targets);
    targets.filter(move |target| is_likely(target, now))
}

/// Whether so few agents may hold a flow that all are asked at once. Each search asks this, so it looks
/// at no more targets than it must: going through 1,000 took 40 us.
fn has_few_agents(view: &FlowView, now: Moment) -> bool {
    let mut agents: SmallVec<[AgentAddress; FEW_AGENTS]> = SmallVec::new();
    for target in likely_targets(view, now) {
        if agents.contains(&target.agent) {
            continue;
        }
        if agents.len() == FEW_AGENTS {
            return false;
        }
        agents.push(target.agent);
    }
    true
}

/// The targets that may hold a flow, one for each agent: those of all services that the configuration
/// names. A route may have been sent to another service a moment ago, and a balancer that has just
/// started, or has not heard of that yet, cannot know from where or where to.
///
/// What goes wrong if former starts are counted beside present ones: after a loss of power each agent
/// stands there twice until the old entries end.
pub(crate) fn possible_holders(view: &FlowView, now: Moment) -> HolderList<'_> {
    let mut holders: HolderList<'_> = likely_targets(view, now).collect();
    holders.sort_unstable_by_key(|target| (target.agent, !target.listed));
    holders.dedup_by_key(|target| target.agent);
    holders
}
