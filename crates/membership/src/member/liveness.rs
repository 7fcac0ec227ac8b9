//! Heartbeats, accusations and departures.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, Incarnation, Moment};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::FleetMember;
use crate::action::MemberNotice;
use crate::budget::SendUrgency;
use crate::list::{ListedInstance, ZoneId};
use crate::message::{
    AccusationEvent, AccusedSubject, DepartureEvent, MemberEvent, MemberMessage, PeerHeartbeat,
};
use crate::neighbour::DueWord;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Processes of a silent neighbour's zone that are asked.
const PROBES: usize = 3;

impl FleetMember {
    /// Says from now on that this process is leaving.
    pub fn set_leaving(&mut self, now: Moment) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.report.condition = GateCondition::Leaving;
        self.next_heartbeat = now;
        let event = DepartureEvent {
            agent: self.settings.own,
            incarnation: self.settings.incarnation,
            refuted: false,
        };
        self.accept_event(MemberEvent::Departure(event), now);
    }

    pub(super) fn accept_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Moment) {
        if !self.neighbours.note_heartbeat(heartbeat, now) {
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

    /// Ends the departure of a process when a successor at its address is heard of.
    pub(super) fn refute_predecessors(
        &mut self,
        agent: AgentAddress,
        current: Incarnation,
        now: Moment,
    ) {
        let others: Vec<_> = self.departures.other_starts(agent, current).collect();
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
        if !self.departures.note(event, now) {
            return;
        }
        let leaving = self.departures.is_leaving(event.agent);
        if leaving != before {
            self.refresh_standing(event.agent, now);
            self.notice(MemberNotice::LeavingSeen {
                agent: event.agent,
                leaving,
            });
        }
        self.pass_on(MemberEvent::Departure(event), now);
        if event.agent == self.settings.own {
            self.refute_predecessors(event.agent, self.settings.incarnation, now);
        }
    }

    fn accept_accusation(&mut self, event: AccusationEvent, now: Moment) {
        // Nobody is avoided on its own announcement about itself, nor on an old one about us.
        if event.subject == AccusedSubject::Agent(self.settings.own) {
            return;
        }
        let verdict = self.accusations.note(&event, now);
        if verdict.news {
            self.pass_on(MemberEvent::Accusation(event), now);
        }
        if let Some(suspected) = verdict.changed {
            if suspected {
                self.suspected.insert(event.subject);
            } else {
                self.suspected.remove(&event.subject);
            }
            self.refresh_subject(event.subject, now);
            self.notice_suspicion(event.subject, suspected);
        }
    }

    pub(super) fn pass_on(&mut self, event: MemberEvent, now: Moment) {
        self.rumors.push(event);
        self.round_soon(now);
    }

    fn notice_suspicion(&mut self, subject: AccusedSubject, suspected: bool) {
        match subject {
            AccusedSubject::Agent(agent) => {
                self.notice(MemberNotice::SuspicionChanged { agent, suspected });
            }
            AccusedSubject::Zone(zone) => {
                let Some(zone) = self.list.zone(zone).cloned() else {
                    return;
                };
                self.notice(MemberNotice::ZoneChanged { zone, suspected });
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
        let was: Vec<AccusedSubject> = self.suspected.iter().copied().collect();
        for subject in was {
            if !self.accusations.is_suspected(subject, now) {
                self.suspected.remove(&subject);
                self.refresh_subject(subject, now);
                self.notice_suspicion(subject, false);
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
            let share = self.rng.random_range(0.9..1.1);
            self.next_heartbeat = now + HEARTBEAT_INTERVAL.mul_f64(share);
            self.send_heartbeats(now);
        }
        for silent in self.neighbours.due_questions(now) {
            let question = MemberMessage::Probe(self.settings.own);
            self.send(silent, question, SendUrgency::Heartbeat, now);
        }
        for (zone, silent) in self.neighbours.due_probes(now) {
            self.probe_zone(zone, &silent, now);
        }
        for word in self.neighbours.due_words(now) {
            self.say(word, now);
        }
    }

    /// Asks a few processes of a zone whether they are there. A zone with fewer others is too
    /// small for its loss to be worth one word.
    fn probe_zone(&mut self, zone: ZoneId, silent: &[AgentAddress], now: Moment) {
        let own = self.settings.own;
        let rows = self.list.rows().iter().filter(|row| row.zone == zone);
        let others = rows
            .map(|row| row.control)
            .filter(|control| *control != own && !silent.contains(control));
        let asked: Vec<AgentAddress> = others.choose_multiple(&mut self.rng, PROBES);
        if asked.len() < PROBES {
            self.neighbours.note_zone_alive(zone);
            return;
        }
        for to in asked {
            self.send(to, MemberMessage::Probe(own), SendUrgency::Heartbeat, now);
        }
    }

    pub(super) fn accept_probe(&mut self, sender: AgentAddress, now: Moment) {
        let answer = MemberMessage::Alive(self.settings.own);
        self.send(sender, answer, SendUrgency::Heartbeat, now);
    }

    pub(super) fn accept_alive(&mut self, sender: AgentAddress, now: Moment) {
        self.neighbours.note_answer(sender, now);
        let zone = self.list.at(sender).next().map(|row| row.zone);
        if let Some(zone) = zone {
            self.neighbours.note_zone_alive(zone);
        }
    }

    fn send_heartbeats(&mut self, now: Moment) {
        let mut report = self.report;
        if self.leaving {
            report.condition = GateCondition::Leaving;
        }
        let heartbeat = PeerHeartbeat {
            sender: self.settings.own,
            incarnation: self.settings.incarnation,
            report,
        };
        let neighbours: Vec<AgentAddress> = self.neighbours.neighbours().collect();
        for to in neighbours {
            let message = MemberMessage::Heartbeat(heartbeat);
            self.send(to, message, SendUrgency::Heartbeat, now);
        }
    }

    fn say(&mut self, word: DueWord, now: Moment) {
        let Some(service) = self.settings.service else {
            return;
        };
        self.serial += 1;
        let event = AccusationEvent {
            subject: word.subject,
            accuser: self.settings.own,
            service,
            serial: self.serial,
            holds: word.holds,
        };
        self.accept_event(MemberEvent::Accusation(event), now);
    }
}
