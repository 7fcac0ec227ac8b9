//! What all callers of a run share.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use lovagelatch_history::{CallerRecord, HistoryWriter, ObservedOutcome, unix_millis};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::plan::CallerPlan;

/// Counts of a run so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerCounts {
    /// Requests sent.
    pub requests: u64,
    /// Requests done.
    pub done: u64,
    /// Requests told as not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Flows that were lost or could not be opened.
    pub flows_broken: u64,
    /// Flows open now.
    pub flows: i64,
    /// Feeds open now.
    pub feeds: i64,
    /// Requests that were wanted but not sent, because too many were waiting already.
    pub skipped: u64,
}

#[derive(Debug, Default)]
pub(crate) struct CallerCounters {
    pub(crate) requests: AtomicU64,
    done: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    pub(crate) flows_broken: AtomicU64,
    pub(crate) flows: AtomicI64,
    pub(crate) feeds: AtomicI64,
    pub(crate) skipped: AtomicU64,
}

impl CallerCounters {
    pub(crate) fn note_outcome(&self, outcome: ObservedOutcome) {
        let counter = match outcome {
            ObservedOutcome::Done => &self.done,
            ObservedOutcome::NotRun => &self.not_run,
            ObservedOutcome::Unknown => &self.unknown,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> CallerCounts {
        CallerCounts {
            requests: self.requests.load(Ordering::Relaxed),
            done: self.done.load(Ordering::Relaxed),
            not_run: self.not_run.load(Ordering::Relaxed),
            unknown: self.unknown.load(Ordering::Relaxed),
            flows_broken: self.flows_broken.load(Ordering::Relaxed),
            flows: self.flows.load(Ordering::Relaxed),
            feeds: self.feeds.load(Ordering::Relaxed),
            skipped: self.skipped.load(Ordering::Relaxed),
        }
    }
}

/// What all callers of a run share.
#[derive(Debug)]
pub(crate) struct CallerContext {
    pub(crate) plan: CallerPlan,
    pub(crate) counters: CallerCounters,
    history: HistoryWriter,
    next_flow: AtomicU64,
    next_request: AtomicU64,
    /// True once the run is over: feeds end, retries stop.
    pub(crate) over: watch::Sender<bool>,
}

impl CallerContext {
    pub(crate) fn new(plan: CallerPlan, history: HistoryWriter) -> Arc<Self> {
        Arc::new(Self {
            plan,
            counters: CallerCounters::default(),
            history,
            next_flow: AtomicU64::new(1),
            next_request: AtomicU64::new(1),
            over: watch::Sender::new(false),
        })
    }

    /// Writes a record. Without its history a run proves nothing, so the process ends.
    pub(crate) fn write(&self, record: &CallerRecord) {
        if let Err(error) = self.history.append(record) {
            eprintln!("history not written: {error}");
            std::process::exit(1);
        }
    }

    pub(crate) fn new_flow_number(&self) -> u64 {
        self.next_flow.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn new_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("r{:x}-{number}", self.plan.seed)
    }

    pub(crate) fn is_over(&self) -> bool {
        *self.over.borrow()
    }
}

/// The wall clock of the history.
pub(crate) fn now_ms() -> f64 {
    unix_millis()
}
