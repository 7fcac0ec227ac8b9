//! Packets of the target: sent to their clients, and used as evidence about the target.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::entry::{AbsentFlow, EntryState, FlowEntry, RequestPhase, TentativeDelivery};
use super::{AgentStep, DropReason, FlowAgent, MAX_TENTATIVE, REFUSED_BACKOFF};
use crate::frame::{FlowEvent, FlowUpdate};
use crate::packet::FlowPacket;

impl FlowAgent {
    /// Handles a packet that the target sent. Returns what to do with it, and the update to send to
    /// the flow's balancer.
    pub fn handle_target_packet(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowUpdate)>) {
        if !self.is_responsive(now) {
            self.warmup.record_down(now);
            self.service_times.forget();
        }
        if !packet.flags.returned {
            self.warmup.record_up(now);
        }
        self.unanswered_since = None;
        self.refused_until = Moment::ZERO;
        if packet.flags.returned {
            return self.handle_returned(packet, now);
        }
        let update = self.record_target_packet(packet, now);
        (AgentStep::ToClient, update)
    }

    /// Takes the time from the last answered request to the first packet of its answer; `None` if
    /// no request was answered since the last call.
    pub fn take_response_time(&mut self) -> Option<Duration> {
        self.response_time.take()
    }

    /// Records that the operating system refused a packet to the target because nothing listens at
    /// its address: the target is down.
    pub fn handle_connection_refused(&mut self, now: Moment) {
        self.refused_until = now + REFUSED_BACKOFF;
        self.warmup.record_down(now);
        self.service_times.forget();
    }

    pub(super) fn take_tentative(&mut self, tag: u32) -> Option<TentativeDelivery> {
        self.tentative[tag as usize % MAX_TENTATIVE].take_if(|delivery| delivery.tag == tag)
    }

    pub(super) fn handle_returned(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowUpdate)>) {
        if let Some(delivery) = self.take_tentative(packet.tag) {
            if packet.opens() {
                let known = self.flows.get(&packet.flow).map(|entry| entry.state);
                if known.is_some_and(|state| state != EntryState::Offered) {
                    // A late copy: the flow opened long ago and must not be offered to another
                    // target.
                    return (AgentStep::Drop(DropReason::FlowEnded), None);
                }
                self.remove_flow(&packet.flow, now);
                if self.in_progress == 0 {
                    // The target is idle, so it is not full: it has just ended or started.
                    self.warmup.record_down(now);
                    self.service_times.forget();
                }
            } else {
                let lifetime = self.settings.flow_lifetime;
                self.absent
                    .insert(packet.flow, AbsentFlow(now), lifetime, now);
            }
            return self.forward(packet, delivery.origin, now);
        }
        // The flow was here and the target no longer holds it: it restarted, or evicted an old
        // flow. No other target holds it either.
        let Some(entry) = self.remove_flow(&packet.flow, now) else {
            return (AgentStep::Drop(DropReason::UnknownFlow), None);
        };
        if entry.state == EntryState::Open {
            self.warmup.record_down(now);
        }
        let balancer = entry.balancer;
        let update = balancer.map(|to| (to, self.flow_update(packet.flow, FlowEvent::Absent, now)));
        if packet.flags.rst {
            return (AgentStep::Drop(DropReason::FlowEnded), update);
        }
        (AgentStep::Reset, update)
    }

    pub(super) fn record_target_packet(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> Option<(AgentAddress, FlowUpdate)> {
        let flow = packet.flow;
        let answers_offer = packet.flags.syn && packet.flags.ack;
        let Some(entry) = self.flows.get_mut(&flow) else {
            // The flow was open before this agent started.
            if !answers_offer && !packet.flags.rst {
                let entry = FlowEntry::new(EntryState::Open, None, now);
                let lifetime = self.settings.flow_lifetime;
                let inserted = self.flows.insert(flow, entry, lifetime, now);
                self.held_flows += u32::from(inserted);
                self.open += 1;
                self.warmup.record_older_target();
            }
            return None;
        };
        entry.last_active = now;
        if answers_offer {
            return self.record_offer_answer(packet, now);
        }
        let is_new = entry.record_target_data(packet);
        let repeated = matches!(entry.phase, RequestPhase::Delivered(_)) && !is_new;
        let ended = packet.flags.fin || packet.flags.rst;
        let answered = (packet.data_bytes > 0 && !repeated) || ended;
        if let Some(request) = entry.request.take_if(|_| answered) {
            if packet.data_bytes > 0 {
                let address = flow.service_address;
                self.service_times.record_answer(&request, address, now);
            } else {
                self.service_times.record_abandoned(&request);
            }
        }
        let waiting_since = if answered {
            entry.waiting_since.take()
        } else {
            None
        };
        let was_open = entry.state == EntryState::Open;
        let phase = if ended || waiting_since.is_some() {
            std::mem::replace(&mut entry.phase, RequestPhase::Idle)
        } else {
            RequestPhase::Idle
        };
        if ended {
            entry.state = EntryState::Closed;
            self.held_flows -= u32::from(std::mem::take(&mut entry.counted)).min(self.held_flows);
        }
        if let Some(since) = waiting_since {
            self.response_time = Some(now.since(since));
            self.change_in_progress(-1, now);
            if packet.data_bytes > 0 {
                self.health.record_answer();
            } else if packet.flags.rst && was_open {
                self.health.record_reset(now);
            }
        }
        if ended && was_open {
            self.open = self.open.saturating_sub(1);
        }
        self.end_phase(&flow, phase, packet.data_bytes > 0, now);
        None
    }

    /// Records that the target answered a first packet. Its initial sequence number tells a new
    /// flow from a repeated answer: a late copy of a first packet must not turn an open flow into a
    /// new one.
    pub(super) fn record_offer_answer(
        &mut self,
        packet: &FlowPacket,
        now: Moment,
    ) -> Option<(AgentAddress, FlowUpdate)> {
        let entry = self.flows.get_mut(&packet.flow)?;
        let unknown = entry.state == EntryState::Open && entry.target_sequence.is_none();
        if unknown || entry.target_sequence == Some(packet.sequence) {
            entry.target_sequence = Some(packet.sequence);
            return None;
        }
        let balancer = entry.balancer;
        self.remove_flow(&packet.flow, now);
        let mut entry = FlowEntry::new(EntryState::Answered, balancer, now);
        entry.target_sequence = Some(packet.sequence);
        self.add_opening_flow(packet.flow, entry, now);
        balancer.map(|to| (to, self.flow_update(packet.flow, FlowEvent::Answered, now)))
    }
}
