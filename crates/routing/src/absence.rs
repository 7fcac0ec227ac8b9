//! Which agents that were listed once are gone for good.
//!
//! What goes wrong without it: a target dies, and callers whose flows it held hear nothing
//! until their idle timeout. It shows as feeds that stall for half a minute. Once the agent is
//! known to be gone, any other agent answers its flows' packets with a stateless reset.
//!
//! The list alone does not tell: it lags, and an instance may be taken out of it while its agent
//! still drains open flows. Nor does a suspicion: the agent may be paused, or cut off from its
//! peers and not from its callers. So an agent counts as gone when
//!
//! - it left the list while its peers had lost touch with it, or
//! - its address is listed for another service: the process there is another one, or
//! - it has been off the list for longer than any drain lasts, or
//! - its peers have lost touch with it for [`SUSPICION_LIMIT`], and another instance of its zone
//!   is not suspected: a zone that is suspected as a whole is cut off rather than dead.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId, ZoneName};
use lovagelatch_membership::{FleetView, TargetStanding, ViewTarget};

use crate::view::ViewChange;

/// How long a suspicion must last before the agent counts as gone: longer than an accusation
/// holds by itself, so that peers have lost touch with it more than once. A pause that is shorter
/// cuts no flow.
pub const SUSPICION_LIMIT: Duration = Duration::from_secs(16);

/// An agent is forgotten this long after it left the list: no caller's packet for it comes any
/// more, since every flow's idle timeout is far shorter.
const MEMORY: Duration = Duration::from_secs(3_600);

/// Agents that are remembered at most. Those beyond are not remembered: their flows end by
/// their idle timeout instead of a reset.
const MAX_REMEMBERED: usize = 16_384;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Absence {
    /// The service it was listed for.
    service: ServiceId,
    since: Moment,
    /// Whether its peers had lost touch with it when it was last listed.
    suspected: bool,
    /// Whether another service has its address now.
    replaced: bool,
}

/// Remembers the agents that have left the list.
#[derive(Clone, Debug)]
pub struct AbsenceTracker {
    drain_limit: Duration,
    absences: BTreeMap<AgentAddress, Absence>,
    /// Since when each listed agent is suspected alone, not with its whole zone.
    suspects: BTreeMap<AgentAddress, Moment>,
}

impl AbsenceTracker {
    /// An empty tracker; an agent off the list for longer than `drain_limit` is gone.
    #[must_use]
    pub fn new(drain_limit: Duration) -> Self {
        Self {
            drain_limit,
            absences: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Notes who left the list and who came back between two views that differ by `change`.
    pub fn note(
        &mut self,
        earlier: &FleetView,
        view: &FleetView,
        change: &ViewChange,
        now: Moment,
    ) {
        self.absences
            .retain(|_, absence| now.since(absence.since) < MEMORY);
        for &service in &change.services {
            self.note_service(service, earlier, view, now);
        }
        for &service in &change.services {
            self.note_listed(service, view.targets(service));
        }
        if !change.services.is_empty() {
            self.note_suspects(view, now);
        }
    }

    /// The agents that are gone for good, one whose address another service has now included:
    /// [`RoutingTable::is_gone`](crate::RoutingTable::is_gone) tells the two apart.
    pub fn gone(&self, now: Moment) -> impl Iterator<Item = AgentAddress> + '_ {
        let is_gone = move |absence: &Absence| {
            absence.suspected || absence.replaced || now.since(absence.since) > self.drain_limit
        };
        let absent = self.absences.iter();
        let absent = absent.filter(move |(_, absence)| is_gone(absence));
        let suspected = self.suspects.iter();
        let suspected = suspected.filter(move |(_, since)| now.since(**since) >= SUSPICION_LIMIT);
        let absent = absent.map(|(agent, _)| *agent);
        absent.chain(suspected.map(|(agent, _)| *agent))
    }

    /// Takes over the suspicions of a view, each with the time since when it has lasted.
    fn note_suspects(&mut self, view: &FleetView, now: Moment) {
        let suspected: Vec<&ViewTarget> = targets(view).filter(|t| is_suspected(t)).collect();
        if suspected.is_empty() {
            self.suspects.clear();
            return;
        }
        let in_touch = targets(view).filter(|target| !is_suspected(target));
        let zones: BTreeSet<&ZoneName> = in_touch.map(|target| &target.zone).collect();
        let alone = suspected
            .into_iter()
            .filter(|target| zones.contains(&target.zone));
        let since = |agent| self.suspects.get(&agent).copied().unwrap_or(now);
        self.suspects = alone
            .map(|target| (target.agent, since(target.agent)))
            .collect();
    }

    fn note_service(
        &mut self,
        service: ServiceId,
        earlier: &FleetView,
        view: &FleetView,
        now: Moment,
    ) {
        let (before, after) = (earlier.targets(service), view.targets(service));
        let mut listed: Vec<AgentAddress> = after.iter().map(|target| target.agent).collect();
        listed.sort_unstable();
        for target in before {
            let stays = listed.binary_search(&target.agent).is_ok();
            if !stays && self.absences.len() < MAX_REMEMBERED {
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

    /// Whoever is listed again is not gone: a successor may have come to the same address, and
    /// answers itself for flows that it does not know. A successor of another service refuses
    /// them unanswered, so there the former agent counts as gone; otherwise its callers would
    /// hear nothing until their idle timeout.
    fn note_listed(&mut self, service: ServiceId, targets: &[ViewTarget]) {
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
