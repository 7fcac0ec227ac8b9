//! The regions that the flows of a route are restricted to.
//!
//! A route may be restricted to regions by law or by contract. Without this restriction, its
//! requests would be served in another region whenever the least loaded target is there.

use std::collections::HashMap;

use lovagelatch_domain::{Moment, RegionName, ZoneName};
use smallvec::SmallVec;

use super::zones::ZoneIndex;

/// The index of a region, valid within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionIndex(pub u16);

/// A list of regions, usually one or two.
pub(super) type RegionList = SmallVec<[RegionIndex; 4]>;

/// The regions that a route is restricted to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRegions {
    /// The regions that accept new flows. Empty if no zone is in any of the route's regions, in
    /// which case new flows are refused.
    pub allowed: SmallVec<[RegionIndex; 4]>,
    /// The regions that were allowed within the last flow lifetime, as far as this process knows;
    /// `None` if that was any region.
    pub former: Option<SmallVec<[RegionIndex; 4]>>,
    /// When the former regions expire: from then on, only the allowed regions can hold flows.
    pub former_until: Moment,
}

impl RouteRegions {
    /// Returns whether a region may hold flows of the route: it is allowed now, or may have been
    /// when they were opened.
    pub(crate) fn may_hold_flows(&self, region: Option<RegionIndex>, now: Moment) -> bool {
        let before = match &self.former {
            _ if now >= self.former_until => false,
            None => true,
            Some(former) => region.is_some_and(|region| former.contains(&region)),
        };
        before || region.is_some_and(|region| self.allowed.contains(&region))
    }
}

/// The regions of zones, according to the settings.
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

    /// Returns the region of a zone; `None` if the settings have none for it.
    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<RegionIndex> {
        self.zones.get(zone).copied()
    }

    /// Returns the indices of these regions, leaving out regions that have no zone.
    pub(super) fn indices_of(&self, names: &[RegionName]) -> RegionList {
        let known = names.iter().filter_map(|name| self.regions.get(name));
        known.copied().collect()
    }
}

/// The region of each zone of a view, by zone index.
pub(super) type ZoneRegions = Vec<Option<RegionIndex>>;

/// Returns the region of a zone.
pub(super) fn region_at(regions: &ZoneRegions, zone: ZoneIndex) -> Option<RegionIndex> {
    regions.get(usize::from(zone.0)).copied().flatten()
}
