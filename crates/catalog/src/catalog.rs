//! The newest routes, targets and evacuated zones that this process knows.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, ServiceName, StorePosition, ZoneName};
use lovagelatch_membership::{RowChange, TableDelta, TableError, TableIndex};
use thiserror::Error;

use crate::answer::{StoreAnswer, StoreEvent};
use crate::message::{CatalogDelta, CatalogHead, ConfigDelta};
use crate::record::{EvacuatedZone, PublishedConfig, PublishedRoute, TargetName, TargetRow};
use crate::table::{TableUpdate, replace_rows};
use crate::unusable::{MAX_UNUSABLE_VALUES, UnusableValue};

/// Why a change was rejected. The current state stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A delta did not fit the table of routes.
    #[error(transparent)]
    Routes(#[from] TableError),
    /// A delta did not fit the table of targets or of evacuated zones.
    #[error(transparent)]
    Rows(#[from] TableError<StorePosition>),
    /// The store lists an older configuration than the one in force, as it does after its return
    /// from a copy.
    #[error("the store lists version {version}, version {held} is in force")]
    OutdatedConfig {
        /// The operator's version number of the listed configuration.
        version: ConfigRevision,
        /// That of the configuration in force.
        held: ConfigRevision,
    },
    /// A value of the store could not be decoded.
    #[error("cannot decode store key {key}: {reason}")]
    Unreadable {
        /// The key in the store.
        key: String,
        /// The decoding error.
        reason: String,
    },
}

/// A snapshot of routes, targets and evacuated zones. Shared and immutable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// The operator's version number of the configuration in force; 0 before any is known.
    pub version: ConfigRevision,
    /// How long a flow may be idle before its state may be dropped.
    pub idle_timeout: Duration,
    /// Invariant: sorted by address.
    pub routes: Arc<Vec<PublishedRoute>>,
    /// Invariant: sorted by name.
    pub targets: Arc<Vec<TargetRow>>,
    /// Services that the configuration lists without sending flows of any route to them.
    pub unrouted: Arc<Vec<ServiceName>>,
    /// The [`StorePosition`] up to which the evacuated zones are known, the default while
    /// they are unknown, and then no flow may be placed.
    pub zones_revision: StorePosition,
    /// The zones whose targets get no new flows. Invariant: sorted by name.
    pub evacuated: Arc<Vec<EvacuatedZone>>,
}

/// The changes from one catalog to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogChanges {
    /// The changed rows. A row may occur more than once, in the order of its changes.
    Rows {
        /// Changed targets.
        targets: Vec<RowChange<TargetRow>>,
        /// Changed routes.
        routes: Vec<RowChange<PublishedRoute>>,
    },
    /// So many rows that comparing the whole catalog costs less.
    TooMany,
}

impl Default for CatalogChanges {
    fn default() -> Self {
        Self::Rows {
            targets: Vec::new(),
            routes: Vec::new(),
        }
    }
}

/// Above this number of changed rows, [`CatalogChanges`] lists none: a copy of each would take as
/// much memory as the catalog itself when a process loads its first one.
const MAX_CHANGED_ROWS: usize = 1_024;

impl CatalogChanges {
    fn add_targets(&mut self, changes: Vec<RowChange<TargetRow>>) {
        if let Self::Rows { targets, .. } = self {
            targets.extend(changes);
        }
        self.collapse_if_too_many();
    }

    fn add_routes(&mut self, changes: Vec<RowChange<PublishedRoute>>) {
        if let Self::Rows { routes, .. } = self {
            routes.extend(changes);
        }
        self.collapse_if_too_many();
    }

    fn collapse_if_too_many(&mut self) {
        if let Self::Rows { targets, routes } = self
            && targets.len() + routes.len() > MAX_CHANGED_ROWS
        {
            *self = Self::TooMany;
        }
    }
}

/// Holds the catalog and the revision of each change.
///
/// Invariant: the revision of a table never decreases, so a process that knows a configuration or
/// an evacuated zone never returns to an earlier state, whichever peer offers it.
#[derive(Clone, Debug, Default)]
pub struct CatalogTables {
    catalog: Catalog,
    /// Its revision is the operator's version, which never goes back, unlike those of the store: a
    /// copy that the store comes back from may hold an older configuration than the one in force.
    routes: TableIndex<SocketAddrV4>,
    /// Its revision is a [`StorePosition`].
    targets: TableIndex<TargetName, StorePosition>,
    /// Its revision is a [`StorePosition`].
    zones: TableIndex<ZoneName, StorePosition>,
    /// Changes since the last call of [`take_changes`](Self::take_changes).
    changes: CatalogChanges,
    /// Unusable values of the configuration in force that were not taken yet. Empty if the
    /// configuration came from another balancer.
    unusable: Vec<UnusableValue>,
}

impl CatalogTables {
    /// Returns the head of the current state.
    #[must_use]
    pub fn head(&self) -> CatalogHead {
        CatalogHead {
            routes: self.routes.head(),
            targets: self.targets.head(),
            zones: self.zones.head(),
        }
    }

