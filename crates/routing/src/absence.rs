//! Which agents that were listed once are gone for good.
//!
//! What goes wrong without it: a target dies, and callers whose flows it held hear nothing
//! until their idle timeout. It shows as feeds that stall for half a minute. Once the agent is
//! known to be gone, any other agent answers its flows' packets with a stateless reset.
//!
//! The list alone does not tell: it lags, and an instance may be taken out of it while its agent
//! still drains open flows. So an agent counts as gone when it left the list while its peers had
//! lost touch with it, or when it has been off the list for longer than any drain lasts. A
//! pause or a partition takes nobody off the list.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_membership::{FleetView, TargetStanding, ViewTarget};

/// An agent is forgotten this long after it left the list: no caller's packet for it comes any
/// more, since every flow's idle timeout is far shorter.
const MEMORY: Duration = Duration::from_secs(3_600);

/// Agents that are remembered at most. Those beyond are not remembered: their flows end by
/// their idle timeout instead of a reset.
const MAX_REMEMBERED: usize = 16_384;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Absence {
    since: Moment,
    /// Whether its peers had lost touch with it when it was last listed.
    suspected: bool,
}

/// Remembers the agents that have left the list.
#[derive(Clone, Debug)]
pub struct AbsenceBook {
    drain_limit: Duration,
    absences: BTreeMap<AgentAddress, Absence>,
}

impl AbsenceBook {
    /// An empty book; an agent off the list for longer than `drain_limit` is gone.
    #[must_use]
    pub fn new(drain_limit: Duration) -> Self {
        Self {
            drain_limit,
            absences: BTreeMap::new(),
        }
    }

    /// Notes who left the list and who came back between two views.
    pub fn note(&mut self, earlier: &FleetView, view: &FleetView, now: Moment) {
        self.absences
            .retain(|_, absence| now.since(absence.since) < MEMORY);
        for service in earlier.services() {
            let (before, after) = (earlier.targets(service), view.targets(service));
            if !std::ptr::eq(before, after) {
                self.note_service(before, after, now);
            }
        }
        for service in view.services() {
            let (before, after) = (earlier.targets(service), view.targets(service));
            if !std::ptr::eq(before, after) {
                self.forget_listed(after);
            }
        }
    }

    /// The agents that are gone for good.
    pub fn gone(&self, now: Moment) -> impl Iterator<Item = AgentAddress> + '_ {
        let is_gone = move |absence: &Absence| {
            absence.suspected || now.since(absence.since) > self.drain_limit
        };
        self.absences
            .iter()
            .filter(move |(_, absence)| is_gone(absence))
            .map(|(agent, _)| *agent)
    }

    fn note_service(&mut self, before: &[ViewTarget], after: &[ViewTarget], now: Moment) {
        let mut listed: Vec<AgentAddress> = after.iter().map(|target| target.agent).collect();
        listed.sort_unstable();
        for target in before {
            let stays = listed.binary_search(&target.agent).is_ok();
            if !stays && self.absences.len() < MAX_REMEMBERED {
                let absence = Absence {
                    since: now,
                    suspected: target.standing == TargetStanding::Suspected,
                };
                self.absences.insert(target.agent, absence);
            }
        }
    }

    /// Whoever is listed is not gone: a successor may have come to the same address.
    fn forget_listed(&mut self, targets: &[ViewTarget]) {
        for target in targets {
            self.absences.remove(&target.agent);
        }
    }
}
