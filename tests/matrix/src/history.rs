//! What happened in one run, and the promises as functions over it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use lovagelatch_history::{BackendHistory, BackendRecord, CallerRecord, RunFacts, check_run};

/// How long after its first word new work may still reach a leaving instance.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// How long a published configuration may take to be in force on all that can be reached.
pub const SPREAD_LIMIT: Duration = Duration::from_secs(9);

/// One start of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AgentStart {
    /// Where.
    pub agent: AgentAddress,
    /// Which start at that address.
    pub start: u64,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MatrixEvent {
    /// A fault began.
    Fault(String),
    /// A caller opened a flow.
    FlowOpened {
        /// Its number.
        flow: u64,
        /// The service it is for; `None` while the address passes from one to another.
        service: Option<ServiceId>,
    },
    /// The caller has the first answer of the agent that holds its flow from now on.
    FlowHeld {
        /// Its number.
        flow: u64,
        /// The holder.
        holder: AgentStart,
    },
    /// An agent's endpoint took a packet.
    PacketTaken {
        /// The flow it is of.
        flow: u64,
        /// Who took it.
        taker: AgentStart,
        /// The service of the taker.
        service: ServiceId,
        /// Whether it was taken for a packet of an open flow.
        open: bool,
    },
    /// The caller took a reset for genuine: its flow has ended.
    FlowReset {
        /// Its number.
        flow: u64,
    },
    /// The caller heard nothing until its idle timeout.
    FlowSilent {
        /// Its number.
        flow: u64,
    },
    /// The service address passed to another service.
    AddressPassed,
    /// Two views are wrong about an agent that lives: a balancer holds it to be gone, or its
    /// peers suspect it.
    HeldWrongly {
        /// The agent.
        agent: AgentAddress,
        /// Whether it is held to be gone; else it is suspected.
        gone: bool,
    },
    /// An agent ended without a word.
    AgentEnded(AgentStart),
    /// An instance said that it is leaving.
    LeavingSaid(AgentAddress),
    /// A new flow or a new request was taken.
    WorkTaken(AgentAddress),
    /// The platform accepted a text.
    Published {
        /// Its revision.
        revision: u64,
        /// Whether the text is valid.
        valid: bool,
    },
    /// A node has another revision in force.
    InForce {
        /// The node.
        node: usize,
        /// Which start of it.
        start: u64,
        /// The revision.
        revision: u64,
        /// Whether its content is that of the published, valid text.
        sound: bool,
    },
    /// The time within which all that can be reached must have the newest revision is over.
    SpreadDue {
        /// The newest valid revision.
        revision: u64,
        /// Nodes that can be reached and have it not.
        missing: usize,
        /// How long it has been possible to reach them.
        reachable_for: Duration,
    },
}

/// What happened in one run.
#[derive(Clone, Debug, Default)]
pub struct MatrixHistory {
    /// What happened, in order.
    pub events: Vec<(Moment, MatrixEvent)>,
    /// What callers saw, in the form of the launcher's histories.
    pub callers: Vec<CallerRecord>,
    /// What the backend servers did, in the same form.
    pub backends: Vec<BackendHistory>,
    /// What the run itself did to callers and backend servers.
    pub facts: RunFacts,
}

