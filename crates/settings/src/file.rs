//! A snapshot of a process's settings file.
//!
//! The process parses its settings from the same snapshot that it later compares the file with. If
//! these were two separate reads, a change between them would never be detected, and the process
//! would keep outdated settings, such as seeds that no longer exist, even after SIGHUP.

use std::path::{Path, PathBuf};

use crate::fault::{FaultList, SettingFault};
use crate::reader::file_fault;

/// The content of a settings file at the time of reading.
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
    /// Returns one fault with the operating system's error.
    pub fn read(path: &Path) -> Result<Self, FaultList<SettingFault>> {
        let bytes = std::fs::read(path).map_err(|error| {
            let reason = format!("{}: {error}", path.display());
            file_fault(0, reason)
        })?;
        Ok(Self {
            path: path.to_owned(),
            // Invalid UTF-8 is replaced, so that the parser can report its line as a fault.
            text: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    /// Reads the file again and returns it if its text has changed. Also returns `None` when the
    /// file cannot be read, because a file that is being replaced may be missing for a moment.
    #[must_use]
    pub fn read_changed(&self) -> Option<Self> {
        let file = Self::read(&self.path).ok()?;
        (file != *self).then_some(file)
    }

    /// Parses the text with one of the settings types' `parse` functions.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse<S>(
        &self,
        parse: impl FnOnce(&str) -> Result<S, FaultList<SettingFault>>,
    ) -> Result<S, FaultList<SettingFault>> {
        parse(&self.text)
    }
}
