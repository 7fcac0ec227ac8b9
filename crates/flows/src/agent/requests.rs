//! Requests and new flows of routes with a class: counted, held and released by the admission.

use std::time::Duration;

use lovagelatch_domain::Moment;

use super::admission::{AdmissionEvent, OfferRefusal, RefusedOffer, RequestAdmission};
use super::entry::{FlowEntry, RequestPhase};
use super::{AgentStep, FlowAgent};
use crate::frame::PacketFrame;
use crate::packet::{FlowKey, FlowPacket};

/// How long a flow whose client has not sent its request counts as one. A distant client sends it
/// within some tens of milliseconds of the target's answer; one that has not sent it by then has
/// accepted another target's answer or given up. An agent that counted these flows for longer
/// refused new ones while its target was idle.
const OPENING_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of flows about to open that are timed individually.
const MAX_OPENINGS: usize = 1_024;

/// Memory of a held packet besides its data.
const HELD_PACKET_OVERHEAD: usize = 64;

/// A packet of a flow that the target is known to hold.
const DELIVER: AgentStep = AgentStep::Deliver { tag: 0 };

impl FlowAgent {
    /// Takes the decisions since the last call, oldest first, into `events`, which must be empty.
    /// Has to be called after each other call that may release a request, and executed before the
    /// returned step: the held packets of a flow precede its later ones.
    pub fn take_admission_events(&mut self, events: &mut Vec<AdmissionEvent>) {
        self.admission.swap_events(events);
    }

    /// Releases the requests that may not wait any longer, and all of them if the agent is
    /// stopping.
    pub fn advance_admission(&mut self, now: Moment) {
        if self.admission.is_unused() {
            return;
        }
        self.expire_openings(now);
        self.admission.advance(now);
        self.release_places(now);
        for (flow, number) in self.admission.release_due(self.leaving, now) {
            self.start_waiting(&flow, number, now);
        }
    }

    /// Returns when [`advance_admission`](Self::advance_admission) should be called next.
    #[must_use]
    pub fn next_admission_deadline(&self) -> Option<Moment> {
        self.admission.next_deadline()
    }

    /// Delivers or holds a client's packet of an open flow whose request is in `phase`.
    pub(super) fn admit_packet(
        &mut self,
        packet: &FlowPacket,
        phase: RequestPhase,
        now: Moment,
    ) -> AgentStep {
        if packet.flags.rst && self.admission.class(&packet.flow.service_address).is_some() {
            self.record_client_reset(&packet.flow, now);
            return DELIVER;
        }
        if phase == RequestPhase::Waiting {
            return self.hold_packet(packet, now);
        }
        self.record_request(packet, now)
    }

