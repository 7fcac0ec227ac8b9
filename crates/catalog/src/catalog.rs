//! The newest routes and targets that this process knows.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, ServiceName, ZoneName};
use lovagelatch_membership::{RowChange, TableDelta, TableError, TableIndex};
use thiserror::Error;

use crate::answer::{StoreAnswer, StoreEvent};
use crate::message::{CatalogDelta, CatalogHead, ConfigDelta};
use crate::record::{EvacuatedZone, PublishedConfig, PublishedRoute, TargetName, TargetRow};
use crate::table::{TableNews, replace_rows};

/// Why a change was not taken. What is held stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A table change did not fit.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A value of the store could not be read.
    #[error("store key {key} unreadable: {reason}")]
    Unreadable {
        /// The key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// Routes, targets and evacuated zones at one moment. Shared, never changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    /// The operator's number for the configuration in force; 0 before any is known.
    pub version: ConfigRevision,
    /// How long a flow may be silent before it may be forgotten.
    pub idle_timeout: Duration,
    /// Invariant: sorted by address.
    pub routes: Arc<Vec<PublishedRoute>>,
    /// Invariant: sorted by name.
    pub targets: Arc<Vec<TargetRow>>,
    /// Services that the configuration names and sends no route's flows to.
    pub unrouted: Arc<Vec<ServiceName>>,
    /// The store's revision up to which the evacuated zones are known; 0 while nothing is known of them,
    /// and then no flow may be placed.
    pub zones_revision: u64,
    /// The zones whose targets get no new flows. Invariant: sorted by name.
    pub evacuated: Arc<Vec<EvacuatedZone>>,
}

/// What changed from one catalog to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogChanges {
    /// These rows. A row may be named more than once, in the order of its changes.
    Rows {
        /// Changes of targets.
        targets: Vec<RowChange<TargetRow>>,
        /// Changes of routes.
        routes: Vec<RowChange<PublishedRoute>>,
    },
    /// So much that going through all of it costs less.
    Much,
}

impl Default for CatalogChanges {
    fn default() -> Self {
        Self::Rows {
            targets: Vec::new(),
            routes: Vec::new(),
        }
    }
}

/// From so many changed rows on, [`CatalogChanges`] names none: keeping a copy of each would take
/// as much memory as the catalog itself when a process takes its first one.
const MUCH: usize = 1_024;

impl CatalogChanges {
    fn add_targets(&mut self, changes: Vec<RowChange<TargetRow>>) {
        if let Self::Rows { targets, .. } = self {
            targets.extend(changes);
        }
        self.give_up_if_much();
    }

    fn add_routes(&mut self, changes: Vec<RowChange<PublishedRoute>>) {
        if let Self::Rows { routes, .. } = self {
            routes.extend(changes);
        }
        self.give_up_if_much();
    }

    fn give_up_if_much(&mut self) {
        if let Self::Rows { targets, routes } = self
            && targets.len() + routes.len() > MUCH
        {
            *self = Self::Much;
        }
    }
}

/// Keeps the catalog and what changed when.
///
/// Invariant: no table's revision ever falls, so a process that was told of a configuration or an
/// evacuated zone never goes back to what was before, whoever offers it.
#[derive(Clone, Debug, Default)]
pub struct CatalogKeeper {
    catalog: Catalog,
    routes: TableIndex<SocketAddrV4>,
    targets: TableIndex<TargetName>,
    zones: TableIndex<ZoneName>,
    /// What changed since [`take_changes`](Self::take_changes) was last called.
    changes: CatalogChanges,
}

impl CatalogKeeper {
    /// Which state is held.
    #[must_use]
    pub fn head(&self) -> CatalogHead {
        CatalogHead {
            routes: self.routes.head(),
            targets: self.targets.head(),
            zones: self.zones.head(),
        }
    }

    /// The catalog in force.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// What changed in the catalog since the last call.
    pub fn take_changes(&mut self) -> CatalogChanges {
        std::mem::take(&mut self.changes)
    }

    /// What changed after a head.
    #[must_use]
    pub fn delta_since(&self, head: &CatalogHead) -> CatalogDelta {
        let held = self.head();
        let config = (held.routes.revision > head.routes.revision).then(|| ConfigDelta {
            version: self.catalog.version,
            idle_timeout: self.catalog.idle_timeout,
            unrouted: self.catalog.unrouted.to_vec(),
            routes: self
                .routes
                .delta_since(&self.catalog.routes, head.routes.revision),
        });
        let targets = (held.targets.revision > head.targets.revision).then(|| {
            self.targets
                .delta_since(&self.catalog.targets, head.targets.revision)
        });
        let zones = (held.zones.revision > head.zones.revision).then(|| {
            self.zones
                .delta_since(&self.catalog.evacuated, head.zones.revision)
        });
        CatalogDelta {
            config,
            targets,
            zones,
        }
    }

