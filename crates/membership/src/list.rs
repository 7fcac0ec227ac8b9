//! The platform's instance list, held compactly and exchanged by its changes.

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

/// A short number for a zone, a hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ZoneId(pub u32);

impl ZoneId {
    /// The number of a zone.
    #[must_use]
    pub fn new(zone: &ZoneName) -> Self {
        let mut hasher = SipHasher13::new_with_keys(0x7a, 0x6f);
        hasher.write(zone.as_str().as_bytes());
        #[allow(clippy::cast_possible_truncation)]
        Self(hasher.finish() as u32)
    }
}

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InstanceDuty {
    /// An agent beside a backend server.
    Target {
        /// The platform's number for it.
        id: TargetId,
        /// The service it serves.
        service: ServiceId,
        /// Its slots.
        slots: u16,
    },
    /// A balancer.
    Balancer,
}

/// One instance as the list holds it: 36 bytes, without names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Where its process listens for the others.
    pub control: AgentAddress,
    /// Where it serves operations.
    pub operations: SocketAddrV4,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// What it runs.
    pub duty: InstanceDuty,
}

/// Identifies an instance in the list. Two targets may name one address while one replaces
/// the other, so the platform's number is part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey {
    /// Where its process listens.
    pub control: AgentAddress,
    /// The target's number; `None` for a balancer.
    pub target: Option<TargetId>,
}

impl TableRow for ListedInstance {
    type Key = InstanceKey;

    fn key(&self) -> InstanceKey {
        let target = match self.duty {
            InstanceDuty::Target { id, .. } => Some(id),
            InstanceDuty::Balancer => None,
        };
        InstanceKey {
            control: self.control,
            target,
        }
    }
}

/// What changed in the list, with the names of the zones that the changed rows speak of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// The rows.
    pub table: TableDelta<InstanceKey, ListedInstance>,
    /// The zones' names.
    pub zones: SmallVec<[ZoneName; 2]>,
}

/// Keeps the newest instance list.
#[derive(Clone, Debug, Default)]
pub struct ListKeeper {
    index: TableIndex<InstanceKey>,
    /// Invariant: sorted by key.
    rows: Vec<ListedInstance>,
    zones: BTreeMap<ZoneId, ZoneName>,
}

impl ListKeeper {
    /// The state held.
    #[must_use]
    pub fn head(&self) -> TableHead {
        self.index.head()
    }

    /// The revision held.
    #[must_use]
    pub fn revision(&self) -> ListRevision {
        ListRevision(self.head().revision)
    }

    /// All instances, sorted by address.
    #[must_use]
    pub fn rows(&self) -> &[ListedInstance] {
        &self.rows
    }

    /// The name of a zone.
    #[must_use]
    pub fn zone(&self, id: ZoneId) -> Option<&ZoneName> {
        self.zones.get(&id)
    }

    /// The instances whose process listens on `control`.
    pub fn at(&self, control: AgentAddress) -> impl Iterator<Item = &ListedInstance> {
        let start = self.rows.partition_point(|row| row.control < control);
        self.rows[start..]
            .iter()
            .take_while(move |row| row.control == control)
    }

    /// What changed after `revision`.
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

    /// Takes what the platform answered, if it is newer.
    ///
    /// # Errors
    ///
    /// A [`TableError`] when it was not taken.
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
        let next = self.rows_of(list);
        let delta = self.index.delta_to(&self.rows, next, offered);
        if delta.to == held {
            return Ok(Vec::new());
        }
        self.index.force(&mut self.rows, delta)
    }

    /// Takes what a peer sent, if it is newer.
    ///
    /// # Errors
    ///
    /// A [`TableError`] when it was not taken.
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

    fn rows_of(&mut self, list: &InstanceList) -> Vec<ListedInstance> {
        let mut rows = Vec::with_capacity(list.targets.len() + list.balancers.len());
        for target in &list.targets {
            rows.push(ListedInstance {
                control: target.agent,
                operations: target.operations,
                zone: self.zone_id(&target.zone),
                state: target.state,
                duty: InstanceDuty::Target {
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
                duty: InstanceDuty::Balancer,
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
