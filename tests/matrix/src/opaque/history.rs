//! The recorded history of opaque flows, and the guarantees as checks over it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lovagelatch_domain::{Moment, ServiceId};
use lovagelatch_flows::FlowKey;

use crate::plan::RunHistory;

/// How long the packets of an open flow may be delivered only to targets that do not hold it.
const STRAY_WINDOW: Duration = Duration::from_secs(2);

/// Number of such packets, over at least [`STRAY_WINDOW`], from which on the flow counts as
/// strayed.
const STRAY_PACKET_THRESHOLD: usize = 3;

/// How long after its announcement a leaving target may still accept a flow.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Number of one start of a target, unique within a run.
pub type TargetStart = u32;

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpaqueEvent {
    /// A fault was injected; the text names the fault and the step.
    Fault(String),
    /// An agent held a client's packet until its target has a place.
    Held {
        /// The flow.
        flow: FlowKey,
    },
    /// A target accepted the first packet of a flow.
    Accepted {
        /// The flow.
        flow: FlowKey,
        /// The target.
        target: TargetStart,
        /// The service of the target.
        service: ServiceId,
        /// Whether any configuration of the run routed the flow's address to the service.
        allowed: bool,
        /// Whether its zone had been evacuated for longer than any process needs to learn of it.
        evacuated: bool,
    },
    /// A flow completed its opening at a target.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// The target.
        target: TargetStart,
    },
    /// A packet of an open flow was delivered to a target.
    Delivered {
        /// The flow.
        flow: FlowKey,
        /// The target.
        target: TargetStart,
    },
    /// The system reset an open flow.
    ResetOpen {
        /// The flow.
        flow: FlowKey,
        /// Whether the flow's target and agent ran and could be reached, so that the reset was
        /// wrong.
        reachable: bool,
    },
    /// The system reset a flow before it was open.
    ResetBeforeOpen {
        /// The flow.
        flow: FlowKey,
    },
    /// A target, its agent or the path to it is disturbed at this time.
    Disturbed {
        /// The target.
        target: TargetStart,
    },
    /// A target ended and lost its flows.
    Ended {
        /// The target.
        target: TargetStart,
    },
    /// A target announced that it is leaving.
    Leaving {
        /// The target.
        target: TargetStart,
    },
    /// A target started to run a request.
    Ran {
        /// Number of the request; requests with even numbers are idempotent.
        request: u64,
        /// The flow that it arrived on.
        flow: FlowKey,
    },
    /// A client received the response to a request.
    Served {
        /// Number of the request.
        request: u64,
    },
    /// A client gave up a request.
    Failed {
        /// Number of the request.
        request: u64,
        /// Whether the request was sent after the system should have recovered from all faults.
        after_recovery: bool,
    },
}

/// The recorded history of one run.
#[derive(Clone, Debug, Default)]
pub struct OpaqueHistory {
    events: Vec<(Moment, OpaqueEvent)>,
    /// What the searches for each flow have cost.
    searches: HashMap<FlowKey, SearchCost>,
}

/// What the balancers have sent to find a flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchCost {
    /// Frames that the balancers sent.
    pub frames: usize,
    /// Queries that agents received, from balancers or from delegates.
    pub queries: usize,
}

