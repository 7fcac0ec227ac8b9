//! Announcements of agents that are not in the list yet.
//!
//! The list lags. When the targets of a service are replaced one after the other within that lag,
//! balancers learn of every departure from the agents themselves but of no successor, until no
//! target is left and new flows are refused. A starting agent therefore announces itself, a few
//! times at most, until it is listed. An instance that was removed from the list on purpose does
//! not return this way.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, InstanceState, Moment, TargetId};
use siphasher::sip::SipHasher13;

use crate::list::{InstanceRole, ListedInstance};
use crate::message::ArrivalEvent;

/// How long an announcement holds: longer than the list lags.
pub(crate) const ARRIVAL_TTL: Duration = Duration::from_secs(60);

/// Interval between two announcements.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);

/// Maximum announcements of one incarnation.
pub(crate) const MAX_ANNOUNCEMENTS: u8 = 3;

/// A repeated announcement is not relayed again within this window.
const RELAY_SUPPRESSION_WINDOW: Duration = Duration::from_secs(10);

/// Upper bound of tracked announcements; agents beyond it are known only once they are listed.
const MAX_ARRIVALS: usize = 8_192;

/// Set in the ids of announced targets, so that they differ from ids of the platform.
const ANNOUNCED_BIT: u32 = 1 << 31;

#[derive(Clone, Copy, Debug)]
struct ArrivalEntry {
    event: ArrivalEvent,
    received_at: Moment,
}

/// Tracks known announcements.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalTracker {
    entries: BTreeMap<AgentAddress, ArrivalEntry>,
}

impl ArrivalTracker {
    /// Records an announcement; returns whether it is worth relaying.
    pub(crate) fn record(&mut self, event: ArrivalEvent, now: Moment) -> bool {
        let held = self.entries.get(&event.agent);
        let is_repeat = held.is_some_and(|held| {
            held.event == event && now.since(held.received_at) < RELAY_SUPPRESSION_WINDOW
        });
        let full = held.is_none() && self.entries.len() >= MAX_ARRIVALS;
        if is_repeat || full {
            return false;
        }
        let entry = ArrivalEntry {
            event,
            received_at: now,
        };
        self.entries.insert(event.agent, entry);
        true
    }

    /// Returns the announced instance at an address, as a list row.
    pub(crate) fn at(&self, agent: AgentAddress) -> Option<ListedInstance> {
        self.entries.get(&agent).map(|entry| row_of(&entry.event))
    }

    /// Returns all announcements, to answer a pull.
    pub(crate) fn events(&self) -> Vec<ArrivalEvent> {
        self.entries.values().map(|entry| entry.event).collect()
    }

    /// Returns the announced instances, as list rows.
    pub(crate) fn rows(&self) -> impl Iterator<Item = ListedInstance> + '_ {
        self.entries.values().map(|entry| row_of(&entry.event))
    }

    /// Removes an announcement and returns its instance.
    pub(crate) fn remove(&mut self, agent: AgentAddress) -> Option<ListedInstance> {
        let entry = self.entries.remove(&agent)?;
        Some(row_of(&entry.event))
    }

    /// Returns the agents whose announcements have expired.
    pub(crate) fn expired(&self, now: Moment) -> Vec<AgentAddress> {
        let expired = |entry: &ArrivalEntry| now.since(entry.received_at) >= ARRIVAL_TTL;
        let entries = self.entries.iter().filter(|(_, entry)| expired(entry));
        entries.map(|(&agent, _)| agent).collect()
    }
}

fn row_of(event: &ArrivalEvent) -> ListedInstance {
    ListedInstance {
        control: event.agent,
        operations: event.operations,
        zone: event.zone,
        state: InstanceState::Live,
        role: InstanceRole::Target {
            id: announced_id(event.agent),
            service: event.service,
            slots: event.slots.max(1),
        },
    }
}

fn announced_id(agent: AgentAddress) -> TargetId {
    let mut hasher = SipHasher13::new_with_keys(0x6172, 0x7269);
    hasher.write(&agent.0.ip().octets());
    hasher.write(&agent.0.port().to_be_bytes());
    #[allow(clippy::cast_possible_truncation)]
    TargetId(hasher.finish() as u32 | ANNOUNCED_BIT)
}
