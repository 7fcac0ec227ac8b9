//! What a caller saw.

use serde::{Deserialize, Serialize};

/// What kind of request a caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A status, read again freely.
    Status,
    /// A certificate or a map.
    Download,
    /// A claim or a report, which must run at most once.
    Filing,
    /// A feed that is held open.
    Feed,
    /// A request for a ticket; no backend server takes part.
    Ticket,
}

/// How a flow ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "how")]
pub enum FlowEnd {
    /// The caller closed it.
    Closed,
    /// The other side closed it in order, with nothing in flight.
    GoneAway,
    /// It could not be opened.
    Unopened {
        /// What the library said.
        reason: String,
    },
    /// It was lost while open.
    Broken {
        /// What the library said.
        reason: String,
    },
}

/// What a caller was told, or must assume, of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeenOutcome {
    /// It ran, and here is the whole answer.
    Done,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What was wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFlaw {
    /// It was another request's.
    Crossed,
    /// It ended as if whole, but was short.
    CutClean,
    /// It broke off after its start, visibly.
    BrokeOff,
    /// It came from another service.
    WrongService,
}

/// What was wrong with a feed's event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FeedFlaw {
    /// An event before it is missing.
    Lost,
    /// It came twice.
    Doubled,
    /// It came after a later one.
    OutOfOrder,
    /// It belongs to another feed.
    Crossed,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// What the caller was told, or must assume.
    pub outcome: SeenOutcome,
    /// The HTTP status; 0 when none came.
    pub status: u16,
    /// What was wrong with the answer.
    pub flaw: Option<AnswerFlaw>,
    /// The caller request id that the answer bore, when it was another one.
    pub answered_for: Option<String>,
    /// The agent that answered.
    pub agent: Option<String>,
    /// Why there was no whole answer, as the library or the answer said.
    pub reason: Option<String>,
}

/// One line of a caller's history. Times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum CallerRecord {
    /// A flow is being opened.
    FlowOpening {
        /// Its number among this caller's flows.
        flow: u64,
        /// When.
        time_ms: f64,
        /// The service it is for.
        service: String,
        /// The address it goes to.
        address: String,
    },
    /// A flow ended.
    FlowEnded {
        /// Its number.
        flow: u64,
        /// When.
        time_ms: f64,
        /// How.
        end: FlowEnd,
    },
    /// A request is being sent.
    RequestSent {
        /// Its id, unique in the run.
        request: String,
        /// When.
        time_ms: f64,
        /// When the caller wanted it: the same for every retry, so that waiting counts.
        arrived_ms: f64,
        /// The flow it goes over.
        flow: u64,
        /// The service it is for.
        service: String,
        /// The agency that asks.
        agency: Option<String>,
        /// What it is.
        kind: RequestKind,
        /// The filing, the same for every retry of it.
        filing: Option<String>,
        /// How long it holds a slot, in milliseconds.
        work_ms: u32,
    },
    /// A request ended.
    RequestEnded {
        /// Its id.
        request: String,
        /// When.
        time_ms: f64,
        /// How.
        end: RequestEnd,
    },
    /// Something was wrong with an event of an open feed.
    FeedFlawed {
        /// The id of the feed's request.
        request: String,
        /// When.
        time_ms: f64,
        /// What.
        flaw: FeedFlaw,
    },
}
