//! Records written by a caller.

use serde::{Deserialize, Serialize};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A status query, which is idempotent.
    Status,
    /// A download of a certificate or a map.
    Download,
    /// A claim or a report, which must run at most once.
    Filing,
    /// A feed that stays open and sends events.
    Feed,
    /// A request for a ticket, which involves no backend server.
    Ticket,
}

/// How a flow ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "how")]
pub enum FlowEnd {
    /// The caller closed it.
    Closed,
    /// The peer closed it gracefully, with nothing in flight.
    GoneAway,
    /// It could not be opened.
    Unopened {
        /// Error of the client library.
        reason: String,
    },
    /// It was lost while open.
    Broken {
        /// Error of the client library.
        reason: String,
    },
}

/// Outcome of a request as the caller was told or has to assume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObservedOutcome {
    /// It ran, and the caller has the complete response.
    Done,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Defect of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFlaw {
    /// It belongs to another request.
    Crossed,
    /// It is too short, although it ended as if it were complete.
    CutClean,
    /// It was aborted after its start, and the caller could tell.
    BrokeOff,
    /// It came from another service.
    WrongService,
}

/// Defect of a feed event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FeedFlaw {
    /// The event before it is missing.
    Lost,
    /// It arrived twice.
    Doubled,
    /// It arrived after a later event.
    OutOfOrder,
    /// It belongs to another feed.
    Crossed,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// Outcome that the caller was told or has to assume.
    pub outcome: ObservedOutcome,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Defect of the response, if it had one.
    pub flaw: Option<ResponseFlaw>,
    /// Request id in the response, if it differs from that of the request.
    pub answered_for: Option<String>,
    /// Agent that sent the response.
    pub agent: Option<String>,
    /// Why there is no complete response, as given by the client library or by the response.
    pub reason: Option<String>,
}

/// One line of a caller's history. All times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum CallerRecord {
    /// A flow is being opened.
    FlowOpening {
        /// Number of the flow, unique for this caller.
        flow: u64,
        /// Time at which the handshake starts.
        time_ms: f64,
        /// Service that the flow is opened for.
        service: String,
        /// Service address that the flow is opened to.
        address: String,
    },
    /// A flow ended.
    FlowEnded {
        /// Number of the flow.
        flow: u64,
        /// Time of the end.
        time_ms: f64,
        /// How the flow ended.
        end: FlowEnd,
    },
    /// A request is being sent.
    RequestSent {
        /// Request id, unique in the run; every retry has its own.
        request: String,
        /// Time of the sending.
        time_ms: f64,
        /// Time at which the request arose. Retries keep it, so that latency includes the time
        /// spent waiting and retrying.
        arrived_ms: f64,
        /// Number of the flow that carries the request.
        flow: u64,
        /// Service that the request is for.
        service: String,
        /// Agency that makes the request.
        agency: Option<String>,
        /// Kind of the request.
        kind: RequestKind,
        /// Filing that the request belongs to; the same for all its retries.
        filing: Option<String>,
        /// Time for which the request occupies a slot, in milliseconds.
        work_ms: u32,
    },
    /// A request ended.
    RequestEnded {
        /// Request id.
        request: String,
        /// Time of the end.
        time_ms: f64,
        /// How the request ended.
        end: RequestEnd,
    },
    /// An event of an open feed was defective.
    FeedFlawed {
        /// Id of the request that opened the feed.
        request: String,
        /// Time at which the event arrived.
        time_ms: f64,
        /// Defect of the event.
        flaw: FeedFlaw,
    },
}
