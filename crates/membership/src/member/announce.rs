//! Announcements of agents that are not in the instance list yet: this agent's own and those of
//! others.

use lovagelatch_domain::{GateCondition, Moment};

use super::FleetMember;
use crate::arrival::{ANNOUNCE_INTERVAL, MAX_ANNOUNCEMENTS};
use crate::list::InstanceRole;
use crate::message::{ArrivalEvent, MemberEvent};

/// Progress of this process's own announcements.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnounceState {
    /// Whether this process has ever been in the list. From then on only the list counts: an
    /// instance that was removed from the list must stay removed.
    listed: bool,
    announcements: u8,
    next_announcement: Moment,
}

impl FleetMember {
    /// Announces this agent while it accepts requests and is not in the list.
    pub(super) fn advance_announcing(&mut self, now: Moment) {
        let Some(service) = self.settings.service else {
            return;
        };
        if self.announcing.listed || self.announcing.announcements >= MAX_ANNOUNCEMENTS {
            return;
        }
        if self.list.at(self.settings.control).next().is_some() {
            self.announcing.listed = true;
            return;
        }
        let open = self.report.slots > 0 && self.report.condition == GateCondition::Open;
        if !self.ready || self.leaving || !open || now < self.announcing.next_announcement {
            return;
        }
        self.announcing.announcements += 1;
        self.announcing.next_announcement = now + ANNOUNCE_INTERVAL;
        let event = ArrivalEvent {
            agent: self.settings.control,
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
        if listed || !zone_known || !self.arrivals.record(event, now) {
            return;
        }
        self.refute_predecessors(event.agent, event.incarnation, now);
        if let Some(row) = self.arrivals.at(event.agent) {
            self.upsert_target(&row, now);
        }
        if self.settings.service == Some(event.service) {
            self.refresh_neighbours(now);
        }
        self.relay(MemberEvent::Arrival(event), now);
    }

    /// Removes an announced target from the view, because it is now listed or its announcement
    /// expired.
    pub(super) fn remove_arrival(&mut self, agent: lovagelatch_domain::AgentAddress) {
        let Some(row) = self.arrivals.remove(agent) else {
            return;
        };
        if let InstanceRole::Target { id, service, .. } = row.role {
            self.view.remove_target(service, id, agent);
            self.view_changed = true;
        }
    }

    pub(super) fn expire_arrivals(&mut self, now: Moment) {
        for agent in self.arrivals.expired(now) {
            self.remove_arrival(agent);
        }
    }
}
