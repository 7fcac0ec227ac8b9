//! The recorded history of one run.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use lovagelatch_history::{BackendHistory, CallerRecord, RunFacts, check_run};

use crate::guarantee::GUARANTEES;
use crate::plan::RunHistory;

/// One start of an agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AgentStart {
    /// The address that the agent listens on.
    pub agent: AgentAddress,
    /// Number of the start, counted from 1 per address.
    pub start: u64,
}

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MatrixEvent {
    /// A fault was injected; the text names the fault and the step.
    Fault(String),
    /// A caller opened a flow.
    FlowOpened {
        /// Number of the flow.
        flow: u64,
        /// The service that the flow is meant for; `None` while the address moves between services.
        service: Option<ServiceId>,
    },
    /// The caller received the first response of the agent that holds the flow from now on.
    FlowHeld {
        /// Number of the flow.
        flow: u64,
        /// The agent that holds the flow.
        holder: AgentStart,
    },
    /// An agent's endpoint accepted a packet.
    PacketAccepted {
        /// Number of the flow.
        flow: u64,
        /// The agent that accepted it.
        receiver: AgentStart,
        /// The service of the receiver.
        service: ServiceId,
        /// Whether the endpoint treated it as a packet of an open flow.
        open: bool,
    },
    /// The caller accepted a reset as valid, which ended the flow.
    FlowReset {
        /// Number of the flow.
        flow: u64,
    },
    /// The caller received nothing until its idle timeout, which ended the flow.
    FlowTimedOut {
        /// Number of the flow.
        flow: u64,
    },
    /// The service address moved to another service.
    AddressMoved,
    /// A view is wrong about a running agent: a balancer considers it gone, or its peers suspect
    /// it.
    WrongView {
        /// The running agent.
        agent: AgentAddress,
        /// Whether a balancer considers the agent gone; otherwise its peers suspect it.
        gone: bool,
    },
    /// An agent ended without announcing that it leaves.
    AgentCrashed(AgentStart),
    /// An instance announced that it is leaving.
    LeavingAnnounced(AgentAddress),
    /// An instance accepted a new flow or a new request.
    WorkAccepted(AgentAddress),
    /// A configuration was published on the platform.
    Published {
        /// Revision that the platform assigned.
        revision: u64,
        /// Whether the text is a valid configuration.
        valid: bool,
    },
    /// A node applied another revision.
    ConfigApplied {
        /// Index of the node.
        node: usize,
        /// Number of the start of the node, counted from 1.
        start: u64,
        /// The revision now in force.
        revision: u64,
        /// Whether its content is that of the published text and that text is valid.
        valid: bool,
    },
    /// The time within which every reachable node must apply the newest revision has elapsed.
    PropagationDue {
        /// The newest valid revision.
        revision: u64,
        /// Number of reachable nodes that have not applied it.
        missing: usize,
        /// How long the set of reachable nodes and the newest revision have been unchanged.
        reachable_for: Duration,
    },
}

/// The recorded history of one run.
#[derive(Clone, Debug, Default)]
pub struct MatrixHistory {
    /// Events in order of time.
    pub events: Vec<(Moment, MatrixEvent)>,
    /// What callers observed, in the record format of the launcher.
    pub callers: Vec<CallerRecord>,
    /// What the backend servers did, in the same format.
    pub backends: Vec<BackendHistory>,
    /// What the simulation itself did to callers and backend servers.
    pub facts: RunFacts,
}

impl MatrixHistory {
    /// Appends an event.
    pub fn record(&mut self, now: Moment, event: MatrixEvent) {
        self.events.push((now, event));
    }

    pub(crate) fn events(&self) -> impl Iterator<Item = &MatrixEvent> {
        self.events.iter().map(|(_, event)| event)
    }

    pub(crate) fn holders(&self) -> HashMap<u64, AgentStart> {
        let held = self.events().filter_map(|event| match event {
            MatrixEvent::FlowHeld { flow, holder } => Some((*flow, *holder)),
            _ => None,
        });
        held.collect()
    }
}

impl RunHistory for MatrixHistory {
    fn violations(&self) -> BTreeMap<&'static str, usize> {
        let mut counts: BTreeMap<&'static str, usize> = GUARANTEES
            .iter()
            .map(|(name, check)| (*name, check(self)))
            .collect();
        let report = check_run(&self.callers, &self.backends, &self.facts);
        let checked = [
            ("ran_twice", report.ran_twice),
            ("not_run_but_ran", report.not_run_but_ran),
            ("wrong_service", report.wrong_service),
            ("crossed", report.crossed),
            ("cut", report.cut),
            ("new_work_after_leaving", report.new_work_after_leaving),
        ];
        for (name, count) in checked {
            *counts.entry(name).or_default() += usize::try_from(count).unwrap_or(usize::MAX);
        }
        counts.retain(|_, count| *count > 0);
        counts
    }

    fn tail(&self, count: usize) -> String {
        let mut lines = last_lines(&self.events, count);
        lines.extend(last_lines(&self.callers, count));
        for backend in &self.backends {
            lines.extend(last_lines(&backend.records, count));
        }
        lines.join("\n")
    }

    fn timeouts_after_leaving(&self) -> usize {
        let holders = self.holders();
        let mut leaving = BTreeSet::new();
        let mut ended = BTreeSet::new();
        let mut count = 0;
        for event in self.events() {
            match event {
                MatrixEvent::LeavingAnnounced(agent) => {
                    leaving.insert(*agent);
                }
                MatrixEvent::AgentCrashed(start) if leaving.contains(&start.agent) => {
                    ended.insert(*start);
                }
                MatrixEvent::FlowTimedOut { flow } => {
                    let holder = holders.get(flow);
                    count += usize::from(holder.is_some_and(|holder| ended.contains(holder)));
                }
                _ => {}
            }
        }
        count
    }

    fn injected_faults(&self) -> usize {
        let is_fault = |event: &&MatrixEvent| matches!(event, MatrixEvent::Fault(_));
        self.events().filter(is_fault).count()
    }

    /// Counts resets of flows whose holder ran while a balancer considered it gone and its peers
    /// suspected it.
    fn resets_by_wrong_views(&self) -> usize {
        let wrong = |agent, wanted| {
            self.events().any(|event| {
                let MatrixEvent::WrongView {
                    agent: running,
                    gone,
                } = event
                else {
                    return false;
                };
                *running == agent && *gone == wanted
            })
        };
        let holders = self.holders();
        let mut ended = BTreeSet::new();
        let mut count = 0;
        for event in self.events() {
            match event {
                MatrixEvent::AgentCrashed(start) => {
                    ended.insert(*start);
                }
                MatrixEvent::FlowReset { flow } => {
                    let holder = holders.get(flow).filter(|holder| !ended.contains(holder));
                    let both = |holder: &&AgentStart| {
                        wrong(holder.agent, true) && wrong(holder.agent, false)
                    };
                    count += usize::from(holder.filter(both).is_some());
                }
                _ => {}
            }
        }
        count
    }
}

fn last_lines<T: std::fmt::Debug>(records: &[T], count: usize) -> Vec<String> {
    let first = records.len().saturating_sub(count);
    let shown = records[first..].iter();
    shown.map(|record| format!("  {record:?}")).collect()
}