    /// Delivers or holds a new request of a route with a class.
    pub(super) fn admit_request(&mut self, packet: &FlowPacket, now: Moment) -> AgentStep {
        self.update_average(now);
        let (size, may_hold) = (held_size(packet), !self.leaving);
        let admission = self.admission.admit(packet.flow, size, may_hold, now);
        self.end_opening(&packet.flow);
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return DELIVER;
        };
        if admission == Some(RequestAdmission::Held) {
            entry.phase = RequestPhase::Waiting;
            return AgentStep::Hold;
        }
        if let Some(RequestAdmission::Delivered(number)) = admission {
            entry.phase = RequestPhase::Delivered(number);
        }
        entry.waiting_since = Some(now);
        self.service_times.record_delivery(&mut entry.request, now);
        self.change_in_progress(1, now);
        // A delivery in excess may raise the capacity. Never after `Hold`: a release has to follow
        // the step that it ends.
        self.release_places(now);
        DELIVER
    }

    /// Records the end of the request phase of a flow whose request was answered if `answered` is
    /// set, and otherwise ended without an answer.
    pub(super) fn end_phase(
        &mut self,
        flow: &FlowKey,
        phase: RequestPhase,
        answered: bool,
        now: Moment,
    ) {
        match phase {
            RequestPhase::Idle => return,
            RequestPhase::Opening => self.openings = self.openings.saturating_sub(1),
            RequestPhase::Waiting => self.admission.release_ended(flow, now),
            RequestPhase::Delivered(number) if answered => {
                self.admission.record_answer(number, now);
            }
            RequestPhase::Delivered(number) => self.admission.abandon(number, now),
        }
        self.release_places(now);
    }

    /// Counts a flow that is about to open, before it is added.
    pub(super) fn start_opening(&mut self, flow: FlowKey, entry: &mut FlowEntry, now: Moment) {
        if self.admission.class(&flow.service_address).is_none() {
            return;
        }
        entry.phase = RequestPhase::Opening;
        if self.opening_times.len() >= MAX_OPENINGS {
            self.expire_oldest_opening();
        }
        self.opening_times.push_back((now, flow));
    }

    /// Stops counting a flow that is about to open: its client accepted another target's answer,
    /// or its request arrived.
    pub(super) fn end_opening(&mut self, flow: &FlowKey) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        if entry.phase != RequestPhase::Opening {
            return;
        }
        entry.phase = RequestPhase::Idle;
        let counted = entry.waiting_since.take().is_some();
        self.in_progress = self.in_progress.saturating_sub(counted.into());
        self.openings = self.openings.saturating_sub(1);
    }

    /// Returns why an offer of a route with a class is not accepted; `None` if it is.
    pub(super) fn offer_refusal(
        &self,
        frame: &PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> Option<OfferRefusal> {
        let address = &packet.flow.service_address;
        let class = self.admission.class(address)?;
        let is_last = frame.rest.is_empty();
        if is_last && !self.is_first_offer(frame, packet, now) {
            return None;
        }
        let max_flows = class.max_flows;
        if max_flows.is_some_and(|max| self.held_flows >= max.get()) {
            return Some(OfferRefusal::FlowLimit);
        }
        self.admission
            .offer_refusal(address, self.openings, is_last, now)
    }

    /// Returns whether an offer is the first one of its flow, so that the flow cannot be open or
    /// about to open anywhere, and a reset ends nothing. Copies of a first packet are numbered, and
    /// a further offer names no class. An agent that does not know all flows was restarted, most
    /// likely with many others: a client that each of them resets has used up its tries within
    /// milliseconds.
    fn is_first_offer(&self, frame: &PacketFrame, packet: &FlowPacket, now: Moment) -> bool {
        let is_copy = packet.acknowledged > 0 || !frame.zones_revision.is_known();
        !is_copy && frame.class.is_some() && self.knows_all_flows(now)
    }

    pub(super) fn report_refused_offer(
        &mut self,
        flow: FlowKey,
        refusal: OfferRefusal,
        passed_on: bool,
    ) {
        let class = self.admission.class(&flow.service_address);
        let refused = RefusedOffer {
            flow,
            refusal,
            passed_on,
            in_service: self.admission.in_service(),
            waiting: self.admission.waiting(),
            openings: self.openings,
            full: self.admission.full(),
            flows: self.held_flows,
            max_flows: class.and_then(|class| class.max_flows),
        };
        self.admission
            .push_event(AdmissionEvent::OfferRefused(refused));
    }

    /// Stops counting flows whose clients have not sent their requests.
    pub(super) fn expire_openings(&mut self, now: Moment) {
        while let Some((since, _)) = self.opening_times.front()
            && now.since(*since) >= OPENING_TIMEOUT
        {
            self.expire_oldest_opening();
        }
    }

    fn expire_oldest_opening(&mut self) {
        let Some((since, flow)) = self.opening_times.pop_front() else {
            return;
        };
        let entry = self.flows.get(&flow);
        // A flow that was added again later has a later entry.
        if entry.is_some_and(|entry| entry.waiting_since.is_none_or(|added| added <= since)) {
            self.end_opening(&flow);
        }
    }

    /// Holds one more packet of a flow whose request waits.
    fn hold_packet(&mut self, packet: &FlowPacket, now: Moment) -> AgentStep {
        if let Some(entry) = self.flows.get_mut(&packet.flow)
            && packet.data_bytes > 0
        {
            entry.record_client_data(packet);
        }
        if self.admission.extend(&packet.flow, held_size(packet)) {
            return AgentStep::Hold;
        }
        if let Some(number) = self.admission.release_overfull(&packet.flow, now) {
            self.start_waiting(&packet.flow, number, now);
        }
        DELIVER
    }

    fn release_places(&mut self, now: Moment) {
        while let Some((flow, number)) = self.admission.release_next(now) {
            self.start_waiting(&flow, number, now);
        }
    }

    /// Records that the held packets of a flow are delivered.
    fn start_waiting(&mut self, flow: &FlowKey, number: u64, now: Moment) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        entry.phase = RequestPhase::Delivered(number);
        self.service_times.record_delivery(&mut entry.request, now);
        if entry.waiting_since.replace(now).is_none() {
            self.change_in_progress(1, now);
        }
    }

    /// Ends the request of a flow that its client reset. The target does not answer it, and no
    /// longer holds the flow.
    fn record_client_reset(&mut self, flow: &FlowKey, now: Moment) {
        let Some(entry) = self.flows.get_mut(flow) else {
            return;
        };
        let phase = std::mem::replace(&mut entry.phase, RequestPhase::Idle);
        let was_in_progress = entry.waiting_since.take().is_some();
        self.held_flows -= u32::from(std::mem::take(&mut entry.counted)).min(self.held_flows);
        if was_in_progress {
            self.change_in_progress(-1, now);
        }
        self.end_phase(flow, phase, false, now);
    }
}

fn held_size(packet: &FlowPacket) -> usize {
    usize::from(packet.data_bytes) + HELD_PACKET_OVERHEAD
}
