//! Finds entries of former targets whose address belongs to another target by now.
//!
//! The entry of a target that crashed stays in the store for some heartbeats, or until the store is
//! back. If another target starts at the address meanwhile, the store lists both. Both lead to the
//! same agent, and so to the target that runs, whose own entry decides what it may get: it may be
//! leaving or cold while the former entry says that it serves.
//!
//! An address has one target at a time, and a dead target's entry does not change. The entry that
//! changed last is therefore that of the target that runs.
//!
//! An entry of a service that the configuration does not name may be another writer's and name no
//! target at all, so it says nothing about those of the configuration's services. If a target of
//! such a service does run at the address, its agent refuses the flows of other services.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};

use super::ServiceMap;
use crate::ring::{FlowStanding, FlowTarget, ServiceTargets, TargetKey};

/// Order of the entries at one address; the entry of the target that runs is the greatest. A process
/// that has just read the whole list saw all of them at once; it takes a leaving target for the
/// later one, which must get no new flows, and then the one with more warm-up time left.
type EntryOrder = (Moment, bool, Moment);

/// Bits of an [`AddressFilter`] for each target: at most one new address in four is searched for in
/// vain.
const FILTER_BITS_PER_TARGET: usize = 4;

/// A set of addresses that may report an address that it does not contain. An exact one would take
/// a megabyte at 160,000 targets.
#[derive(Clone, Debug, Default)]
struct AddressFilter {
    /// Invariant: the length is zero or a power of two.
    words: Box<[u64]>,
}

impl AddressFilter {
    fn with_capacity(count: usize) -> Self {
        let bits = (count * FILTER_BITS_PER_TARGET).next_power_of_two();
        Self {
            words: vec![0; bits.div_ceil(64)].into(),
        }
    }

    /// Adds an address. Returns whether it may have been added before.
    fn insert(&mut self, agent: AgentAddress) -> bool {
        if self.words.is_empty() {
            return true;
        }
        let mixed = u64::from(u32::from(*agent.0.ip())).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let bit = usize::try_from(mixed >> 32).unwrap_or(0) % (self.words.len() * 64);
        let mask = 1 << (bit % 64);
        let word = &mut self.words[bit / 64];
        let known = *word & mask != 0;
        *word |= mask;
        known
    }
}

/// The agents whose targets have to be compared.
pub(super) enum ComparedAgents {
    /// These agents.
    Only(BTreeSet<AgentAddress>),
    /// All agents.
    All,
}

/// Which addresses have several targets.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedAddresses {
    /// Invariant: contains each agent that has several targets in the view.
    shared: BTreeSet<AgentAddress>,
    /// Invariant: contains the agent of each target in the view, or is empty.
    filter: AddressFilter,
    /// Targets that were marked since the last call of [`take_marked`](Self::take_marked).
    marked: Option<SupersededTargets>,
}

/// Targets that others have replaced at their addresses; used for logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededTargets {
    /// The agent beside the first of them.
    pub agent: AgentAddress,
    /// The service of the first of them.
    pub service: ServiceId,
    /// Their number.
    pub count: usize,
}

impl SharedAddresses {
    /// Returns the targets that were marked as replaced since the last call.
    pub(super) fn take_marked(&mut self) -> Option<SupersededTargets> {
        self.marked.take()
    }

    /// Returns whether a target's agent has several targets.
    pub(super) fn is_shared(&self, agent: AgentAddress) -> bool {
        self.shared.contains(&agent)
    }

    /// Records a new target. Returns whether its agent may have another one.
    pub(super) fn record_new(&mut self, agent: AgentAddress) -> bool {
        self.filter.insert(agent)
    }

    /// Marks the targets beside these agents that another target has replaced, and clears the mark
    /// of the others.
    pub(super) fn mark_superseded(
        &mut self,
        services: &mut Arc<ServiceMap>,
        unconfigured: &HashSet<ServiceId>,
        agents: &ComparedAgents,
    ) {
        let found = self.targets_to_compare(services, agents);
        let is_configured = |target: &FlowTarget| !unconfigured.contains(&target.service);
        // Whether the service of the latest entry is configured counts before its order.
        let mut latest: BTreeMap<AgentAddress, (bool, EntryOrder)> = BTreeMap::new();
        for target in found.iter().filter(|target| has_entry(target)) {
            let order = (is_configured(target), order_of(target));
            let known = latest.entry(target.agent).or_insert(order);
            *known = order.max(*known);
        }
        let mut changed: BTreeMap<ServiceId, Vec<(TargetKey, bool)>> = BTreeMap::new();
        for target in &found {
            let order = (is_configured(target), order_of(target));
            let superseded = latest.get(&target.agent).is_some_and(|latest| {
                latest.0 >= order.0 && (!has_entry(target) || order < *latest)
            });
            if superseded != target.superseded {
                let marks = changed.entry(target.service).or_default();
                marks.push((target.key, superseded));
                if superseded {
                    self.count_marked(target);
                }
            }
        }
        apply_marks(services, changed);
    }

    fn count_marked(&mut self, target: &FlowTarget) {
        let first = SupersededTargets {
            agent: target.agent,
            service: target.service,
            count: 0,
        };
        self.marked.get_or_insert(first).count += 1;
    }

    /// Returns the targets beside these agents. Only looks at all targets if the agents may have
    /// several, which happens where an address is used again.
    fn targets_to_compare(
        &mut self,
        services: &ServiceMap,
        agents: &ComparedAgents,
    ) -> Vec<FlowTarget> {
        let agents = match agents {
            ComparedAgents::Only(agents) if agents.is_empty() => return Vec::new(),
            ComparedAgents::Only(agents) => agents,
            ComparedAgents::All => {
                self.shared = shared_agents(services);
                &self.shared.clone()
            }
        };
        let mut found = Vec::new();
        let mut filter = AddressFilter::with_capacity(targets(services).count());
        for target in targets(services) {
            filter.insert(target.agent);
            if agents.contains(&target.agent) {
                found.push(*target);
            }
        }
        self.filter = filter;
        let mut counts: BTreeMap<AgentAddress, usize> = BTreeMap::new();
        for target in &found {
            *counts.entry(target.agent).or_default() += 1;
        }
        for agent in agents {
            if counts.get(agent).is_some_and(|count| *count > 1) {
                self.shared.insert(*agent);
            } else {
                self.shared.remove(agent);
            }
        }
        found
    }
}

fn apply_marks(
    services: &mut Arc<ServiceMap>,
    changed: BTreeMap<ServiceId, Vec<(TargetKey, bool)>>,
) {
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

/// Returns the agents that have several targets.
fn shared_agents(services: &ServiceMap) -> BTreeSet<AgentAddress> {
    let mut agents: Vec<AgentAddress> = targets(services).map(|target| target.agent).collect();
    agents.sort_unstable();
    let shared = agents.windows(2).filter(|pair| pair[0] == pair[1]);
    shared.map(|pair| pair[0]).collect()
}

fn targets(services: &ServiceMap) -> impl Iterator<Item = &FlowTarget> {
    let rings = services.values().map(Arc::as_ref);
    rings.flat_map(ServiceTargets::targets)
}

/// Returns whether the store has an entry of the target, readable or not.
fn has_entry(target: &FlowTarget) -> bool {
    target.listed || target.standing == FlowStanding::Unreadable
}

fn order_of(target: &FlowTarget) -> EntryOrder {
    let leaving = target.standing == FlowStanding::Leaving;
    (target.standing_since, leaving, target.warm_at)
}
