//! The newest routes and targets that this process knows.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, ServiceName};
use lovagelatch_membership::{RowChange, TableDelta, TableError, TableIndex};
use thiserror::Error;

use crate::answer::{StoreAnswer, StoreEvent};
use crate::message::{CatalogDelta, CatalogHead, ConfigDelta};
use crate::record::{PublishedConfig, PublishedRoute, TargetName, TargetRow};

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

/// Routes and targets at one moment. Shared, never changed.
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
/// Invariant: neither table's revision ever falls, so a process that was told of a configuration
/// never goes back to an older one, whoever offers it.
#[derive(Clone, Debug, Default)]
pub struct CatalogKeeper {
    catalog: Catalog,
    routes: TableIndex<SocketAddrV4>,
    targets: TableIndex<TargetName>,
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
        CatalogDelta { config, targets }
    }

    /// Takes what another balancer sent; returns whether anything changed.
    ///
    /// # Errors
    ///
    /// A [`CatalogError`] for a table that did not fit; the other one may have been taken.
    pub fn take_delta(&mut self, delta: CatalogDelta) -> Result<bool, CatalogError> {
        let config = match delta.config {
            Some(config) => self.merge_config(config),
            None => Ok(false),
        };
        let targets = match delta.targets {
            Some(targets) => self.merge_targets(targets),
            None => Ok(false),
        };
        Ok(config? | targets?)
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
        for (revision, event) in answer.events {
            match event {
                StoreEvent::Config(config) => {
                    changed |= self.take_config(revision, config, &mut errors);
                }
                StoreEvent::Target(target) => targets.push(TargetRow::Published(target)),
                StoreEvent::TargetRemoved(_) => {}
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
        let known = self.targets.head().revision;
        let mut news = TargetNews::default();
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
                    let row = target.map(TargetRow::Unreadable);
                    news.written(row.filter(|_| revision > known), revision);
                    errors.push(CatalogError::Unreadable { key, reason });
                }
                // A peer may have told of this change before the watch did.
                StoreEvent::Target(_) | StoreEvent::TargetRemoved(_) if revision <= known => {}
                StoreEvent::Target(target) => {
                    news.written(Some(TargetRow::Published(target)), revision);
                }
                StoreEvent::TargetRemoved(name) => news.removed(name, revision),
            }
        }
        let TargetNews {
            written,
            removed,
            last,
        } = news;
        if last > known {
            let rows = Arc::make_mut(&mut self.catalog.targets);
            let delta = self.targets.delta_of(rows, written, removed, last);
            match self.targets.apply(rows, delta) {
                Ok(changes) => {
                    self.changes.add_targets(changes);
                    changed = true;
                }
                Err(error) => errors.push(error.into()),
            }
        }
        (changed, errors)
    }

    fn replace_targets(
        &mut self,
        mut next: Vec<TargetRow>,
        revision: u64,
        errors: &mut Vec<CatalogError>,
    ) -> bool {
        next.sort_by(|a, b| a.name().cmp(b.name()));
        next.dedup_by(|a, b| a.name() == b.name());
        let rows = Arc::make_mut(&mut self.catalog.targets);
        let delta = self.targets.delta_to(rows, next, revision);
        match self.targets.apply(rows, delta) {
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

/// What a watch brought about targets: the last event of each.
#[derive(Default)]
struct TargetNews {
    written: Vec<(u64, TargetRow)>,
    removed: Vec<(u64, TargetName)>,
    /// The newest revision of them; 0 when there are none.
    last: u64,
}

impl TargetNews {
    fn written(&mut self, row: Option<TargetRow>, revision: u64) {
        let Some(row) = row else {
            return;
        };
        self.forget(row.name());
        self.written.push((revision, row));
        self.last = self.last.max(revision);
    }

    fn removed(&mut self, name: TargetName, revision: u64) {
        self.forget(&name);
        self.removed.push((revision, name));
        self.last = self.last.max(revision);
    }

    fn forget(&mut self, name: &TargetName) {
        self.removed.retain(|(_, known)| known != name);
        self.written.retain(|(_, row)| row.name() != name);
    }
}
