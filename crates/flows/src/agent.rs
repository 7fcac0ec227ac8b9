//! The agent's side: what its target holds, and where a packet goes that is not for it.
//!
//! The agent sees every packet to and from its target, so it knows the target's flows, unless it
//! was started while the target ran. Then it offers packets of flows it does not know to its own
//! target first; the target holds the flow and answers, or returns the packet.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use crate::errand::ErrandBook;
use crate::frame::{
    Candidate, ErrandWord, FlowEvent, FlowNote, FramePurpose, LoadReport, PacketFrame, SearchErrand,
};
use crate::memory::{FlowMemory, Remembered};
use crate::outlook::{HeldFlow, millis};
use crate::packet::{FlowKey, FlowPacket};

/// Flows remembered at most. A target holds about 2,000; the rest are closed ones.
const MAX_FLOWS: usize = 16_384;

/// Packets sent to the target on trial whose return is still expected.
const TRIALS: usize = 1_024;

/// A target that left a first packet unanswered this long does not answer at all: it normally
/// does so in less than a millisecond.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);

/// How long a refused connection marks the target as gone.
const REFUSED_SPAN: Duration = Duration::from_secs(1);

/// A request without an answer for this long is no longer counted as in progress: its caller has
/// given up, and may have done so without a word.
const PROGRESS_LIMIT: Duration = Duration::from_secs(4);

/// Time constant of the average load.
const AVERAGE_SPAN: Duration = Duration::from_secs(1);

/// How long a balancer that sent a packet is told the load.
const LISTENER_SPAN: Duration = Duration::from_secs(5);

/// Balancers that are told the load in one round, those first who were not told for longest. It
/// bounds what an agent sends: 8 reports of 40 bytes four times a second.
const ROUND_LISTENERS: usize = 8;

/// Balancers remembered as listeners at most.
const MAX_LISTENERS: usize = 256;

/// From this many times its slots in progress on, a target is passed over for a new flow. At
/// twice its slots a new request waits for about one other.
const BUSY_FACTOR: u16 = 2;

/// How far a client's acknowledgement may be from the number that its target chose at the start.
/// The first packet that opens a flow acknowledges that number itself or the next.
const OPENING_WINDOW: u32 = 4;

/// What an agent is told at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Where it listens for frames.
    pub own: AgentAddress,
    /// The service of its target.
    pub service: ServiceId,
    /// Whether it was started with its target, and so sees every flow from its beginning.
    pub sees_all: bool,
    /// The longest that a flow lives: after that much time it has seen every flow's beginning.
    pub flow_lifetime: Duration,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    /// The first packet was handed to the target.
    Offered,
    /// The target answered.
    Answered,
    /// The flow lives here.
    Open,
    /// It ended; the target still answers its last packets.
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct FlowEntry {
    state: EntryState,
    last: Moment,
    /// The number that the target chose for its end, once it has answered.
    number: Option<u32>,
    /// The balancer that sent the flow's last packet.
    balancer: Option<AgentAddress>,
    /// Whether that balancer has been told that the flow lives here.
    told: bool,
    /// The end of the client's data so far, to tell new data from a retransmission.
    client_end: Option<u32>,
    /// Since when the target owes an answer.
    waiting: Option<Moment>,
}

impl Remembered for FlowEntry {
    fn last(&self) -> Moment {
        self.last
    }
}

impl FlowEntry {
    fn new(state: EntryState, balancer: Option<AgentAddress>, now: Moment) -> Self {
        Self {
            state,
            last: now,
            number: None,
            balancer,
            told: false,
            client_end: None,
            waiting: None,
        }
    }
}

/// Where a packet came from, and where it goes when it is not for this target.
#[derive(Clone, Debug)]
struct FrameOrigin {
    purpose: FramePurpose,
    balancer: AgentAddress,
    asker: Option<AgentAddress>,
    rest: SmallVec<[Candidate; 8]>,
}

impl From<PacketFrame> for FrameOrigin {
    fn from(frame: PacketFrame) -> Self {
        Self {
            purpose: frame.purpose,
            balancer: frame.balancer,
            asker: frame.asker,
            rest: frame.rest,
        }
    }
}

/// A packet that was handed to the target without knowing whether it holds the flow.
#[derive(Clone, Debug)]
struct Trial {
    tag: u32,
    origin: FrameOrigin,
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
    refused_until: Moment,
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

#[derive(Clone, Copy, Debug)]
struct Absence(Moment);

impl Remembered for Absence {
    fn last(&self) -> Moment {
        self.0
    }
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

