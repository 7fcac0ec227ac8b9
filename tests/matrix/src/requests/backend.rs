//! A fake backend server with slots, work, cancellation and a history.

use std::collections::{BTreeMap, BTreeSet};

use lovagelatch_domain::{AttemptId, Moment};
use lovagelatch_history::{BackendHistory, BackendRecord};

use super::job::RunResponse;

/// What a backend server does with an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendVerdict {
    Started(u64),
    Shed,
    /// The request was cancelled before it arrived; no response is sent.
    Cancelled,
}

pub(crate) struct FakeBackend {
    pub(crate) running: bool,
    pub(crate) shedding: bool,
    runs: BTreeMap<u64, (AttemptId, RunResponse)>,
    started: BTreeSet<AttemptId>,
    cancelled: BTreeSet<AttemptId>,
    next_run: u64,
    slots: u16,
    pub(crate) history: BackendHistory,
}

pub(crate) fn millis(now: Moment) -> f64 {
    now.as_micros() as f64 / 1_000.0
}

impl FakeBackend {
    pub(crate) fn new(name: String, service: &str, slots: u16, first_run: u64) -> Self {
        Self {
            running: true,
            shedding: false,
            runs: BTreeMap::new(),
            started: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            next_run: first_run,
            slots,
            history: BackendHistory {
                target: name,
                service: service.to_owned(),
                slots,
                ready_ms: 0.0,
                records: Vec::new(),
            },
        }
    }

    pub(crate) fn receive(
        &mut self,
        attempt: AttemptId,
        call: u64,
        filing: Option<u64>,
        now: Moment,
    ) -> BackendVerdict {
        let time_ms = millis(now);
        if self.cancelled.contains(&attempt) {
            return BackendVerdict::Cancelled;
        }
        let full = self.runs.len() >= usize::from(self.slots);
        if self.shedding || full {
            self.history.records.push(BackendRecord::Shed {
                time_ms,
                attempt: Some(attempt.to_string()),
                request: Some(call.to_string()),
            });
            return BackendVerdict::Shed;
        }
        let run = self.next_run;
        self.next_run += 1;
        self.started.insert(attempt);
        let response = RunResponse { call, filing, run };
        self.runs.insert(run, (attempt, response));
        self.history.records.push(BackendRecord::Start {
            time_ms,
            run,
            attempt: Some(attempt.to_string()),
            request: Some(call.to_string()),
            filing: filing.map(|filing| filing.to_string()),
            feed: false,
        });
        BackendVerdict::Started(run)
    }

    pub(crate) fn finish_run(&mut self, run: u64, now: Moment) -> Option<(AttemptId, RunResponse)> {
        let ended = self.runs.remove(&run)?;
        self.history.records.push(BackendRecord::End {
            time_ms: millis(now),
            run,
            held_ms: 0.0,
        });
        Some(ended)
    }

    /// Cancels an attempt. Returns whether it had not started; if so, it never will.
    pub(crate) fn cancel(&mut self, attempt: AttemptId, now: Moment) -> bool {
        if self.started.contains(&attempt) {
            return false;
        }
        self.cancelled.insert(attempt);
        self.history.records.push(BackendRecord::Cancelled {
            time_ms: millis(now),
            attempt: attempt.to_string(),
        });
        true
    }
}