type NamedCheck = (&'static str, fn(&OpaqueHistory) -> usize);

const GUARANTEES: [NamedCheck; 8] = [
    ("open_flow_reset", open_flow_reset),
    ("strayed", strayed),
    ("wrong_service", wrong_service),
    ("new_flow_after_leaving", new_flow_after_leaving),
    ("new_flow_in_evacuated_zone", new_flow_in_evacuated_zone),
    ("refused_but_ran", refused_but_ran),
    ("ran_twice", ran_twice),
    ("not_recovered", not_recovered),
];

impl OpaqueHistory {
    pub(crate) fn record(&mut self, now: Moment, event: OpaqueEvent) {
        self.events.push((now, event));
    }

    /// Records a frame that queries `agents` agents for a flow.
    pub(crate) fn record_query(&mut self, flow: FlowKey, agents: usize) {
        let cost = self.searches.entry(flow).or_default();
        cost.frames += 1;
        cost.queries += agents;
    }

    /// Returns the costs of the searches, one for each flow that was searched for.
    #[must_use]
    pub fn search_costs(&self) -> Vec<SearchCost> {
        self.searches.values().copied().collect()
    }

    /// Returns the numbers of served and of failed requests.
    #[must_use]
    pub fn outcomes(&self) -> (usize, usize) {
        let count = |wanted: fn(&OpaqueEvent) -> bool| {
            let events = self.events.iter();
            events.filter(|(_, event)| wanted(event)).count()
        };
        (
            count(|event| matches!(event, OpaqueEvent::Served { .. })),
            count(|event| matches!(event, OpaqueEvent::Failed { .. })),
        )
    }
}

impl OpaqueHistory {
    /// Returns the number of packets that agents held.
    #[must_use]
    pub fn held(&self) -> usize {
        let events = self.events.iter();
        let held = events.filter(|(_, event)| matches!(event, OpaqueEvent::Held { .. }));
        held.count()
    }
}

impl RunHistory for OpaqueHistory {
    fn violations(&self) -> BTreeMap<&'static str, usize> {
        let checked = GUARANTEES.iter().map(|(name, check)| (*name, check(self)));
        checked.filter(|(_, count)| *count > 0).collect()
    }

    fn injected_faults(&self) -> usize {
        let is_fault = |(_, event): &&(Moment, OpaqueEvent)| matches!(event, OpaqueEvent::Fault(_));
        self.events.iter().filter(is_fault).count()
    }

    fn tail(&self, count: usize) -> String {
        // Frequent routine events would hide the relevant ones.
        let relevant = self.events.iter().filter(|(_, event)| {
            !matches!(
                event,
                OpaqueEvent::Delivered { .. }
                    | OpaqueEvent::Ran { .. }
                    | OpaqueEvent::Served { .. }
                    | OpaqueEvent::Disturbed { .. }
            )
        });
        let relevant: Vec<_> = relevant.collect();
        let first = relevant.len().saturating_sub(count);
        let lines = relevant[first..].iter().map(|(now, event)| {
            let millis = now.as_micros() / 1_000;
            format!("  {millis} {event:?}")
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Counts open flows that the system reset while their targets were reachable.
fn open_flow_reset(history: &OpaqueHistory) -> usize {
    let wrong = |(_, event): &&(Moment, OpaqueEvent)| {
        matches!(
            event,
            OpaqueEvent::ResetOpen {
                reachable: true,
                ..
            }
        )
    };
    history.events.iter().filter(wrong).count()
}

/// Counts open flows whose packets were delivered only to other targets for [`STRAY_WINDOW`].
fn strayed(history: &OpaqueHistory) -> usize {
    let mut holders: HashMap<FlowKey, TargetStart> = HashMap::new();
    let mut last_disturbed: HashMap<TargetStart, Moment> = HashMap::new();
    let mut ended: BTreeSet<TargetStart> = BTreeSet::new();
    let mut strays: HashMap<FlowKey, Vec<Moment>> = HashMap::new();
    let mut strayed = BTreeSet::new();
    for (now, event) in &history.events {
        match event {
            OpaqueEvent::Opened { flow, target } => {
                holders.insert(*flow, *target);
                strays.remove(flow);
            }
            OpaqueEvent::Disturbed { target } => {
                last_disturbed.insert(*target, *now);
            }
            OpaqueEvent::Ended { target } => {
                ended.insert(*target);
            }
            OpaqueEvent::Delivered { flow, target } => {
                let Some(holder) = holders.get(flow) else {
                    continue;
                };
                if holder == target {
                    strays.remove(flow);
                    continue;
                }
                let disturbed = last_disturbed.get(holder);
                let is_undisturbed =
                    disturbed.is_none_or(|since| now.since(*since) > STRAY_WINDOW * 2);
                if ended.contains(holder) || !is_undisturbed {
                    continue;
                }
                let seen = strays.entry(*flow).or_default();
                seen.push(*now);
                let elapsed = now.since(seen[0]);
                if seen.len() >= STRAY_PACKET_THRESHOLD && elapsed >= STRAY_WINDOW {
                    strayed.insert(*flow);
                }
            }
            _ => {}
        }
    }
    strayed.len()
}

/// Counts first packets that a target accepted for an address never routed to its service.
fn wrong_service(history: &OpaqueHistory) -> usize {
    let wrong = |(_, event): &&(Moment, OpaqueEvent)| {
        matches!(event, OpaqueEvent::Accepted { allowed: false, .. })
    };
    history.events.iter().filter(wrong).count()
}

/// Counts flows that a target accepted later than [`LEAVING_GRACE`] after its announcement.
fn new_flow_after_leaving(history: &OpaqueHistory) -> usize {
    let mut announced: HashMap<TargetStart, Moment> = HashMap::new();
    let mut late = 0;
    for (now, event) in &history.events {
        match event {
            OpaqueEvent::Leaving { target } => {
                announced.entry(*target).or_insert(*now);
            }
            OpaqueEvent::Accepted { target, .. } => {
                let since = announced.get(target);
                late += usize::from(since.is_some_and(|since| now.since(*since) > LEAVING_GRACE));
            }
            _ => {}
        }
    }
    late
}

/// Counts first packets that a target in an evacuated zone accepted.
fn new_flow_in_evacuated_zone(history: &OpaqueHistory) -> usize {
    let wrong = |(_, event): &&(Moment, OpaqueEvent)| {
        matches!(
            event,
            OpaqueEvent::Accepted {
                evacuated: true,
                ..
            }
        )
    };
    history.events.iter().filter(wrong).count()
}

/// Counts requests that ran on flows that had been reset as never opened.
fn refused_but_ran(history: &OpaqueHistory) -> usize {
    let mut refused = BTreeSet::new();
    let mut ran = 0;
    for (_, event) in &history.events {
        match event {
            OpaqueEvent::ResetBeforeOpen { flow } => {
                refused.insert(*flow);
            }
            OpaqueEvent::Ran { flow, .. } => ran += usize::from(refused.contains(flow)),
            _ => {}
        }
    }
    ran
}

/// Counts non-idempotent requests that ran more than once. Clients retry them only if the flow
/// never opened.
fn ran_twice(history: &OpaqueHistory) -> usize {
    let mut runs: HashMap<u64, usize> = HashMap::new();
    for (_, event) in &history.events {
        if let OpaqueEvent::Ran { request, .. } = event {
            // Requests with even numbers are idempotent.
            *runs.entry(*request).or_default() += usize::from(request % 2 == 1);
        }
    }
    runs.values().filter(|count| **count > 1).count()
}

/// Counts idempotent requests that started after recovery from all faults and failed. A
/// non-idempotent request on a flow whose target is gone cannot be retried, so its failure is
/// expected.
fn not_recovered(history: &OpaqueHistory) -> usize {
    let failed = |(_, event): &&(Moment, OpaqueEvent)| match event {
        OpaqueEvent::Failed {
            request,
            after_recovery,
        } => *after_recovery && request % 2 == 0,
        _ => false,
    };
    history.events.iter().filter(failed).count()
}
