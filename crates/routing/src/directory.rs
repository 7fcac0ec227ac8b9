//! All agents that are listed, for whatever service.
//!
//! What goes wrong without it: an instance passes from one service to another, and a flow that
//! it held for the former one is sent there still. The agent refuses it, but a packet of one
//! service has then reached a process of another. A balancer sees it beforehand: the agent is
//! listed, but not for the token's service.

use std::sync::Arc;

use lovagelatch_domain::AgentAddress;

use crate::hasher::mix;
use crate::ring::RingTarget;

/// Parts that are shared or copied as one.
const SHARDS: usize = 256;

/// The agents, six bytes each.
#[derive(Clone, Debug)]
pub(crate) struct AgentDirectory {
    /// Invariant: [`SHARDS`] long, each sorted; an agent that two services list stands twice.
    shards: Box<[Arc<Vec<AgentAddress>>]>,
}

impl Default for AgentDirectory {
    fn default() -> Self {
        Self {
            shards: vec![Arc::default(); SHARDS].into_boxed_slice(),
        }
    }
}

impl AgentDirectory {
    pub(crate) fn contains(&self, agent: AgentAddress) -> bool {
        self.shards[shard_of(agent)].binary_search(&agent).is_ok()
    }

    fn insert(&mut self, agent: AgentAddress) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(agent)]);
        let place = shard.partition_point(|other| *other < agent);
        shard.insert(place, agent);
    }

    fn remove(&mut self, agent: AgentAddress) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(agent)]);
        if let Ok(place) = shard.binary_search(&agent) {
            shard.remove(place);
        }
    }

    /// Takes a service's former agents out and its new ones in.
    pub(crate) fn replace(&mut self, before: &[RingTarget], after: &[RingTarget]) {
        let (former, listed) = (agents_of(before), agents_of(after));
        for agent in &former {
            if listed.binary_search(agent).is_err() {
                self.remove(*agent);
            }
        }
        for agent in &listed {
            if former.binary_search(agent).is_err() {
                self.insert(*agent);
            }
        }
    }

    /// Gives back what the shards reserve beyond their length.
    pub(crate) fn shrink(&mut self) {
        for shard in &mut self.shards {
            if let Some(shard) = Arc::get_mut(shard) {
                shard.shrink_to_fit();
            }
        }
    }
}

fn agents_of(targets: &[RingTarget]) -> Vec<AgentAddress> {
    let mut agents: Vec<AgentAddress> = targets.iter().map(|target| target.agent).collect();
    agents.sort_unstable();
    agents
}

#[allow(clippy::cast_possible_truncation)]
fn shard_of(agent: AgentAddress) -> usize {
    let address = u64::from(u32::from(*agent.0.ip())) << 16 | u64::from(agent.0.port());
    mix(address) as usize % SHARDS
}
