//! The settings file of a process, as it was read at one moment.
//!
//! What goes wrong where a process parses one reading of its file and compares later ones with another: a
//! change between the two is never told. One notices by a process that goes on with seeds that are gone
//! although it was sent SIGHUP. So one reading serves both.

use std::path::{Path, PathBuf};

use crate::fault::{FaultList, SettingFault};
use crate::reader::file_fault;

/// One reading of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// One fault, with what the operating system said.
    pub fn read(path: &Path) -> Result<Self, FaultList<SettingFault>> {
        let bytes = std::fs::read(path).map_err(|error| {
            let reason = format!("{}: {error}", path.display());
            file_fault(0, reason)
        })?;
        Ok(Self {
            path: path.to_owned(),
            // What is no UTF-8 is no setting; the parser names the line.
            text: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    /// Reads the file again; `None` while its text is the same, or it cannot be read: one that is being
    /// replaced may be missing for a moment.
    #[must_use]
    pub fn read_changed(&self) -> Option<Self> {
        let file = Self::read(&self.path).ok()?;
        (file != *self).then_some(file)
    }

    /// Reads the settings out of it with one of the `parse` functions.
    ///
    /// # Errors
    ///
    /// All faults at once.
    pub fn parse<S>(
        &self,
        parse: impl FnOnce(&str) -> Result<S, FaultList<SettingFault>>,
    ) -> Result<S, FaultList<SettingFault>> {
        parse(&self.text)
    }
}
