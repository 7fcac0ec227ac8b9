//! Announcements of agents that they are stopping, as balancers relay them.
//!
//! An agent notifies the balancers that it knows, until one confirms that it relays the stop. If only
//! those knew, another balancer, or one that has just started, would take the silence of a planned
//! restart for a failure and reset open flows that the agent's target still holds.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// How long an agent that announced its stop may be silent while its successor starts.
pub const RESTART_GRACE: Duration = Duration::from_secs(6);

/// An agent repeats its announcement until it exits; one that comes later than this after the
/// previous one belongs to another stop.
pub const STOP_REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// Number of gossip rounds in which a new stop is relayed.
const RELAY_ROUNDS: u8 = 3;

/// Maximum number of stops in a message.
const MAX_MESSAGE_STOPS: usize = 64;

/// Maximum number of stops that are tracked.
const MAX_TRACKED_STOPS: usize = 1_024;

/// An agent's announcement that it is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStop {
    /// The agent that is stopping.
    pub agent: AgentAddress,
    /// Time since the announcement.
    pub age: Duration,
}

/// A list of stop announcements.
pub type StopList = SmallVec<[AgentStop; 4]>;

/// The stops that a balancer reports to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopUpdate {
    /// The agents that announced a stop.
    pub stops: StopList,
    /// How far back the list is complete: the sender would know of any other stop in that time.
    pub covers: Duration,
}

#[derive(Clone, Copy, Debug)]
struct StopRecord {
    at: Moment,
    /// Rounds in which it still has to be relayed.
    rounds: u8,
}

/// The stops that this balancer knows of.
#[derive(Clone, Debug)]
pub(crate) struct StopTable {
    stops: BTreeMap<AgentAddress, StopRecord>,
    /// The time since which every stop is known.
    since: Moment,
}

impl StopTable {
    /// Creates a table without knowledge of stops before `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            stops: BTreeMap::new(),
            since: now,
        }
    }

    /// Returns the time since which every stop is known.
    pub(crate) fn since(&self) -> Moment {
        self.since
    }

    /// Merges a report of another balancer and returns the stops that are new.
    pub(crate) fn merge_update(&mut self, update: &StopUpdate, now: Moment) -> StopList {
        self.since = self.since.min(now - update.covers);
        self.record(&update.stops, now)
    }

    /// Records stops from agents or another balancer and returns those that are new.
    pub(crate) fn record(&mut self, stops: &[AgentStop], now: Moment) -> StopList {
        let mut new = stops.to_vec();
        new.retain(|stop| stop.age < RESTART_GRACE && self.record_one(*stop, now));
        new.into()
    }

    fn record_one(&mut self, stop: AgentStop, now: Moment) -> bool {
        let at = now - stop.age;
        if let Some(known) = self.stops.get_mut(&stop.agent) {
            let is_new = at > known.at + STOP_REPEAT_WINDOW;
            known.at = known.at.max(at);
            if is_new {
                known.rounds = RELAY_ROUNDS;
            }
            return is_new;
        }
        if self.stops.len() >= MAX_TRACKED_STOPS {
            return false;
        }
        let record = StopRecord {
            at,
            rounds: RELAY_ROUNDS,
        };
        self.stops.insert(stop.agent, record);
        true
    }

    /// Returns the stops to relay in this round, or `None` if there are none.
    pub(crate) fn next_round(&mut self, now: Moment) -> Option<StopUpdate> {
        self.stops
            .retain(|_, record| now.since(record.at) < RESTART_GRACE);
        let due = self
            .stops
            .iter_mut()
            .filter(|(_, record)| record.rounds > 0);
        let relayed = due.take(MAX_MESSAGE_STOPS).map(|(&agent, record)| {
            record.rounds -= 1;
            let age = now.since(record.at);
            AgentStop { agent, age }
        });
        let stops: StopList = relayed.collect();
        // The list is partial: other known stops may have been relayed before.
        let covers = Duration::ZERO;
        (!stops.is_empty()).then_some(StopUpdate { stops, covers })
    }

    /// Returns the most recent stops for a process that has just started; `None` if this process
    /// itself started recently and knows of none.
    pub(crate) fn recent(&self, now: Moment) -> Option<StopUpdate> {
        let stops = self.stops.iter().map(|(&agent, record)| AgentStop {
            agent,
            age: now.since(record.at),
        });
        let mut stops: StopList = stops.filter(|stop| stop.age < RESTART_GRACE).collect();
        stops.sort_unstable_by_key(|stop| stop.age);
        let omitted_age = stops.get(MAX_MESSAGE_STOPS).map(|stop| stop.age);
        stops.truncate(MAX_MESSAGE_STOPS);
        let known_for = now.since(self.since);
        let covers = omitted_age.map_or(known_for, |age| age.min(known_for));
        (!stops.is_empty() || covers >= RESTART_GRACE).then_some(StopUpdate { stops, covers })
    }
}
