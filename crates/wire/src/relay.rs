//! Messages that relay a request from the agent that holds its flow to the agent whose gate runs
//! it.
//!
//! A TCP stream carries one request at a time. An idle stream may be reused only after its last
//! answer was complete.
//!
//! ```text
//! holder                     gate
//!   | -- Request, Body* -----> |
//!   | <- Ready                 |   the stream works; nothing runs yet
//!   | -- BodyEnd ------------> |   from here on the request may run
//!   | <- Refused               |   not run: the holder may try another gate
//!   | <- Head, Chunk*, End     |   the complete answer
//!   | <- Lost                  |   the request may have run: outcome unknown
//!   | -- Cancel -------------> |   the caller gave up
//! ```
//!
//! Only `BodyEnd` hands the request over. A gateway accepts every stream, even if its far end is
//! unreachable, and an idle stream can go dead unnoticed. So the holder sends `BodyEnd` only after
//! `Ready`, and a stream that never delivers `Ready` proves that the request did not run.
//!
//! `Refused` and `End` carry the current load of the gate. A heartbeat is delayed by an unknown
//! time, whereas this load is only as old as the message's transit time; the holder uses it to
//! place its next requests.
//!
//! This is wire version 1, which no release uses yet. Until the first release, messages here may
//! change without a new version.

use std::time::Duration;

use lovagelatch_domain::{
    AgencyName, AgentAddress, AttemptId, ConfigRevision, GateReport, RefusalReason, ServiceId,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// An HTTP header field of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeader {
    /// The field name in lower case.
    pub name: String,
    /// The field value; need not be UTF-8.
    pub value: Vec<u8>,
}

/// The start of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Identifies the attempt in answers and cancellations.
    pub attempt: AttemptId,
    /// The requested service; the gate refuses any other than its own.
    pub service: ServiceId,
    /// The configuration revision of the sender's view.
    pub revision: ConfigRevision,
    /// The agent that holds the caller's flow.
    pub holder: AgentAddress,
    /// The agency whose share the request counts against, if the address names one.
    pub agency: Option<AgencyName>,
    /// Time left until the caller's deadline at the time of sending.
    pub time_left: Duration,
    /// The caller's request ticket, for a once-only request relayed to its home.
    pub ticket: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The HTTP header fields that are forwarded.
    pub headers: SmallVec<[WireHeader; 8]>,
}

/// The start of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHead {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// The HTTP status code.
    pub status: u16,
    /// The HTTP header fields that are forwarded.
    pub headers: SmallVec<[WireHeader; 8]>,
}

/// A message on a relay stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Starts a request.
    Request(RelayRequest),
    /// Next part of the request body.
    Body(Vec<u8>),
    /// The request body is complete; from here on the request may run.
    BodyEnd,
    /// The caller gave up. A request that has not started must not start.
    Cancel(AttemptId),
    /// The request did not run and will not run.
    Refused {
        /// The refused attempt.
        attempt: AttemptId,
        /// Why it was refused.
        reason: RefusalReason,
        /// When the caller should retry.
        retry_after: Duration,
        /// The retries left by a dependency behind the gate, if a dependency refused the request;
        /// the holder must not make more.
        attempts_left: Option<u8>,
        /// The current load of the gate; `None` if the agent does not know it.
        load: Option<GateReport>,
    },
    /// Starts an answer.
    Head(RelayHead),
    /// Next part of the answer body.
    Chunk(Vec<u8>),
    /// The answer is complete.
    End {
        /// The answered attempt.
        attempt: AttemptId,
        /// The current load of the gate; `None` if the agent does not know it.
        load: Option<GateReport>,
    },
    /// The request may have run, but its answer is lost.
    Lost(AttemptId),
    /// The head of the request has arrived; the request may run once its body is complete.
    Ready(AttemptId),
}
