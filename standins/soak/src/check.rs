//! Checks the guarantees on what callers and backend servers observe.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;

use crate::availability::ServiceAvailability;
use crate::event::{LoadFigures, SoakEvent, SoakFinding, StartNumber};
use crate::load_check::LoadCheck;

/// Time after its announcement to leave in which a target may still receive new flows. Includes an
/// allowance for scheduling delays of the soak's own threads.
const LEAVING_GRACE: Duration = Duration::from_millis(3_500);

/// Time after its publication in which a configuration comes into force. Includes the same
/// allowance.
const CONFIG_GRACE: Duration = Duration::from_millis(3_500);

/// Time after a disturbance in which its effects are tolerated: the users count machines as
/// undisturbed after four seconds.
pub(crate) const DISTURBANCE_WINDOW: Duration = Duration::from_secs(4);

/// Time within which one of the packets that a client sends on an open flow must reach the target.
/// A balancer that is killed leaves the rotation within a second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct LogState {
    /// Target that each open flow belongs to.
    flow_targets: HashMap<FlowKey, StartNumber>,
    ended: HashMap<StartNumber, Instant>,
    leaving: HashMap<StartNumber, Instant>,
    /// Index of each target's service.
    services: HashMap<StartNumber, u8>,
    /// The service that each address is routed to, and when that was first published.
    routes: HashMap<SocketAddrV4, (u8, Instant)>,
    disturbed_targets: HashMap<StartNumber, Instant>,
    all_targets_disturbed: Option<Instant>,
    disturbed_balancers: HashMap<Ipv4Addr, Instant>,
    store_disturbed: Option<Instant>,
    /// Time at which a packet of each flow last reached the flow's target.
    reached: HashMap<FlowKey, Instant>,
    /// Flows that were reset before they opened.
    refused: HashMap<FlowKey, Instant>,
    availability: ServiceAvailability,
    load: LoadCheck,
    runs: HashMap<u64, u32>,
    /// Requests with the flows that they ran on.
    runs_on_flows: HashSet<(u64, FlowKey)>,
    calm: bool,
    served: u64,
    failed: u64,
    findings: Vec<SoakFinding>,
    counts: BTreeMap<&'static str, u64>,
}

