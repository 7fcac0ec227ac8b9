//! Noticing that a settings file has changed.
//!
//! An operator may change the file with a signal (SIGHUP) or without. What goes wrong otherwise: a
//! process that does not expect the signal is ended by it, and one that reads its file only at
//! the start goes on with seeds that are gone.

use std::io;
use std::time::Duration;

use lovagelatch_settings::SettingsFile;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the file is looked at without a signal. It is small, and nobody waits for it.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches one settings file.
#[derive(Debug)]
pub struct SettingsWatch {
    /// The reading that was told last.
    file: SettingsFile,
    hangup: Signal,
}

impl SettingsWatch {
    /// A watch for what differs from `file`, the reading that the process was started with.
    ///
    /// # Errors
    ///
    /// What the operating system said.
    pub fn new(file: SettingsFile) -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self { file, hangup })
    }

    /// Waits until the file has another text.
    pub async fn changed(&mut self) -> &SettingsFile {
        loop {
            // The first look comes at once: a signal may have come before it could be taken.
            if let Some(file) = self.file.read_changed() {
                self.file = file;
                return &self.file;
            }
            tokio::select! {
                _ = self.hangup.recv() => {}
                () = tokio::time::sleep(LOOK_INTERVAL) => {}
            }
        }
    }
}
