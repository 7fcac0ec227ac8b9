//! The guarantees, as checks over a recorded history.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use lovagelatch_history::BackendRecord;

use crate::history::{AgentStart, MatrixEvent, MatrixHistory};
use crate::plan::RunHistory;

/// How long after its first announcement new work may still reach a leaving instance.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// How long a published configuration may take until every reachable node has applied it.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(9);

type NamedCheck = (&'static str, fn(&MatrixHistory) -> usize);

/// The guarantees that are checked on each history: the name, and the function that counts
/// violations.
pub const GUARANTEES: [NamedCheck; 10] = [
    ("flow_moved_agent", flow_moved_agent),
    ("wrong_service", wrong_service),
    ("cut", cut),
    ("flow_broken", flow_broken),
    ("dead_flow_silent", dead_flow_silent),
    ("new_work_after_leaving", new_work_after_leaving),
    ("revision_reverted", revision_reverted),
    ("invalid_in_force", invalid_in_force),
    ("late_in_force", late_in_force),
    ("ran_again", ran_again),
];

/// Counts packets of open flows that an agent other than the holder accepted.
fn flow_moved_agent(history: &MatrixHistory) -> usize {
    let holders = history.holders();
    let moved = history.events().filter(|event| match event {
        MatrixEvent::PacketAccepted {
            flow,
            receiver,
            open: true,
            ..
        } => holders.get(flow).is_some_and(|holder| holder != receiver),
        _ => false,
    });
    moved.count()
}

/// Counts packets that an agent of another service than the flow's accepted.
///
/// A handshake in progress while its address moves to another service may complete at either
/// service: the address is the only indication of the wanted service in its first packets.
fn wrong_service(history: &MatrixHistory) -> usize {
    let mut wanted: HashMap<u64, ServiceId> = HashMap::new();
    let mut held = BTreeSet::new();
    let mut wrong = 0;
    for event in history.events() {
        match event {
            MatrixEvent::FlowOpened {
                flow,
                service: Some(service),
            } => {
                wanted.insert(*flow, *service);
            }
            MatrixEvent::FlowHeld { flow, .. } => {
                held.insert(*flow);
            }
            MatrixEvent::AddressMoved => wanted.retain(|flow, _| held.contains(flow)),
            MatrixEvent::PacketAccepted {
                flow,
                service,
                open,
                ..
            } => {
                // A late duplicate of a first packet is no evidence beyond the first one.
                let counted = *open || !held.contains(flow);
                let wanted = wanted.get(flow).filter(|_| counted);
                wrong += usize::from(wanted.is_some_and(|wanted| wanted != service));
            }
            _ => {}
        }
    }
    wrong
}

/// Counts flows that were reset while their holder ran.
///
/// A reset requires two views that agree. If both are wrong at once, the flow is lost; no guarantee
/// covers that case, and [`MatrixHistory::resets_by_wrong_views`] counts it.
fn cut(history: &MatrixHistory) -> usize {
    let all = count_ends(history, true, |holder_ended| !holder_ended);
    all - history.resets_by_wrong_views()
}

/// Counts flows that timed out while their holder ran.
fn flow_broken(history: &MatrixHistory) -> usize {
    count_ends(history, false, |holder_ended| !holder_ended)
}

/// Counts flows whose holder had ended and whose caller received no reset.
///
/// An agent that crashes after it announced that it is leaving is not suspected, so its flows end
/// by their idle timeout; see [`MatrixHistory::timeouts_after_leaving`].
fn dead_flow_silent(history: &MatrixHistory) -> usize {
    let all = count_ends(history, false, |holder_ended| holder_ended);
    all - history.timeouts_after_leaving()
}

/// Counts flows that ended by a reset, or by a timeout if `by_reset` is false, and for which
/// `is_violation` returns true. Its argument says whether the holder had ended by then.
fn count_ends(
    history: &MatrixHistory,
    by_reset: bool,
    is_violation: impl Fn(bool) -> bool,
) -> usize {
    let mut holders: HashMap<u64, AgentStart> = HashMap::new();
    let mut ended: BTreeSet<AgentStart> = BTreeSet::new();
    let mut violations = 0;
    for event in history.events() {
        let (flow, reset) = match event {
            MatrixEvent::FlowHeld { flow, holder } => {
                holders.insert(*flow, *holder);
                continue;
            }
            MatrixEvent::AgentCrashed(start) => {
                ended.insert(*start);
                continue;
            }
            MatrixEvent::FlowReset { flow } => (flow, true),
            MatrixEvent::FlowTimedOut { flow } => (flow, false),
            _ => continue,
        };
        let holder_ended = holders
            .get(flow)
            .is_some_and(|holder| ended.contains(holder));
        violations += usize::from(reset == by_reset && is_violation(holder_ended));
    }
    violations
}

/// Counts flows and requests that a leaving instance accepted after [`LEAVING_GRACE`].
fn new_work_after_leaving(history: &MatrixHistory) -> usize {
    let mut announced: HashMap<AgentAddress, Moment> = HashMap::new();
    let mut late = 0;
    for (now, event) in &history.events {
        match event {
            MatrixEvent::LeavingAnnounced(agent) => {
                announced.entry(*agent).or_insert(*now);
            }
            MatrixEvent::WorkAccepted(agent) => {
                let since = announced.get(agent);
                late += usize::from(since.is_some_and(|since| now.since(*since) > LEAVING_GRACE));
            }
            _ => {}
        }
    }
    late
}

/// Counts applied revisions lower than an earlier one of the same start.
fn revision_reverted(history: &MatrixHistory) -> usize {
    let mut applied: HashMap<(usize, u64), u64> = HashMap::new();
    let mut reverted = 0;
    for event in history.events() {
        if let MatrixEvent::ConfigApplied {
            node,
            start,
            revision,
            ..
        } = event
        {
            let before = applied.insert((*node, *start), *revision);
            reverted += usize::from(before.is_some_and(|before| before > *revision));
        }
    }
    reverted
}

/// Counts applied configurations that differ from the published text or are invalid.
fn invalid_in_force(history: &MatrixHistory) -> usize {
    let invalid =
        |event: &&MatrixEvent| matches!(event, MatrixEvent::ConfigApplied { valid: false, .. });
    history.events().filter(invalid).count()
}

/// Counts nodes that were reachable for [`PROPAGATION_TIMEOUT`] and had not applied the newest
/// revision.
fn late_in_force(history: &MatrixHistory) -> usize {
    let late = history.events().map(|event| match event {
        MatrixEvent::PropagationDue {
            missing,
            reachable_for,
            ..
        } if *reachable_for >= PROPAGATION_TIMEOUT => *missing,
        _ => 0,
    });
    late.sum()
}

/// Counts requests that were started more than once: an event that does not prove "not run" was
/// treated as proof, and the request was sent again.
fn ran_again(history: &MatrixHistory) -> usize {
    let mut starts: HashMap<&str, usize> = HashMap::new();
    let records = history.backends.iter().flat_map(|backend| &backend.records);
    for record in records {
        if let BackendRecord::Start {
            request: Some(request),
            ..
        } = record
        {
            *starts.entry(request).or_default() += 1;
        }
    }
    starts.values().filter(|count| **count > 1).count()
}
