//! Resets of open flows whose target is lost.
//!
//! Without them, when a machine dies, every client with a flow to it sends its next request there
//! and notices only at its own deadline. A reset makes it retry elsewhere immediately. Resetting a
//! flow whose target is alive breaks a session, so it needs proof that the target is gone. Where
//! requests are idempotent and nothing can be delivered anyway, a silence that only a dead or
//! unreachable agent explains is enough.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{EntryState, FlowEntry};
use super::{FlowBalancer, FlowReset, LossReason};
use crate::packet::FlowKey;
use crate::ring::FlowStanding;
use crate::view::FlowView;

/// An agent that was sent frames and probes for this long without being heard is unreachable.
///
/// It has to exceed the silence of a planned restart for a balancer that was not notified of it:
/// the process is away for 0.56 s, it was last heard up to 200 ms before its silence is first
/// noticed, and it is probed every 150 ms. At 0.8 s such restarts reset open flows of live targets.
pub(super) const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an agent may be silent if the store has also removed its target's entry.
pub(super) const GONE_TIMEOUT: Duration = Duration::from_millis(400);

/// Flows that have been idle for longer are not reset: their clients are gone.
const ACTIVE_WINDOW: Duration = Duration::from_secs(20);

impl FlowBalancer {
    /// Returns resets for the flows that were lost with their targets, sorted by flow; each flow is
    /// returned once.
    pub fn lost_flows(&self, view: &FlowView, now: Moment) -> Vec<FlowReset> {
        let lost = self.lost_agents(view, now);
        let mut resets = Vec::new();
        if lost.is_empty() {
            return resets;
        }
        for shard in &self.shards {
            let mut shard = shard.lock();
            let mut unconfirmed = Vec::new();
            shard.flows.visit(|flow, entry| {
                let Some(&reason) = lost.get(&entry.agent) else {
                    return;
                };
                if entry.state == EntryState::Answered && !entry.switch_to_other_offer() {
                    unconfirmed.push(*flow);
                } else if entry.state == EntryState::Open
                    && may_reset(flow, entry, reason, view, now)
                {
                    entry.state = EntryState::Lost;
                    resets.push(FlowReset {
                        flow: *flow,
                        acknowledged: entry.acknowledged,
                        reason,
                    });
                }
            });
            // An answer to a first packet does not prove that the target holds the flow: another
            // balancer may have had it opened elsewhere. Its next packet starts a search.
            for flow in unconfirmed {
                shard.flows.remove(&flow);
            }
        }
        resets.sort_unstable_by_key(|reset| reset.flow);
        resets
    }

    fn lost_agents(&self, view: &FlowView, now: Moment) -> HashMap<AgentAddress, LossReason> {
        let loads = self.loads.lock();
        let silent = loads.silent_agents(UNREACHABLE_TIMEOUT, now).into_iter();
        let mut lost: HashMap<_, _> = silent
            .map(|agent| (agent, LossReason::AgentSilent))
            .collect();
        if !view.is_complete() {
            return lost;
        }
        for agent in view.unlisted_agents(FlowStanding::Leaving) {
            if loads.is_gone(agent, GONE_TIMEOUT, now) {
                lost.insert(agent, LossReason::TargetGone);
            }
        }
        lost
    }
}

/// Returns whether an open flow may be reset once its agent is lost.
fn may_reset(
    flow: &FlowKey,
    entry: &FlowEntry,
    reason: LossReason,
    view: &FlowView,
    now: Moment,
) -> bool {
    let is_active = now.since(entry.last_packet) < ACTIVE_WINDOW;
    let idempotent = view.route(flow).is_some_and(|route| route.idempotent);
    is_active && (reason == LossReason::TargetGone || idempotent)
}
