//! Addresses that get no new flows although the store lists a serving target there.
//!
//! The entry of a target that announced its end may be missing after a failure of the store, while
//! an entry of a former target at the same address is listed: a store that came back from a copy
//! lists targets as they were before. Both entries lead to the same agent, and so to the leaving
//! target. Such an address gets no new flows until a live target would have restored its entry.

use std::collections::HashMap;

use lovagelatch_domain::{AgentAddress, Moment};

use crate::ring::{FlowTarget, TargetKey};

/// A leaving target whose entry vanished around a store failure.
#[derive(Clone, Copy, Debug)]
struct VanishedTarget {
    agent: AgentAddress,
    vanished_at: Moment,
    /// When the store listed the target again, if it has.
    returned_at: Option<Moment>,
}

/// The agents that get no new flows, each for the targets that were listed up to a moment. Targets
/// that were first listed later have started since, and get flows. Usually empty.
#[derive(Clone, Debug, Default)]
pub(super) struct WithheldList {
    /// Invariant: sorted by agent, each of which occurs once.
    agents: Vec<(AgentAddress, Moment)>,
}

impl WithheldList {
    /// Returns whether a target gets no new flows because of a leaving target at its address.
    pub(super) fn covers(&self, target: &FlowTarget) -> bool {
        let found = self.agents.binary_search_by_key(&target.agent, |it| it.0);
        found.is_ok_and(|at| target.standing_since <= self.agents[at].1)
    }
}

/// The leaving targets whose entries vanished around a store failure. Usually empty.
#[derive(Clone, Debug, Default)]
pub(super) struct WithheldAgents {
    targets: HashMap<TargetKey, VanishedTarget>,
}

impl WithheldAgents {
    /// Records that the entry of a leaving target vanished.
    pub(super) fn record_vanished(&mut self, target: &FlowTarget, now: Moment) {
        let vanished = VanishedTarget {
            agent: target.agent,
            vanished_at: now,
            returned_at: None,
        };
        self.targets.insert(target.key, vanished);
    }

    /// Records that the store lists a target again. The target stays withheld, and with it the
    /// entries that were listed meanwhile.
    pub(super) fn record_listed(&mut self, target: &FlowTarget, now: Moment) {
        let Some(known) = self.targets.get_mut(&target.key) else {
            return;
        };
        if known.agent == target.agent {
            known.returned_at.get_or_insert(now);
        } else {
            self.remove(target.key);
        }
    }

    /// Removes a target that is gone.
    pub(super) fn remove(&mut self, key: TargetKey) {
        self.targets.remove(&key);
    }

    /// Returns whether the entry of this target vanished and was not listed since.
    pub(super) fn is_missing(&self, key: TargetKey) -> bool {
        let known = self.targets.get(&key);
        known.is_some_and(|known| known.returned_at.is_none())
    }

    /// Removes the targets that were not listed again in time. `end_of` returns until when a live
    /// target whose entry vanished at a moment may be missing.
    pub(super) fn expire(&mut self, end_of: impl Fn(Moment) -> Moment, now: Moment) {
        self.targets
            .retain(|_, known| known.returned_at.is_some() || now < end_of(known.vanished_at));
    }

    /// Returns when the next target expires.
    pub(super) fn next_expiry(&self, end_of: impl Fn(Moment) -> Moment) -> Option<Moment> {
        let targets = self.targets.values();
        let missing = targets.filter(|known| known.returned_at.is_none());
        missing.map(|known| end_of(known.vanished_at)).min()
    }

    /// Returns the agents that get no new flows at `now`.
    pub(super) fn agents(&self, now: Moment) -> WithheldList {
        let targets = self.targets.values();
        let agents = targets.map(|known| (known.agent, known.returned_at.unwrap_or(now)));
        let mut agents: Vec<_> = agents.collect();
        agents.sort_unstable_by(|a, b| b.cmp(a));
        agents.dedup_by_key(|(agent, _)| *agent);
        agents.reverse();
        WithheldList { agents }
    }
}
