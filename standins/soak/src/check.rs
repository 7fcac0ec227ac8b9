//! What callers and backend servers saw, and the promises over it.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;

/// How long after its announcement a target may be given new flows, with the time that the soak's
/// own threads may be late.
const LEAVING_GRACE: Duration = Duration::from_millis(3_500);

/// How long after a disturbance its effects are excused: the users count machines as undisturbed
/// after four seconds.
const EXCUSE: Duration = Duration::from_secs(4);

/// How long a client may send on an open flow before one of its packets must reach the target. A
/// balancer that dies is taken out of rotation after a second at the most.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// The number of one start of a target.
pub type TargetStart = u32;

/// One thing that somebody saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakEvent {
    /// A target took a flow's first packet; `allowed` says whether a configuration ever sent the
    /// flow's address to its service.
    Accepted {
        /// The flow.
        flow: FlowKey,
        /// The target.
        target: TargetStart,
        /// See the variant.
        allowed: bool,
    },
    /// A flow opened at a target.
    Opened {
        /// The flow.
        flow: FlowKey,
        /// The target.
        target: TargetStart,
    },
    /// A target ended, or lost its flows.
    Ended(TargetStart),
    /// A target announced that it leaves.
    Leaving(TargetStart),
    /// A target, its agent or the way there is disturbed.
    Disturbed(TargetStart),
    /// Every target is.
    AllDisturbed,
    /// A balancer is: killed, or cut off from the store.
    BalancerDisturbed(Ipv4Addr),
    /// The store is.
    StoreDisturbed,
    /// A packet of an open flow reached its own target.
    Reached(FlowKey),
    /// A client has sent on an open flow since then, and nothing came back.
    Silent {
        /// The flow.
        flow: FlowKey,
        /// When the client began to send.
        since: Instant,
        /// The balancer that its last packet went to.
        balancer: Ipv4Addr,
    },
    /// A client took a reset of its open flow that no target sent.
    ResetOpen(FlowKey),
    /// A client took a reset of a flow that had not opened.
    ResetBefore(FlowKey),
    /// A target began to run a request.
    Ran {
        /// The request; odd numbers may run once at most.
        request: u64,
        /// The flow it came on.
        flow: FlowKey,
    },
    /// A client got a response; `own` says whether it was whole and its own.
    Served {
        /// The request.
        request: u64,
        /// See the variant.
        own: bool,
    },
    /// A client gave a request up.
    Failed(u64),
    /// Everything has been calm for long enough: requests that begin now must be served.
    Calm,
    /// Something is wrong again.
    Fault,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// Which.
    pub promise: &'static str,
    /// What was seen.
    pub event: SoakEvent,
    /// When, in milliseconds from the start.
    pub at: u64,
}

#[derive(Debug, Default)]
struct LogState {
    homes: HashMap<FlowKey, TargetStart>,
    ended: HashMap<TargetStart, Instant>,
    leaving: HashMap<TargetStart, Instant>,
    disturbed: HashMap<TargetStart, Instant>,
    all_disturbed: Option<Instant>,
    balancers_disturbed: HashMap<Ipv4Addr, Instant>,
    store_disturbed: Option<Instant>,
    /// When a packet last reached its flow's target.
    reached: HashMap<FlowKey, Instant>,
    refused: HashMap<FlowKey, Instant>,
    runs: HashMap<u64, u32>,
    calm: bool,
    served: u64,
    failed: u64,
    findings: Vec<SoakFinding>,
    counts: BTreeMap<&'static str, u64>,
}

/// Takes what everybody saw and judges it at once.
#[derive(Debug)]
pub struct SoakLog {
    start: Instant,
    state: Mutex<LogState>,
}

impl Default for SoakLog {
    fn default() -> Self {
        Self::new()
    }
}

impl SoakLog {
    /// A log that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Takes one event.
    pub fn note(&self, event: SoakEvent) {
        let now = Instant::now();
        let mut state = self.lock();
        let broken = state.judge(event, now);
        if let Some(promise) = broken {
            let at = u64::try_from((now - self.start).as_millis()).unwrap_or(u64::MAX);
            *state.counts.entry(promise).or_default() += 1;
            state.findings.push(SoakFinding { promise, event, at });
        }
    }

