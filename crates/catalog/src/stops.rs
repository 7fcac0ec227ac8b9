//! Agents that have said that they stop, as balancers pass it on.
//!
//! An agent tells the balancers that sent to it lately. What goes wrong if only those know: another balancer, or
//! one that has just started, takes the silence of a planned restart for a lasting one and resets open
//! flows that the agent's target still holds.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// How long an agent that said that it stops may be silent: its successor is starting.
pub const RESTART_SPAN: Duration = Duration::from_secs(6);

/// An agent repeats that it stops until it ends; what comes later than this is another stop.
const SAME_STOP_SPAN: Duration = Duration::from_secs(1);

/// In how many rounds a stop is passed on after it became known.
const ROUNDS: u8 = 3;

/// Stops in one message at most.
const MESSAGE_STOPS: usize = 64;

/// Stops remembered at most.
const MAX_STOPS: usize = 1_024;

/// An agent said that it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStop {
    /// Which agent.
    pub agent: AgentAddress,
    /// How long ago it said so.
    pub age: Duration,
}

/// Some of them.
pub type StopList = SmallVec<[AgentStop; 4]>;

/// What a balancer knows of stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopNews {
    /// The agents that said that they stop.
    pub stops: StopList,
    /// For how long back they are all that the sender knows of, and it would know of any other.
    pub covers: Duration,
}

#[derive(Clone, Copy, Debug)]
struct StopRecord {
    at: Moment,
    /// Rounds in which it is still to be passed on.
    rounds: u8,
}

/// The stops that a balancer knows of.
#[derive(Clone, Debug)]
pub(crate) struct StopTable {
    stops: BTreeMap<AgentAddress, StopRecord>,
    /// Every stop since then is known.
    since: Moment,
}

impl StopTable {
    /// A table that knows nothing of what was before `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            stops: BTreeMap::new(),
            since: now,
        }
    }

    /// Since when every stop is known.
    pub(crate) fn since(&self) -> Moment {
        self.since
    }

    /// Takes what another balancer knows; what of it is new.
    pub(crate) fn take_news(&mut self, news: &StopNews, now: Moment) -> StopList {
        self.since = self.since.min(now - news.covers);
        self.take(&news.stops, now)
    }

    /// Takes what an agent or another balancer said; what of it is new.
    pub(crate) fn take(&mut self, stops: &[AgentStop], now: Moment) -> StopList {
        let mut new = stops.to_vec();
        new.retain(|stop| stop.age < RESTART_SPAN && self.note(*stop, now));
        new.into()
    }

    fn note(&mut self, stop: AgentStop, now: Moment) -> bool {
        let at = now - stop.age;
        if let Some(known) = self.stops.get_mut(&stop.agent) {
            let is_new = at > known.at + SAME_STOP_SPAN;
            known.at = known.at.max(at);
            if is_new {
                known.rounds = ROUNDS;
            }
            return is_new;
        }
        if self.stops.len() >= MAX_STOPS {
            return false;
        }
        let record = StopRecord { at, rounds: ROUNDS };
        self.stops.insert(stop.agent, record);
        true
    }

    /// What is to be passed on in this round; `None` where that is nothing.
    pub(crate) fn next_round(&mut self, now: Moment) -> Option<StopNews> {
        self.stops
            .retain(|_, record| now.since(record.at) < RESTART_SPAN);
        let due = self
            .stops
            .iter_mut()
            .filter(|(_, record)| record.rounds > 0);
        let told = due.take(MESSAGE_STOPS).map(|(&agent, record)| {
            record.rounds -= 1;
            let age = now.since(record.at);
            AgentStop { agent, age }
        });
        let stops: StopList = told.collect();
        // Others may be known that were passed on before.
        let covers = Duration::ZERO;
        (!stops.is_empty()).then_some(StopNews { stops, covers })
    }

    /// The latest stops, for a process that has just started; `None` from one that has itself, and knows of none.
    pub(crate) fn latest(&self, now: Moment) -> Option<StopNews> {
        let stops = self.stops.iter().map(|(&agent, record)| AgentStop {
            agent,
            age: now.since(record.at),
        });
        let mut stops: StopList = stops.filter(|stop| stop.age < RESTART_SPAN).collect();
        stops.sort_unstable_by_key(|stop| stop.age);
        let left_out = stops.get(MESSAGE_STOPS).map(|stop| stop.age);
        stops.truncate(MESSAGE_STOPS);
        let known = now.since(self.since);
        let covers = left_out.map_or(known, |age| age.min(known));
        (!stops.is_empty() || covers >= RESTART_SPAN).then_some(StopNews { stops, covers })
    }
}
