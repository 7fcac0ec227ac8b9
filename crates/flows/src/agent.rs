//! Decisions of an agent: which flows its target holds, and where packets of other flows go.
//!
//! The agent sees every packet to and from its target, so it knows the target's flows, unless it
//! was started while the target was running. In that case it first delivers packets of unknown
//! flows to its own target: the target holds the flow and answers, or returns the packet.

mod admission;
mod balancers;
mod entry;
mod health;
mod inbound;
mod outbound;
mod requests;
mod service_time;
mod warmup;
mod zone;

use std::collections::VecDeque;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};

use self::admission::Admission;
pub use self::admission::{
    AdmissionEvent, AdmissionOrder, DeliveryReason, OfferRefusal, RefusedOffer, RequestDelivery,
};
use self::balancers::BalancerTable;
use self::entry::{AbsentFlow, EntryState, FlowEntry, RequestPhase, TentativeDelivery};
use self::health::TargetHealth;
use self::service_time::ServiceTimes;
use self::warmup::WarmupGate;
use self::zone::ZoneState;
use crate::delegated_search::DelegatedSearches;
use crate::explain::{FlowStatus, millis};
use crate::flow_table::FlowTable;
use crate::frame::{FlowEvent, FlowUpdate, LoadReport, PacketFrame, ZoneNotice};
use crate::packet::FlowKey;

/// Maximum number of flows remembered. A target holds about 2,000; the rest are closed ones.
const MAX_FLOWS: usize = 16_384;

/// Maximum number of tentative deliveries whose outcome is pending.
const MAX_TENTATIVE: usize = 1_024;

/// A target that left a first packet unanswered for this long counts as unresponsive: it normally
/// answers in less than a millisecond.
const TARGET_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a refused connection marks the target as down.
const REFUSED_BACKOFF: Duration = Duration::from_secs(1);

/// Interval at which one new flow retries the target while nothing listens at its address: ten
/// times a normal response time. Without this limit a whole rush was sent once a second to a target
/// that was down, and each of these flows lost the time that its balancer waits for an answer.
const DOWN_TARGET_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A request without an answer for this long no longer counts as in progress: its caller has
/// given up, possibly without closing the flow.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a flow that has not opened counts as a request in progress. After that its client has
/// accepted another target's answer, or given up. A distant client opens it within some tens of
/// milliseconds.
const OPENING_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a flow that has not opened counts against the limit of the target's flows: its client
/// gives up after 1.4 s.
const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time constant of the exponential moving average of the load.
const LOAD_AVERAGE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// A target with this many times its slots in progress is skipped for new flows. At twice its slots
/// a new request waits for about one other.
const BUSY_FACTOR: u16 = 2;

/// By how much the new flows of a cold target may exceed the rate that the operator sets:
/// `rate * overshoot + slack` flows in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSettings {
    /// Multiple of the flows of one second.
    pub overshoot: f32,
    /// Flows added on top of that.
    pub slack: f32,
}

/// Settings of a [`FlowAgent`], fixed for the life of its process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentSettings {
    /// The address at which the agent receives frames.
    pub own_address: AgentAddress,
    /// The service of its target.
    pub service: ServiceId,
    /// Whether the agent was started together with its target, and so sees every flow from its
    /// beginning.
    pub started_with_target: bool,
    /// The longest lifetime of a flow: after it the agent has seen the beginning of every flow.
    pub flow_lifetime: Duration,
    /// How the new flows of a cold target are limited.
    pub warmup: WarmupSettings,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Every agent on the packet's list was tried, and none holds the flow.
    NoHolder,
    /// The target returned a packet of a flow that the agent does not know.
    UnknownFlow,
    /// The target returned a packet that is no longer needed: a reset of a flow that is gone, or a
    /// late copy of the first packet of a flow that has opened.
    FlowEnded,
    /// The flow is not known here, the offer carries no zones revision, and the target's zone is or
    /// may be evacuated. The packet may be a copy of the first packet of an open flow, so it is not
    /// answered with a reset.
    ZoneEvacuated,
    /// The target may be cold, so the packet is not delivered now: it is not known how much the
    /// target was given before this agent started, or the packet is a copy of an unanswered first
    /// packet beyond the limit. The client's next copy arrives when that has changed.
    ColdTarget,
}

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentStep {
    /// Deliver it to the target.
    Deliver {
        /// The tag that the target sends back if it returns the packet; 0 for a flow that the
        /// target is known to hold.
        tag: u32,
    },
    /// Hold it after the other held packets of its flow, until an [`AdmissionEvent::Released`]
    /// names the flow. It is then delivered with tag 0.
    Hold,
    /// Send it to the next agent.
    Forward {
        /// The next agent.
        to: AgentAddress,
        /// The frame that precedes the packet.
        frame: PacketFrame,
    },
    /// Send it back to the balancer, which assumed that the flow is here.
    Return {
        /// The balancer.
        to: AgentAddress,
    },
    /// Send it to its client.
    ToClient,
    /// Answer the client with a reset. For a flow that never opened, this means that nothing ran.
    /// For an open flow, its target has lost it, and the client need not wait for its timeout.
    Reset,
    /// Drop it.
    Drop(DropReason),
}

