//! Checks on requests and flows under load, and on the time after a rush.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;

use crate::check::DISTURBANCE_WINDOW;
use crate::event::{LoadFigures, StartNumber};
use crate::load::FLOW_LIFETIME;

/// Time for which the agent may hold a packet of a request.
const HOLD_BOUND: Duration = Duration::from_millis(150);

/// Allowance for scheduling delays on a busy machine, as a packet passes four threads of four
/// processes: as long again as the bound.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(150);

/// Time after a rush in which requests may still fail or be slow.
const RUSH_RECOVERY: Duration = Duration::from_secs(3);

/// Time after a fault in which requests may fail for another reason than a rush: the slowest part of
/// a recovery is the expiry of a dead target's entry.
const FAULT_RECOVERY: Duration = Duration::from_secs(8);

/// The copy that last reached the target of a flow.
#[derive(Clone, Copy, Debug)]
struct LastCopy {
    sent: Instant,
    balancer: Ipv4Addr,
}

/// Tracks rushes, process starts and the data packets of flows.
#[derive(Debug, Default)]
pub(crate) struct LoadCheck {
    figures: LoadFigures,
    last_copies: HashMap<FlowKey, LastCopy>,
    /// Last start of the agent of each target that has started since its target did.
    agent_starts: HashMap<StartNumber, Instant>,
    balancer_starts: HashMap<Ipv4Addr, Instant>,
    last_rush: Option<Instant>,
    last_disturbance: Option<Instant>,
}

impl LoadCheck {
    pub(crate) fn record_disturbed(&mut self, now: Instant) {
        self.last_disturbance = Some(now);
    }

    pub(crate) fn record_agent_started(&mut self, target: StartNumber, now: Instant) {
        self.agent_starts.insert(target, now);
    }

    pub(crate) fn record_balancer_started(&mut self, balancer: Ipv4Addr, now: Instant) {
        self.balancer_starts.insert(balancer, now);
    }

    pub(crate) fn record_rush(&mut self, now: Instant) {
        self.last_rush = Some(now);
    }

    pub(crate) fn record_rejected(&mut self) {
        self.figures.rejected += 1;
    }

    pub(crate) fn figures(&self) -> LoadFigures {
        self.figures
    }

    /// Returns whether the target's agent or the balancer started within [`DISTURBANCE_WINDOW`].
    pub(crate) fn has_restarted(
        &self,
        target: StartNumber,
        balancer: Ipv4Addr,
        now: Instant,
    ) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        self.agent_starts.get(&target).is_some_and(recent)
            || self.balancer_starts.get(&balancer).is_some_and(recent)
    }

    /// Checks that the agent of a target enforces the limit of flows. An agent that started after
    /// one of the flows opened, and less than [`FLOW_LIFETIME`] ago, may not know how many there
    /// are.
    pub(crate) fn check_over_limit(
        &mut self,
        target: StartNumber,
        oldest: Instant,
        now: Instant,
    ) -> Option<&'static str> {
        self.figures.over_limit += 1;
        let started = self.agent_starts.get(&target);
        let knows_all = started.is_none_or(|started| {
            *started <= oldest || now.saturating_duration_since(*started) >= FLOW_LIFETIME
        });
        knows_all.then_some("flow_over_limit")
    }

    /// Checks that no copy of a packet is held for longer than [`HOLD_BOUND`], and that none
    /// arrives after one that its client sent later by the same balancer. The time is that of each
    /// copy, so a lost copy does not count as a long transit. Copies that overtake each other on
    /// different paths are not the fault of one of them.
    pub(crate) fn check_segment(
        &mut self,
        flow: &FlowKey,
        balancer: Ipv4Addr,
        sent: Instant,
        disturbed: bool,
        now: Instant,
    ) -> Option<&'static str> {
        let last = self.last_copies.insert(*flow, LastCopy { sent, balancer });
        if disturbed {
            return None;
        }
        let transit = now.saturating_duration_since(sent);
        self.figures.longest_transit = self.figures.longest_transit.max(transit);
        if transit > HOLD_BOUND + SCHEDULING_MARGIN {
            return Some("packet_held");
        }
        let overtaken = last.is_some_and(|last| last.sent > sent && last.balancer == balancer);
        overtaken.then_some("bytes_reordered")
    }

    /// Checks that a request does not fail and is not slow if it began later than [`RUSH_RECOVERY`]
    /// after the last rush, unless there was a fault within [`FAULT_RECOVERY`] before it began.
    pub(crate) fn check_slow(&self, since: Instant) -> Option<&'static str> {
        let recovered = self
            .last_rush
            .is_some_and(|rush| since >= rush + RUSH_RECOVERY);
        let disturbed = self
            .last_disturbance
            .is_some_and(|at| since < at + FAULT_RECOVERY);
        (recovered && !disturbed).then_some("slow_after_rush")
    }
}