    /// Takes what another balancer sent; returns whether anything changed.
    ///
    /// # Errors
    ///
    /// A [`CatalogError`] for a table that did not fit; others may have been taken.
    pub fn take_delta(&mut self, delta: CatalogDelta) -> Result<bool, CatalogError> {
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
        zones: TableDelta<ZoneName, EvacuatedZone>,
    ) -> Result<bool, CatalogError> {
        if zones.to.revision <= self.zones.head().revision {
            return Ok(false);
        }
        let rows = Arc::make_mut(&mut self.catalog.evacuated);
        let changes = self.zones.apply(rows, zones)?;
        Ok(self.note_zones(&changes))
    }

    /// Notes that the evacuated zones are known up to a later revision; returns whether that changes
    /// anything. The first such word does, also where no zone is evacuated.
    fn note_zones(&mut self, changes: &[RowChange<EvacuatedZone>]) -> bool {
        let first = self.catalog.zones_revision == 0;
        self.catalog.zones_revision = self.zones.head().revision;
        first || !changes.is_empty()
    }

    fn merge_targets(
        &mut self,
        targets: TableDelta<TargetName, TargetRow>,
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

    /// Takes a whole list of the store; a target that it does not hold is gone.
    ///
    /// # Errors
    ///
    /// The values that could not be read; everything else was taken.
    pub fn take_list(&mut self, answer: StoreAnswer) -> (bool, Vec<CatalogError>) {
        let mut errors = Vec::new();
        let mut changed = false;
        let mut targets = Vec::new();
        let mut evacuated = Vec::new();
        for (revision, event) in answer.events {
            match event {
                StoreEvent::Config(config) => {
                    changed |= self.take_config(revision, config, &mut errors);
                }
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
        if answer.revision > self.targets.head().revision {
            changed |= self.replace_targets(targets, answer.revision, &mut errors);
        }
        if answer.revision > self.zones.head().revision {
            let rows = &mut self.catalog.evacuated;
            match replace_rows(&mut self.zones, rows, evacuated, answer.revision) {
                Ok(changes) => changed |= self.note_zones(&changes),
                Err(error) => errors.push(error.into()),
            }
        }
        (changed, errors)
    }

    /// Takes the changes that a watch brought.
    ///
    /// # Errors
    ///
    /// The values that could not be read; everything else was taken.
    pub fn take_events(&mut self, answer: StoreAnswer) -> (bool, Vec<CatalogError>) {
        let mut errors = Vec::new();
        let mut changed = false;
        let mut news = CatalogNews::default();
        for (revision, event) in answer.events {
            match event {
                StoreEvent::Config(config) => {
                    changed |= self.take_config(revision, config, &mut errors);
                }
                StoreEvent::Unreadable {
                    key,
                    reason,
                    target,
                } => {
                    if let Some(name) = target {
                        let row = TargetRow::Unreadable(name);
                        self.note_target(row, revision, &mut news.targets);
                    }
                    errors.push(CatalogError::Unreadable { key, reason });
                }
                StoreEvent::Target(target) => {
                    let row = TargetRow::Published(target);
                    self.note_target(row, revision, &mut news.targets);
                }
                // A peer may have told of a change before the watch did.
                StoreEvent::TargetRemoved(name) if revision > self.targets.head().revision => {
                    news.targets.removed(name, revision);
                }
                StoreEvent::ZoneEvacuated(zone) if revision > self.zones.head().revision => {
                    news.zones.written(EvacuatedZone(zone), revision);
                }
                StoreEvent::ZoneRestored(zone) if revision > self.zones.head().revision => {
                    news.zones.removed(zone, revision);
                }
                StoreEvent::TargetRemoved(_)
                | StoreEvent::ZoneEvacuated(_)
                | StoreEvent::ZoneRestored(_) => {}
            }
        }
        match news
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
        match news
            .zones
            .apply(&mut self.zones, &mut self.catalog.evacuated)
        {
            Some(Ok(changes)) => changed |= self.note_zones(&changes),
            Some(Err(error)) => errors.push(error.into()),
            None => {}
        }
        (changed, errors)
    }

    /// Adds a target's entry to what a watch brought, unless a peer told of it before the watch did.
    fn note_target(&self, row: TargetRow, revision: u64, news: &mut TableNews<TargetRow>) {
        if revision > self.targets.head().revision {
            news.written(row, revision);
        }
    }

    fn replace_targets(
        &mut self,
        next: Vec<TargetRow>,
        revision: u64,
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

    fn take_config(
        &mut self,
        revision: u64,
        config: PublishedConfig,
        errors: &mut Vec<CatalogError>,
    ) -> bool {
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
        true
    }
}

/// What a watch brought about the tables that it tells row by row.
#[derive(Default)]
struct CatalogNews {
    targets: TableNews<TargetRow>,
    zones: TableNews<EvacuatedZone>,
}