/// What to do for a balancer that delegates the search for a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegatedStep {
    /// What to do with the packet at this agent.
    pub local: AgentStep,
    /// The update to send for this agent, and its receiver.
    pub update: Option<(AgentAddress, FlowUpdate)>,
    /// The other agents to send the packet to, each with its frame.
    pub remote: Vec<(AgentAddress, PacketFrame)>,
}

/// State of an agent, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// The load that it reports to balancers.
    pub load: LoadReport,
    /// Number of flows in its flow table, including closed ones.
    pub remembered: usize,
    /// Whether it knows every flow of its target.
    pub knows_all_flows: bool,
    /// Requests of routes with a class that were delivered and not yet answered.
    pub in_service: u16,
    /// The learned capacity of the target, in requests.
    pub full: u16,
    /// Flows that are about to open, and count as requests that will come.
    pub openings: u16,
    /// Flows that count against the limit of the target's flows.
    pub held_flows: u32,
}

/// The announcement that an agent is stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopAnnouncement {
    /// Most balancers that it was sent to in a round.
    pub recipients: usize,
    /// Whether a balancer confirmed that it relays the announcement to the others.
    pub confirmed: bool,
}

/// State machine of an agent: packets, frames and the time come in, steps come out.
#[derive(Debug)]
pub struct FlowAgent {
    settings: AgentSettings,
    started: Moment,
    flows: FlowTable<FlowEntry>,
    /// Flows that the target is known not to hold; used until all of its flows are known.
    absent: FlowTable<AbsentFlow>,
    /// Indexed by tag modulo [`MAX_TENTATIVE`].
    tentative: Vec<Option<TentativeDelivery>>,
    next_tag: u32,
    in_progress: u16,
    open: u32,
    /// Flows that count against the limit of the target's flows.
    held_flows: u32,
    admission: Admission,
    /// Number of flows in [`RequestPhase::Opening`].
    openings: u16,
    /// When each of these flows was added, oldest first; other entries are outdated.
    opening_times: VecDeque<(Moment, FlowKey)>,
    average_load: f32,
    average_updated: Moment,
    /// When the oldest first packet since the target's last packet was delivered; `None` if there is
    /// none.
    unanswered_since: Option<Moment>,
    /// Until when the target counts as not listening; [`Moment::ZERO`] after each packet of the
    /// target.
    refused_until: Moment,
    health: TargetHealth,
    zone: ZoneState,
    warmup: WarmupGate,
    service_times: ServiceTimes,
    leaving: bool,
    stop: StopAnnouncement,
    balancers: BalancerTable,
    /// The response time of the last answered request, until `take_response_time` returns it.
    response_time: Option<Duration>,
    delegated_searches: DelegatedSearches,
}

impl FlowAgent {
    /// Creates an agent that has seen no packets yet.
    #[must_use]
    pub fn new(settings: AgentSettings, now: Moment) -> Self {
        Self {
            settings,
            started: now,
            flows: FlowTable::new(MAX_FLOWS),
            absent: FlowTable::new(MAX_FLOWS),
            tentative: vec![None; MAX_TENTATIVE],
            next_tag: 0,
            in_progress: 0,
            open: 0,
            held_flows: 0,
            admission: Admission::new(),
            openings: 0,
            opening_times: VecDeque::new(),
            average_load: 0.0,
            average_updated: now,
            unanswered_since: None,
            refused_until: Moment::ZERO,
            health: TargetHealth::new(),
            zone: ZoneState::default(),
            warmup: WarmupGate::new(settings.warmup, now),
            service_times: ServiceTimes::default(),
            leaving: false,
            stop: StopAnnouncement::default(),
            balancers: BalancerTable::new(settings.flow_lifetime),
            response_time: None,
            delegated_searches: DelegatedSearches::default(),
        }
    }

