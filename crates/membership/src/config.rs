//! The configuration in force, and which offers of another are taken.

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

/// What changed in the configuration, service by service.
pub type ConfigDelta = TableDelta<ServiceName, ServiceEntry>;

/// Who a configuration was heard from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSource {
    /// Nobody yet.
    #[default]
    Nobody,
    /// The platform.
    Platform,
    /// Another process of the fleet.
    Peer,
}

/// Why an offered configuration was not taken. The one in force stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// Its revision is lower than the one in force: whoever offers it read something stale.
    #[error("revision {offered} is below {held}, which is in force")]
    Lower {
        /// The revision offered.
        offered: u64,
        /// The revision in force.
        held: u64,
    },
    /// Its text has faults.
    #[error("revision {revision}: {faults}")]
    Invalid {
        /// Its revision.
        revision: u64,
        /// The faults.
        faults: FaultList<TextFault>,
    },
    /// It has the revision in force, or a refused one, but another content.
    #[error("revision {revision} is known with another content")]
    Conflict {
        /// The revision.
        revision: u64,
    },
    /// A delta did not fit.
    #[error(transparent)]
    Delta(#[from] TableError),
}

/// What became of an offer that was not wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigVerdict {
    /// It is in force now; these services changed.
    Taken(Vec<RowChange<ServiceEntry>>),
    /// It was known already.
    Known,
}

/// Keeps the highest accepted configuration.
///
/// Invariant: the revision in force never falls.
#[derive(Clone, Debug, Default)]
pub struct ConfigKeeper {
    index: TableIndex<ServiceName>,
    /// Invariant: services sorted by name, all line numbers 0, so that equal configurations
    /// are equal everywhere, whatever the layout of the text they came from.
    text: Arc<ServiceText>,
    source: ConfigSource,
    /// The highest revision whose text has faults; it is not fetched again.
    refused: u64,
}

impl ConfigKeeper {
    /// The state in force.
    #[must_use]
    pub fn head(&self) -> TableHead {
        self.index.head()
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.head().revision)
    }

    /// The highest revision this process has judged, accepted or not: a watch waits for the
    /// next.
    #[must_use]
    pub fn judged(&self) -> ConfigRevision {
        ConfigRevision(self.head().revision.max(self.refused))
    }

    /// The highest revision that was refused for its faults; 0 for none.
    #[must_use]
    pub fn refused(&self) -> ConfigRevision {
        ConfigRevision(self.refused)
    }

    /// Who the configuration in force came from.
    #[must_use]
    pub fn source(&self) -> ConfigSource {
        self.source
    }

    /// The text in force.
    #[must_use]
    pub fn text(&self) -> &Arc<ServiceText> {
        &self.text
    }

    /// What changed after `revision`.
    #[must_use]
    pub fn delta_since(&self, revision: u64) -> ConfigDelta {
        self.index.delta_since(&self.text.services, revision)
    }

    /// Judges what the platform answered.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] when it was not taken.
    pub fn offer_text(
        &mut self,
        revision: ConfigRevision,
        text: &str,
    ) -> Result<ConfigVerdict, ConfigError> {
        let (offered, held) = (revision.0, self.head().revision);
        if offered < held {
            return Err(ConfigError::Lower { offered, held });
        }
        if offered == self.refused {
            return Ok(ConfigVerdict::Known);
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
            return Ok(ConfigVerdict::Known);
        }
        // Two contents under one revision: the platform's answer replaces a peer's, but never
        // the platform's own earlier word, or two of its replicas could flip a fleet for ever.
        if offered == held && self.source == ConfigSource::Platform {
            return Err(ConfigError::Conflict { revision: offered });
        }
        self.take(delta, ConfigSource::Platform)
    }

    /// Judges what a peer sent.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] when it was not taken.
    pub fn offer_delta(&mut self, delta: ConfigDelta) -> Result<ConfigVerdict, ConfigError> {
        let held = self.head();
        self.check_head(delta.to)?;
        if delta.to == held {
            return Ok(ConfigVerdict::Known);
        }
        if delta.to.revision < held.revision {
            return Err(ConfigError::Lower {
                offered: delta.to.revision,
                held: held.revision,
            });
        }
        self.take(delta, ConfigSource::Peer)
    }

    /// Compares a peer's head with the own.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Conflict`] when the revision is the same and the content is not.
    pub fn check_head(&self, head: TableHead) -> Result<(), ConfigError> {
        let held = self.head();
        if head.revision == held.revision && head.digest != held.digest {
            return Err(ConfigError::Conflict {
                revision: head.revision,
            });
        }
        Ok(())
    }

    fn take(
        &mut self,
        delta: ConfigDelta,
        source: ConfigSource,
    ) -> Result<ConfigVerdict, ConfigError> {
        let text = Arc::make_mut(&mut self.text);
        let changes = match source {
            ConfigSource::Platform => self.index.force(&mut text.services, delta)?,
            _ => self.index.apply(&mut text.services, delta)?,
        };
        self.source = source;
        Ok(ConfigVerdict::Taken(changes))
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
