//! Which processes said themselves that they are leaving, long before the list says so.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Incarnation, Moment};

use crate::message::DepartureEvent;

/// How long a departure is remembered: longer than the list lags and a drain lasts.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(900);

/// Departures that are held at most; beyond, the oldest is forgotten.
const MAX_DEPARTURES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct DepartureEntry {
    refuted: bool,
    heard: Moment,
}

/// The departures that a process knows of.
///
/// They outlive the instance's place in the list, so that late word of a departure is known
/// for what it is and does not spread a second time.
#[derive(Clone, Debug, Default)]
pub struct DepartureTracker {
    entries: BTreeMap<(AgentAddress, Incarnation), DepartureEntry>,
}

impl DepartureTracker {
    /// Notes a departure; whether that was news.
    pub fn note(&mut self, event: DepartureEvent, now: Moment) -> bool {
        let key = (event.agent, event.incarnation);
        let held = self.entries.get(&key).map(|entry| entry.refuted);
        if held.is_some_and(|refuted| refuted || !event.refuted) {
            return false;
        }
        if held.is_none() && self.entries.len() >= MAX_DEPARTURES {
            self.forget_oldest();
        }
        let entry = DepartureEntry {
            refuted: event.refuted,
            heard: now,
        };
        self.entries.insert(key, entry);
        true
    }

    /// Whether the process at an address is leaving, as far as is known.
    #[must_use]
    pub fn is_leaving(&self, agent: AgentAddress) -> bool {
        self.starts_of(agent).any(|(_, refuted)| !refuted)
    }

    /// The starts at an address that are said to be leaving, other than `current`.
    pub fn other_starts(
        &self,
        agent: AgentAddress,
        current: Incarnation,
    ) -> impl Iterator<Item = Incarnation> + '_ {
        let live = self.starts_of(agent).filter(|&(_, refuted)| !refuted);
        live.map(|(start, _)| start)
            .filter(move |&start| start != current)
    }

    /// All departures, for a peer that lacks some.
    #[must_use]
    pub fn events(&self) -> Vec<DepartureEvent> {
        let events = self
            .entries
            .iter()
            .map(|(&(agent, incarnation), entry)| DepartureEvent {
                agent,
                incarnation,
                refuted: entry.refuted,
            });
        events.collect()
    }

    /// The agents that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = AgentAddress> + '_ {
        let live = self.entries.iter().filter(|(_, entry)| !entry.refuted);
        live.map(|(&(agent, _), _)| agent)
    }

    /// Forgets what is too old, and returns those agents.
    pub fn expire(&mut self, now: Moment) -> Vec<AgentAddress> {
        let old = |entry: &DepartureEntry| now.since(entry.heard) >= DEPARTURE_LIFETIME;
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| old(entry))
            .map(|(&key, _)| key)
            .collect();
        for key in &keys {
            self.entries.remove(key);
        }
        keys.into_iter().map(|(agent, _)| agent).collect()
    }

    fn starts_of(&self, agent: AgentAddress) -> impl Iterator<Item = (Incarnation, bool)> + '_ {
        let range = (agent, Incarnation(0))..=(agent, Incarnation(u64::MAX));
        let starts = self.entries.range(range);
        starts.map(|(&(_, start), entry)| (start, entry.refuted))
    }

    fn forget_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard);
        if let Some((&key, _)) = oldest {
            self.entries.remove(&key);
        }
    }
}
