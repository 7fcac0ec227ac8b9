//! The agent's side: what its target holds, and where a packet goes that is not for it.
//!
//! The agent sees every packet to and from its target, so it knows the target's flows, unless it
//! was started while the target ran. Then it offers packets of flows it does not know to its own
//! target first; the target holds the flow and answers, or returns the packet.

mod entry;
mod health;
mod inward;
mod outward;
mod warmup;
mod zone;

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};

use self::entry::{Absence, EntryState, FlowEntry, Trial};
use self::health::TargetHealth;
use self::warmup::WarmupGate;
use self::zone::ZoneStanding;
use crate::errand::ErrandBook;
use crate::frame::{FlowEvent, FlowNote, LoadReport, PacketFrame, ZoneNotice};
use crate::memory::FlowMemory;
use crate::outlook::{HeldFlow, millis};
use crate::packet::FlowKey;

/// Flows remembered at most. A target holds about 2,000; the rest are closed ones.
const MAX_FLOWS: usize = 16_384;

/// Packets sent to the target on trial whose return is still expected.
const TRIALS: usize = 1_024;

/// A target that left a first packet unanswered this long does not answer at all: it normally
/// does so in less than a millisecond.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);

/// How long a refused connection marks the target as gone.
const REFUSED_SPAN: Duration = Duration::from_secs(1);

/// While nobody listens, how often one new flow tries whether somebody does: ten times a calm answer. What went
/// wrong without it: once a second a whole rush was sent to a target that was down, and each of these flows
/// lost the time that its balancer waits for an answer.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// A request without an answer for this long is no longer counted as in progress: its caller has
/// given up, and may have done so without a word.
const PROGRESS_LIMIT: Duration = Duration::from_secs(4);

/// How long a flow that has not opened counts as a request in progress: its client has taken another
/// target's answer, or given up. A client far away opens it within some tens of milliseconds.
const OPENING_LIMIT: Duration = Duration::from_millis(500);

/// Time constant of the average load.
const AVERAGE_SPAN: Duration = Duration::from_secs(1);

/// How long a balancer that sent a packet is told the load.
const LISTENER_SPAN: Duration = Duration::from_secs(5);

/// Balancers that are told the load in one round, those first who were not told for longest. It
/// bounds what an agent sends: 8 reports of 40 bytes four times a second. One that stops tells all of them
/// in each round: a balancer that did not know took its silence for lasting, and reset open flows that its
/// target still held. In a fleet of 59 balancers two rounds of eight, which is all that a stop leaves time
/// for, told a third of them.
const ROUND_LISTENERS: usize = 8;

/// Balancers remembered as listeners at most.
const MAX_LISTENERS: usize = 256;

/// From this many times its slots in progress on, a target is passed over for a new flow. At
/// twice its slots a new request waits for about one other.
const BUSY_FACTOR: u16 = 2;

/// By how much the new flows of a cold target may go over what the operator says that it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSettings {
    /// This many times the flows of a second,
    pub overshoot: f32,
    /// and so many more.
    pub slack: f32,
}

/// What an agent is told at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentSettings {
    /// Where it listens for frames.
    pub own: AgentAddress,
    /// The service of its target.
    pub service: ServiceId,
    /// Whether it was started with its target, and so sees every flow from its beginning.
    pub sees_all: bool,
    /// The longest that a flow lives: after that much time it has seen every flow's beginning.
    pub flow_lifetime: Duration,
    /// How a cold target's new flows are bounded.
    pub warmup: WarmupSettings,
}

/// Why a packet went nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SilenceReason {
    /// Everybody who might hold the flow was asked.
    Unheld,
    /// The target returned a packet that nothing is remembered of.
    Forgotten,
    /// The packet was returned as a reset of a flow that is gone: nobody needs it.
    Ended,
    /// A copy of a first packet that the target is not known to have answered, and its zone is evacuated.
    Evacuated,
    /// The target may be cold, and what it was given before this agent started is not known: its client's
    /// next copy comes when it is.
    Unwarmed,
}

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentStep {
    /// Hand it to the target, marked with this tag.
    Deliver {
        /// The tag; 0 for a flow that the target is known to hold.
        tag: u32,
    },
    /// Send it to the next agent.
    Pass {
        /// Where.
        to: AgentAddress,
        /// In which frame.
        frame: PacketFrame,
    },
    /// Send it back to the balancer, which took the flow to be here.
    Return {
        /// The balancer.
        to: AgentAddress,
    },
    /// Send it to its client.
    ToClient,
    /// Answer the client with a reset. On a flow that never opened: nothing ran. On an open one:
    /// its target has lost it, and the client need not wait for its timeout.
    Reset,
    /// Nothing.
    Silence(SilenceReason),
}

