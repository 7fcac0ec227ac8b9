//! What a run came to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Times from wanting a request to its whole answer, in milliseconds, of requests that were
/// done; feeds do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

/// What the histories of a run show.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Flows that callers set out to open.
    pub flows_opened: u64,
    /// Those that could not be opened, or were lost while open.
    pub flows_broken: u64,
    /// Requests that callers sent, every retry counted.
    pub requests: u64,
    /// Those with a whole answer.
    pub done: u64,
    /// Those of which the caller was told that they did not run.
    pub not_run: u64,
    /// Those of which the caller knows neither.
    pub unknown: u64,
    /// Filings that ran more than once.
    pub ran_twice: u64,
    /// Requests told as not run although they, or the filing they tried, ran.
    pub not_run_but_ran: u64,
    /// Requests that reached another service's backend server, or whose answer came from one.
    pub wrong_service: u64,
    /// Answers and feed events that belonged to another request, to a caller's or to a backend
    /// server's that called a service it depends on.
    pub crossed: u64,
    /// Answers that were short although they seemed whole, answers that broke off although
    /// nothing unplanned had happened, and events missing from open feeds.
    pub cut: u64,
    /// Requests and feeds that a backend server began more than 3 s after it began to leave.
    pub new_work_after_leaving: u64,
    /// From the publication of a configuration to the last process that shows it, in
    /// milliseconds; `None` when none was published or some process never showed it.
    pub config_in_force_ms: Option<f64>,
    /// For each service, the most loaded target's work per slot and second over the mean.
    pub imbalance: BTreeMap<String, f64>,
    /// The least of served over fair share among agencies that asked for their share.
    pub agency_worst_share: f64,
    /// Times of requests that were done.
    pub latency_ms: LatencySummary,
}
