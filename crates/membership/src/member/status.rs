//! Status of this process's knowledge of the fleet, for operators.

use lovagelatch_domain::{AgentAddress, ConfigRevision, ListRevision, Moment, ZoneName};
use serde::{Deserialize, Serialize};

use super::FleetMember;
use crate::config::ConfigSource;
use crate::message::AccusedSubject;

/// A peer whose last head had a lower configuration revision than the one in force here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingPeer {
    /// Address of the peer's control socket.
    pub peer: AgentAddress,
    /// Configuration revision in its last head.
    pub revision: u64,
    /// Seconds since it was first seen to lag.
    pub seconds: u64,
}

/// Tracked state of a lagging peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LagEntry {
    pub(super) revision: u64,
    pub(super) since: Moment,
}

/// What a process knows of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Whether the process knows enough to serve.
    pub ready: bool,
    /// Revision of the configuration in force; 0 for none.
    pub revision: ConfigRevision,
    /// Source of the configuration in force.
    pub source: ConfigSource,
    /// Highest revision refused as invalid; 0 for none.
    pub refused: ConfigRevision,
    /// Revision of the instance list; 0 for none.
    pub list_revision: ListRevision,
    /// Number of listed instances.
    pub instances: usize,
    /// Seconds since the platform last answered any process, as far as this one knows.
    pub platform_age_seconds: Option<u16>,
    /// Whether this process is an elected platform reader in the current epoch.
    pub reader: bool,
    /// Peers with a lower configuration revision.
    pub lagging: Vec<LaggingPeer>,
    /// Agents that announced that they are leaving.
    pub leaving: Vec<AgentAddress>,
    /// Agents that at least two neighbours accuse.
    pub suspected: Vec<AgentAddress>,
    /// Zones that are suspected as a whole.
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

    /// Returns the current status.
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