/// Records the events of all threads and checks the guarantees on each event as it arrives.
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
    /// Creates an empty log that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Records an event that happens now and checks the guarantees on it.
    pub fn record(&self, event: SoakEvent) {
        self.record_at(event, Instant::now());
    }

    /// Records an event that happens at `now` and checks the guarantees on it.
    pub fn record_at(&self, event: SoakEvent, now: Instant) {
        let mut state = self.lock();
        let violated = state.check(event, now);
        if let Some(guarantee) = violated {
            let at_ms = u64::try_from(now.saturating_duration_since(self.start).as_millis())
                .unwrap_or(u64::MAX);
            *state.counts.entry(guarantee).or_default() += 1;
            state.findings.push(SoakFinding {
                guarantee,
                event,
                at_ms,
            });
        }
    }

    /// Returns the violations so far.
    #[must_use]
    pub fn findings(&self) -> Vec<SoakFinding> {
        self.lock().findings.clone()
    }

    /// Returns the time of the log's creation.
    #[must_use]
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Returns the figures of the load so far.
    #[must_use]
    pub fn load_figures(&self) -> LoadFigures {
        self.lock().load.figures()
    }

    /// Returns the number of requests served and of requests failed.
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
    /// Applies an event and returns the guarantee that it violates, if any.
    fn check(&mut self, event: SoakEvent, now: Instant) -> Option<&'static str> {
        if event.is_disturbance() {
            self.load.record_disturbed(now);
        }
        match event {
            SoakEvent::Accepted {
                flow,
                target,
                allowed,
            } => {
                if allowed && self.is_outdated(&flow, target, now) {
                    return Some("old_configuration");
                }
                let announced = self.leaving.get(&target);
                let late = announced.is_some_and(|announced| now - *announced > LEAVING_GRACE);
                let tolerated = self.is_disturbed(target, now);
                if !allowed {
                    return Some("wrong_service");
                }
                return (late && !tolerated).then_some("new_flow_after_leaving");
            }
            SoakEvent::Opened { flow, target } => {
                self.flow_targets.insert(flow, target);
            }
            SoakEvent::TargetStarted { target, service } => {
                self.services.insert(target, service);
                self.availability.record_started(target, service, now);
            }
            SoakEvent::TargetEnded(target) => {
                self.ended.insert(target, now);
                self.availability.record_ended(target);
            }
            SoakEvent::TargetLeaving(target) => {
                self.leaving.entry(target).or_insert(now);
                self.availability.record_withdrawn(target);
            }
            SoakEvent::EntryUnreadable(target) => self.availability.record_withdrawn(target),
            SoakEvent::EntryRestored(target) => self.availability.record_restored(target, now),
            SoakEvent::RoutePublished { address, service } => {
                let known = self.routes.get(&address);
                if known.is_none_or(|(known, _)| *known != service) {
                    self.routes.insert(address, (service, now));
                }
                self.availability.record_route(address, service);
            }
            SoakEvent::OpeningEnded {
                address,
                balancer,
                opened: true,
                ..
            } => self.availability.record_opened(address, balancer),
            SoakEvent::OpeningEnded {
                address,
                balancer,
                since,
                opened: false,
            } => return self.check_failed_opening(address, balancer, since, now),
            SoakEvent::TargetDisturbed(target) => {
                self.disturbed_targets.insert(target, now);
                self.availability.record_disturbed(target, now);
            }
            SoakEvent::AllTargetsDisturbed => {
                self.all_targets_disturbed = Some(now);
                self.availability.record_all_disturbed(now);
            }
            SoakEvent::BalancerDisturbed(balancer) => {
                self.disturbed_balancers.insert(balancer, now);
                self.availability.record_balancer_disturbed(balancer);
            }
            SoakEvent::StoreDisturbed => {
                self.store_disturbed = Some(now);
                self.availability.record_store_disturbed(now);
            }
            SoakEvent::PacketReached(flow) => {
                self.reached.insert(flow, now);
            }
            SoakEvent::Silent {
                flow,
                since,
                balancer,
            } => return self.check_silence(&flow, since, balancer, now),
            SoakEvent::ResetOpen(flow) => return self.check_reset(&flow, now),
            SoakEvent::ResetBeforeOpen(flow) => {
                self.refused.insert(flow, now);
            }
            SoakEvent::Ran { request, flow } => return self.check_run(request, &flow),
            SoakEvent::Served { own, .. } => {
                self.served += 1;
                return (!own).then_some("not_its_own_answer");
            }
            SoakEvent::Failed(_) => {
                self.failed += 1;
                return self.calm.then_some("not_recovered");
            }
            SoakEvent::AgentStarted(target) => self.load.record_agent_started(target, now),
            SoakEvent::BalancerStarted(balancer) => {
                self.load.record_balancer_started(balancer, now);
            }
            SoakEvent::RushActive => {
                self.load.record_rush(now);
                self.availability.record_all_disturbed(now);
            }
            SoakEvent::TargetFull(target) => self.availability.record_disturbed(target, now),
            SoakEvent::Rejected(_) => self.load.record_rejected(),
            SoakEvent::OverLimit { target, oldest, .. } => {
                return self.load.check_over_limit(target, oldest, now);
            }
            SoakEvent::SegmentReached {
                flow,
                target,
                balancer,
                sent,
            } => {
                let disturbed = self.is_path_disturbed(target, balancer, now);
                return self
                    .load
                    .check_segment(&flow, balancer, sent, disturbed, now);
            }
            SoakEvent::DataChanged { .. } => return Some("bytes_changed"),
            SoakEvent::Slow { since, .. } => return self.load.check_slow(since),
            SoakEvent::CalmStarted => self.calm = true,
            SoakEvent::FaultInjected => self.calm = false,
        }
        None
    }

    /// Checks that a balancer that has not been disturbed within [`DISTURBANCE_WINDOW`] opens flows
    /// of a service that has an available target.
    fn check_failed_opening(
        &mut self,
        address: SocketAddrV4,
        balancer: Ipv4Addr,
        since: Instant,
        now: Instant,
    ) -> Option<&'static str> {
        let disturbed = self.disturbed_balancers.get(&balancer);
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        if disturbed.is_some_and(recent) {
            return None;
        }
        let unserved = self
            .availability
            .record_failed(address, balancer, since, now);
        unserved.then_some("service_unserved")
    }

    /// Returns whether a target accepts a flow that the configuration in force for longer than
    /// [`CONFIG_GRACE`] sends to another service, without a disturbance.
    fn is_outdated(&self, flow: &FlowKey, target: StartNumber, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        let disturbed =
            self.is_disturbed(target, now) || self.store_disturbed.as_ref().is_some_and(recent);
        let accepted_by = self.services.get(&target);
        let route = self.routes.get(&flow.service_address);
        let outdated = route.is_some_and(|(service, since)| {
            accepted_by.is_some_and(|accepted_by| accepted_by != service)
                && now.saturating_duration_since(*since) > CONFIG_GRACE
        });
        outdated && !disturbed
    }

    fn check_reset(&self, flow: &FlowKey, now: Instant) -> Option<&'static str> {
        let target = self.flow_targets.get(flow)?;
        let alive = !self.ended.contains_key(target);
        (alive && !self.is_disturbed(*target, now)).then_some("open_flow_reset")
    }

    /// Checks that packets of an open flow reach its target within [`SILENCE_TIMEOUT`] through any
    /// balancer, unless the target, that balancer or the store was disturbed within
    /// [`DISTURBANCE_WINDOW`].
    fn check_silence(
        &self,
        flow: &FlowKey,
        since: Instant,
        balancer: Ipv4Addr,
        now: Instant,
    ) -> Option<&'static str> {
        let target = self.flow_targets.get(flow)?;
        let reached = self.reached.get(flow).is_some_and(|at| *at >= since);
        let alive = !self.ended.contains_key(target);
        let timed_out = now.saturating_duration_since(since) >= SILENCE_TIMEOUT;
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        let tolerated = self.is_disturbed(*target, now)
            || self.store_disturbed.as_ref().is_some_and(recent)
            || self.disturbed_balancers.get(&balancer).is_some_and(recent);
        (alive && timed_out && !reached && !tolerated).then_some("open_flow_silent")
    }

    fn check_run(&mut self, request: u64, flow: &FlowKey) -> Option<&'static str> {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 && request % 2 == 1 {
            return Some("ran_twice");
        }
        // A client sends a request once on each flow, so only a copy can run there again.
        if !self.runs_on_flows.insert((request, *flow)) {
            return Some("copy_ran");
        }
        self.refused.contains_key(flow).then_some("refused_but_ran")
    }

    /// Returns whether a packet's target, the target's agent or the balancer was disturbed or
    /// started within [`DISTURBANCE_WINDOW`].
    fn is_path_disturbed(&self, target: StartNumber, balancer: Ipv4Addr, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        self.is_disturbed(target, now)
            || self.disturbed_balancers.get(&balancer).is_some_and(recent)
            || self.load.has_restarted(target, balancer, now)
    }

    /// Returns whether a target was disturbed within [`DISTURBANCE_WINDOW`].
    fn is_disturbed(&self, target: StartNumber, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        self.disturbed_targets.get(&target).is_some_and(recent)
            || self.all_targets_disturbed.as_ref().is_some_and(recent)
    }
}
