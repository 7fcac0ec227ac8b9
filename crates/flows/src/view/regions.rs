//! Which regions a route's flows may be in.
//!
//! What goes wrong without it: a route is bound to regions, by law or by contract, and the least loaded target
//! happens to be in another one. One notices by requests that were served abroad.

use std::collections::HashMap;

use lovagelatch_domain::{Moment, RegionName, ZoneName};
use smallvec::SmallVec;

use super::zones::ZoneIndex;

/// A region's number in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionIndex(pub u16);

/// Regions, mostly one or two.
pub(super) type RegionList = SmallVec<[RegionIndex; 4]>;

/// The regions that a route is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteHomes {
    /// Where its new flows may go. Empty where no zone is in any of its regions: then nowhere.
    pub allowed: SmallVec<[RegionIndex; 4]>,
    /// Where it was allowed to go within a flow's lifetime, as far as this process has seen; `None` where
    /// that was anywhere.
    pub former: Option<SmallVec<[RegionIndex; 4]>>,
    /// From when on flows can be in no other region than the allowed ones.
    pub settled: Moment,
}

impl RouteHomes {
    /// Whether its flows may be in a region, or were allowed to be when they opened.
    pub(crate) fn may_hold(&self, region: Option<RegionIndex>, now: Moment) -> bool {
        let before = match &self.former {
            _ if now >= self.settled => false,
            None => true,
            Some(former) => region.is_some_and(|region| former.contains(&region)),
        };
        before || region.is_some_and(|region| self.allowed.contains(&region))
    }
}

/// The regions of zones, as the settings name them.
#[derive(Clone, Debug, Default)]
pub(super) struct RegionMap {
    regions: HashMap<RegionName, RegionIndex>,
    zones: HashMap<ZoneName, RegionIndex>,
}

impl RegionMap {
    pub(super) fn new(zones: &[(ZoneName, RegionName)]) -> Self {
        let mut map = Self::default();
        for (zone, region) in zones {
            let next = RegionIndex(u16::try_from(map.regions.len()).unwrap_or(u16::MAX));
            let region = *map.regions.entry(region.clone()).or_insert(next);
            map.zones.insert(zone.clone(), region);
        }
        map
    }

    /// The region of a zone; `None` where the settings name none.
    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<RegionIndex> {
        self.zones.get(zone).copied()
    }

    /// The numbers of these regions; one that no zone is in has none, and leads nowhere.
    pub(super) fn numbers(&self, names: &[RegionName]) -> RegionList {
        let known = names.iter().filter_map(|name| self.regions.get(name));
        known.copied().collect()
    }
}

/// The region of each zone that a view names.
pub(super) type ZoneRegions = Vec<Option<RegionIndex>>;

/// The region of a zone.
pub(super) fn region_at(regions: &ZoneRegions, zone: ZoneIndex) -> Option<RegionIndex> {
    regions.get(usize::from(zone.0)).copied().flatten()
}
