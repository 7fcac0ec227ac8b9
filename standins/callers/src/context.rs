//! State that all callers of a run share.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use lovagelatch_history::{CallerRecord, HistoryWriter, ObservedOutcome, unix_millis};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::plan::CallerPlan;

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerCounts {
    /// Requests sent.
    pub requests: u64,
    /// Requests with the outcome `done`.
    pub done: u64,
    /// Requests with the outcome `not-run`.
    pub not_run: u64,
    /// Requests with an unknown outcome: they may have run.
    pub unknown: u64,
    /// Flows that were lost or could not be opened, in total.
    pub flows_broken: u64,
    /// Flows that are open.
    pub flows: i64,
    /// Feeds that are open.
    pub feeds: i64,
    /// Operations that were not started because too many were in progress.
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
    pub(crate) fn record_outcome(&self, outcome: ObservedOutcome) {
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

/// The plan, counters and history of a run, shared by all its callers.
#[derive(Debug)]
pub(crate) struct CallerContext {
    pub(crate) plan: CallerPlan,
    pub(crate) counters: CallerCounters,
    history: HistoryWriter,
    next_flow: AtomicU64,
    next_request: AtomicU64,
    /// `true` once the planned time is over: feeds close and retries stop.
    pub(crate) finished: watch::Sender<bool>,
}

impl CallerContext {
    pub(crate) fn new(plan: CallerPlan, history: HistoryWriter) -> Arc<Self> {
        Arc::new(Self {
            plan,
            counters: CallerCounters::default(),
            history,
            next_flow: AtomicU64::new(1),
            next_request: AtomicU64::new(1),
            finished: watch::Sender::new(false),
        })
    }

    /// Writes a record. An incomplete history cannot be checked, so a failed write ends the
    /// process.
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

    pub(crate) fn is_finished(&self) -> bool {
        *self.finished.borrow()
    }
}

/// Returns the current time of the history's clock, in milliseconds.
pub(crate) fn now_ms() -> f64 {
    unix_millis()
}
