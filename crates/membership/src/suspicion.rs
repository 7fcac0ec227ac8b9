//! Who is suspected: by how many accusers, and until when.
//!
//! What goes wrong: a process that itself was cut off or paused finds its peers silent. One
//! accuser is therefore never enough, an accusation expires unless it is repeated, and a zone
//! counts as lost only by the word of agents of several services. Memory and messages stay
//! bounded when a whole zone falls silent, because only a few accusers of one subject count.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use crate::message::{AccusationEvent, AccusedSubject};

/// How long an accusation holds without being repeated.
pub const ACCUSATION_LIFETIME: Duration = Duration::from_secs(15);

/// An accusation this old is worth repeating to others.
const FRESH_LIMIT: Duration = Duration::from_secs(3);

/// Accusers that make a suspicion.
pub const ACCUSERS_NEEDED: usize = 2;

/// Accusers that make a zone's loss. Invariant: more than `ZONE_ACCUSERS_A_SERVICE`, so that
/// they are of several services.
pub const ZONE_ACCUSERS_NEEDED: usize = 3;

/// Accusers of one service that are kept of a zone.
const ZONE_ACCUSERS_A_SERVICE: usize = 2;

/// Accusers that are kept of one subject.
const MAX_ACCUSERS: usize = 6;

/// Subjects that are held at most; further ones are not taken up until some expire.
const MAX_SUBJECTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct AccusationEntry {
    accuser: AgentAddress,
    service: ServiceId,
    serial: u32,
    holds: bool,
    heard: Moment,
}

/// The accusations that a process knows of.
#[derive(Clone, Debug, Default)]
pub struct AccusationTracker {
    subjects: BTreeMap<AccusedSubject, SmallVec<[AccusationEntry; 2]>>,
}

/// What a word about a subject changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccusationVerdict {
    /// Whether it is worth passing on.
    pub news: bool,
    /// The new state of suspicion, when it changed.
    pub changed: Option<bool>,
}

impl AccusationTracker {
    /// Notes an accusation or its end.
    pub fn note(&mut self, event: &AccusationEvent, now: Moment) -> AccusationVerdict {
        let before = self.is_suspected(event.subject, now);
        // Six neighbours accuse a silent process; two of them are enough. Passing on the words
        // of all would multiply the messages after the loss of a rack.
        let enough = event.holds && self.fresh_accusers(event, now) >= worth_hearing(event.subject);
        let news = self.record(event, now) && !enough;
        let after = self.is_suspected(event.subject, now);
        AccusationVerdict {
            news,
            changed: (before != after).then_some(after),
        }
    }

    /// Whether enough accusations hold.
    #[must_use]
    pub fn is_suspected(&self, subject: AccusedSubject, now: Moment) -> bool {
        let Some(entries) = self.subjects.get(&subject) else {
            return false;
        };
        let holding = entries.iter().filter(|entry| entry.is_holding(now));
        let needed = match subject {
            AccusedSubject::Agent(_) => ACCUSERS_NEEDED,
            AccusedSubject::Zone(_) => ZONE_ACCUSERS_NEEDED,
        };
        holding.count() >= needed
    }

    /// The subjects that are suspected now.
    pub fn suspected(&self, now: Moment) -> impl Iterator<Item = AccusedSubject> + '_ {
        let subjects = self.subjects.keys().copied();
        subjects.filter(move |&subject| self.is_suspected(subject, now))
    }

    /// Forgets what expired.
    pub fn expire(&mut self, now: Moment) {
        self.subjects.retain(|_, entries| {
            entries.retain(|entry| now.since(entry.heard) < ACCUSATION_LIFETIME);
            !entries.is_empty()
        });
    }

    /// Other accusers of the same subject that were heard lately.
    fn fresh_accusers(&self, event: &AccusationEvent, now: Moment) -> usize {
        let Some(entries) = self.subjects.get(&event.subject) else {
            return 0;
        };
        let others = entries
            .iter()
            .filter(|entry| entry.accuser != event.accuser && entry.holds);
        others
            .filter(|entry| now.since(entry.heard) < FRESH_LIMIT)
            .count()
    }

    fn record(&mut self, event: &AccusationEvent, now: Moment) -> bool {
        if !self.subjects.contains_key(&event.subject) && self.subjects.len() >= MAX_SUBJECTS {
            return false;
        }
        let entries = self.subjects.entry(event.subject).or_default();
        let entry = AccusationEntry {
            accuser: event.accuser,
            service: event.service,
            serial: event.serial,
            holds: event.holds,
            heard: now,
        };
        let known = entries
            .iter()
            .position(|held| held.accuser == event.accuser);
        if let Some(position) = known {
            let newer = entries[position].serial < event.serial;
            if newer {
                entries[position] = entry;
            }
            return newer;
        }
        // The neighbours of the first silent agent speak first, and all are of one service:
        // they must not fill the places that the other services' words need.
        let same_service = entries.iter().filter(|held| held.service == event.service);
        let crowded = matches!(event.subject, AccusedSubject::Zone(_))
            && same_service.count() >= ZONE_ACCUSERS_A_SERVICE;
        let room = entries.len() < MAX_ACCUSERS && !crowded;
        if room {
            entries.push(entry);
        }
        room
    }
}

/// Accusers that are worth hearing of.
const fn worth_hearing(subject: AccusedSubject) -> usize {
    match subject {
        AccusedSubject::Agent(_) => ACCUSERS_NEEDED,
        AccusedSubject::Zone(_) => MAX_ACCUSERS,
    }
}

impl AccusationEntry {
    fn is_holding(&self, now: Moment) -> bool {
        self.holds && now.since(self.heard) < ACCUSATION_LIFETIME
    }
}
