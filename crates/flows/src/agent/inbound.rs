//! Packets of clients: delivered to the target, forwarded to another agent, returned or dropped.

use lovagelatch_domain::{AgentAddress, Moment, StorePosition};

use super::entry::{EntryState, FlowEntry, FrameOrigin, RequestPhase, TentativeDelivery};
use super::warmup::WarmupAdmission;
use super::{
    AgentStep, DOWN_TARGET_RETRY_INTERVAL, DelegatedStep, DropReason, FlowAgent, MAX_TENTATIVE,
};
use crate::frame::{
    DelegatedSearch, FlowEvent, FlowUpdate, FramePurpose, PacketFrame, SearchResult,
};
use crate::packet::{FlowKey, FlowPacket};

/// How far the acknowledgement number of a client's first packet on an open flow may be from the
/// target's initial sequence number. That packet acknowledges the initial number itself or the
/// next.
const OPENING_ACK_WINDOW: u32 = 4;

impl FlowAgent {
    /// Handles a client's packet that arrived in a frame. Returns what to do with it, and the
    /// update to send to the balancer.
    pub fn handle_frame(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowUpdate)>) {
        self.balancers.record_frame(frame.balancer, now);
        if frame.service != self.settings.service && !self.is_held(packet) {
            return self.forward(packet, frame.into(), now);
        }
        if packet.opens() {
            return self.handle_offer(frame, packet, now);
        }
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return self.handle_unknown_flow(frame, packet, now);
        };
        if entry.state == EntryState::Answered {
            let initial = entry.target_sequence.unwrap_or_default();
            if packet.acknowledged.wrapping_sub(initial) > OPENING_ACK_WINDOW {
                // The client accepted another target's answer.
                self.end_opening(&packet.flow);
                return self.forward(packet, frame.into(), now);
            }
            entry.state = EntryState::Open;
            self.open += 1;
            self.held_flows += u32::from(!std::mem::replace(&mut entry.counted, true));
        }
        if entry.state == EntryState::Offered {
            return self.forward(packet, frame.into(), now);
        }
        entry.last_active = now;
        // A balancer that searches does not know where the flow is, even if it was notified before:
        // it has restarted at the same address. Without a second update it would send every further
        // packet of the flow to all agents.
        let searched = frame.purpose == FramePurpose::Search;
        if searched || entry.balancer != Some(frame.balancer) {
            entry.balancer = Some(frame.balancer);
            entry.notified = false;
        }
        let notify = !std::mem::replace(&mut entry.notified, true);
        let phase = entry.phase;
        let step = self.admit_packet(packet, phase, now);
        let update = notify.then(|| {
            (
                frame.balancer,
                self.flow_update(packet.flow, FlowEvent::Opened, now),
            )
        });
        (step, update)
    }

    /// Returns whether the packet belongs to a flow that the target accepted or was offered. Such a
    /// packet may name another service: the balancer has the entry of a former target, and no
    /// other agent holds the flow.
    fn is_held(&self, packet: &FlowPacket) -> bool {
        let entry = self.flows.get(&packet.flow);
        entry.is_some_and(|entry| !packet.opens() || entry.state != EntryState::Closed)
    }

    /// Searches for a flow on behalf of a balancer: at this agent and at the others that it names.
    pub fn handle_delegated_search(
        &mut self,
        search: &DelegatedSearch,
        packet: &FlowPacket,
        now: Moment,
    ) -> DelegatedStep {
        let own_address = self.settings.own_address;
        let remote = self
            .delegated_searches
            .start(search, packet.flow, own_address, now);
        let frame = PacketFrame::new(FramePurpose::Search, search.service, search.balancer);
        let (local, update) = self.handle_frame(frame, packet, now);
        DelegatedStep {
            local,
            update,
            remote,
        }
    }

    /// Answers a balancer that asks whether the target holds a flow. Returns `None` if that is not
    /// known: the flow is about to open, or the agent started after its target.
    pub fn handle_locate(
        &mut self,
        flow: FlowKey,
        balancer: AgentAddress,
        now: Moment,
    ) -> Option<FlowUpdate> {
        self.balancers.record_frame(balancer, now);
        let knows_all_flows = self.knows_all_flows(now);
        let event = match self.flows.get_mut(&flow) {
            Some(entry) if entry.state == EntryState::Open => {
                entry.balancer = Some(balancer);
                entry.notified = true;
                FlowEvent::Opened
            }
            Some(entry) if entry.state != EntryState::Closed => return None,
            _ if knows_all_flows => FlowEvent::Absent,
            _ => return None,
        };
        Some(self.flow_update(flow, event, now))
    }

    /// Handles another agent's update about a flow that this agent searches for. Returns the search
    /// result and the balancer to send it to if that was the last pending answer.
    pub fn handle_flow_update(
        &mut self,
        update: &FlowUpdate,
    ) -> Option<(AgentAddress, SearchResult)> {
        let own_address = self.settings.own_address;
        let agent = update.load.agent;
        match update.event {
            FlowEvent::Absent => {
                let service = update.load.service;
                self.delegated_searches
                    .record_absent(&update.flow, agent, service, own_address)
            }
            FlowEvent::Answered | FlowEvent::Opened | FlowEvent::Refused => None,
        }
    }

    /// Ends the delegated searches that have timed out. Returns their results, each with the
    /// balancer to send it to.
    pub fn expired_searches(&mut self, now: Moment) -> Vec<(AgentAddress, SearchResult)> {
        self.delegated_searches
            .expire(self.settings.own_address, now)
    }

    /// Returns when [`expired_searches`](Self::expired_searches) should be called next.
    #[must_use]
    pub fn next_search_deadline(&self) -> Option<Moment> {
        self.delegated_searches.next_deadline()
    }

    pub(super) fn handle_offer(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowUpdate)>) {
        if frame.class.is_some() {
            let address = packet.flow.service_address;
            self.service_times.record_offer(address, frame.slots);
        }
        self.learn_class(&frame, packet);
        self.expire_openings(now);
        let known = self.flows.get(&packet.flow).map(|entry| entry.state);
        let failing = self.health.is_failing(self.in_progress, now);
        // Where a class is known, the admission decides whether the target is busy.
        let has_class = self.admission.class(&packet.flow.service_address).is_some();
        let busy = !has_class && self.is_busy(frame.slots);
        let unavailable = self.leaving || failing || !self.is_responsive(now) || busy;
        // A copy of a first packet that the target has not answered is one more flow to it: the
        // process that received the first one may have ended, and this copy may be the first that
        // its successor receives.
        let unanswered = known == Some(EntryState::Offered);
        if unanswered
            && self
                .warmup
                .check_offer(frame.warmup, frame.slots, now)
                .is_denied()
        {
            return (AgentStep::Drop(DropReason::ColdTarget), None);
        }
        if known.is_none() {
            let admitted = self.zone_admits(frame.zones_revision, now);
            if !admitted && !frame.zones_revision.is_known() {
                // The flow may be open, and a reset would end it.
                return (AgentStep::Drop(DropReason::ZoneEvacuated), None);
            }
            let warmup = self.warmup.check_offer(frame.warmup, frame.slots, now);
            let last = frame.rest.is_empty();
            if admitted && last && warmup == WarmupAdmission::Unknown {
                return (AgentStep::Drop(DropReason::ColdTarget), None);
            }
            if !admitted || warmup.is_denied() || (unavailable && !last) {
                return self.forward(packet, frame.into(), now);
            }
            if let Some(refusal) = self.offer_refusal(&frame, packet, now) {
                self.report_refused_offer(packet.flow, refusal, !last);
                return self.forward(packet, frame.into(), now);
            }
            let entry = FlowEntry::new(EntryState::Offered, Some(frame.balancer), now);
            self.add_opening_flow(packet.flow, entry, now);
        }
        self.record_offer(now);
        self.warmup.record_admitted(now);
        let tag = self.add_tentative(frame);
        (AgentStep::Deliver { tag }, None)
    }

    /// Records the class that an offer names for the requests of its route.
    fn learn_class(&mut self, frame: &PacketFrame, packet: &FlowPacket) {
        if let Some(class) = &frame.class
            && frame.service == self.settings.service
        {
            self.admission
                .learn(packet.flow.service_address, class, frame.slots);
        }
    }

    /// Records that a first packet is delivered to the target. If the target was last found not
    /// listening, this packet is the retry, and later offers wait for its outcome.
    fn record_offer(&mut self, now: Moment) {
        self.unanswered_since.get_or_insert(now);
        if self.refused_until > Moment::ZERO {
            self.refused_until = self.refused_until.max(now + DOWN_TARGET_RETRY_INTERVAL);
        }
    }

    /// Returns whether the target's zone accepts new flows, for an offer whose sender knew the
    /// zones up to `revision`.
    fn zone_admits(&mut self, revision: StorePosition, now: Moment) -> bool {
        let was_evacuated = self.zone.evacuated;
        let admitted = self.zone.admits_offer(revision);
        if admitted && was_evacuated {
            self.warmup.mark_possibly_cold(now);
        }
        admitted
    }

    pub(super) fn handle_unknown_flow(
        &mut self,
        frame: PacketFrame,
        packet: &FlowPacket,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowUpdate)>) {
        let absent = self.knows_all_flows(now) || self.absent.get(&packet.flow).is_some();
        if absent {
            return self.forward(packet, frame.into(), now);
        }
        let tag = self.add_tentative(frame);
        (AgentStep::Deliver { tag }, None)
    }

    /// Remembers a packet that is delivered without knowing whether the target holds or accepts its
    /// flow. Returns the tag that identifies it if the target returns it.
    pub(super) fn add_tentative(&mut self, frame: PacketFrame) -> u32 {
        self.next_tag = self.next_tag.wrapping_add(1).max(1);
        let tag = self.next_tag;
        self.tentative[tag as usize % MAX_TENTATIVE] = Some(TentativeDelivery {
            tag,
            origin: frame.into(),
        });
        tag
    }

    /// Forwards a packet that is not for this target to the next agent, or reports that no agent is
    /// left.
    pub(super) fn forward(
        &mut self,
        packet: &FlowPacket,
        origin: FrameOrigin,
        now: Moment,
    ) -> (AgentStep, Option<(AgentAddress, FlowUpdate)>) {
        let (purpose, balancer, mut rest) = (origin.purpose, origin.balancer, origin.rest);
        if !rest.is_empty() {
            let next = rest.remove(0);
            let frame = PacketFrame {
                service: next.service,
                balancer,
                slots: next.slots,
                warmup: next.warmup,
                class: origin.class.filter(|_| next.service == origin.service),
                zones_revision: origin.zones_revision,
                purpose,
                asker: origin.asker,
                rest,
            };
            let to = next.agent;
            return (AgentStep::Forward { to, frame }, None);
        }
        match purpose {
            FramePurpose::Offer if packet.opens() => {
                let update = self.flow_update(packet.flow, FlowEvent::Refused, now);
                (AgentStep::Reset, Some((balancer, update)))
            }
            FramePurpose::Known => (AgentStep::Return { to: balancer }, None),
            FramePurpose::Offer | FramePurpose::Search => {
                let update = self.flow_update(packet.flow, FlowEvent::Absent, now);
                let asker = origin.asker.unwrap_or(balancer);
                (AgentStep::Drop(DropReason::NoHolder), Some((asker, update)))
            }
        }
    }

    /// Adds a flow that is about to open, and counts it as a request in progress: a client opens a
    /// flow because it has a request to send. Otherwise, when all clients of a fleet reconnect at
    /// once after a power loss, the first target that runs answers all of them before the first
    /// request arrives, and keeps far more long flows than it can serve.
    pub(super) fn add_opening_flow(&mut self, flow: FlowKey, mut entry: FlowEntry, now: Moment) {
        entry.waiting_since = Some(now);
        self.start_opening(flow, &mut entry, now);
        let lifetime = self.settings.flow_lifetime;
        if self.flows.insert(flow, entry, lifetime, now) {
            self.change_in_progress(1, now);
            self.held_flows += 1;
            self.openings += u16::from(entry.phase == RequestPhase::Opening);
        }
    }

    /// Counts a client's packet with new data as a request, unless the flow has one in progress.
    /// Returns whether it is delivered or held.
    pub(super) fn record_request(&mut self, packet: &FlowPacket, now: Moment) -> AgentStep {
        let deliver = AgentStep::Deliver { tag: 0 };
        if packet.data_bytes == 0 {
            return deliver;
        }
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return deliver;
        };
        if !entry.record_client_data(packet) {
            return deliver;
        }
        let begins = entry.phase == RequestPhase::Opening || entry.waiting_since.is_none();
        let address = &packet.flow.service_address;
        if begins && self.admission.class(address).is_some() {
            return self.admit_request(packet, now);
        }
        self.service_times.record_delivery(&mut entry.request, now);
        if entry.waiting_since.replace(now).is_none() {
            self.change_in_progress(1, now);
        }
        deliver
    }
}
