//! Detects which formerly listed agents are gone for good.
//!
//! When a target dies without this, callers whose flows it held get no answer until their idle
//! timeout, and feeds stall for half a minute. Once the agent is known to be gone, any other
//! agent answers packets of its flows with a stateless reset.
//!
//! The instance list alone is not enough: it lags, and an instance may be removed from it while
//! its agent still drains open flows. A suspicion alone is not enough either: the agent may be
//! paused, or partitioned from its peers but not from its callers. An agent therefore counts as
//! gone when
//!
//! - it left the list while it was suspected, or
//! - its address is listed for another service, so another process runs there, or
//! - it has been off the list for longer than any drain lasts, or
//! - it has been suspected for [`SUSPICION_TIMEOUT`] while another instance of its zone is not
//!   suspected: a zone that is suspected as a whole is partitioned rather than dead.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId, ZoneName};
use lovagelatch_membership::{FleetView, TargetStanding, ViewTarget};

use crate::view::ViewChange;

/// How long a suspicion must last before the agent counts as gone. Longer than the TTL of one
/// accusation, so peers have failed to reach the agent more than once. A shorter pause resets no
/// flow.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(16);

/// How long an agent is remembered after it left the list. Every flow's idle timeout is far
/// shorter, so callers send it no packets after that.
const ABSENCE_TTL: Duration = Duration::from_secs(3_600);

/// The maximum number of remembered agents. Flows of agents beyond it end with their idle timeout
/// instead of a reset.
const MAX_ABSENCES: usize = 16_384;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Absence {
    /// The service that the agent was listed for.
    service: ServiceId,
    since: Moment,
    /// Whether the agent was suspected when it was last listed.
    suspected: bool,
    /// Whether the agent's address is now listed for another service.
    replaced: bool,
}

/// Tracks the agents that have left the list or are suspected.
#[derive(Clone, Debug)]
pub struct AbsenceTracker {
    drain_timeout: Duration,
    absences: BTreeMap<AgentAddress, Absence>,
    /// When the suspicion of each listed agent began. Agents whose whole zone is suspected are not
    /// included.
    suspects: BTreeMap<AgentAddress, Moment>,
}

impl AbsenceTracker {
    /// Creates an empty tracker. An agent that is off the list for longer than `drain_timeout`
    /// counts as gone.
    #[must_use]
    pub fn new(drain_timeout: Duration) -> Self {
        Self {
            drain_timeout,
            absences: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Records which agents left the list and which returned between two views that differ by
    /// `change`.
    pub fn record(
        &mut self,
        previous: &FleetView,
        view: &FleetView,
        change: &ViewChange,
        now: Moment,
    ) {
        self.absences
            .retain(|_, absence| now.since(absence.since) < ABSENCE_TTL);
        for &service in &change.services {
            self.record_absences(service, previous, view, now);
        }
        for &service in &change.services {
            self.record_listed(service, view.targets(service));
        }
        if !change.services.is_empty() {
            self.record_suspects(view, now);
        }
    }

    /// Returns the agents that are gone for good, including those whose address another service
    /// now has. [`RoutingTable::is_gone`](crate::RoutingTable::is_gone) tells these apart from
    /// their successors.
    pub fn gone(&self, now: Moment) -> impl Iterator<Item = AgentAddress> + '_ {
        let is_gone = move |absence: &Absence| {
            absence.suspected || absence.replaced || now.since(absence.since) > self.drain_timeout
        };
        let absent = self.absences.iter();
        let absent = absent.filter(move |(_, absence)| is_gone(absence));
        let suspected = self.suspects.iter();
        let suspected = suspected.filter(move |(_, since)| now.since(**since) >= SUSPICION_TIMEOUT);
        let absent = absent.map(|(agent, _)| *agent);
        absent.chain(suspected.map(|(agent, _)| *agent))
    }

    /// Replaces the suspicions with those of a view and keeps the start time of each that
    /// continues.
    fn record_suspects(&mut self, view: &FleetView, now: Moment) {
        let suspected: Vec<&ViewTarget> = targets(view).filter(|t| is_suspected(t)).collect();
        if suspected.is_empty() {
            self.suspects.clear();
            return;
        }
        let healthy = targets(view).filter(|target| !is_suspected(target));
        let healthy_zones: BTreeSet<&ZoneName> = healthy.map(|target| &target.zone).collect();
        let in_healthy_zone = suspected
            .into_iter()
            .filter(|target| healthy_zones.contains(&target.zone));
        let since = |agent| self.suspects.get(&agent).copied().unwrap_or(now);
        self.suspects = in_healthy_zone
            .map(|target| (target.agent, since(target.agent)))
            .collect();
    }

    fn record_absences(
        &mut self,
        service: ServiceId,
        previous: &FleetView,
        view: &FleetView,
        now: Moment,
    ) {
        let (before, after) = (previous.targets(service), view.targets(service));
        let mut listed: Vec<AgentAddress> = after.iter().map(|target| target.agent).collect();
        listed.sort_unstable();
        for target in before {
            let is_listed = listed.binary_search(&target.agent).is_ok();
            if !is_listed && self.absences.len() < MAX_ABSENCES {
                let absence = Absence {
                    service,
                    since: now,
                    suspected: is_suspected(target),
                    replaced: false,
                };
                self.absences.insert(target.agent, absence);
            }
        }
    }

    /// An agent that is listed again is not gone: a successor at the same address resets flows
    /// that it does not know. A successor of another service drops their packets without an
    /// answer, so in that case the former agent counts as gone; otherwise its callers would get
    /// no answer until their idle timeout.
    fn record_listed(&mut self, service: ServiceId, targets: &[ViewTarget]) {
        for target in targets {
            let Some(absence) = self.absences.get_mut(&target.agent) else {
                continue;
            };
            if absence.service == service {
                self.absences.remove(&target.agent);
            } else {
                absence.replaced = true;
            }
        }
    }
}

fn targets(view: &FleetView) -> impl Iterator<Item = &ViewTarget> {
    view.services().flat_map(|service| view.targets(service))
}

fn is_suspected(target: &ViewTarget) -> bool {
    target.standing == TargetStanding::Suspected
}
