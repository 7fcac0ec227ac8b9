//! The set of all listed agents of all services.
//!
//! When an instance moves from one service to another, a flow that it held for the former service
//! would otherwise still be forwarded to it. The agent refuses the packet, but a packet of one
//! service has then reached a process of another. With the directory, a balancer detects this
//! beforehand: the agent is listed, but not for the token's service.

use std::sync::Arc;

use lovagelatch_domain::AgentAddress;

use crate::hasher::mix;
use crate::ring::RingTarget;

/// The number of shards. Each is shared between tables or copied as a whole.
const SHARDS: usize = 256;

/// A sharded set of agent addresses, six bytes each.
#[derive(Clone, Debug)]
pub(crate) struct AgentDirectory {
    /// Invariant: [`SHARDS`] long, each shard sorted. An agent that two services list appears twice.
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
        let index = shard.partition_point(|other| *other < agent);
        shard.insert(index, agent);
    }

    fn remove(&mut self, agent: AgentAddress) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(agent)]);
        if let Ok(index) = shard.binary_search(&agent) {
            shard.remove(index);
        }
    }

    /// Replaces a service's previous agents with its new ones.
    pub(crate) fn replace(&mut self, before: &[RingTarget], after: &[RingTarget]) {
        let (previous, current) = (agents_of(before), agents_of(after));
        for agent in &previous {
            if current.binary_search(agent).is_err() {
                self.remove(*agent);
            }
        }
        for agent in &current {
            if previous.binary_search(agent).is_err() {
                self.insert(*agent);
            }
        }
    }

    /// Releases the unused capacity of shards that are not shared.
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