    /// Returns the position in the store's history that the targets are known up to.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.targets.head().revision
    }

    /// Returns the catalog in force.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the changes since the last call and clears them.
    pub fn take_changes(&mut self) -> CatalogChanges {
        std::mem::take(&mut self.changes)
    }

    /// Returns the unusable values of the configuration that was last applied from the store, and
    /// clears them.
    pub fn take_unusable(&mut self) -> Vec<UnusableValue> {
        std::mem::take(&mut self.unusable)
    }

    /// Returns the changes since a head.
    #[must_use]
    pub fn delta_since(&self, head: &CatalogHead) -> CatalogDelta {
        let known = self.head();
        let config = (known.routes.revision > head.routes.revision).then(|| ConfigDelta {
            version: self.catalog.version,
            idle_timeout: self.catalog.idle_timeout,
            unrouted: self.catalog.unrouted.to_vec(),
            routes: self
                .routes
                .delta_since(&self.catalog.routes, head.routes.revision),
        });
        let targets = (known.targets.revision > head.targets.revision).then(|| {
            self.targets
                .delta_since(&self.catalog.targets, head.targets.revision)
        });
        let zones = (known.zones.revision > head.zones.revision).then(|| {
            self.zones
                .delta_since(&self.catalog.evacuated, head.zones.revision)
        });
        CatalogDelta {
            config,
            targets,
            zones,
        }
    }

    /// Applies a delta from another balancer and returns whether anything changed.
    ///
    /// # Errors
    ///
    /// Returns a [`CatalogError`] if a table's delta did not fit; other tables may have been
    /// updated.
    pub fn apply_delta(&mut self, delta: CatalogDelta) -> Result<bool, CatalogError> {
        let config = match delta.config {
            Some(config) => self.merge_config(config),
            None => Ok(false),
        };
        let targets = match delta.targets {
            Some(targets) => self.merge_targets(targets),
            None => Ok(false),
        };
        let zones = match delta.zones {
            Some(zones) => self.merge_zones(zones),
            None => Ok(false),
        };
        Ok(config? | targets? | zones?)
    }

    fn merge_zones(
        &mut self,
        zones: TableDelta<ZoneName, EvacuatedZone, StorePosition>,
    ) -> Result<bool, CatalogError> {
        if zones.to.revision <= self.zones.head().revision {
            return Ok(false);
        }
        let rows = Arc::make_mut(&mut self.catalog.evacuated);
        let changes = self.zones.apply(rows, zones)?;
        Ok(self.advance_zones(&changes))
    }

    /// Updates the revision up to which the evacuated zones are known and returns whether that
    /// changes the catalog. The first update always does, even if no zone is evacuated.
    fn advance_zones(&mut self, changes: &[RowChange<EvacuatedZone>]) -> bool {
        let is_first = !self.catalog.zones_revision.is_known();
        self.catalog.zones_revision = self.zones.head().revision;
        is_first || !changes.is_empty()
    }

    fn merge_targets(
        &mut self,
        targets: TableDelta<TargetName, TargetRow, StorePosition>,
    ) -> Result<bool, CatalogError> {
        if targets.to.revision <= self.targets.head().revision {
            return Ok(false);
        }
        let rows = Arc::make_mut(&mut self.catalog.targets);
        let changes = self.targets.apply(rows, targets)?;
        self.changes.add_targets(changes);
        Ok(true)
    }

    fn merge_config(&mut self, config: ConfigDelta) -> Result<bool, CatalogError> {
        if config.routes.to.revision <= self.routes.head().revision {
            return Ok(false);
        }
        let rows = Arc::make_mut(&mut self.catalog.routes);
        let changes = self.routes.apply(rows, config.routes)?;
        self.changes.add_routes(changes);
        self.catalog.version = config.version;
        self.catalog.idle_timeout = config.idle_timeout;
        self.catalog.unrouted = config.unrouted.into();
        Ok(true)
    }

    /// Applies a full list of the store; targets that it does not contain are removed.
    ///
    /// # Errors
    ///
    /// Returns the values that could not be decoded; everything else was applied.
    pub fn apply_list(&mut self, answer: StoreAnswer) -> (bool, Vec<CatalogError>) {
        let revision = answer.position();
        let mut errors = Vec::new();
        let mut changed = false;
        let mut targets = Vec::new();
        let mut evacuated = Vec::new();
        for (_, event) in answer.events {
            match event {
                StoreEvent::Config(config) if config.version < self.catalog.version => {
                    errors.push(CatalogError::OutdatedConfig {
                        version: config.version,
                        held: self.catalog.version,
                    });
                }
                StoreEvent::Config(config) => changed |= self.apply_config(config, &mut errors),
                StoreEvent::Target(target) => targets.push(TargetRow::Published(target)),
                StoreEvent::ZoneEvacuated(zone) => evacuated.push(EvacuatedZone(zone)),
                StoreEvent::TargetRemoved(_) | StoreEvent::ZoneRestored(_) => {}
                StoreEvent::Unreadable {
                    key,
                    reason,
                    target,
                } => {
                    targets.extend(target.map(TargetRow::Unreadable));
                    errors.push(CatalogError::Unreadable { key, reason });
                }
            }
        }
        if revision > self.targets.head().revision {
            changed |= self.replace_targets(targets, revision, &mut errors);
        }
        if revision > self.zones.head().revision {
            let rows = &mut self.catalog.evacuated;
            match replace_rows(&mut self.zones, rows, evacuated, revision) {
                Ok(changes) => changed |= self.advance_zones(&changes),
                Err(error) => errors.push(error.into()),
            }
        }
        (changed, errors)
    }

    /// Applies the changes that a watch returned. They must follow a position of the same era.
    ///
    /// # Errors
    ///
    /// Returns the values that could not be decoded; everything else was applied.
    pub fn apply_events(&mut self, answer: StoreAnswer) -> (bool, Vec<CatalogError>) {
        let mut errors = Vec::new();
        let mut changed = false;
        let mut update = CatalogUpdate::default();
        let era = answer.era;
        for (revision, event) in answer.events {
            let revision = StorePosition::new(era, revision);
            match event {
                StoreEvent::Config(config) => changed |= self.apply_config(config, &mut errors),
                StoreEvent::Unreadable {
                    key,
                    reason,
                    target,
                } => {
                    if let Some(name) = target {
                        let row = TargetRow::Unreadable(name);
                        self.queue_target(row, revision, &mut update.targets);
                    }
                    errors.push(CatalogError::Unreadable { key, reason });
                }
                StoreEvent::Target(target) => {
                    let row = TargetRow::Published(target);
                    self.queue_target(row, revision, &mut update.targets);
                }
                // A peer may have reported the change before the watch did.
                StoreEvent::TargetRemoved(name) if revision > self.targets.head().revision => {
                    update.targets.remove(name, revision);
                }
                StoreEvent::ZoneEvacuated(zone) if revision > self.zones.head().revision => {
                    update.zones.write(EvacuatedZone(zone), revision);
                }
                StoreEvent::ZoneRestored(zone) if revision > self.zones.head().revision => {
                    update.zones.remove(zone, revision);
                }
                StoreEvent::TargetRemoved(_)
                | StoreEvent::ZoneEvacuated(_)
                | StoreEvent::ZoneRestored(_) => {}
            }
        }
        match update
            .targets
            .apply(&mut self.targets, &mut self.catalog.targets)
        {
            Some(Ok(changes)) => {
                self.changes.add_targets(changes);
                changed = true;
            }
            Some(Err(error)) => errors.push(error.into()),
            None => {}
        }
        match update
            .zones
            .apply(&mut self.zones, &mut self.catalog.evacuated)
        {
            Some(Ok(changes)) => changed |= self.advance_zones(&changes),
            Some(Err(error)) => errors.push(error.into()),
            None => {}
        }
        (changed, errors)
    }

    /// Adds a target entry to the changes of a watch, unless a peer has already reported it.
    fn queue_target(
        &self,
        row: TargetRow,
        revision: StorePosition,
        update: &mut TableUpdate<TargetRow>,
    ) {
        if revision > self.targets.head().revision {
            update.write(row, revision);
        }
    }

    fn replace_targets(
        &mut self,
        next: Vec<TargetRow>,
        revision: StorePosition,
        errors: &mut Vec<CatalogError>,
    ) -> bool {
        let rows = &mut self.catalog.targets;
        match replace_rows(&mut self.targets, rows, next, revision) {
            Ok(changes) => {
                let changed = !changes.is_empty();
                self.changes.add_targets(changes);
                changed
            }
            Err(error) => {
                errors.push(error.into());
                false
            }
        }
    }

    fn apply_config(&mut self, config: PublishedConfig, errors: &mut Vec<CatalogError>) -> bool {
        let revision = config.version.0;
        if revision <= self.routes.head().revision {
            return false;
        }
        let mut next = config.routes;
        next.sort_by(|a, b| (a.address, &a.name).cmp(&(b.address, &b.name)));
        next.dedup_by(|a, b| a.address == b.address);
        let rows = Arc::make_mut(&mut self.catalog.routes);
        let delta = self.routes.delta_to(rows, next, revision);
        match self.routes.apply(rows, delta) {
            Ok(changes) => self.changes.add_routes(changes),
            Err(error) => {
                errors.push(error.into());
                return false;
            }
        }
        self.catalog.version = config.version;
        self.catalog.idle_timeout = config.idle_timeout;
        self.catalog.unrouted = config.unrouted.into();
        self.unusable = config.unusable;
        self.unusable.truncate(MAX_UNUSABLE_VALUES);
        true
    }
}

/// Changes that a watch returned for the tables that the store reports row by row.
#[derive(Default)]
struct CatalogUpdate {
    targets: TableUpdate<TargetRow>,
    zones: TableUpdate<EvacuatedZone>,
}