    /// Sets how many requests a target of `slots` slots is assumed to hold before its first rejection.
    #[must_use]
    pub fn with_target_capacity(mut self, slots: u16, capacity: u16) -> Self {
        self.admission.set_initial_capacity(slots, capacity);
        self
    }

    /// Sets the order in which waiting requests are delivered.
    #[must_use]
    pub fn with_admission_order(mut self, order: AdmissionOrder) -> Self {
        self.admission.set_order(order);
        self
    }

    /// Marks the agent as stopping in all later reports and updates.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns the load report of this round and the balancers to send it to: some that sent frames
    /// recently, or all known ones once the agent is stopping.
    pub fn load_report(&mut self, now: Moment) -> (Vec<AgentAddress>, LoadReport) {
        let recipients = if self.leaving {
            let recipients = self.balancers.stop_recipients(now);
            self.stop.recipients = self.stop.recipients.max(recipients.len());
            recipients
        } else {
            self.balancers.next_report_round(now)
        };
        (recipients, self.load(now))
    }

    /// Handles a balancer's confirmation that it relays the announcement of the agent's stop.
    pub fn handle_stop_recorded(&mut self) {
        self.stop.confirmed |= self.leaving;
    }

    /// Returns what is known about the announcement that the agent is stopping.
    #[must_use]
    pub fn stop_announcement(&self) -> StopAnnouncement {
        self.stop
    }

    /// Applies a balancer's notice about the target's zone. Returns the age of the notice if it
    /// changed whether the zone is evacuated.
    pub fn handle_zone_notice(&mut self, notice: &ZoneNotice, now: Moment) -> Option<Duration> {
        let age = self.zone.apply(notice);
        if age.is_some() && !notice.evacuated {
            self.warmup.mark_possibly_cold(now);
        }
        age
    }

    /// Records that all packets to deliver have been sent to the target.
    pub fn record_sent(&mut self, now: Moment) {
        self.warmup.record_sent(now);
    }

    /// Handles a balancer's hello: it is notified when the agent stops.
    pub fn handle_hello(&mut self, balancer: AgentAddress, now: Moment) {
        self.balancers.record_hello(balancer, now);
    }

    /// Returns how many balancers would be notified if the agent stopped now.
    pub fn known_balancers(&mut self, now: Moment) -> usize {
        self.balancers.stop_recipients(now).len()
    }

    /// Returns the load, as the answer to a balancer's probe.
    pub fn handle_probe(&mut self, balancer: AgentAddress, now: Moment) -> LoadReport {
        self.balancers.record_frame(balancer, now);
        self.load(now)
    }

    /// Returns the state of the agent, for operators.
    pub fn status(&mut self, now: Moment) -> AgentStatus {
        AgentStatus {
            load: self.load(now),
            remembered: self.flows.len(),
            knows_all_flows: self.knows_all_flows(now),
            in_service: self.admission.in_service(),
            full: self.admission.full(),
            openings: self.openings,
            held_flows: self.held_flows,
        }
    }

    /// Returns the state of a flow; `None` if the target is not known to hold it.
    #[must_use]
    pub fn explain(&self, flow: &FlowKey, now: Moment) -> Option<FlowStatus> {
        let entry = self.flows.get(flow)?;
        Some(FlowStatus {
            state: match entry.state {
                EntryState::Offered => "offered",
                EntryState::Answered => "answered",
                EntryState::Open => "open",
                EntryState::Closed => "closed",
            },
            balancer: entry.balancer,
            silent_ms: millis(now.since(entry.last_active)),
            waiting_ms: entry.waiting_since.map(|since| millis(now.since(since))),
            request: match entry.phase {
                RequestPhase::Idle => "none",
                RequestPhase::Opening => "opening",
                RequestPhase::Waiting => "held",
                RequestPhase::Delivered(_) => "delivered",
            },
        })
    }

