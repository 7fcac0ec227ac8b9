//! History files, which hold one JSON object per line.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error of reading or writing a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file could not be opened, read or written.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A line is not a valid record.
    #[error("{path}, line {line}: {error}")]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Error of the JSON parser.
        error: serde_json::Error,
    },
}

/// Appends records to a history file. Each record is a single write without buffering, so a process
/// that is killed loses none of the records before.
#[derive(Debug)]
pub struct HistoryWriter {
    file: Mutex<File>,
}

impl HistoryWriter {
    /// Creates the history file at `path`, truncating an existing one.
    ///
    /// # Errors
    ///
    /// Returns [`HistoryError::File`] if the file cannot be created.
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
    /// Returns an error if the record cannot be serialised to JSON or the file cannot be written.
    pub fn append<R: Serialize>(&self, record: &R) -> io::Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        self.file.lock().write_all(&line)
    }
}

/// Reads a history file. Skips a last line without a line feed, which a process leaves behind when
/// it is killed in the middle of a write.
///
/// # Errors
///
/// Returns a [`HistoryError`] if the file cannot be read or a complete line is not a valid record.
pub fn read_history<R: DeserializeOwned>(path: &Path) -> Result<Vec<R>, HistoryError> {
    let text = std::fs::read(path).map_err(|error| HistoryError::File {
        path: path.to_owned(),
        error,
    })?;
    let end = text.iter().rposition(|&byte| byte == b'\n').unwrap_or(0);
    let lines = text[..end].split(|&byte| byte == b'\n');
    let lines = lines.enumerate().filter(|(_, line)| !line.is_empty());
    lines
        .map(|(index, line)| {
            serde_json::from_slice(line).map_err(|error| HistoryError::Line {
                path: path.to_owned(),
                line: index + 1,
                error,
            })
        })
        .collect()
}
