//! Departures: processes that announced that they are leaving, long before the list shows it.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Incarnation, Moment};

use crate::message::DepartureEvent;

/// How long a departure is kept: longer than the list lags and a drain takes.
const DEPARTURE_TTL: Duration = Duration::from_secs(900);

/// Upper bound of tracked departures; beyond it, the oldest is evicted.
const MAX_DEPARTURES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct DepartureEntry {
    refuted: bool,
    received_at: Moment,
}

/// Tracks known departures.
///
/// They are kept after the instance is removed from the list, so that a late copy of a departure is
/// recognized and not spread again.
#[derive(Clone, Debug, Default)]
pub struct DepartureTracker {
    entries: BTreeMap<(AgentAddress, Incarnation), DepartureEntry>,
}

impl DepartureTracker {
    /// Records a departure or its refutation; returns whether it is new.
    pub fn record(&mut self, event: DepartureEvent, now: Moment) -> bool {
        let key = (event.agent, event.incarnation);
        let known_refuted = self.entries.get(&key).map(|entry| entry.refuted);
        if known_refuted.is_some_and(|refuted| refuted || !event.refuted) {
            return false;
        }
        if known_refuted.is_none() && self.entries.len() >= MAX_DEPARTURES {
            self.evict_oldest();
        }
        let entry = DepartureEntry {
            refuted: event.refuted,
            received_at: now,
        };
        self.entries.insert(key, entry);
        true
    }

    /// Returns whether the process at an address is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, agent: AgentAddress) -> bool {
        self.incarnations_of(agent).any(|(_, refuted)| !refuted)
    }

    /// Returns the leaving incarnations at an address other than `current`.
    pub fn other_incarnations(
        &self,
        agent: AgentAddress,
        current: Incarnation,
    ) -> impl Iterator<Item = Incarnation> + '_ {
        let live = self.incarnations_of(agent).filter(|&(_, refuted)| !refuted);
        live.map(|(incarnation, _)| incarnation)
            .filter(move |&incarnation| incarnation != current)
    }

    /// Returns all departures, to answer a pull.
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

    /// Returns the agents that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = AgentAddress> + '_ {
        let live = self.entries.iter().filter(|(_, entry)| !entry.refuted);
        live.map(|(&(agent, _), _)| agent)
    }

    /// Removes expired departures and returns their agents.
    pub fn expire(&mut self, now: Moment) -> Vec<AgentAddress> {
        let expired = |entry: &DepartureEntry| now.since(entry.received_at) >= DEPARTURE_TTL;
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| expired(entry))
            .map(|(&key, _)| key)
            .collect();
        for key in &keys {
            self.entries.remove(key);
        }
        keys.into_iter().map(|(agent, _)| agent).collect()
    }

    fn incarnations_of(
        &self,
        agent: AgentAddress,
    ) -> impl Iterator<Item = (Incarnation, bool)> + '_ {
        let range = (agent, Incarnation(0))..=(agent, Incarnation(u64::MAX));
        let incarnations = self.entries.range(range);
        incarnations.map(|(&(_, incarnation), entry)| (incarnation, entry.refuted))
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.received_at);
        if let Some((&key, _)) = oldest {
            self.entries.remove(&key);
        }
    }
}
