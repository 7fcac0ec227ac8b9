//! Relays packets of open flows whose agent this balancer cannot reach, though others may.
//!
//! Two availability zones may be cut off from each other while a third one reaches both. Flows that
//! were open between the two go silent: the balancer's packets do not arrive, and for requests that
//! must run at most once, nothing may be concluded from that. Without relays, filings wait for as
//! long as the cut lasts.
//!
//! So a packet of an open flow at a silent agent is also sent through an agent of a third zone, at
//! the cost of one more hop: the relay forwards the frame unchanged, and a relayed frame is never
//! relayed again. Nothing is relayed while the agent is heard, and new flows go to agents that
//! answer.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::FlowBalancer;
use super::entry::FlowEntry;
use crate::load::LoadTable;
use crate::ring::{FlowTarget, ServiceTargets};
use crate::view::FlowView;

/// How long an answer of an agent must be overdue before its packets are relayed. Longer than the
/// normal interval between two reports, and shorter than the second after which flows of idempotent
/// routes are reset.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(300);

/// An agent that was heard within this window can relay.
const HEARD_WINDOW: Duration = Duration::from_millis(600);

impl FlowBalancer {
    /// Returns the agent that also gets a packet of a known flow, to relay it. `None` while the
    /// flow's agent is responsive, and if no agent of a third zone is heard.
    pub(super) fn relay_for(
        &self,
        entry: &FlowEntry,
        point: u64,
        loads: &LoadTable,
        view: &FlowView,
        now: Moment,
    ) -> Option<AgentAddress> {
        if !loads.is_overdue(entry.agent, OVERDUE_TIMEOUT, now) {
            return None;
        }
        let ring = view.service(entry.service)?;
        let mut targets = ring.targets().iter();
        let silent = targets.find(|target| target.agent == entry.agent)?;
        let can_relay = |target: &&FlowTarget| {
            let third = !view.zones.is_near(target.zone) && target.zone != silent.zone;
            let reported_at = loads.last_healthy_report(target.agent);
            third && reported_at.is_some_and(|at| now.since(at) < HEARD_WINDOW)
        };
        relay_candidates(ring, point)
            .find(can_relay)
            .map(|target| target.agent)
    }
}

/// Returns possible relays in an order that depends on the flow, which spreads flows over relays.
fn relay_candidates(ring: &ServiceTargets, point: u64) -> impl Iterator<Item = &FlowTarget> {
    ring.clockwise_from(point).filter(|target| target.listed)
}
