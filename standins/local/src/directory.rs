//! The temporary directory of a run: settings, keys, certificates, logs and histories.

use std::fs;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use crate::error::LocalError;

/// The directory of a run, removed on drop unless [`Self::keep`] was called.
#[derive(Debug)]
pub(crate) struct RunDirectory {
    path: PathBuf,
    /// Directory of logs and histories.
    pub(crate) logs: PathBuf,
    keep: bool,
}

impl RunDirectory {
    /// Creates the directory. Logs go to `logs` if it is given, else to a subdirectory.
    pub(crate) fn create(logs: Option<&Path>) -> Result<Self, LocalError> {
        let random: u64 = rand::random();
        let path = std::env::temp_dir().join(format!("lovagelatch-{random:016x}"));
        fs::DirBuilder::new()
            .mode(0o700)
            .create(&path)
            .map_err(|error| file_error(&path, error))?;
        let logs = logs.map_or_else(|| path.join("logs"), Path::to_owned);
        fs::create_dir_all(&logs).map_err(|error| file_error(&logs, error))?;
        Ok(Self {
            path,
            logs,
            keep: false,
        })
    }

    /// Keeps the logs after the run.
    pub(crate) fn keep(&mut self) {
        self.keep = true;
    }

    /// Writes a file that only its owner can read.
    pub(crate) fn write(&self, name: &str, text: &str) -> Result<PathBuf, LocalError> {
        let path = self.path.join(name);
        let mut options = fs::OpenOptions::new();
        options.write(true).create(true).truncate(true).mode(0o600);
        options
            .open(&path)
            .and_then(|mut file| std::io::Write::write_all(&mut file, text.as_bytes()))
            .map_err(|error| file_error(&path, error))?;
        Ok(path)
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if self.keep && self.logs.starts_with(&self.path) {
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.path) {
            eprintln!("cannot remove {}: {error}", self.path.display());
        }
    }
}

pub(crate) fn file_error(path: &Path, error: std::io::Error) -> LocalError {
    LocalError::File {
        path: path.to_owned(),
        error,
    }
}
