//! What a backend server did.

use serde::{Deserialize, Serialize};

/// One line of a backend server's history. Times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum BackendRecord {
    /// It listens.
    Ready {
        /// When.
        time_ms: f64,
        /// Its name.
        target: String,
        /// Its service.
        service: String,
        /// Its slots.
        slots: u16,
    },
    /// It was told to leave.
    Leaving {
        /// When.
        time_ms: f64,
    },
    /// It began to run a request.
    Start {
        /// When.
        time_ms: f64,
        /// The number of the run at this server.
        run: u64,
        /// The attempt, as the agent named it.
        attempt: Option<String>,
        /// The caller's id of the request.
        request: Option<String>,
        /// The filing.
        filing: Option<String>,
        /// Whether it is a feed, which holds a connection and no slot.
        feed: bool,
    },
    /// A run ended.
    End {
        /// When.
        time_ms: f64,
        /// Its number.
        run: u64,
        /// How long it held a slot, in milliseconds; 0 for a feed.
        held_ms: f64,
    },
    /// A request was refused before it started: no slot was free.
    Shed {
        /// When.
        time_ms: f64,
        /// The attempt.
        attempt: Option<String>,
        /// The caller's id of the request.
        request: Option<String>,
    },
    /// It called a service it depends on, through the agent beside it.
    Called {
        /// When the call ended.
        time_ms: f64,
        /// The run that needed it.
        run: u64,
        /// The outcome that the answer bore; `None` when none came.
        outcome: Option<String>,
        /// Whether the answer was whole and the right one; `None` when it was no success.
        right: Option<bool>,
    },
    /// An attempt was cancelled before it started; it never will.
    Cancelled {
        /// When.
        time_ms: f64,
        /// The attempt.
        attempt: String,
    },
}

/// One backend server's history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendHistory {
    /// Its name.
    pub target: String,
    /// Its service.
    pub service: String,
    /// Its slots.
    pub slots: u16,
    /// When it was ready.
    pub ready_ms: f64,
    /// All its records.
    pub records: Vec<BackendRecord>,
}

impl BackendHistory {
    /// The history made of `records`; `None` when no record says whose it is.
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

    /// When it was first told to leave.
    #[must_use]
    pub fn leaving_ms(&self) -> Option<f64> {
        self.records.iter().find_map(|record| match record {
            BackendRecord::Leaving { time_ms } => Some(*time_ms),
            _ => None,
        })
    }
}
