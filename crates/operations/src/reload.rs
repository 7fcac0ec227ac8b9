//! Detects changes of the settings file.
//!
//! An operator may or may not send SIGHUP after changing the file. A process without a handler
//! is killed by that signal, and a process that reads the file only at start keeps using seeds
//! that no longer exist.

use std::io;
use std::time::Duration;

use lovagelatch_settings::SettingsFile;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the file is checked without a signal. Reading it is cheap and not time-critical.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches one settings file for changes, by polling and on SIGHUP.
#[derive(Debug)]
pub struct SettingsWatcher {
    /// The version that the process started with or that `changed` returned last.
    file: SettingsFile,
    hangup: Signal,
}

impl SettingsWatcher {
    /// Creates a watcher for changes relative to `file`, the version that the process started with.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn new(file: SettingsFile) -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self { file, hangup })
    }

    /// Waits until the content of the file changes and returns the new version.
    pub async fn changed(&mut self) -> &SettingsFile {
        loop {
            // Checks before waiting: a signal may have arrived before the handler was installed.
            if let Some(file) = self.file.read_changed() {
                self.file = file;
                return &self.file;
            }
            tokio::select! {
                _ = self.hangup.recv() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }
}
