//! Slots and attempts: what runs, what ran, and what never will.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use lovagelatch_history::{BackendRecord, HistoryWriter, unix_millis};
use parking_lot::Mutex;

use crate::request::RequestMarks;

/// Why a request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// No slot is free.
    Full,
    /// Its attempt was cancelled before it came.
    Cancelled,
}

#[derive(Debug, Default)]
struct RunState {
    in_use: u16,
    next_run: u64,
    seen: HashSet<String>,
    cancelled: HashSet<String>,
}

/// Counts slots and remembers attempts, and writes the server's history.
#[derive(Debug)]
pub struct RunTable {
    slots: u16,
    state: Mutex<RunState>,
    history: HistoryWriter,
}

/// One run. The history says that it ended when this is dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    table: Arc<RunTable>,
    /// Its number at this server.
    pub(crate) run: u64,
    started: Instant,
    feed: bool,
}

impl RunTable {
    /// A table of `slots` slots that writes to `history`.
    #[must_use]
    pub fn new(slots: u16, history: HistoryWriter) -> Self {
        Self {
            slots,
            state: Mutex::default(),
            history,
        }
    }

    /// How many slots there are.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// How many slots are in use.
    #[must_use]
    pub fn in_use(&self) -> u16 {
        self.state.lock().in_use
    }

    /// Writes a record. A history that cannot be written proves nothing, so the server ends.
    pub(crate) fn write(&self, record: &BackendRecord) {
        if let Err(error) = self.history.append(record) {
            eprintln!("history not written: {error}");
            std::process::exit(1);
        }
    }

    pub(crate) fn start(self: &Arc<Self>, marks: &RequestMarks) -> Result<RunGuard, StartRefusal> {
        let mut state = self.state.lock();
        let attempt = marks.attempt.as_ref();
        if attempt.is_some_and(|attempt| state.cancelled.contains(attempt)) {
            return Err(StartRefusal::Cancelled);
        }
        if !marks.feed {
            if state.in_use >= self.slots {
                return Err(StartRefusal::Full);
            }
            state.in_use += 1;
        }
        if let Some(attempt) = attempt {
            state.seen.insert(attempt.clone());
        }
        state.next_run += 1;
        let run = state.next_run;
        drop(state);
        self.write(&BackendRecord::Start {
            time_ms: unix_millis(),
            run,
            attempt: marks.attempt.clone(),
            request: marks.request.clone(),
            filing: marks.filing.clone(),
            feed: marks.feed,
        });
        Ok(RunGuard {
            table: Arc::clone(self),
            run,
            started: Instant::now(),
            feed: marks.feed,
        })
    }

    pub(crate) fn note_shed(&self, marks: &RequestMarks) {
        self.write(&BackendRecord::Shed {
            time_ms: unix_millis(),
            attempt: marks.attempt.clone(),
            request: marks.request.clone(),
        });
    }

    /// Cancels an attempt that has not started; false when it has.
    pub(crate) fn cancel(&self, attempt: &str) -> bool {
        let mut state = self.state.lock();
        if state.seen.contains(attempt) {
            return false;
        }
        state.cancelled.insert(attempt.to_owned());
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
