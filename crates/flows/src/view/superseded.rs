//! Finds entries of former targets whose address belongs to another target by now.
//!
//! The entry of a target that crashed stays in the store for some heartbeats, or until the store is
//! back. If another target starts at the address meanwhile, the store lists both. Both lead to the
//! same agent, and so to the target that runs, whose own entry decides what it may get: it may be
//! leaving or cold while the former entry says that it serves.
//!
//! An address has one target at a time, and a dead target's entry does not change. The entry that
//! changed last is therefore that of the target that runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};

use super::ServiceMap;
use crate::ring::{FlowStanding, FlowTarget, ServiceTargets, TargetKey};

/// Order of the entries at one address; the entry of the target that runs is the greatest. A process
/// that has just read the whole list saw all of them at once; it takes a leaving target for the
/// later one, which must get no new flows, and then the one with more warm-up time left.
type EntryOrder = (Moment, bool, Moment);

/// The agents beside targets that were edited.
pub(super) enum EditedAgents {
    /// These agents. Invariant: sorted.
    Sorted(Vec<AgentAddress>),
    /// Any agent.
    Any,
}

impl EditedAgents {
    fn contains(&self, agent: AgentAddress) -> bool {
        match self {
            Self::Sorted(agents) => agents.binary_search(&agent).is_ok(),
            Self::Any => true,
        }
    }
}

/// Marks the targets beside edited agents that another target has replaced, and clears the mark of
/// the others.
pub(super) fn mark_superseded(services: &mut Arc<ServiceMap>, agents: &EditedAgents) {
    let latest = latest_entries(services, agents);
    let mut changed: BTreeMap<ServiceId, Vec<(TargetKey, bool)>> = BTreeMap::new();
    for target in targets_beside(services, agents) {
        let superseded = latest
            .get(&target.agent)
            .is_some_and(|latest| !has_entry(target) || order_of(target) < *latest);
        if superseded != target.superseded {
            let marks = changed.entry(target.service).or_default();
            marks.push((target.key, superseded));
        }
    }
    if changed.is_empty() {
        return;
    }
    let services = Arc::make_mut(services);
    for (service, marks) in changed {
        if let Some(ring) = services.get_mut(&service) {
            let ring = Arc::make_mut(ring);
            for (key, superseded) in marks {
                ring.set_superseded(key, superseded);
            }
        }
    }
}

/// Returns the order of the latest entry at each address that has several targets.
fn latest_entries(
    services: &ServiceMap,
    agents: &EditedAgents,
) -> BTreeMap<AgentAddress, EntryOrder> {
    let mut beside: Vec<AgentAddress> = targets_beside(services, agents)
        .map(|target| target.agent)
        .collect();
    beside.sort_unstable();
    let shared = beside.windows(2).filter(|pair| pair[0] == pair[1]);
    let shared: BTreeSet<AgentAddress> = shared.map(|pair| pair[0]).collect();
    drop(beside);
    let mut latest = BTreeMap::new();
    if shared.is_empty() {
        return latest;
    }
    for target in targets_beside(services, agents) {
        if has_entry(target) && shared.contains(&target.agent) {
            let order = order_of(target);
            let known = latest.entry(target.agent).or_insert(order);
            *known = order.max(*known);
        }
    }
    latest
}

fn targets_beside<'s>(
    services: &'s ServiceMap,
    agents: &'s EditedAgents,
) -> impl Iterator<Item = &'s FlowTarget> {
    let rings = services.values().map(Arc::as_ref);
    rings
        .flat_map(ServiceTargets::targets)
        .filter(|target| agents.contains(target.agent))
}

/// Returns whether the store has an entry of the target, readable or not.
fn has_entry(target: &FlowTarget) -> bool {
    target.listed || target.standing == FlowStanding::Unreadable
}

fn order_of(target: &FlowTarget) -> EntryOrder {
    let leaving = target.standing == FlowStanding::Leaving;
    (target.standing_since, leaving, target.warm_at)
}
