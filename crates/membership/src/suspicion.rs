//! Suspicion of agents and zones: how many accusers it takes, and how long it lasts.
//!
//! A process that was cut off or paused itself finds its peers silent. Therefore one accuser is
//! never sufficient, an accusation expires unless it is repeated, and a zone is suspected only if
//! agents of several services accuse it. Only a few accusers of a subject are tracked, so memory
//! and messages stay bounded when a whole zone falls silent.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use crate::message::{AccusationEvent, AccusedSubject};

/// How long an accusation holds unless it is repeated.
pub const ACCUSATION_TTL: Duration = Duration::from_secs(15);

/// Accusations received within this window count as already spread; further ones are not relayed.
const RELAY_SUPPRESSION_WINDOW: Duration = Duration::from_secs(3);

/// Accusers needed to suspect an agent.
pub const MIN_ACCUSERS: usize = 2;

/// Accusers needed to suspect a zone. Invariant: more than `MAX_ZONE_ACCUSERS_PER_SERVICE`, so that
/// they belong to several services.
pub const MIN_ZONE_ACCUSERS: usize = 3;

/// Accusers of a zone that are tracked per service.
const MAX_ZONE_ACCUSERS_PER_SERVICE: usize = 2;

/// Accusers tracked per subject.
const MAX_ACCUSERS: usize = 6;

/// Upper bound of tracked subjects; further ones are ignored until some expire.
const MAX_SUBJECTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct AccusationEntry {
    accuser: AgentAddress,
    service: ServiceId,
    serial: u32,
    holds: bool,
    received_at: Moment,
}

/// Tracks known accusations.
#[derive(Clone, Debug, Default)]
pub struct AccusationTracker {
    subjects: BTreeMap<AccusedSubject, SmallVec<[AccusationEntry; 2]>>,
}

/// Effect of an accusation or its withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccusationOutcome {
    /// Whether the event is worth relaying.
    pub should_relay: bool,
    /// Whether the subject is suspected now; `None` if that did not change.
    pub suspicion_change: Option<bool>,
}

impl AccusationTracker {
    /// Records an accusation or its withdrawal.
    pub fn record(&mut self, event: &AccusationEvent, now: Moment) -> AccusationOutcome {
        let before = self.is_suspected(event.subject, now);
        // Six neighbours accuse a silent process, but two accusations are sufficient. Relaying all
        // of them would multiply the messages after the loss of a rack.
        let enough =
            event.holds && self.recent_accusers(event, now) >= max_relayed_accusers(event.subject);
        let should_relay = self.insert(event, now) && !enough;
        let after = self.is_suspected(event.subject, now);
        AccusationOutcome {
            should_relay,
            suspicion_change: (before != after).then_some(after),
        }
    }

    /// Returns whether enough accusations of a subject hold.
    #[must_use]
    pub fn is_suspected(&self, subject: AccusedSubject, now: Moment) -> bool {
        let Some(entries) = self.subjects.get(&subject) else {
            return false;
        };
        let holding = entries.iter().filter(|entry| entry.is_holding(now));
        let needed = match subject {
            AccusedSubject::Agent(_) => MIN_ACCUSERS,
            AccusedSubject::Zone(_) => MIN_ZONE_ACCUSERS,
        };
        holding.count() >= needed
    }

    /// Returns the subjects that are suspected now.
    pub fn suspected(&self, now: Moment) -> impl Iterator<Item = AccusedSubject> + '_ {
        let subjects = self.subjects.keys().copied();
        subjects.filter(move |&subject| self.is_suspected(subject, now))
    }

    /// Removes expired accusations.
    pub fn expire(&mut self, now: Moment) {
        self.subjects.retain(|_, entries| {
            entries.retain(|entry| now.since(entry.received_at) < ACCUSATION_TTL);
            !entries.is_empty()
        });
    }

    /// Counts other accusers of the same subject that were heard recently.
    fn recent_accusers(&self, event: &AccusationEvent, now: Moment) -> usize {
        let Some(entries) = self.subjects.get(&event.subject) else {
            return 0;
        };
        let others = entries
            .iter()
            .filter(|entry| entry.accuser != event.accuser && entry.holds);
        others
            .filter(|entry| now.since(entry.received_at) < RELAY_SUPPRESSION_WINDOW)
            .count()
    }

    fn insert(&mut self, event: &AccusationEvent, now: Moment) -> bool {
        if !self.subjects.contains_key(&event.subject) && self.subjects.len() >= MAX_SUBJECTS {
            return false;
        }
        let entries = self.subjects.entry(event.subject).or_default();
        let entry = AccusationEntry {
            accuser: event.accuser,
            service: event.service,
            serial: event.serial,
            holds: event.holds,
            received_at: now,
        };
        let position = entries
            .iter()
            .position(|held| held.accuser == event.accuser);
        if let Some(position) = position {
            let newer = entries[position].serial < event.serial;
            if newer {
                entries[position] = entry;
            }
            return newer;
        }
        // The neighbours of the first silent agent are the first accusers, and all belong to one
        // service. They must not take the places of accusers of other services.
        let same_service = entries.iter().filter(|held| held.service == event.service);
        let crowded = matches!(event.subject, AccusedSubject::Zone(_))
            && same_service.count() >= MAX_ZONE_ACCUSERS_PER_SERVICE;
        let room = entries.len() < MAX_ACCUSERS && !crowded;
        if room {
            entries.push(entry);
        }
        room
    }
}

/// Recent accusers of a subject from which on further accusations are not relayed.
const fn max_relayed_accusers(subject: AccusedSubject) -> usize {
    match subject {
        AccusedSubject::Agent(_) => MIN_ACCUSERS,
        AccusedSubject::Zone(_) => MAX_ACCUSERS,
    }
}

impl AccusationEntry {
    fn is_holding(&self, now: Moment) -> bool {
        self.holds && now.since(self.received_at) < ACCUSATION_TTL
    }
}