/// What to do for a balancer that wants a flow searched for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrandStep {
    /// What to do with the packet here.
    pub own: AgentStep,
    /// What to tell the balancer of that.
    pub note: Option<(AgentAddress, FlowNote)>,
    /// Whom else to show the packet to.
    pub others: Vec<(AgentAddress, PacketFrame)>,
}

/// What an agent holds, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// Its load.
    pub load: LoadReport,
    /// Flows remembered, closed ones included.
    pub remembered: usize,
    /// Whether it knows every flow of its target.
    pub knows_all: bool,
}

/// Decides for an agent.
#[derive(Debug)]
pub struct FlowAgent {
    settings: AgentSettings,
    started: Moment,
    flows: FlowMemory<FlowEntry>,
    /// Flows that the target is known not to hold, while not all are known.
    absent: FlowMemory<Absence>,
    trials: Vec<Option<Trial>>,
    next_tag: u32,
    in_progress: u16,
    open: u32,
    average: f32,
    averaged: Moment,
    /// When the oldest first packet was handed over that the target has said nothing after.
    unanswered_since: Option<Moment>,
    /// Until when nobody listens where the target should, as far as is known; [`Moment::ZERO`] from the
    /// target's next packet on.
    refused_until: Moment,
    health: TargetHealth,
    zone: ZoneStanding,
    warmup: WarmupGate,
    leaving: bool,
    listeners: HashMap<AgentAddress, Listener>,
    /// How long the target took for the request that it answered last.
    answered_after: Option<Duration>,
    errands: ErrandBook,
}

/// A balancer that sent packets.
#[derive(Clone, Copy, Debug)]
struct Listener {
    heard: Moment,
    told: Moment,
}

impl FlowAgent {
    /// An agent that has seen nothing yet.
    #[must_use]
    pub fn new(settings: AgentSettings, now: Moment) -> Self {
        Self {
            settings,
            started: now,
            flows: FlowMemory::new(MAX_FLOWS),
            absent: FlowMemory::new(MAX_FLOWS),
            trials: vec![None; TRIALS],
            next_tag: 0,
            in_progress: 0,
            open: 0,
            average: 0.0,
            averaged: now,
            unanswered_since: None,
            refused_until: Moment::ZERO,
            health: TargetHealth::new(),
            zone: ZoneStanding::default(),
            warmup: WarmupGate::new(settings.warmup, now),
            leaving: false,
            listeners: HashMap::new(),
            answered_after: None,
            errands: ErrandBook::default(),
        }
    }

    /// Says from now on that this agent is stopping.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// The balancers that are to be told the load, and the load.
    pub fn report(&mut self, now: Moment) -> (Vec<AgentAddress>, LoadReport) {
        self.listeners
            .retain(|_, listener| now.since(listener.heard) < LISTENER_SPAN);
        let mut turn: Vec<_> = self.listeners.iter_mut().collect();
        turn.sort_by_key(|(agent, listener)| (listener.told, **agent));
        if !self.leaving {
            turn.truncate(ROUND_LISTENERS);
        }
        let told = turn.into_iter().map(|(agent, listener)| {
            listener.told = now;
            *agent
        });
        let told = told.collect();
        (told, self.load(now))
    }

    /// Takes a balancer's word about the target's zone; how old it is when it changes whether the zone is
    /// evacuated.
    pub fn take_zone(&mut self, notice: &ZoneNotice, now: Moment) -> Option<Duration> {
        let age = self.zone.take(notice);
        if age.is_some() && !notice.evacuated {
            self.warmup.doubt(now);
        }
        age
    }

    /// Notes that what was to be delivered has been sent.
    pub fn note_sent(&mut self, now: Moment) {
        self.warmup.note_sent(now);
    }

    /// The load, for a balancer that asked whether this agent is there.
    pub fn answer_probe(&mut self, balancer: AgentAddress, now: Moment) -> LoadReport {
        self.listen(balancer, now);
        self.load(now)
    }

