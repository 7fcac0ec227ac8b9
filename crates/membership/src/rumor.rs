//! Events on their way through the fleet.
//!
//! Each process passes an event on in a few rounds of heads and then no more. Four rounds to
//! three processes are 12 sends: of many receivers, e^-12 or 6 in a million miss an event, and
//! hear of it from the list, late.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::message::{AccusedSubject, MAX_HEAD_EVENTS, MemberEvent};

/// Rounds in which a process passes an event on.
const RELAY_ROUNDS: u8 = 4;

/// The same for arrivals, which are repeated and then listed.
const ARRIVAL_ROUNDS: u8 = 2;

/// The same for accusations, which cost little where they are missed.
const ACCUSATION_ROUNDS: u8 = 2;

/// The same for a zone's loss, which many accuse at once.
const ZONE_ROUNDS: u8 = 1;

/// Events that wait at most; beyond, the oldest gives way.
const MAX_WAITING: usize = 512;

/// Events that this process still passes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumorQueue {
    waiting: VecDeque<(MemberEvent, u8)>,
}

impl RumorQueue {
    /// Adds an event; one's own departure goes before others' accusations.
    pub(crate) fn push(&mut self, event: MemberEvent) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_back();
        }
        match event {
            MemberEvent::Departure(_) => self.waiting.push_front((event, RELAY_ROUNDS)),
            MemberEvent::Arrival(_) => self.waiting.push_back((event, ARRIVAL_ROUNDS)),
            MemberEvent::Accusation(accusation) => {
                let rounds = match accusation.subject {
                    AccusedSubject::Agent(_) => ACCUSATION_ROUNDS,
                    AccusedSubject::Zone(_) => ZONE_ROUNDS,
                };
                self.waiting.push_back((event, rounds));
            }
        }
    }

    /// Whether events wait.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The events for the heads of one round.
    pub(crate) fn next_round(&mut self) -> SmallVec<[MemberEvent; 2]> {
        let mut events = SmallVec::new();
        let count = self.waiting.len().min(MAX_HEAD_EVENTS);
        for _ in 0..count {
            let Some((event, rounds)) = self.waiting.pop_front() else {
                break;
            };
            events.push(event);
            if rounds > 1 {
                self.waiting.push_back((event, rounds - 1));
            }
        }
        events
    }
}
