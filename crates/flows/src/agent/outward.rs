//! Packets of the target: to their clients, and what they tell of the target.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{Absence, EntryState, FlowEntry, Trial};
use super::{AgentStep, FlowAgent, REFUSED_SPAN, SilenceReason, TRIALS};
use crate::frame::{FlowEvent, FlowNote};
use crate::packet::FlowPacket;

impl FlowAgent {
    /// Decides about a packet that the target sent, and what to tell the flow's balancer.
    pub fn take_target_packet(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowNote)>) {
        if !self.is_responsive(now) {
            self.warmup.note_down(now);
        }
        if !packet.flags.returned {
            self.warmup.note_up(now);
        }
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
        self.warmup.note_down(now);
    }

    pub(super) fn take_trial(&mut self, tag: u32) -> Option<Trial> {
        self.trials[tag as usize % TRIALS].take_if(|trial| trial.tag == tag)
    }

    pub(super) fn take_returned(
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
                if self.in_progress == 0 {
                    // It has nothing to do, so it is not full: it has just ended or started.
                    self.warmup.note_down(now);
                }
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
        if entry.state == EntryState::Open {
            self.warmup.note_down(now);
        }
        let balancer = entry.balancer;
        let note = balancer.map(|to| (to, self.note(packet.flow, FlowEvent::Absent, now)));
        if packet.flags.rst {
            return (AgentStep::Silence(SilenceReason::Ended), note);
        }
        (AgentStep::Reset, note)
    }

    pub(super) fn note_target_packet(
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
                self.warmup.note_older_target();
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
            if packet.data_bytes > 0 {
                self.health.note_answered();
            } else if packet.flags.rst && was_open {
                self.health.note_cut(now);
            }
        }
        if ended && was_open {
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// The target answered a first packet. The number that it chose tells a new flow from a
    /// repeated answer: a late copy of a first packet must not make an open flow a new one.
    pub(super) fn note_answer(
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
        self.begin_flow(packet.flow, entry, now);
        balancer.map(|to| (to, self.note(packet.flow, FlowEvent::Answered, now)))
    }
}
