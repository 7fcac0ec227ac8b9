//! The result of a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Latency of completed requests in milliseconds, from the arrival of a request to its complete
/// response. Feeds and tickets are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// The result of checking the histories of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Flows that callers tried to open.
    pub flows_opened: u64,
    /// Flows that could not be opened or were lost while open.
    pub flows_broken: u64,
    /// Requests that callers sent, including retries.
    pub requests: u64,
    /// Requests with a complete response.
    pub done: u64,
    /// Requests reported to the caller as not run.
    pub not_run: u64,
    /// Requests whose caller does not know whether they ran.
    pub unknown: u64,
    /// Filings that ran more than once.
    pub ran_twice: u64,
    /// Requests reported as not run although they, or another request of their filing, ran.
    pub not_run_but_ran: u64,
    /// Requests that reached a backend server of another service, or whose response came from one.
    pub wrong_service: u64,
    /// Responses and feed events that belonged to another request, at a caller or at a backend
    /// server that called a dependency.
    pub crossed: u64,
    /// Responses that were too short although they seemed complete, responses that were aborted
    /// before any unplanned fault, and events missing from open feeds.
    pub cut: u64,
    /// Requests and feeds that a backend server started more than 3 s after its notice to leave.
    pub new_work_after_leaving: u64,
    /// Time from the publication of a configuration until the last process reports it, in
    /// milliseconds; `None` if none was published or a process never applied it.
    pub config_in_force_ms: Option<f64>,
    /// Work per slot and second of the busiest target, divided by the mean, by service.
    pub imbalance: BTreeMap<String, f64>,
    /// Lowest ratio of served work to max-min fair share among the agencies, over all services.
    pub agency_worst_share: f64,
    /// Latency of completed requests.
    pub latency_ms: LatencySummary,
}
