//! The queue of events that this process relays.
//!
//! Each process relays an event in a few rounds of heads and then drops it. Four rounds with a
//! fan-out of three are 12 sends: in a large fleet, e^-12 or 6 processes in a million miss an event
//! and learn of it later from the list.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::message::{AccusedSubject, MAX_HEAD_EVENTS, MemberEvent};

/// Rounds in which a departure is relayed.
const DEPARTURE_RELAY_ROUNDS: u8 = 4;

/// Rounds in which an arrival is relayed. Fewer, because arrivals are repeated and later listed.
const ARRIVAL_RELAY_ROUNDS: u8 = 2;

/// Rounds in which an accusation of an agent is relayed. Fewer, because a missed one costs little.
const ACCUSATION_RELAY_ROUNDS: u8 = 2;

/// Rounds in which an accusation of a zone is relayed. Fewer, because many processes accuse it at
/// once.
const ZONE_RELAY_ROUNDS: u8 = 1;

/// Upper bound of each queue; beyond it, the event that was relayed most is dropped.
const MAX_QUEUED_EVENTS: usize = 512;

/// Events to relay, each with its remaining rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumorQueue {
    /// Relayed before all others: only a departure tells others not to use a process.
    departures: EventQueue,
    others: EventQueue,
}

impl RumorQueue {
    /// Queues an event.
    pub(crate) fn push(&mut self, event: MemberEvent) {
        match event {
            MemberEvent::Departure(_) => self.departures.push_front(event, DEPARTURE_RELAY_ROUNDS),
            MemberEvent::Arrival(_) => self.others.push_back(event, ARRIVAL_RELAY_ROUNDS),
            MemberEvent::Accusation(accusation) => {
                let rounds = match accusation.subject {
                    AccusedSubject::Agent(_) => ACCUSATION_RELAY_ROUNDS,
                    AccusedSubject::Zone(_) => ZONE_RELAY_ROUNDS,
                };
                self.others.push_back(event, rounds);
            }
        }
    }

    /// Returns whether no events are queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.departures.entries.is_empty() && self.others.entries.is_empty()
    }

    /// Takes the events for the heads of one round.
    pub(crate) fn next_round(&mut self) -> SmallVec<[MemberEvent; 2]> {
        let mut events = SmallVec::new();
        self.departures.take_round(&mut events);
        self.others.take_round(&mut events);
        events
    }
}

/// Events in the order in which they are relayed, each with its remaining rounds.
#[derive(Clone, Debug, Default)]
struct EventQueue {
    entries: VecDeque<(MemberEvent, u8)>,
}

impl EventQueue {
    fn push_front(&mut self, event: MemberEvent, rounds: u8) {
        if self.make_room(rounds) {
            self.entries.push_front((event, rounds));
        }
    }

    fn push_back(&mut self, event: MemberEvent, rounds: u8) {
        if self.make_room(rounds) {
            self.entries.push_back((event, rounds));
        }
    }

    /// Makes room for an event to be relayed in `rounds`. If the queue is full, drops the event with
    /// the fewest remaining rounds, which others may know already. Returns `false` if none has
    /// fewer than the new one.
    fn make_room(&mut self, rounds: u8) -> bool {
        if self.entries.len() < MAX_QUEUED_EVENTS {
            return true;
        }
        let queued = self.entries.iter().enumerate().rev();
        let least = queued.min_by_key(|(_, (_, left))| *left);
        let Some((at, _)) = least.filter(|(_, (_, left))| *left < rounds) else {
            return false;
        };
        self.entries.remove(at);
        true
    }

    /// Moves events of the next round to `events`, up to [`MAX_HEAD_EVENTS`] in total.
    fn take_round(&mut self, events: &mut SmallVec<[MemberEvent; 2]>) {
        let free = MAX_HEAD_EVENTS.saturating_sub(events.len());
        let count = self.entries.len().min(free);
        for (event, rounds) in self.entries.drain(..count).collect::<Vec<_>>() {
            events.push(event);
            if rounds > 1 {
                self.entries.push_back((event, rounds - 1));
            }
        }
    }
}
