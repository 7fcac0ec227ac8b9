//! Histories on disk: JSON lines, one write for each.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a history could not be read or written.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file could not be opened, read or written.
    #[error("{path}: {error}")]
    File {
        /// Its path.
        path: PathBuf,
        /// What the operating system said.
        error: io::Error,
    },
    /// A line is no record.
    #[error("{path}, line {line}: {error}")]
    Line {
        /// The file.
        path: PathBuf,
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with it.
        error: serde_json::Error,
    },
}

/// Appends records to a history. Each is one write, so that a process killed between two
/// records loses neither.
#[derive(Debug)]
pub struct HistoryWriter {
    file: Mutex<File>,
}

impl HistoryWriter {
    /// Creates the history at `path`, or empties it.
    ///
    /// # Errors
    ///
    /// What the operating system said.
    pub fn create(path: &Path) -> Result<Self, HistoryError> {
        let file = File::create(path).map_err(|error| HistoryError::File {
            path: path.to_owned(),
            error,
        })?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// What the operating system said, or that the record has no JSON form.
    pub fn append<R: Serialize>(&self, record: &R) -> io::Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        self.file.lock().write_all(&line)
    }
}

/// Reads a history. A last line without its end is left out: its writer was killed in the
/// middle of it.
///
/// # Errors
///
/// A [`HistoryError`] for an unreadable file or a whole line that is no record.
pub fn read_history<R: DeserializeOwned>(path: &Path) -> Result<Vec<R>, HistoryError> {
    let text = std::fs::read(path).map_err(|error| HistoryError::File {
        path: path.to_owned(),
        error,
    })?;
    let whole = text.iter().rposition(|&byte| byte == b'\n').unwrap_or(0);
    let lines = text[..whole].split(|&byte| byte == b'\n');
    let parsed = lines.enumerate().filter(|(_, line)| !line.is_empty());
    parsed
        .map(|(index, line)| {
            serde_json::from_slice(line).map_err(|error| HistoryError::Line {
                path: path.to_owned(),
                line: index + 1,
                error,
            })
        })
        .collect()
}