    /// Decides about a client's packet that came in a frame, and what to tell its balancer.
    pub fn take_frame(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        self.listen(frame.balancer, now);
        if frame.service != self.settings.service {
            return self.pass_on(packet, frame.into(), now);
        }
        if packet.opens() {
            return self.take_offer(frame, packet, now);
        }
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return self.take_stranger(frame, packet, now);
        };
        if entry.state == EntryState::Answered {
            let number = entry.number.unwrap_or_default();
            if packet.acknowledged.wrapping_sub(number) > OPENING_WINDOW {
                // The client took another target's answer.
                return self.pass_on(packet, frame.into(), now);
            }
            entry.state = EntryState::Open;
            self.open += 1;
        }
        if entry.state == EntryState::Offered {
            return self.pass_on(packet, frame.into(), now);
        }
        entry.last = now;
        if entry.balancer != Some(frame.balancer) {
            entry.balancer = Some(frame.balancer);
            entry.told = false;
        }
        let tell = !std::mem::replace(&mut entry.told, true);
        self.note_request(packet, now);
        let note = tell.then(|| {
            (
                frame.balancer,
                self.note(packet.flow, FlowEvent::Opened, now),
            )
        });
        (AgentStep::Deliver { tag: 0 }, note)
    }

    /// Looks for a flow on behalf of a balancer: here, and at the others that it names.
    pub fn take_errand(
        &mut self,
        errand: &SearchErrand,
        packet: &FlowPacket,
        now: Moment,
    ) -> ErrandStep {
        let own = self.settings.own;
        let others = self.errands.begin(errand, packet.flow, own, now);
        let frame = PacketFrame {
            service: errand.service,
            balancer: errand.balancer,
            slots: 0,
            purpose: FramePurpose::Search,
            asker: None,
            rest: SmallVec::new(),
        };
        let (own, note) = self.take_frame(frame, packet, now);
        ErrandStep { own, note, others }
    }

    /// Takes another agent's word about a flow that this one looks for; what to tell the balancer
    /// when that was the last one.
    pub fn take_word(&mut self, word: &FlowNote) -> Option<(AgentAddress, ErrandWord)> {
        let own = self.settings.own;
        match word.event {
            FlowEvent::Absent => self.errands.note_absent(&word.flow, word.load.agent, own),
            FlowEvent::Answered | FlowEvent::Opened | FlowEvent::Refused => None,
        }
    }

    /// The errands whose time is over, each with its balancer.
    pub fn due_errands(&mut self, now: Moment) -> Vec<(AgentAddress, ErrandWord)> {
        self.errands.due(self.settings.own, now)
    }

    /// When [`due_errands`](Self::due_errands) has something to do next.
    #[must_use]
    pub fn next_errand(&self) -> Option<Moment> {
        self.errands.next_due()
    }

    /// Decides about a packet that the target sent, and what to tell the flow's balancer.
    pub fn take_target_packet(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        self.unanswered_since = None;
        self.refused_until = Moment::ZERO;
        if packet.flags.returned {
            return self.take_returned(packet, now);
        }
        let note = self.note_target_packet(packet, now);
        (AgentStep::ToClient, note)
    }

    /// How long the target took from a request to the first of its answer, once for each request
    /// that was answered since the last call.
    pub fn take_answered_after(&mut self) -> Option<Duration> {
        self.answered_after.take()
    }

    /// Takes the operating system's word that nobody listens where the target should: it is gone.
    pub fn take_refusal(&mut self, now: Moment) {
        self.refused_until = now + REFUSED_SPAN;
    }