    /// The broken promises so far.
    #[must_use]
    pub fn findings(&self) -> Vec<SoakFinding> {
        self.lock().findings.clone()
    }

    /// Requests that were served and that failed.
    #[must_use]
    pub fn outcomes(&self) -> (u64, u64) {
        let state = self.lock();
        (state.served, state.failed)
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogState {
    /// Takes an event; the promise that it breaks, if any.
    fn judge(&mut self, event: SoakEvent, now: Instant) -> Option<&'static str> {
        match event {
            SoakEvent::Accepted {
                target, allowed, ..
            } => {
                let said = self.leaving.get(&target);
                let late = said.is_some_and(|said| now - *said > LEAVING_GRACE);
                let excused = self.is_excused(target, now);
                if !allowed {
                    return Some("wrong_service");
                }
                return (late && !excused).then_some("new_flow_after_leaving");
            }
            SoakEvent::Opened { flow, target } => {
                self.homes.insert(flow, target);
            }
            SoakEvent::Ended(target) => {
                self.ended.insert(target, now);
            }
            SoakEvent::Leaving(target) => {
                self.leaving.entry(target).or_insert(now);
            }
            SoakEvent::Disturbed(target) => {
                self.disturbed.insert(target, now);
            }
            SoakEvent::AllDisturbed => self.all_disturbed = Some(now),
            SoakEvent::BalancerDisturbed(balancer) => {
                self.balancers_disturbed.insert(balancer, now);
            }
            SoakEvent::StoreDisturbed => self.store_disturbed = Some(now),
            SoakEvent::Reached(flow) => {
                self.reached.insert(flow, now);
            }
            SoakEvent::Silent {
                flow,
                since,
                balancer,
            } => return self.judge_silence(&flow, since, balancer, now),
            SoakEvent::ResetOpen(flow) => return self.judge_reset(&flow, now),
            SoakEvent::ResetBefore(flow) => {
                self.refused.insert(flow, now);
            }
            SoakEvent::Ran { request, flow } => return self.judge_run(request, &flow),
            SoakEvent::Served { own, .. } => {
                self.served += 1;
                return (!own).then_some("not_its_own_answer");
            }
            SoakEvent::Failed(_) => {
                self.failed += 1;
                return self.calm.then_some("not_recovered");
            }
            SoakEvent::Calm => self.calm = true,
            SoakEvent::Fault => self.calm = false,
        }
        None
    }

    fn judge_reset(&self, flow: &FlowKey, now: Instant) -> Option<&'static str> {
        let home = self.homes.get(flow)?;
        let lives = !self.ended.contains_key(home);
        (lives && !self.is_excused(*home, now)).then_some("open_flow_reset")
    }

    /// An open flow's packets must reach its target within [`SILENCE_LIMIT`], whichever balancer
    /// takes them, unless the target, that balancer or the store was disturbed a moment ago.
    fn judge_silence(
        &self,
        flow: &FlowKey,
        since: Instant,
        balancer: Ipv4Addr,
        now: Instant,
    ) -> Option<&'static str> {
        let home = self.homes.get(flow)?;
        let reached = self.reached.get(flow).is_some_and(|at| *at >= since);
        let lives = !self.ended.contains_key(home);
        let long = now.saturating_duration_since(since) >= SILENCE_LIMIT;
        let recent = |at: &Instant| now.saturating_duration_since(*at) < EXCUSE;
        let excused = self.is_excused(*home, now)
            || self.store_disturbed.as_ref().is_some_and(recent)
            || self.balancers_disturbed.get(&balancer).is_some_and(recent);
        (lives && long && !reached && !excused).then_some("open_flow_silent")
    }

    fn judge_run(&mut self, request: u64, flow: &FlowKey) -> Option<&'static str> {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 && request % 2 == 1 {
            return Some("ran_twice");
        }
        self.refused.contains_key(flow).then_some("refused_but_ran")
    }

    fn is_excused(&self, target: TargetStart, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < EXCUSE;
        self.disturbed.get(&target).is_some_and(recent)
            || self.all_disturbed.as_ref().is_some_and(recent)
    }
}
