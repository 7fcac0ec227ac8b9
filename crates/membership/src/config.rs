//! The configuration in force, and the rules by which another replaces it.

use std::sync::Arc;

use lovagelatch_domain::{ConfigRevision, ServiceName};
use lovagelatch_settings::{FaultList, ServiceEntry, ServiceText, TextFault};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::delta::{RowChange, TableDelta, TableError, TableHead, TableRow};
use crate::table::TableIndex;

impl TableRow for ServiceEntry {
    type Key = ServiceName;

    fn key(&self) -> ServiceName {
        self.name.clone()
    }
}

/// A delta of the configuration, with one row per service.
pub type ConfigDelta = TableDelta<ServiceName, ServiceEntry>;

/// Source of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSource {
    /// No configuration is known yet.
    #[default]
    Nobody,
    /// Read from the platform.
    Platform,
    /// Pulled from another process of the fleet.
    Peer,
}

/// Why an offered configuration was refused. The one in force stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// Its revision is lower than the one in force: the source is stale.
    #[error("revision {offered} is lower than revision {held} in force")]
    Lower {
        /// Revision of the offered configuration.
        offered: u64,
        /// Revision in force.
        held: u64,
    },
    /// Its text is invalid.
    #[error("revision {revision} is invalid: {faults}")]
    Invalid {
        /// Revision of the offered configuration.
        revision: u64,
        /// Faults of the text.
        faults: FaultList<TextFault>,
    },
    /// It has the revision in force, but different content.
    #[error("revision {revision} is already known with different content")]
    Conflict {
        /// Revision of both configurations.
        revision: u64,
    },
    /// Its delta could not be applied.
    #[error(transparent)]
    Delta(#[from] TableError),
}

/// Effect of an offered configuration that was not refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// It is in force now; holds the services that changed.
    Applied(Vec<RowChange<ServiceEntry>>),
    /// It was already known.
    Unchanged,
}

/// Holds the accepted configuration with the highest revision.
///
/// Invariant: the revision in force never decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    index: TableIndex<ServiceName>,
    /// Invariant: services sorted by name, all line numbers 0, so that equal configurations are
    /// equal in every process, whatever the layout of their source text.
    text: Arc<ServiceText>,
    source: ConfigSource,
    /// Highest revision with an invalid text; it is not fetched again.
    refused: u64,
}

impl ConfigTable {
    /// Returns the revision and digest in force.
    #[must_use]
    pub fn head(&self) -> TableHead {
        self.index.head()
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.head().revision)
    }

    /// Returns the highest revision that this process has evaluated, whether accepted or refused: a
    /// watch waits for a higher one.
    #[must_use]
    pub fn evaluated(&self) -> ConfigRevision {
        ConfigRevision(self.head().revision.max(self.refused))
    }

    /// Returns the highest revision refused as invalid; 0 for none.
    #[must_use]
    pub fn refused(&self) -> ConfigRevision {
        ConfigRevision(self.refused)
    }

    /// Returns the source of the configuration in force.
    #[must_use]
    pub fn source(&self) -> ConfigSource {
        self.source
    }

    /// Returns the text in force.
    #[must_use]
    pub fn text(&self) -> &Arc<ServiceText> {
        &self.text
    }

    /// Returns the changes after `revision`.
    #[must_use]
    pub fn delta_since(&self, revision: u64) -> ConfigDelta {
        self.index.delta_since(&self.text.services, revision)
    }

    /// Evaluates a configuration from the platform and applies it if accepted.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the configuration was refused.
    pub fn offer_text(
        &mut self,
        revision: ConfigRevision,
        text: &str,
    ) -> Result<ConfigOutcome, ConfigError> {
        let (offered, held) = (revision.0, self.head().revision);
        if offered < held {
            return Err(ConfigError::Lower { offered, held });
        }
        if offered == self.refused {
            return Ok(ConfigOutcome::Unchanged);
        }
        let parsed = ServiceText::parse(text).map_err(|faults| {
            self.refused = self.refused.max(offered);
            ConfigError::Invalid {
                revision: offered,
                faults,
            }
        })?;
        let rows = canonical_rows(parsed);
        let delta = self.index.delta_to(&self.text.services, rows, offered);
        if offered == held && delta.to.digest == self.head().digest {
            self.source = ConfigSource::Platform;
            return Ok(ConfigOutcome::Unchanged);
        }
        // Two contents under one revision: an answer of the platform replaces a peer's content, but
        // not an earlier answer of the platform. Otherwise two of its replicas could make a fleet
        // alternate between them forever.
        if offered == held && self.source == ConfigSource::Platform {
            return Err(ConfigError::Conflict { revision: offered });
        }
        self.apply(delta, ConfigSource::Platform)
    }

    /// Evaluates a delta from a peer and applies it if accepted.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the delta was refused.
    pub fn offer_delta(&mut self, delta: ConfigDelta) -> Result<ConfigOutcome, ConfigError> {
        let held = self.head();
        self.check_head(delta.to)?;
        if delta.to == held {
            return Ok(ConfigOutcome::Unchanged);
        }
        if delta.to.revision < held.revision {
            return Err(ConfigError::Lower {
                offered: delta.to.revision,
                held: held.revision,
            });
        }
        self.apply(delta, ConfigSource::Peer)
    }

    /// Compares a peer's head with the one in force.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Conflict`] if the revisions are equal but the contents differ.
    pub fn check_head(&self, head: TableHead) -> Result<(), ConfigError> {
        let held = self.head();
        if head.revision == held.revision && head.digest != held.digest {
            return Err(ConfigError::Conflict {
                revision: head.revision,
            });
        }
        Ok(())
    }

    fn apply(
        &mut self,
        delta: ConfigDelta,
        source: ConfigSource,
    ) -> Result<ConfigOutcome, ConfigError> {
        let text = Arc::make_mut(&mut self.text);
        let changes = match source {
            ConfigSource::Platform => self.index.apply_authoritative(&mut text.services, delta)?,
            _ => self.index.apply(&mut text.services, delta)?,
        };
        self.source = source;
        Ok(ConfigOutcome::Applied(changes))
    }
}

fn canonical_rows(text: ServiceText) -> Vec<ServiceEntry> {
    let mut rows = text.services;
    for row in &mut rows {
        row.line = 0;
        for address in &mut row.addresses {
            address.line = 0;
        }
    }
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    rows
}
