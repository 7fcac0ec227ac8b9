//! Whom a search asks.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::entry::{FlowSearch, OpenAsk};
use super::offer::candidate_of;
use crate::frame::Candidate;
use crate::packet::FlowPacket;
use crate::ring::{CANDIDATES, FlowTarget};
use crate::view::{FlowRoute, FlowView};

/// In a fleet with at most so many targets everybody is asked at once.
const SMALL_FLEET: usize = CANDIDATES;

/// Targets of a fleet that is asked as a whole. In larger ones only a flow's candidates are asked,
/// and a lost flow ends by its client's timeout.
pub(super) const LARGE_FLEET: usize = 256;

/// How long an entry that vanished from the store still counts as a target that may hold a flow:
/// the store lists a living target again within two seconds.
const VANISHED_SPAN: Duration = Duration::from_secs(3);

/// Agents that are shown a packet.
pub(super) type AskedList = SmallVec<[Candidate; CANDIDATES]>;

impl FlowSearch {
    /// Adds targets to those who are asked. A target that has been off the store's list for long
    /// is asked as well, since one that is merely cut off from the store still serves; but it is
    /// most likely gone, and its word is not waited for.
    pub(super) fn ask<'v>(
        &mut self,
        targets: impl Iterator<Item = &'v FlowTarget>,
        now: Moment,
    ) -> AskedList {
        let mut asked = AskedList::new();
        for target in targets {
            if self.asked.contains(&target.agent) {
                continue;
            }
            let candidate = candidate_of(target);
            self.asked.push(target.agent);
            asked.push(candidate);
            if is_likely(target, now) {
                let through = None;
                self.open.push(OpenAsk { candidate, through });
            }
        }
        asked
    }
}

/// Whether a target is likely enough to live that its word is waited for.
fn is_likely(target: &FlowTarget, now: Moment) -> bool {
    target.may_live() || now.since(target.since) < VANISHED_SPAN
}

/// Begins a search at the flow's candidates.
pub(super) fn first_search(
    packet: &FlowPacket,
    bytes: &[u8],
    except: Option<AgentAddress>,
    route: &FlowRoute,
    view: &FlowView,
    now: Moment,
) -> (FlowSearch, AskedList) {
    let point = packet.flow.point();
    let mut search = FlowSearch {
        last: now,
        started: now,
        due: now,
        acknowledged: packet.acknowledged,
        asked: SmallVec::new(),
        open: SmallVec::new(),
        bytes: bytes.into(),
        complete: false,
        repeated: false,
        certain: view.complete,
        exhausted: false,
    };
    let all = everybody(view, now);
    let targets: SmallVec<[&FlowTarget; CANDIDATES]> = if all.len() <= SMALL_FLEET {
        search.complete = true;
        all
    } else {
        let shares = route.shares.iter().map(|&(service, _)| service);
        let former = route.former.iter().map(|&(service, _)| service);
        let services = shares.chain(former);
        let rings = services.filter_map(|service| view.service(service));
        rings.flat_map(|ring| ring.candidates(point)).collect()
    };
    let others = targets.into_iter();
    let others = others.filter(|target| Some(target.agent) != except);
    let asked = search.ask(others, now);
    (search, asked)
}

/// All agents whose targets may live, of all services that the configuration names: a route may have
/// been sent to another service a moment ago, and a balancer that has just started cannot know from
/// where. Beyond [`LARGE_FLEET`] they are not counted.
pub(super) fn everybody(view: &FlowView, now: Moment) -> SmallVec<[&FlowTarget; CANDIDATES]> {
    let mut all: SmallVec<[&FlowTarget; CANDIDATES]> = SmallVec::new();
    for ring in view.named_rings() {
        let targets = ring.targets().iter();
        all.extend(targets.filter(|target| is_likely(target, now)));
        if all.len() > LARGE_FLEET {
            return all;
        }
    }
    // A restarted target stands beside its former start until that entry ends.
    all.sort_unstable_by_key(|target| (target.agent, !target.listed));
    all.dedup_by_key(|target| target.agent);
    all
}