    /// What is held now.
    pub fn status(&mut self, now: Moment) -> AgentStatus {
        AgentStatus {
            load: self.load(now),
            remembered: self.flows.len(),
            knows_all: self.knows_all(now),
        }
    }

    /// What is held of a flow; `None` for one that the target does not hold, as far as is known.
    #[must_use]
    pub fn explain(&self, flow: &FlowKey, now: Moment) -> Option<HeldFlow> {
        let entry = self.flows.get(flow)?;
        Some(HeldFlow {
            state: match entry.state {
                EntryState::Offered => "offered",
                EntryState::Answered => "answered",
                EntryState::Open => "open",
                EntryState::Closed => "closed",
            },
            balancer: entry.balancer,
            silent_ms: millis(now.since(entry.last)),
            waiting_ms: entry.waiting.map(|since| millis(now.since(since))),
        })
    }

    /// Forgets silent flows and requests whose callers have given up.
    pub fn tend(&mut self, idle: Duration, now: Moment) {
        self.flows.tend(idle, now);
        self.absent.tend(idle, now);
        let (mut waiting, mut open) = (0_u16, 0_u32);
        self.flows.visit(|_, entry| {
            let opens = matches!(entry.state, EntryState::Offered | EntryState::Answered);
            let limit = if opens { OPENING_LIMIT } else { PROGRESS_LIMIT };
            if entry.waiting.is_some_and(|since| now.since(since) > limit) {
                entry.waiting = None;
            }
            waiting = waiting.saturating_add(u16::from(entry.waiting.is_some()));
            open += u32::from(entry.state == EntryState::Open);
        });
        self.in_progress = waiting;
        self.open = open;
    }

    fn knows_all(&self, now: Moment) -> bool {
        self.settings.sees_all || now.since(self.started) >= self.settings.flow_lifetime
    }

    fn is_responsive(&self, now: Moment) -> bool {
        let silent = self
            .unanswered_since
            .is_some_and(|since| now.since(since) >= ANSWER_LIMIT);
        !silent && now >= self.refused_until
    }

    /// Whether another target should be asked first. Balancers place by reports of up to 250 ms
    /// ago, and several of them may choose the same target meanwhile; only here is the load
    /// known exactly.
    fn is_busy(&self, slots: u16) -> bool {
        self.in_progress >= slots.saturating_mul(BUSY_FACTOR).max(1)
    }

    fn listen(&mut self, balancer: AgentAddress, now: Moment) {
        if self.listeners.len() >= MAX_LISTENERS && !self.listeners.contains_key(&balancer) {
            return;
        }
        let told = Moment::ZERO;
        let listener = self.listeners.entry(balancer);
        listener.or_insert(Listener { heard: now, told }).heard = now;
    }

    fn forget(&mut self, flow: &FlowKey) -> Option<FlowEntry> {
        let entry = self.flows.remove(flow)?;
        if entry.waiting.is_some() {
            self.in_progress = self.in_progress.saturating_sub(1);
        }
        if entry.state == EntryState::Open {
            self.open = self.open.saturating_sub(1);
        }
        Some(entry)
    }

    fn count_progress(&mut self, change: i16, now: Moment) {
        self.update_average(now);
        self.in_progress = self.in_progress.saturating_add_signed(change);
    }

    fn update_average(&mut self, now: Moment) {
        let span = now.since(self.averaged).as_secs_f32() / AVERAGE_SPAN.as_secs_f32();
        let keep = (-span).exp();
        self.average = self.average * keep + f32::from(self.in_progress) * (1.0 - keep);
        self.averaged = now;
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn load(&mut self, now: Moment) -> LoadReport {
        self.update_average(now);
        LoadReport {
            agent: self.settings.own,
            service: self.settings.service,
            in_progress: self.in_progress,
            flows: self.open,
            average_milli: (self.average * 1_000.0) as u32,
            responsive: self.is_responsive(now),
            failing: self.health.is_failing(self.in_progress, now),
            leaving: self.leaving,
            zones_revision: self.zone.revision,
            evacuated: self.zone.evacuated,
            room: self.warmup.room(now),
        }
    }

    fn note(&mut self, flow: FlowKey, event: FlowEvent, now: Moment) -> FlowNote {
        FlowNote {
            flow,
            event,
            load: self.load(now),
        }
    }
}
