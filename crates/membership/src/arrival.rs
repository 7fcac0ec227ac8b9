//! Agents that announced themselves before the list names them.
//!
//! What goes wrong without: the list lags. When the targets of a service are replaced one after
//! the other within that lag, balancers hear of every departure by the agents' own announcement and of
//! no successor, until no target is left for new flows. It shows as refused flows during a
//! planned replacement. So a fresh agent announces itself, a few times at most, until it is
//! listed; an instance that was taken off the list on purpose does not come back by this.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, InstanceState, Moment, TargetId};
use siphasher::sip::SipHasher13;

use crate::list::{InstanceDuty, ListedInstance};
use crate::message::ArrivalEvent;

/// How long an announcement holds. Longer than the list lags.
pub(crate) const ARRIVAL_LIFETIME: Duration = Duration::from_secs(60);

/// Time between two announcements.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);

/// Announcements of one start at most.
pub(crate) const MAX_ANNOUNCEMENTS: u8 = 3;

/// An announcement this old is passed on again when it is repeated.
const FRESH_LIMIT: Duration = Duration::from_secs(10);

/// Announcements that are held at most; further ones wait for the list.
const MAX_ARRIVALS: usize = 8_192;

/// Numbers of announced targets have this bit, so that they differ from the platform's.
const ANNOUNCED_BIT: u32 = 1 << 31;

#[derive(Clone, Copy, Debug)]
struct ArrivalEntry {
    event: ArrivalEvent,
    heard: Moment,
}

/// The announcements that a process knows of.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalTracker {
    entries: BTreeMap<AgentAddress, ArrivalEntry>,
}

impl ArrivalTracker {
    /// Notes an announcement; whether it is worth passing on.
    pub(crate) fn note(&mut self, event: ArrivalEvent, now: Moment) -> bool {
        let held = self.entries.get(&event.agent);
        let known =
            held.is_some_and(|held| held.event == event && now.since(held.heard) < FRESH_LIMIT);
        let full = held.is_none() && self.entries.len() >= MAX_ARRIVALS;
        if known || full {
            return false;
        }
        let entry = ArrivalEntry { event, heard: now };
        self.entries.insert(event.agent, entry);
        true
    }

    /// The announced instance at an address, as the list would hold it.
    pub(crate) fn at(&self, agent: AgentAddress) -> Option<ListedInstance> {
        self.entries.get(&agent).map(|entry| row_of(&entry.event))
    }

    /// All announcements.
    pub(crate) fn events(&self) -> Vec<ArrivalEvent> {
        self.entries.values().map(|entry| entry.event).collect()
    }

    /// The announced instances, as the list would hold them.
    pub(crate) fn rows(&self) -> impl Iterator<Item = ListedInstance> + '_ {
        self.entries.values().map(|entry| row_of(&entry.event))
    }

    /// Forgets an announcement and returns its instance.
    pub(crate) fn remove(&mut self, agent: AgentAddress) -> Option<ListedInstance> {
        let entry = self.entries.remove(&agent)?;
        Some(row_of(&entry.event))
    }

    /// The agents whose announcements are too old.
    pub(crate) fn expired(&self, now: Moment) -> Vec<AgentAddress> {
        let old = |entry: &ArrivalEntry| now.since(entry.heard) >= ARRIVAL_LIFETIME;
        let entries = self.entries.iter().filter(|(_, entry)| old(entry));
        entries.map(|(&agent, _)| agent).collect()
    }
}

fn row_of(event: &ArrivalEvent) -> ListedInstance {
    ListedInstance {
        control: event.agent,
        operations: event.operations,
        zone: event.zone,
        state: InstanceState::Live,
        duty: InstanceDuty::Target {
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