    /// The balancers that are to be told the load, and the load.
    pub fn report(&mut self, now: Moment) -> (Vec<AgentAddress>, LoadReport) {
        self.listeners
            .retain(|_, listener| now.since(listener.heard) < LISTENER_SPAN);
        let mut turn: Vec<_> = self.listeners.iter_mut().collect();
        turn.sort_by_key(|(agent, listener)| (listener.told, **agent));
        turn.truncate(ROUND_LISTENERS);
        let told = turn.into_iter().map(|(agent, listener)| {
            listener.told = now;
            *agent
        });
        let told = told.collect();
        (told, self.load(now))
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
            if entry
                .waiting
                .is_some_and(|since| now.since(since) > PROGRESS_LIMIT)
            {
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

    fn take_offer(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        let known = self.flows.get(&packet.flow).map(|entry| entry.state);
        let unable = self.leaving || !self.is_responsive(now) || self.is_busy(frame.slots);
        if known.is_none() && unable && !frame.rest.is_empty() {
            return self.pass_on(packet, frame.into(), now);
        }
        if known.is_none() {
            let entry = FlowEntry::new(EntryState::Offered, Some(frame.balancer), now);
            let lifetime = self.settings.flow_lifetime;
            self.flows.insert(packet.flow, entry, lifetime, now);
        }
        self.unanswered_since.get_or_insert(now);
        let tag = self.try_target(frame);
        (AgentStep::Deliver { tag }, None)
    }

    fn take_stranger(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        let absent = self.knows_all(now) || self.absent.get(&packet.flow).is_some();
        if absent {
            return self.pass_on(packet, frame.into(), now);
        }
        let tag = self.try_target(frame);
        (AgentStep::Deliver { tag }, None)
    }

    fn try_target(&mut self, frame: PacketFrame) -> u32 {
        self.next_tag = self.next_tag.wrapping_add(1).max(1);
        let tag = self.next_tag;
        self.trials[tag as usize % TRIALS] = Some(Trial {
            tag,
            origin: frame.into(),
        });
        tag
    }

    fn take_trial(&mut self, tag: u32) -> Option<Trial> {
        self.trials[tag as usize % TRIALS].take_if(|trial| trial.tag == tag)
    }

    fn take_returned(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        if let Some(trial) = self.take_trial(packet.tag) {
            if packet.opens() {
                let known = self.flows.get(&packet.flow).map(|entry| entry.state);
                if known.is_some_and(|state| state != EntryState::Offered) {
                    // A late copy: the flow opened long ago, and nobody else must be offered it.
                    return (AgentStep::Silence(SilenceReason::Ended), None);
                }
                self.forget(&packet.flow);
            } else {
                let lifetime = self.settings.flow_lifetime;
                self.absent.insert(packet.flow, Absence(now), lifetime, now);
            }
            return self.pass_on(packet, trial.origin, now);
        }
        // A flow that was here and that the target no longer holds: it restarted, or let an old
        // flow go. Nobody else holds it either.
        let Some(entry) = self.forget(&packet.flow) else {
            return (AgentStep::Silence(SilenceReason::Forgotten), None);
        };
        let balancer = entry.balancer;
        let note = balancer.map(|to| (to, self.note(packet.flow, FlowEvent::Absent, now)));
        if packet.flags.rst {
            return (AgentStep::Silence(SilenceReason::Ended), note);
        }
        (AgentStep::Reset, note)
    }

    /// Sends a packet that is not for this target on to the next agent, or says that it is not.
    fn pass_on(
        &mut self,
        packet: &FlowPacket,
        origin: FrameOrigin,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        let (purpose, balancer, mut rest) = (origin.purpose, origin.balancer, origin.rest);
        if !rest.is_empty() {
            let next = rest.remove(0);
            let frame = PacketFrame {
                service: next.service,
                balancer,
                slots: next.slots,
                purpose,
                asker: origin.asker,
                rest,
            };
            let to = next.agent;
            return (AgentStep::Pass { to, frame }, None);
        }
        match purpose {
            FramePurpose::Offer if packet.opens() => {
                let note = self.note(packet.flow, FlowEvent::Refused, now);
                (AgentStep::Reset, Some((balancer, note)))
            }
            FramePurpose::Known => (AgentStep::Return { to: balancer }, None),
            FramePurpose::Offer | FramePurpose::Search => {
                let note = self.note(packet.flow, FlowEvent::Absent, now);
                let asker = origin.asker.unwrap_or(balancer);
                (
                    AgentStep::Silence(SilenceReason::Unheld),
                    Some((asker, note)),
                )
            }
        }
    }

    /// Counts a client's packet with new data as a request, unless one is in progress.
    fn note_request(&mut self, packet: &FlowPacket, now: Moment) {
        if packet.data_bytes == 0 {
            return;
        }
        let end = packet.sequence.wrapping_add(packet.data_bytes.into());
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return;
        };
        let is_new = entry
            .client_end
            .is_none_or(|known| end.wrapping_sub(known).cast_signed() > 0);
        if !is_new {
            return;
        }
        entry.client_end = Some(end);
        if entry.waiting.replace(now).is_none() {
            self.count_progress(1, now);
        }
    }

    fn note_target_packet(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> Option<(AgentAddress, FlowNote)> {
        let flow = packet.flow;
        let answers = packet.flags.syn && packet.flags.ack;
        let Some(entry) = self.flows.get_mut(&flow) else {
            // This agent was started while the flow was open.
            if !answers && !packet.flags.rst {
                let entry = FlowEntry::new(EntryState::Open, None, now);
                let lifetime = self.settings.flow_lifetime;
                self.flows.insert(flow, entry, lifetime, now);
                self.open += 1;
            }
            return None;
        };
        entry.last = now;
        if answers {
            return self.note_answer(packet, now);
        }
        let answered = packet.data_bytes > 0 || packet.flags.fin || packet.flags.rst;
        let since = if answered { entry.waiting.take() } else { None };
        let ended = packet.flags.fin || packet.flags.rst;
        let was_open = entry.state == EntryState::Open;
        if ended {
            entry.state = EntryState::Closed;
        }
        if let Some(since) = since {
            self.answered_after = Some(now.since(since));
            self.count_progress(-1, now);
        }
        if ended && was_open {
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// The target answered a first packet. The number that it chose tells a new flow from a
    /// repeated answer: a late copy of a first packet must not make an open flow a new one.
    fn note_answer(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> Option<(AgentAddress, FlowNote)> {
        let entry = self.flows.get_mut(&packet.flow)?;
        let unknown = entry.state == EntryState::Open && entry.number.is_none();
        if unknown || entry.number == Some(packet.sequence) {
            entry.number = Some(packet.sequence);
            return None;
        }
        let balancer = entry.balancer;
        self.forget(&packet.flow);
        let mut entry = FlowEntry::new(EntryState::Answered, balancer, now);
        entry.number = Some(packet.sequence);
        let lifetime = self.settings.flow_lifetime;
        self.flows.insert(packet.flow, entry, lifetime, now);
        balancer.map(|to| (to, self.note(packet.flow, FlowEvent::Answered, now)))
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
            leaving: self.leaving,
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
