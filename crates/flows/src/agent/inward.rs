//! Packets of clients: to the target, on to another agent, or nowhere.

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{EntryState, FlowEntry, FrameOrigin, Trial};
use super::warmup::WarmupVerdict;
use super::{ATTEMPT_PAUSE, AgentStep, ErrandStep, FlowAgent, SilenceReason, TRIALS};
use crate::frame::{ErrandWord, FlowEvent, FlowNote, FramePurpose, PacketFrame, SearchErrand};
use crate::packet::{FlowKey, FlowPacket};

/// How far a client's acknowledgement may be from the number that its target chose at the start.
/// The first packet that opens a flow acknowledges that number itself or the next.
const OPENING_WINDOW: u32 = 4;

impl FlowAgent {
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
        // A balancer that searches does not know, whatever it was told: it has been started anew at
        // the same address. Not told again, it showed every further packet of the flow to everybody.
        let searched = frame.purpose == FramePurpose::Search;
        if searched || entry.balancer != Some(frame.balancer) {
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
        let frame = PacketFrame::new(FramePurpose::Search, errand.service, errand.balancer);
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

    pub(super) fn take_offer(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        let known = self.flows.get(&packet.flow).map(|entry| entry.state);
        let failing = self.health.is_failing(self.in_progress, now);
        let unable =
            self.leaving || failing || !self.is_responsive(now) || self.is_busy(frame.slots);
        // A copy of a first packet that the target has not answered is one more to it: what swallowed the
        // first may have been its end, and this one the first that its next start takes.
        let unanswered = known == Some(EntryState::Offered);
        if unanswered
            && self
                .warmup
                .judge(frame.warmup, frame.slots, now)
                .is_closed()
        {
            return (AgentStep::Silence(SilenceReason::Unwarmed), None);
        }
        if known.is_none() {
            let admitted = self.admits_zone(frame.zones_revision, now);
            if !admitted && frame.zones_revision == 0 {
                // Its flow may be open, and a reset would end it.
                return (AgentStep::Silence(SilenceReason::Evacuated), None);
            }
            let warmup = self.warmup.judge(frame.warmup, frame.slots, now);
            let last = frame.rest.is_empty();
            if admitted && last && warmup == WarmupVerdict::Unknown {
                return (AgentStep::Silence(SilenceReason::Unwarmed), None);
            }
            if !admitted || warmup.is_closed() || (unable && !last) {
                return self.pass_on(packet, frame.into(), now);
            }
            let entry = FlowEntry::new(EntryState::Offered, Some(frame.balancer), now);
            self.begin_flow(packet.flow, entry, now);
        }
        self.note_attempt(now);
        self.warmup.note_admitted(now);
        let tag = self.try_target(frame);
        (AgentStep::Deliver { tag }, None)
    }

    /// Notes that the target is given a first packet. Where nobody listened at last, this one tries whether
    /// somebody does now, and the next ones wait for what becomes of it.
    fn note_attempt(&mut self, now: Moment) {
        self.unanswered_since.get_or_insert(now);
        if self.refused_until > Moment::ZERO {
            self.refused_until = self.refused_until.max(now + ATTEMPT_PAUSE);
        }
    }

    /// Whether the target's zone takes new flows, by an offer whose sender knew the zones up to `revision`.
    fn admits_zone(&mut self, revision: u64, now: Moment) -> bool {
        let before = self.zone.evacuated;
        let admitted = self.zone.admits(revision);
        if admitted && before {
            self.warmup.doubt(now);
        }
        admitted
    }

    pub(super) fn take_stranger(
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

    pub(super) fn try_target(&mut self, frame: PacketFrame) -> u32 {
        self.next_tag = self.next_tag.wrapping_add(1).max(1);
        let tag = self.next_tag;
        self.trials[tag as usize % TRIALS] = Some(Trial {
            tag,
            origin: frame.into(),
        });
        tag
    }

    /// Sends a packet that is not for this target on to the next agent, or says that it is not.
    pub(super) fn pass_on(
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
                warmup: next.warmup,
                zones_revision: origin.zones_revision,
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

    /// Remembers a flow that is about to open, and counts it as a request in progress: a client opens
    /// a flow because it has one to send. What goes wrong otherwise: all clients of a fleet that lost
    /// power ask at once, and the first target that runs answers them all before the first request
    /// has come; their long flows then stay with it, far more than it can serve.
    pub(super) fn begin_flow(&mut self, flow: FlowKey, mut entry: FlowEntry, now: Moment) {
        entry.waiting = Some(now);
        let lifetime = self.settings.flow_lifetime;
        if self.flows.insert(flow, entry, lifetime, now) {
            self.count_progress(1, now);
        }
    }

    /// Counts a client's packet with new data as a request, unless one is in progress.
    pub(super) fn note_request(&mut self, packet: &FlowPacket, now: Moment) {
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
}
