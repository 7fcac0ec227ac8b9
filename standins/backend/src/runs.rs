//! Tracks slots, runs, and started and cancelled attempts.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use lovagelatch_history::{BackendRecord, HistoryWriter, unix_millis};
use parking_lot::Mutex;

use crate::request::RequestMetadata;

/// Why a request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// No slot is free.
    Full,
    /// The attempt was cancelled before its request arrived.
    Cancelled,
}

#[derive(Debug, Default)]
struct RunState {
    in_use: u16,
    last_run: u64,
    started_attempts: HashSet<String>,
    cancelled_attempts: HashSet<String>,
}

/// Counts used slots, remembers attempts and writes the server's history.
#[derive(Debug)]
pub struct RunTable {
    slots: u16,
    state: Mutex<RunState>,
    history: HistoryWriter,
}

/// One run. Dropping the guard frees its slot and records the end of the run.
#[derive(Debug)]
pub(crate) struct RunGuard {
    table: Arc<RunTable>,
    /// Number of the run at this server, from 1.
    pub(crate) run: u64,
    started: Instant,
    feed: bool,
}

impl RunTable {
    /// Returns a table of `slots` free slots that writes its records to `history`.
    #[must_use]
    pub fn new(slots: u16, history: HistoryWriter) -> Self {
        Self {
            slots,
            state: Mutex::default(),
            history,
        }
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// How many slots are in use.
    #[must_use]
    pub fn in_use(&self) -> u16 {
        self.state.lock().in_use
    }

    /// Writes a record. An incomplete history cannot be checked, so a failed write ends the
    /// process.
    pub(crate) fn write(&self, record: &BackendRecord) {
        if let Err(error) = self.history.append(record) {
            eprintln!("history not written: {error}");
            std::process::exit(1);
        }
    }

    pub(crate) fn start(
        self: &Arc<Self>,
        metadata: &RequestMetadata,
    ) -> Result<RunGuard, StartRefusal> {
        let mut state = self.state.lock();
        let attempt = metadata.attempt.as_ref();
        if attempt.is_some_and(|attempt| state.cancelled_attempts.contains(attempt)) {
            return Err(StartRefusal::Cancelled);
        }
        if !metadata.feed {
            if state.in_use >= self.slots {
                return Err(StartRefusal::Full);
            }
            state.in_use += 1;
        }
        if let Some(attempt) = attempt {
            state.started_attempts.insert(attempt.clone());
        }
        state.last_run += 1;
        let run = state.last_run;
        drop(state);
        self.write(&BackendRecord::Start {
            time_ms: unix_millis(),
            run,
            attempt: metadata.attempt.clone(),
            request: metadata.request.clone(),
            filing: metadata.filing.clone(),
            feed: metadata.feed,
        });
        Ok(RunGuard {
            table: Arc::clone(self),
            run,
            started: Instant::now(),
            feed: metadata.feed,
        })
    }

    pub(crate) fn record_shed(&self, metadata: &RequestMetadata) {
        self.write(&BackendRecord::Shed {
            time_ms: unix_millis(),
            attempt: metadata.attempt.clone(),
            request: metadata.request.clone(),
        });
    }

    /// Cancels an attempt that has not started. Returns `false` if it has.
    pub(crate) fn cancel(&self, attempt: &str) -> bool {
        let mut state = self.state.lock();
        if state.started_attempts.contains(attempt) {
            return false;
        }
        state.cancelled_attempts.insert(attempt.to_owned());
        drop(state);
        self.write(&BackendRecord::Cancelled {
            time_ms: unix_millis(),
            attempt: attempt.to_owned(),
        });
        true
    }
}

impl RunGuard {
    pub(crate) fn table(&self) -> &RunTable {
        &self.table
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let held_ms = if self.feed {
            0.0
        } else {
            self.table.state.lock().in_use -= 1;
            self.started.elapsed().as_secs_f64() * 1_000.0
        };
        self.table.write(&BackendRecord::End {
            time_ms: unix_millis(),
            run: self.run,
            held_ms,
        });
    }
}
