//! Whom a search asks.

use std::collections::HashSet;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::entry::{FlowSearch, OpenAsk};
use super::offer::candidate_of;
use crate::frame::Candidate;
use crate::packet::FlowPacket;
use crate::ring::{CANDIDATES, FlowTarget, ServiceTargets};
use crate::view::{FlowRoute, FlowView};

/// Up to so many agents are asked at once; beyond, the flow's candidates go first.
const FEW_AGENTS: usize = CANDIDATES;

/// How long an entry that vanished from the store still counts as a target that may hold a flow:
/// the store lists a living target again within two seconds.
const VANISHED_SPAN: Duration = Duration::from_secs(3);

/// Targets that may hold a flow.
pub(crate) type HolderList<'v> = SmallVec<[&'v FlowTarget; CANDIDATES]>;

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
        let mut known: HashSet<AgentAddress> = self.asked.iter().copied().collect();
        for target in targets {
            if !known.insert(target.agent) {
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
        asked_at: now,
        idempotent: route.idempotent,
        acknowledged: packet.acknowledged,
        asked: SmallVec::new(),
        open: SmallVec::new(),
        bytes: bytes.into(),
        complete: false,
        repeated: false,
        certain: view.is_complete(),
        exhausted: false,
        unreachable: false,
        abandoned: false,
    };
    let all = possible_holders(view, now);
    let targets: HolderList<'_> = if all.len() <= FEW_AGENTS {
        search.complete = true;
        all
    } else {
        let services = route.services();
        let rings = services.filter_map(|service| view.service(service));
        rings.flat_map(|ring| ring.candidates(point)).collect()
    };
    let others = targets.into_iter();
    let others = others.filter(|target| Some(target.agent) != except);
    let asked = search.ask(others, now);
    (search, asked)
}

/// The targets that may hold a flow, one for each agent: those of all services that the configuration
/// names. A route may have been sent to another service a moment ago, and a balancer that has just
/// started, or has not heard of that yet, cannot know from where or where to.
///
/// What goes wrong if former starts are counted beside present ones: after a loss of power each agent
/// stands there twice until the old entries end.
pub(crate) fn possible_holders(view: &FlowView, now: Moment) -> HolderList<'_> {
    let targets = view.named_rings().flat_map(ServiceTargets::targets);
    let mut holders: HolderList<'_> = targets.filter(|target| is_likely(target, now)).collect();
    holders.sort_unstable_by_key(|target| (target.agent, !target.listed));
    holders.dedup_by_key(|target| target.agent);
    holders
}