    /// Expires idle flows, and requests whose callers have given up.
    pub fn expire_idle(&mut self, idle: Duration, now: Moment) {
        self.flows.expire_idle(idle, now);
        self.absent.expire_idle(idle, now);
        let (mut waiting, mut open) = (0_u16, 0_u32);
        let mut requests = 0_u16;
        let (mut held_flows, mut openings) = (0_u32, 0_u16);
        self.flows.visit(|_, entry| {
            let opening = matches!(entry.state, EntryState::Offered | EntryState::Answered);
            let timeout = if opening {
                OPENING_TIMEOUT
            } else {
                REQUEST_TIMEOUT
            };
            let timed_out = |since| now.since(since) > timeout;
            if entry.waiting_since.is_some_and(timed_out) {
                entry.waiting_since = None;
                entry.request = None;
            }
            let request = entry.request.as_ref();
            let counts = request.is_some_and(|request| self.service_times.counts(request));
            requests = requests.saturating_add(u16::from(counts));
            waiting = waiting.saturating_add(u16::from(entry.waiting_since.is_some()));
            open += u32::from(entry.state == EntryState::Open);
            if opening && now.since(entry.last_active) > HALF_OPEN_TIMEOUT {
                entry.counted = false;
            }
            held_flows += u32::from(entry.counted);
            openings += u16::from(entry.phase == RequestPhase::Opening);
        });
        self.service_times.set_unanswered(requests);
        self.in_progress = waiting;
        self.open = open;
        self.held_flows = held_flows;
        self.openings = openings;
    }

    fn knows_all_flows(&self, now: Moment) -> bool {
        self.settings.started_with_target || now.since(self.started) >= self.settings.flow_lifetime
    }

    fn is_responsive(&self, now: Moment) -> bool {
        let timed_out = self
            .unanswered_since
            .is_some_and(|since| now.since(since) >= TARGET_ANSWER_TIMEOUT);
        !timed_out && now >= self.refused_until
    }

    /// Returns whether another target should be tried first. Balancers place by reports that are up
    /// to 250 ms old, and several of them may choose the same target meanwhile; only the agent
    /// knows the exact load.
    fn is_busy(&self, slots: u16) -> bool {
        self.in_progress >= slots.saturating_mul(BUSY_FACTOR).max(1)
    }

    fn remove_flow(&mut self, flow: &FlowKey, now: Moment) -> Option<FlowEntry> {
        let entry = self.flows.remove(flow)?;
        if entry.waiting_since.is_some() {
            self.in_progress = self.in_progress.saturating_sub(1);
        }
        if let Some(request) = &entry.request {
            self.service_times.record_abandoned(request);
        }
        if entry.state == EntryState::Open {
            self.open = self.open.saturating_sub(1);
        }
        self.held_flows -= u32::from(entry.counted).min(self.held_flows);
        self.end_phase(flow, entry.phase, false, now);
        Some(entry)
    }

    fn change_in_progress(&mut self, change: i16, now: Moment) {
        self.update_average(now);
        self.in_progress = self.in_progress.saturating_add_signed(change);
    }

    fn update_average(&mut self, now: Moment) {
        let elapsed = now.since(self.average_updated).as_secs_f32();
        let decay = (-(elapsed / LOAD_AVERAGE_TIME_CONSTANT.as_secs_f32())).exp();
        let requests = f32::from(self.in_progress) + f32::from(self.admission.waiting());
        self.average_load = self.average_load * decay + requests * (1.0 - decay);
        self.average_updated = now;
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn load(&mut self, now: Moment) -> LoadReport {
        self.update_average(now);
        LoadReport {
            agent: self.settings.own_address,
            service: self.settings.service,
            in_progress: self.in_progress,
            flows: self.open,
            average_milli: (self.average_load * 1_000.0) as u32,
            responsive: self.is_responsive(now),
            failing: self.health.is_failing(self.in_progress, now),
            leaving: self.leaving,
            zones_revision: self.zone.revision,
            evacuated: self.zone.evacuated,
            room: self.warmup.room(now),
            waiting: self.admission.waiting(),
            service_time_us: self.service_times.mean_us(),
        }
    }

    fn flow_update(&mut self, flow: FlowKey, event: FlowEvent, now: Moment) -> FlowUpdate {
        FlowUpdate {
            flow,
            event,
            load: self.load(now),
        }
    }
}
