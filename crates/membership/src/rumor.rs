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

/// Upper bound of queued events; beyond it, the last one in the queue is dropped.
const MAX_QUEUED_EVENTS: usize = 512;

/// Events to relay, each with its remaining rounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumorQueue {
    queue: VecDeque<(MemberEvent, u8)>,
}

impl RumorQueue {
    /// Queues an event. Departures go to the front, ahead of accusations and arrivals.
    pub(crate) fn push(&mut self, event: MemberEvent) {
        if self.queue.len() >= MAX_QUEUED_EVENTS {
            self.queue.pop_back();
        }
        match event {
            MemberEvent::Departure(_) => self.queue.push_front((event, DEPARTURE_RELAY_ROUNDS)),
            MemberEvent::Arrival(_) => self.queue.push_back((event, ARRIVAL_RELAY_ROUNDS)),
            MemberEvent::Accusation(accusation) => {
                let rounds = match accusation.subject {
                    AccusedSubject::Agent(_) => ACCUSATION_RELAY_ROUNDS,
                    AccusedSubject::Zone(_) => ZONE_RELAY_ROUNDS,
                };
                self.queue.push_back((event, rounds));
            }
        }
    }

    /// Returns whether no events are queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the events for the heads of one round.
    pub(crate) fn next_round(&mut self) -> SmallVec<[MemberEvent; 2]> {
        let mut events = SmallVec::new();
        let count = self.queue.len().min(MAX_HEAD_EVENTS);
        for _ in 0..count {
            let Some((event, rounds)) = self.queue.pop_front() else {
                break;
            };
            events.push(event);
            if rounds > 1 {
                self.queue.push_back((event, rounds - 1));
            }
        }
        events
    }
}
