//! Records written by a backend server.

use serde::{Deserialize, Serialize};

/// One line of a backend server's history. All times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum BackendRecord {
    /// The server listens.
    Ready {
        /// Time from which it listens.
        time_ms: f64,
        /// Name of the target.
        target: String,
        /// Name of the service that it runs.
        service: String,
        /// Number of requests that it runs at once.
        slots: u16,
    },
    /// The server was told to leave.
    Leaving {
        /// Time of the notice.
        time_ms: f64,
    },
    /// The server started a request.
    Start {
        /// Time of the start.
        time_ms: f64,
        /// Number of the run, unique at this server.
        run: u64,
        /// Attempt id assigned by the agent.
        attempt: Option<String>,
        /// Request id assigned by the caller.
        request: Option<String>,
        /// Filing that the request belongs to; the same for all its retries.
        filing: Option<String>,
        /// Whether the request is a feed, which holds a connection but no slot.
        feed: bool,
    },
    /// A run ended.
    End {
        /// Time of the end.
        time_ms: f64,
        /// Number of the run.
        run: u64,
        /// Time for which the run held a slot, in milliseconds; 0 for a feed.
        held_ms: f64,
    },
    /// A request was refused before it started because no slot was free.
    Shed {
        /// Time of the refusal.
        time_ms: f64,
        /// Attempt id assigned by the agent.
        attempt: Option<String>,
        /// Request id assigned by the caller.
        request: Option<String>,
    },
    /// The server called a service that it depends on, through its local agent.
    Called {
        /// Time at which the call ended.
        time_ms: f64,
        /// Run that made the call.
        run: u64,
        /// Outcome given in the response; `None` without a response.
        outcome: Option<String>,
        /// Whether the response was complete and matched the call; `None` when the call failed.
        right: Option<bool>,
    },
    /// An attempt was cancelled before it started, and will not be started later.
    Cancelled {
        /// Time of the cancellation.
        time_ms: f64,
        /// Attempt id assigned by the agent.
        attempt: String,
    },
}

/// The history of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendHistory {
    /// Name of the target, from its first [`BackendRecord::Ready`].
    pub target: String,
    /// Service of the target, from the same record.
    pub service: String,
    /// Number of slots, from the same record.
    pub slots: u16,
    /// Time of that record, in milliseconds since the Unix epoch.
    pub ready_ms: f64,
    /// All records, in the order in which they were written.
    pub records: Vec<BackendRecord>,
}

impl BackendHistory {
    /// Builds a history from `records`. Returns `None` if none of them is
    /// [`BackendRecord::Ready`], which identifies the target.
    #[must_use]
    pub fn new(records: Vec<BackendRecord>) -> Option<Self> {
        let found = records.iter().find_map(|record| match record {
            BackendRecord::Ready {
                time_ms,
                target,
                service,
                slots,
            } => Some((*time_ms, target.clone(), service.clone(), *slots)),
            _ => None,
        });
        let (ready_ms, target, service, slots) = found?;
        Some(Self {
            target,
            service,
            slots,
            ready_ms,
            records,
        })
    }

    /// Returns the time of the first notice to leave, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn leaving_ms(&self) -> Option<f64> {
        self.records.iter().find_map(|record| match record {
            BackendRecord::Leaving { time_ms } => Some(*time_ms),
            _ => None,
        })
    }
}