type Promise = (&'static str, fn(&MatrixHistory) -> usize);

/// The promises that are checked on each history.
pub const PROMISES: [Promise; 10] = [
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

impl MatrixHistory {
    /// Notes what happened.
    pub fn note(&mut self, now: Moment, event: MatrixEvent) {
        self.events.push((now, event));
    }

    /// How often each promise was broken; only the broken ones.
    #[must_use]
    pub fn violations(&self) -> BTreeMap<&'static str, usize> {
        let mut counts: BTreeMap<&'static str, usize> = PROMISES
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

    /// The last records as text.
    #[must_use]
    pub fn tail(&self, count: usize) -> String {
        let mut lines = last_lines(&self.events, count);
        lines.extend(last_lines(&self.callers, count));
        for backend in &self.backends {
            lines.extend(last_lines(&backend.records, count));
        }
        lines.join("\n")
    }

    /// Flows that went silent because their holder died while it was leaving.
    #[must_use]
    pub fn silent_since_leaving(&self) -> usize {
        let holders = self.holders();
        let mut leaving = BTreeSet::new();
        let mut ended = BTreeSet::new();
        let mut count = 0;
        for event in self.events() {
            match event {
                MatrixEvent::LeavingSaid(agent) => {
                    leaving.insert(*agent);
                }
                MatrixEvent::AgentEnded(start) if leaving.contains(&start.agent) => {
                    ended.insert(*start);
                }
                MatrixEvent::FlowSilent { flow } => {
                    let holder = holders.get(flow);
                    count += usize::from(holder.is_some_and(|holder| ended.contains(holder)));
                }
                _ => {}
            }
        }
        count
    }

    /// How many faults struck.
    #[must_use]
    pub fn faults(&self) -> usize {
        let fault = |event: &&MatrixEvent| matches!(event, MatrixEvent::Fault(_));
        self.events().filter(fault).count()
    }

    /// Flows that were reset while their holder ran, a balancer held it to be gone and its peers
    /// suspected it.
    #[must_use]
    pub fn cut_by_two_wrong_views(&self) -> usize {
        let wrong = |agent, wanted| {
            self.events().any(|event| {
                let MatrixEvent::HeldWrongly { agent: held, gone } = event else {
                    return false;
                };
                *held == agent && *gone == wanted
            })
        };
        let holders = self.holders();
        let mut ended = BTreeSet::new();
        let mut count = 0;
        for event in self.events() {
            match event {
                MatrixEvent::AgentEnded(start) => {
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

    fn events(&self) -> impl Iterator<Item = &MatrixEvent> {
        self.events.iter().map(|(_, event)| event)
    }

    fn holders(&self) -> HashMap<u64, AgentStart> {
        let held = self.events().filter_map(|event| match event {
            MatrixEvent::FlowHeld { flow, holder } => Some((*flow, *holder)),
            _ => None,
        });
        held.collect()
    }
}

fn last_lines<T: std::fmt::Debug>(records: &[T], count: usize) -> Vec<String> {
    let first = records.len().saturating_sub(count);
    let shown = records[first..].iter();
    shown.map(|record| format!("  {record:?}")).collect()
}

/// Packets of an open flow that were taken by another agent than its holder.
fn flow_moved_agent(history: &MatrixHistory) -> usize {
    let holders = history.holders();
    let moved = history.events().filter(|event| match event {
        MatrixEvent::PacketTaken {
            flow,
            taker,
            open: true,
            ..
        } => holders.get(flow).is_some_and(|holder| holder != taker),
        _ => false,
    });
    moved.count()
}

/// Packets that were taken by an agent of another service than the flow's.
///
/// A handshake that is under way when its address passes to another service may end at either:
/// nothing in its first packets says what its caller wants but that address.
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
            MatrixEvent::AddressPassed => wanted.retain(|flow, _| held.contains(flow)),
            MatrixEvent::PacketTaken {
                flow,
                service,
                open,
                ..
            } => {
                // A late copy of a first packet says no more than the first one did.
                let judged = *open || !held.contains(flow);
                let wanted = wanted.get(flow).filter(|_| judged);
                wrong += usize::from(wanted.is_some_and(|wanted| wanted != service));
            }
            _ => {}
        }
    }
    wrong
}

/// Flows that were reset while their holder ran.
///
/// A reset needs two views that agree. Where both are wrong at once, the flow is lost; that is
/// counted by [`MatrixHistory::cut_by_two_wrong_views`] and promised nowhere.
fn cut(history: &MatrixHistory) -> usize {
    let all = count_ends(history, true, |holder_ended| !holder_ended);
    all - history.cut_by_two_wrong_views()
}

/// Flows that went silent while their holder ran.
fn flow_broken(history: &MatrixHistory) -> usize {
    count_ends(history, false, |holder_ended| !holder_ended)
}

/// Flows whose holder had ended and whose caller was not told by a reset.
///
/// An agent that dies after it said that it is leaving is not suspected, and its flows end by
/// their idle timeout; see [`MatrixHistory::silent_since_leaving`].
fn dead_flow_silent(history: &MatrixHistory) -> usize {
    let all = count_ends(history, false, |holder_ended| holder_ended);
    all - history.silent_since_leaving()
}

/// Counts flows that ended by a reset, or else by silence, and that `is_broken` finds wrong. It
/// is told whether the flow's holder had ended by then.
fn count_ends(history: &MatrixHistory, by_reset: bool, is_broken: impl Fn(bool) -> bool) -> usize {
    let mut holders: HashMap<u64, AgentStart> = HashMap::new();
    let mut ended: BTreeSet<AgentStart> = BTreeSet::new();
    let mut broken = 0;
    for event in history.events() {
        let (flow, reset) = match event {
            MatrixEvent::FlowHeld { flow, holder } => {
                holders.insert(*flow, *holder);
                continue;
            }
            MatrixEvent::AgentEnded(start) => {
                ended.insert(*start);
                continue;
            }
            MatrixEvent::FlowReset { flow } => (flow, true),
            MatrixEvent::FlowSilent { flow } => (flow, false),
            _ => continue,
        };
        let holder_ended = holders.get(flow).is_some_and(|one| ended.contains(one));
        broken += usize::from(reset == by_reset && is_broken(holder_ended));
    }
    broken
}

/// New work that a leaving instance took later than it may.
fn new_work_after_leaving(history: &MatrixHistory) -> usize {
    let mut said: HashMap<AgentAddress, Moment> = HashMap::new();
    let mut late = 0;
    for (now, event) in &history.events {
        match event {
            MatrixEvent::LeavingSaid(agent) => {
                said.entry(*agent).or_insert(*now);
            }
            MatrixEvent::WorkTaken(agent) => {
                let said = said.get(agent);
                late += usize::from(said.is_some_and(|said| now.since(*said) > LEAVING_GRACE));
            }
            _ => {}
        }
    }
    late
}

/// Revisions in force that were below an earlier one of the same start.
fn revision_reverted(history: &MatrixHistory) -> usize {
    let mut held: HashMap<(usize, u64), u64> = HashMap::new();
    let mut reverted = 0;
    for event in history.events() {
        if let MatrixEvent::InForce {
            node,
            start,
            revision,
            ..
        } = event
        {
            let before = held.insert((*node, *start), *revision);
            reverted += usize::from(before.is_some_and(|before| before > *revision));
        }
    }
    reverted
}

/// Contents in force that were never accepted.
fn invalid_in_force(history: &MatrixHistory) -> usize {
    let unsound = |event: &&MatrixEvent| matches!(event, MatrixEvent::InForce { sound: false, .. });
    history.events().filter(unsound).count()
}

/// Nodes that could be reached for long enough and had the newest revision not in force.
fn late_in_force(history: &MatrixHistory) -> usize {
    let late = history.events().map(|event| match event {
        MatrixEvent::SpreadDue {
            missing,
            reachable_for,
            ..
        } if *reachable_for >= SPREAD_LIMIT => *missing,
        _ => 0,
    });
    late.sum()
}

/// Requests that were started more than once: something that was no proof of not run was taken
/// for one, and the request sent again.
fn ran_again(history: &MatrixHistory) -> usize {
    let mut starts: HashMap<&str, usize> = HashMap::new();
    let records = history.backends.iter().flat_map(|one| &one.records);
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
