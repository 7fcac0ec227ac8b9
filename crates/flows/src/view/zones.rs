//! Which zones a view names, and which of them get no new flows.
//!
//! What goes wrong without it: an operator evacuates a zone to work on it, and the targets there go on
//! getting flows until the moment at which they are switched off. One notices by sessions that are cut
//! although the zone was evacuated in time.

use std::collections::HashMap;
use std::sync::Arc;

use lovagelatch_domain::{Moment, ZoneName};
use smallvec::SmallVec;

use super::regions::{RegionIndex, ZoneRegions, region_at};
use crate::frame::ZoneNotice;

/// A zone's number in one process. Names are compared for each new flow and target: two bytes in place of
/// sixteen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(pub u16);

/// The zones' numbers. A number once given stays.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneNames {
    numbers: HashMap<ZoneName, ZoneIndex>,
}

impl ZoneNames {
    /// The number of a zone. Those beyond 65,535 share the last one, so evacuating one of them evacuates
    /// all: the safe side.
    pub(super) fn index_of(&mut self, zone: &ZoneName) -> ZoneIndex {
        if let Some(known) = self.numbers.get(zone) {
            return *known;
        }
        let next = ZoneIndex(u16::try_from(self.numbers.len()).unwrap_or(u16::MAX));
        if next.0 < u16::MAX {
            self.numbers.insert(zone.clone(), next);
        }
        next
    }
}

/// What is known of the zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneOutlook {
    /// The store's revision up to which it is known; 0 while nothing is.
    pub revision: u64,
    /// When the store was asked, by this process or by whoever told it.
    pub since: Moment,
    /// Whether this process is out of touch with the store and with all other balancers, so that it would not hear
    /// of an evacuation.
    pub cut_off: bool,
    /// This process's zone.
    pub own: ZoneIndex,
    /// The zones whose targets get no new flows.
    pub evacuated: SmallVec<[ZoneIndex; 4]>,
    /// The zones that were taken back, with when: their targets may be cold before their entries say so.
    pub restored: SmallVec<[(ZoneIndex, Moment); 2]>,
    /// The region of each zone, by its number.
    pub(super) regions: Arc<ZoneRegions>,
}

impl ZoneOutlook {
    /// Whether it is known at all: before, every zone may be evacuated.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Whether a zone's targets get no new flows.
    #[must_use]
    pub fn is_evacuated(&self, zone: ZoneIndex) -> bool {
        self.evacuated.contains(&zone)
    }

    /// The region of a zone; `None` where the settings name none.
    #[must_use]
    pub fn region_of(&self, zone: ZoneIndex) -> Option<RegionIndex> {
        region_at(&self.regions, zone)
    }

    /// The revision up to which this process vouches for zones; 0 where it may lack a later word.
    #[must_use]
    pub fn vouched_revision(&self) -> u64 {
        if self.cut_off { 0 } else { self.revision }
    }

    /// Whether a zone is this process's own.
    #[must_use]
    pub fn is_near(&self, zone: ZoneIndex) -> bool {
        zone == self.own
    }

    /// When a zone was taken back, if it was evacuated before.
    #[must_use]
    pub fn restored_at(&self, zone: ZoneIndex) -> Option<Moment> {
        let mut restored = self.restored.iter();
        restored.find(|(back, _)| *back == zone).map(|(_, at)| *at)
    }

    /// Takes the zones that are evacuated by a later word.
    pub(super) fn take(&mut self, revision: u64, evacuated: SmallVec<[ZoneIndex; 4]>, now: Moment) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let back = before.iter().filter(|zone| !self.evacuated.contains(zone));
        for &zone in back {
            self.restored.retain(|(known, _)| *known != zone);
            self.restored.push((zone, now));
        }
        self.revision = revision;
    }

    /// What an agent in a zone is told of it; `None` where the zone may be evacuated by a word that this process
    /// did not hear.
    #[must_use]
    pub fn notice_of(&self, zone: ZoneIndex, now: Moment) -> Option<ZoneNotice> {
        let evacuated = self.is_evacuated(zone);
        let known = evacuated || !self.cut_off;
        known.then(|| ZoneNotice {
            revision: self.revision,
            evacuated,
            age: now.since(self.since),
        })
    }
}
