//! The instance list, in a compact form that is exchanged as deltas.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use lovagelatch_domain::{
    AgentAddress, InstanceList, InstanceState, ListRevision, ServiceId, TargetId, ZoneName,
};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::delta::{RowChange, TableDelta, TableError, TableHead, TableRow};
use crate::table::TableIndex;

/// A short zone id, derived from a hash of the zone name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ZoneId(pub u32);

impl ZoneId {
    /// Computes the id of a zone.
    #[must_use]
    pub fn new(zone: &ZoneName) -> Self {
        let mut hasher = SipHasher13::new_with_keys(0x7a, 0x6f);
        hasher.write(zone.as_str().as_bytes());
        #[allow(clippy::cast_possible_truncation)]
        Self(hasher.finish() as u32)
    }
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InstanceRole {
    /// An agent beside a backend server.
    Target {
        /// Id that the platform assigned.
        id: TargetId,
        /// Service of the backend server.
        service: ServiceId,
        /// Number of slots.
        slots: u16,
    },
    /// A balancer.
    Balancer,
}

/// One row of the list: 36 bytes, without names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Address of the process's control socket.
    pub control: AgentAddress,
    /// Address of the operations endpoint.
    pub operations: SocketAddrV4,
    /// Id of the availability zone.
    pub zone: ZoneId,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
    /// Role of the instance.
    #[serde(rename = "duty")]
    pub role: InstanceRole,
}

/// Key of an instance in the list. Two targets may share an address while one replaces the other,
/// so the key includes the target id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey {
    /// Address of the process's control socket.
    pub control: AgentAddress,
    /// Target id; `None` for a balancer.
    pub target: Option<TargetId>,
}

impl TableRow for ListedInstance {
    type Key = InstanceKey;

    fn key(&self) -> InstanceKey {
        let target = match self.role {
            InstanceRole::Target { id, .. } => Some(id),
            InstanceRole::Balancer => None,
        };
        InstanceKey {
            control: self.control,
            target,
        }
    }
}

/// A delta of the list, with the names of the zones that its changed rows refer to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Changed and removed rows.
    pub table: TableDelta<InstanceKey, ListedInstance>,
    /// Names of the zones of the changed rows.
    pub zones: SmallVec<[ZoneName; 2]>,
}

/// Holds the newest instance list.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    index: TableIndex<InstanceKey>,
    /// Invariant: sorted by key.
    rows: Vec<ListedInstance>,
    zones: BTreeMap<ZoneId, ZoneName>,
}

impl InstanceTable {
    /// Returns the revision and digest of the list.
    #[must_use]
    pub fn head(&self) -> TableHead {
        self.index.head()
    }

    /// Returns the revision of the list.
    #[must_use]
    pub fn revision(&self) -> ListRevision {
        ListRevision(self.head().revision)
    }

    /// Returns all instances, sorted by address.
    #[must_use]
    pub fn rows(&self) -> &[ListedInstance] {
        &self.rows
    }

    /// Returns the name of a zone, if a listed row has referred to it.
    #[must_use]
    pub fn zone(&self, id: ZoneId) -> Option<&ZoneName> {
        self.zones.get(&id)
    }

    /// Returns the instances with the control address `control`.
    pub fn at(&self, control: AgentAddress) -> impl Iterator<Item = &ListedInstance> {
        let start = self.rows.partition_point(|row| row.control < control);
        self.rows[start..]
            .iter()
            .take_while(move |row| row.control == control)
    }

    /// Returns the changes after `revision`.
    #[must_use]
    pub fn delta_since(&self, revision: u64) -> ListDelta {
        let table = self.index.delta_since(&self.rows, revision);
        let mut zones = SmallVec::new();
        for (_, row) in &table.changed {
            if let Some(name) = self.zones.get(&row.zone)
                && !zones.contains(name)
            {
                zones.push(name.clone());
            }
        }
        ListDelta { table, zones }
    }

    /// Applies a list from the platform unless it is older than the one held; returns the changed
    /// rows.
    ///
    /// # Errors
    ///
    /// Returns a [`TableError`] if the list was refused.
    pub fn offer_list(
        &mut self,
        list: &InstanceList,
    ) -> Result<Vec<RowChange<ListedInstance>>, TableError> {
        let held = self.head();
        let offered = list.revision.0;
        if offered < held.revision {
            return Err(TableError::NotNewer {
                offered,
                held: held.revision,
            });
        }
        let next = self.build_rows(list);
        let delta = self.index.delta_to(&self.rows, next, offered);
        if delta.to == held {
            return Ok(Vec::new());
        }
        self.index.apply_authoritative(&mut self.rows, delta)
    }

    /// Applies a delta from a peer if it is newer; returns the changed rows.
    ///
    /// # Errors
    ///
    /// Returns a [`TableError`] if the delta was refused.
    pub fn offer_delta(
        &mut self,
        delta: ListDelta,
    ) -> Result<Vec<RowChange<ListedInstance>>, TableError> {
        let changes = self.index.apply(&mut self.rows, delta.table)?;
        for zone in delta.zones {
            self.zones.insert(ZoneId::new(&zone), zone);
        }
        Ok(changes)
    }

    fn build_rows(&mut self, list: &InstanceList) -> Vec<ListedInstance> {
        let mut rows = Vec::with_capacity(list.targets.len() + list.balancers.len());
        for target in &list.targets {
            rows.push(ListedInstance {
                control: target.agent,
                operations: target.operations,
                zone: self.zone_id(&target.zone),
                state: target.state,
                role: InstanceRole::Target {
                    id: target.id,
                    service: target.service.id(),
                    slots: target.slots.max(1),
                },
            });
        }
        for balancer in &list.balancers {
            rows.push(ListedInstance {
                control: balancer.control,
                operations: balancer.operations,
                zone: self.zone_id(&balancer.zone),
                state: balancer.state,
                role: InstanceRole::Balancer,
            });
        }
        rows.sort_by_key(TableRow::key);
        rows.dedup_by_key(|row| row.key());
        rows
    }

    fn zone_id(&mut self, zone: &ZoneName) -> ZoneId {
        let id = ZoneId::new(zone);
        self.zones.entry(id).or_insert_with(|| zone.clone());
        id
    }
}
