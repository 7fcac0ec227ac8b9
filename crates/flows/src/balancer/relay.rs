//! Packets of open flows whose agent this balancer cannot reach, though others may.
//!
//! Load pattern: two availability zones cannot reach each other while a third reaches both. Flows that were
//! open between them go silent: a balancer's packets do not arrive, and for a request that may run once at most
//! nothing may be concluded from that. One notices by filings that wait for as long as the cut lasts.
//!
//! So a packet of an open flow at a silent agent is also sent through an agent of a third zone. One way more,
//! once: who relays hands the frame on as it is, and what is relayed is never relayed again. Nothing is sent so
//! while the agent is heard, and new flows go to agents that answer.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::FlowBalancer;
use super::entry::FlowEntry;
use crate::load::LoadBoard;
use crate::ring::{FlowTarget, ServiceTargets};
use crate::view::FlowView;

/// How long an agent must have owed an answer. Longer than a calm agent's silence between two reports, shorter
/// than the second after which flows whose requests may be run again are ended.
const OVERDUE_SPAN: Duration = Duration::from_millis(300);

/// An agent that was heard within this time can relay.
const HEARD_SPAN: Duration = Duration::from_millis(600);

impl FlowBalancer {
    /// The agent through which a packet of a known flow is sent as well; `None` in calm, and where no agent of
    /// a third zone is heard.
    pub(super) fn relay_for(
        &self,
        entry: &FlowEntry,
        point: u64,
        loads: &LoadBoard,
        view: &FlowView,
        now: Moment,
    ) -> Option<AgentAddress> {
        if !loads.is_overdue(entry.agent, OVERDUE_SPAN, now) {
            return None;
        }
        let ring = view.service(entry.service)?;
        let mut targets = ring.targets().iter();
        let silent = targets.find(|target| target.agent == entry.agent)?;
        let can_relay = |target: &&FlowTarget| {
            let third = !view.zones.is_near(target.zone) && target.zone != silent.zone;
            let heard = loads.well_since(target.agent);
            third && heard.is_some_and(|at| now.since(at) < HEARD_SPAN)
        };
        relays(ring, point)
            .find(can_relay)
            .map(|target| target.agent)
    }
}

/// Who may relay for a flow, in an order of its own, so that flows spread over relays.
fn relays(ring: &ServiceTargets, point: u64) -> impl Iterator<Item = &FlowTarget> {
    ring.following(point).filter(|target| target.listed)
}
