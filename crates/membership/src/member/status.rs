//! What an operator is told about this process's knowledge of the fleet.

use lovagelatch_domain::{AgentAddress, ConfigRevision, ListRevision, Moment, ZoneName};
use serde::{Deserialize, Serialize};

use super::FleetMember;
use crate::config::ConfigSource;
use crate::message::AccusedSubject;

/// A peer whose last word named a lower revision than the one in force here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingPeer {
    /// The peer.
    pub peer: AgentAddress,
    /// The revision it named.
    pub revision: u64,
    /// For how many seconds it has been known to lag.
    pub seconds: u64,
}

/// What is remembered of a lagging peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LagEntry {
    pub(super) revision: u64,
    pub(super) since: Moment,
}

/// The state of a process's knowledge of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Whether it knows enough to serve.
    pub ready: bool,
    /// The configuration in force; 0 for none.
    pub revision: ConfigRevision,
    /// Who it was heard from.
    pub source: ConfigSource,
    /// The highest revision refused for its faults; 0 for none.
    pub refused: ConfigRevision,
    /// The instance list's revision; 0 for none.
    pub list_revision: ListRevision,
    /// Instances listed.
    pub instances: usize,
    /// Seconds since the platform last spoke, as far as this process knows.
    pub platform_age_seconds: Option<u16>,
    /// Whether this process reads the platform in this epoch.
    pub reader: bool,
    /// Peers that named a lower revision.
    pub lagging: Vec<LaggingPeer>,
    /// Agents that said themselves that they are leaving.
    pub leaving: Vec<AgentAddress>,
    /// Agents that two peers lost touch with.
    pub suspected: Vec<AgentAddress>,
    /// Zones that are taken for lost.
    pub lost_zones: Vec<ZoneName>,
}

impl FleetMember {
    fn lagging_peers(&self, now: Moment) -> Vec<LaggingPeer> {
        let entries = self.lagging.iter();
        let peers = entries.map(|(&peer, entry)| LaggingPeer {
            peer,
            revision: entry.revision,
            seconds: now.since(entry.since).as_secs(),
        });
        peers.collect()
    }

    /// The state of this process's knowledge.
    #[must_use]
    pub fn status(&self, now: Moment) -> FleetStatus {
        let age = self.reading.platform_age(now);
        let mut status = FleetStatus {
            ready: self.is_ready(),
            revision: self.config.revision(),
            source: self.config.source(),
            refused: self.config.refused(),
            list_revision: self.list.revision(),
            instances: self.list.rows().len(),
            platform_age_seconds: (age != u16::MAX).then_some(age),
            reader: self.reading.is_reader(),
            lagging: self.lagging_peers(now),
            leaving: self.departures.leaving().collect(),
            ..FleetStatus::default()
        };
        for subject in self.accusations.suspected(now) {
            match subject {
                AccusedSubject::Agent(agent) => status.suspected.push(agent),
                AccusedSubject::Zone(zone) => {
                    status.lost_zones.extend(self.list.zone(zone).cloned());
                }
            }
        }
        status
    }
}
