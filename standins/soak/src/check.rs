//! Checks the guarantees on what callers and backend servers observe.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;

use crate::availability::ServiceAvailability;

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

/// Number of one start of a target, unique in the run.
pub type StartNumber = u32;

/// An observation that is recorded in the [`SoakLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakEvent {
    /// A target received the first packet of a flow.
    Accepted {
        /// Flow of the packet.
        flow: FlowKey,
        /// Target that received it.
        target: StartNumber,
        /// Whether any configuration so far routed the flow's service address to the target's
        /// service.
        allowed: bool,
    },
    /// A flow opened at a target.
    Opened {
        /// Flow that opened.
        flow: FlowKey,
        /// Target that holds it.
        target: StartNumber,
    },
    /// A target of a service started, and was written to the store.
    TargetStarted {
        /// Target that started.
        target: StartNumber,
        /// Index of its service.
        service: u8,
    },
    /// A target ended, and its flows with it.
    TargetEnded(StartNumber),
    /// A target announced that it is leaving.
    TargetLeaving(StartNumber),
    /// The store's entry of a target cannot be read any more.
    EntryUnreadable(StartNumber),
    /// The store's entry of a target that is not leaving can be read again.
    EntryRestored(StartNumber),
    /// A configuration that sends the new flows of a service address to a service was published.
    RoutePublished {
        /// Service address.
        address: SocketAddrV4,
        /// Index of the service.
        service: u8,
    },
    /// A client's attempt to open a flow ended.
    OpeningEnded {
        /// Service address of the flow.
        address: SocketAddrV4,
        /// Balancer that the last copy of the first packet was sent to.
        balancer: Ipv4Addr,
        /// Time of the first copy.
        since: Instant,
        /// Whether the flow opened.
        opened: bool,
    },
    /// A target, its agent or the network path to them is disturbed.
    TargetDisturbed(StartNumber),
    /// All targets are disturbed.
    AllTargetsDisturbed,
    /// A balancer is disturbed: it was killed, or its connection to the store is disturbed.
    BalancerDisturbed(Ipv4Addr),
    /// The store is disturbed.
    StoreDisturbed,
    /// A packet of an open flow reached the target that holds the flow.
    PacketReached(FlowKey),
    /// A client sent a request on an open flow and received no response before its timeout.
    Silent {
        /// Flow of the request.
        flow: FlowKey,
        /// Time of the client's first packet.
        since: Instant,
        /// Balancer that the client's last packet was sent to.
        balancer: Ipv4Addr,
    },
    /// A client received a reset of its open flow, which no target sends.
    ResetOpen(FlowKey),
    /// A client received a reset of a flow that was not open yet.
    ResetBeforeOpen(FlowKey),
    /// A target started a request.
    Ran {
        /// Request number. Odd numbers must run at most once.
        request: u64,
        /// Flow that carried the request.
        flow: FlowKey,
    },
    /// A client received a response.
    Served {
        /// Request number.
        request: u64,
        /// Whether the response was complete and belonged to the request.
        own: bool,
    },
    /// A client gave up on a request.
    Failed(u64),
    /// The fleet has had enough time to recover: requests must not fail from now on.
    CalmStarted,
    /// A fault was injected.
    FaultInjected,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Event that violates it.
    pub event: SoakEvent,
    /// Time of the event, in milliseconds from the creation of the log.
    pub at_ms: u64,
}

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
    runs: HashMap<u64, u32>,
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
        self.refused.contains_key(flow).then_some("refused_but_ran")
    }

    /// Returns whether a target was disturbed within [`DISTURBANCE_WINDOW`].
    fn is_disturbed(&self, target: StartNumber, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < DISTURBANCE_WINDOW;
        self.disturbed_targets.get(&target).is_some_and(recent)
            || self.all_targets_disturbed.as_ref().is_some_and(recent)
    }
}
