//! Agents that the list does not name yet: announcing oneself, and hearing of others.

use lovagelatch_domain::{GateCondition, Moment};

use super::FleetMember;
use crate::arrival::{ANNOUNCE_INTERVAL, MAX_ANNOUNCEMENTS};
use crate::list::InstanceDuty;
use crate::message::{ArrivalEvent, MemberEvent};

/// Where this process has got with announcing itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnounceState {
    /// Whether the list ever named it. Then the list alone counts: whoever takes an instance off
    /// the list wants it to stay off.
    listed: bool,
    announced: u8,
    next: Moment,
}

impl FleetMember {
    /// Announces this agent, while it takes requests and the list does not name it.
    pub(super) fn advance_announcing(&mut self, now: Moment) {
        let Some(service) = self.settings.service else {
            return;
        };
        if self.announcing.listed || self.announcing.announced >= MAX_ANNOUNCEMENTS {
            return;
        }
        if self.list.at(self.settings.own).next().is_some() {
            self.announcing.listed = true;
            return;
        }
        let open = self.report.slots > 0 && self.report.condition == GateCondition::Open;
        if !self.ready || self.leaving || !open || now < self.announcing.next {
            return;
        }
        self.announcing.announced += 1;
        self.announcing.next = now + ANNOUNCE_INTERVAL;
        let event = ArrivalEvent {
            agent: self.settings.own,
            operations: self.settings.operations,
            incarnation: self.settings.incarnation,
            service,
            zone: self.zone,
            slots: self.report.slots,
        };
        self.accept_event(MemberEvent::Arrival(event), now);
    }

    pub(super) fn accept_arrival(&mut self, event: ArrivalEvent, now: Moment) {
        let listed = self.list.at(event.agent).next().is_some();
        let zone_known = self.list.zone(event.zone).is_some();
        if listed || !zone_known || !self.arrivals.note(event, now) {
            return;
        }
        self.refute_predecessors(event.agent, event.incarnation, now);
        if let Some(row) = self.arrivals.at(event.agent) {
            self.show_row(&row, now);
        }
        if self.settings.service == Some(event.service) {
            self.refresh_neighbours(now);
        }
        self.pass_on(MemberEvent::Arrival(event), now);
    }

    /// Takes an announced target out of the view: the list names it now, or never did.
    pub(super) fn end_arrival(&mut self, agent: lovagelatch_domain::AgentAddress) {
        let Some(row) = self.arrivals.remove(agent) else {
            return;
        };
        if let InstanceDuty::Target { id, service, .. } = row.duty {
            self.view.remove_target(service, id, agent);
            self.view_changed = true;
        }
    }

    pub(super) fn expire_arrivals(&mut self, now: Moment) {
        for agent in self.arrivals.expired(now) {
            self.end_arrival(agent);
        }
    }
}
