//! Heartbeats, accusations and departures.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, Incarnation, Moment};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::FleetMember;
use crate::action::MemberNotice;
use crate::budget::SendPriority;
use crate::list::{ListedInstance, ZoneId};
use crate::message::{
    AccusationEvent, AccusedSubject, DepartureEvent, MemberEvent, MemberMessage, PeerHeartbeat,
};
use crate::neighbour::DueAccusation;

/// Interval of heartbeats to neighbours.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of processes that a zone probe asks.
const ZONE_PROBE_FANOUT: usize = 3;

impl FleetMember {
    /// Announces that this process is leaving.
    pub fn set_leaving(&mut self, now: Moment) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.report.condition = GateCondition::Leaving;
        self.next_heartbeat = now;
        let event = DepartureEvent {
            agent: self.settings.control,
            incarnation: self.settings.incarnation,
            refuted: false,
        };
        self.accept_event(MemberEvent::Departure(event), now);
    }

    pub(super) fn accept_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Moment) {
        if !self.neighbours.record_heartbeat(heartbeat, now) {
            return;
        }
        let sender = heartbeat.sender;
        if heartbeat.report.condition == GateCondition::Leaving {
            let event = DepartureEvent {
                agent: sender,
                incarnation: heartbeat.incarnation,
                refuted: false,
            };
            self.accept_event(MemberEvent::Departure(event), now);
        }
        self.refute_predecessors(sender, heartbeat.incarnation, now);
    }

    /// Refutes the departures of earlier incarnations at an address once a successor is known
    /// there.
    pub(super) fn refute_predecessors(
        &mut self,
        agent: AgentAddress,
        current: Incarnation,
        now: Moment,
    ) {
        let others: Vec<_> = self.departures.other_incarnations(agent, current).collect();
        for incarnation in others {
            let event = DepartureEvent {
                agent,
                incarnation,
                refuted: true,
            };
            self.accept_event(MemberEvent::Departure(event), now);
        }
    }

    pub(super) fn accept_event(&mut self, event: MemberEvent, now: Moment) {
        match event {
            MemberEvent::Departure(departure) => self.accept_departure(departure, now),
            MemberEvent::Accusation(accusation) => self.accept_accusation(accusation, now),
            MemberEvent::Arrival(arrival) => self.accept_arrival(arrival, now),
        }
    }

    fn accept_departure(&mut self, event: DepartureEvent, now: Moment) {
        let before = self.departures.is_leaving(event.agent);
        if !self.departures.record(event, now) {
            return;
        }
        let leaving = self.departures.is_leaving(event.agent);
        if leaving != before {
            self.refresh_standing(event.agent, now);
            self.notify(MemberNotice::LeavingChanged {
                agent: event.agent,
                leaving,
            });
        }
        self.relay(MemberEvent::Departure(event), now);
        if event.agent == self.settings.control {
            self.refute_predecessors(event.agent, self.settings.incarnation, now);
        }
    }

    fn accept_accusation(&mut self, event: AccusationEvent, now: Moment) {
        // A process does not suspect itself, and an accusation against it may be stale.
        if event.subject == AccusedSubject::Agent(self.settings.control) {
            return;
        }
        let outcome = self.accusations.record(&event, now);
        if outcome.should_relay {
            self.relay(MemberEvent::Accusation(event), now);
        }
        if let Some(suspected) = outcome.suspicion_change {
            if suspected {
                self.suspected.insert(event.subject);
            } else {
                self.suspected.remove(&event.subject);
            }
            self.refresh_subject(event.subject, now);
            self.notify_suspicion(event.subject, suspected);
        }
    }

    pub(super) fn relay(&mut self, event: MemberEvent, now: Moment) {
        self.rumors.push(event);
        self.schedule_round(now);
    }

    fn notify_suspicion(&mut self, subject: AccusedSubject, suspected: bool) {
        match subject {
            AccusedSubject::Agent(agent) => {
                self.notify(MemberNotice::SuspicionChanged { agent, suspected });
            }
            AccusedSubject::Zone(zone) => {
                let Some(zone) = self.list.zone(zone).cloned() else {
                    return;
                };
                self.notify(MemberNotice::ZoneSuspicionChanged { zone, suspected });
            }
        }
    }

    fn refresh_subject(&mut self, subject: AccusedSubject, now: Moment) {
        match subject {
            AccusedSubject::Agent(agent) => self.refresh_standing(agent, now),
            AccusedSubject::Zone(zone) => self.refresh_zone(zone, now),
        }
    }

    fn refresh_zone(&mut self, zone: ZoneId, now: Moment) {
        let rows = self.list.rows().iter();
        let rows: Vec<ListedInstance> = rows.filter(|row| row.zone == zone).copied().collect();
        for row in rows {
            self.refresh_row(&row, now);
        }
    }

    pub(super) fn expire(&mut self, now: Moment) {
        let previously_suspected: Vec<AccusedSubject> = self.suspected.iter().copied().collect();
        for subject in previously_suspected {
            if !self.accusations.is_suspected(subject, now) {
                self.suspected.remove(&subject);
                self.refresh_subject(subject, now);
                self.notify_suspicion(subject, false);
            }
        }
        self.accusations.expire(now);
        self.expire_arrivals(now);
        for agent in self.departures.expire(now) {
            self.refresh_standing(agent, now);
        }
    }

    pub(super) fn advance_liveness(&mut self, now: Moment) {
        if self.settings.service.is_none() {
            return;
        }
        self.advance_announcing(now);
        if now >= self.next_heartbeat {
            let jitter = self.rng.random_range(0.9..1.1);
            self.next_heartbeat = now + HEARTBEAT_INTERVAL.mul_f64(jitter);
            self.send_heartbeats(now);
        }
        for silent in self.neighbours.due_peer_probes(now) {
            let probe = MemberMessage::Probe(self.settings.control);
            self.send(silent, probe, SendPriority::Heartbeat, now);
        }
        for (zone, silent) in self.neighbours.due_zone_probes(now) {
            self.probe_zone(zone, &silent, now);
        }
        for accusation in self.neighbours.due_accusations(now) {
            self.issue_accusation(accusation, now);
        }
    }

    /// Probes a few processes of a zone. A zone with too few other processes is treated as
    /// reachable: its loss needs no event of its own.
    fn probe_zone(&mut self, zone: ZoneId, silent: &[AgentAddress], now: Moment) {
        let own = self.settings.control;
        let rows = self.list.rows().iter().filter(|row| row.zone == zone);
        let others = rows
            .map(|row| row.control)
            .filter(|control| *control != own && !silent.contains(control));
        let asked: Vec<AgentAddress> = others.choose_multiple(&mut self.rng, ZONE_PROBE_FANOUT);
        if asked.len() < ZONE_PROBE_FANOUT {
            self.neighbours.record_zone_alive(zone);
            return;
        }
        for to in asked {
            self.send(to, MemberMessage::Probe(own), SendPriority::Heartbeat, now);
        }
    }

    pub(super) fn accept_probe(&mut self, sender: AgentAddress, now: Moment) {
        let answer = MemberMessage::Alive(self.settings.control);
        self.send(sender, answer, SendPriority::Heartbeat, now);
    }

    pub(super) fn accept_alive(&mut self, sender: AgentAddress, now: Moment) {
        self.neighbours.record_probe_reply(sender, now);
        let zone = self.list.at(sender).next().map(|row| row.zone);
        if let Some(zone) = zone {
            self.neighbours.record_zone_alive(zone);
        }
    }

    fn send_heartbeats(&mut self, now: Moment) {
        let mut report = self.report;
        if self.leaving {
            report.condition = GateCondition::Leaving;
        }
        let heartbeat = PeerHeartbeat {
            sender: self.settings.control,
            incarnation: self.settings.incarnation,
            report,
        };
        let neighbours: Vec<AgentAddress> = self.neighbours.neighbours().collect();
        for to in neighbours {
            let message = MemberMessage::Heartbeat(heartbeat);
            self.send(to, message, SendPriority::Heartbeat, now);
        }
    }

    fn issue_accusation(&mut self, accusation: DueAccusation, now: Moment) {
        let Some(service) = self.settings.service else {
            return;
        };
        self.serial += 1;
        let event = AccusationEvent {
            subject: accusation.subject,
            accuser: self.settings.control,
            service,
            serial: self.serial,
            holds: accusation.holds,
        };
        self.accept_event(MemberEvent::Accusation(event), now);
    }
}
