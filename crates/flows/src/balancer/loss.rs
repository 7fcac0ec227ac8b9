//! Open flows whose target is lost.
//!
//! What goes wrong without this: a machine dies, and every client with a flow to it sends its next
//! request there and learns of the loss only by its own deadline. A reset makes it ask elsewhere
//! at once. A reset of a flow whose target lives breaks a session, so it needs proof, or, where
//! requests may be run again and nothing can be delivered anyway, a silence that only a dead or
//! unreachable agent explains.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{EntryState, FlowEntry};
use super::{FlowBalancer, FlowReset, LossReason};
use crate::packet::FlowKey;
use crate::ring::FlowStanding;
use crate::view::FlowView;

/// An agent that was sent frames for this long, and probes, and was not heard cannot deliver.
///
/// Longer than a planned restart looks to a balancer that nobody told of it: the process is away for 0.56 s,
/// it was last heard up to 200 ms before, when its silence was first noticed, and is probed every 150 ms.
/// At 0.8 s such restarts reset open flows of living targets.
pub(super) const UNREACHABLE_SPAN: Duration = Duration::from_secs(1);

/// The same where the store has removed the target's entry as well.
pub(super) const GONE_SPAN: Duration = Duration::from_millis(400);

/// Flows that were silent for longer than this are left alone: their clients have gone.
const CURRENT_SPAN: Duration = Duration::from_secs(20);

impl FlowBalancer {
    /// The flows that are lost with their targets; each is told once.
    pub fn lost_flows(&self, view: &FlowView, now: Moment) -> Vec<FlowReset> {
        let lost = self.lost_agents(view, now);
        let mut resets = Vec::new();
        if lost.is_empty() {
            return resets;
        }
        for shard in &self.shards {
            let mut shard = shard.lock();
            let mut unplaced = Vec::new();
            shard.flows.visit(|flow, entry| {
                let Some(&reason) = lost.get(&entry.agent) else {
                    return;
                };
                if entry.state == EntryState::Answered && !entry.try_other() {
                    unplaced.push(*flow);
                } else if entry.state == EntryState::Open && may_end(flow, entry, reason, view, now)
                {
                    entry.state = EntryState::Lost;
                    resets.push(FlowReset {
                        flow: *flow,
                        acknowledged: entry.acknowledged,
                        reason,
                    });
                }
            });
            // An answer to a first packet does not prove that the flow lives there: another balancer
            // may have had it opened elsewhere. Its next packet is searched for.
            for flow in unplaced {
                shard.flows.remove(&flow);
            }
        }
        resets
    }

    fn lost_agents(&self, view: &FlowView, now: Moment) -> HashMap<AgentAddress, LossReason> {
        let loads = self.loads.lock();
        let silent = loads.silent_agents(UNREACHABLE_SPAN, now).into_iter();
        let mut lost: HashMap<_, _> = silent
            .map(|agent| (agent, LossReason::AgentSilent))
            .collect();
        if !view.is_complete() {
            return lost;
        }
        for agent in view.unlisted_agents(FlowStanding::Leaving) {
            if loads.is_gone(agent, GONE_SPAN, now) {
                lost.insert(agent, LossReason::TargetGone);
            }
        }
        lost
    }
}

/// Whether an open flow may be reset once its agent is lost.
fn may_end(
    flow: &FlowKey,
    entry: &FlowEntry,
    reason: LossReason,
    view: &FlowView,
    now: Moment,
) -> bool {
    let current = now.since(entry.last) < CURRENT_SPAN;
    let idempotent = view.route(flow).is_some_and(|route| route.idempotent);
    current && (reason == LossReason::TargetGone || idempotent)
}
