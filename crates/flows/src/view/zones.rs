//! The zones of a view, and which of them get no new flows.
//!
//! Operators evacuate a zone before maintenance. Otherwise its targets would get new flows until
//! they are shut down, which would break sessions although the zone was evacuated in time.

use std::collections::HashMap;
use std::sync::Arc;

use lovagelatch_domain::{Moment, StorePosition, ZoneName};
use smallvec::SmallVec;

use super::regions::{RegionIndex, ZoneRegions, region_at};
use crate::frame::ZoneNotice;

/// The index of a zone, valid within one process. Zones are compared for each new flow and target,
/// and an index is two bytes instead of the sixteen of a name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(pub u16);

/// Maps zone names to indices. An assigned index never changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneNames {
    indices: HashMap<ZoneName, ZoneIndex>,
}

impl ZoneNames {
    /// Returns the index of a zone, assigning one if it is new. Zones beyond 65,535 share the last
    /// index, so that evacuating one of them evacuates all of them, which is the safe behaviour.
    pub(super) fn index_of(&mut self, zone: &ZoneName) -> ZoneIndex {
        if let Some(known) = self.indices.get(zone) {
            return *known;
        }
        let next = ZoneIndex(u16::try_from(self.indices.len()).unwrap_or(u16::MAX));
        if next.0 < u16::MAX {
            self.indices.insert(zone.clone(), next);
        }
        next
    }
}

/// What a process knows about the zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTable {
    /// The store revision that the evacuated zones are known up to; the default while they are unknown.
    pub revision: StorePosition,
    /// When the evacuated zones were read from the store, by this process or by the one that
    /// informed it.
    pub read_at: Moment,
    /// Whether this process is cut off from the store and from all other balancers, so that it
    /// would not learn of an evacuation.
    pub cut_off: bool,
    /// The zone of this process.
    pub own_zone: ZoneIndex,
    /// The evacuated zones, whose targets get no new flows.
    pub evacuated: SmallVec<[ZoneIndex; 4]>,
    /// The zones that were restored after an evacuation, with the time of that: their targets may
    /// be cold before their entries say so.
    pub restored: SmallVec<[(ZoneIndex, Moment); 2]>,
    /// The region of each zone, by zone index.
    pub(super) regions: Arc<ZoneRegions>,
}

impl ZoneTable {
    /// Returns whether the evacuated zones are known. Until they are, any zone may be evacuated.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision.is_known()
    }

    /// Returns whether a zone is evacuated, so that its targets get no new flows.
    #[must_use]
    pub fn is_evacuated(&self, zone: ZoneIndex) -> bool {
        self.evacuated.contains(&zone)
    }

    /// Returns the region of a zone; `None` if the settings have none for it.
    #[must_use]
    pub fn region_of(&self, zone: ZoneIndex) -> Option<RegionIndex> {
        region_at(&self.regions, zone)
    }

    /// Returns the revision up to which this process knows the evacuated zones for certain; the default if it
    /// may have missed a later update.
    #[must_use]
    pub fn confirmed_revision(&self) -> StorePosition {
        if self.cut_off {
            StorePosition::default()
        } else {
            self.revision
        }
    }

    /// Returns whether a zone is this process's own zone.
    #[must_use]
    pub fn is_near(&self, zone: ZoneIndex) -> bool {
        zone == self.own_zone
    }

    /// Returns when a formerly evacuated zone was restored.
    #[must_use]
    pub fn restored_at(&self, zone: ZoneIndex) -> Option<Moment> {
        let mut restored = self.restored.iter();
        restored
            .find(|(known, _)| *known == zone)
            .map(|(_, at)| *at)
    }

    /// Applies the evacuated zones of a later revision.
    pub(super) fn apply(
        &mut self,
        revision: StorePosition,
        evacuated: SmallVec<[ZoneIndex; 4]>,
        now: Moment,
    ) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let restored = before.iter().filter(|zone| !self.evacuated.contains(zone));
        for &zone in restored {
            self.restored.retain(|(known, _)| *known != zone);
            self.restored.push((zone, now));
        }
        self.revision = revision;
    }

    /// Returns the notice that agents in a zone are sent; `None` if the zone may have been
    /// evacuated without this process learning of it.
    #[must_use]
    pub fn notice_for(&self, zone: ZoneIndex, now: Moment) -> Option<ZoneNotice> {
        let evacuated = self.is_evacuated(zone);
        let known = evacuated || !self.cut_off;
        known.then(|| ZoneNotice {
            revision: self.revision,
            evacuated,
            age: now.since(self.read_at),
        })
    }
}
