//! A request on its way from the agent that holds its flow to the agent whose gate runs it.
//!
//! One TCP stream carries one request at a time; an idle stream may be used again only after
//! its last answer ended whole.
//!
//! ```text
//! holder                     gate
//!   | -- Request, Body* -----> |
//!   | <- Ready                 |   the stream works; nothing runs yet
//!   | -- BodyEnd ------------> |   from here on it may run
//!   | <- Refused               |   not run: the holder may try another gate
//!   | <- Head, Chunk*, End     |   the whole answer
//!   | <- Lost                  |   it may have run: outcome unknown
//!   | -- Cancel -------------> |   the caller gave up
//! ```
//!
//! `BodyEnd` is the one step that hands a request over. A gateway takes every stream, also one
//! whose far end is cut off, and a kept stream can go silent unnoticed; so the holder sends
//! `BodyEnd` only after `Ready`, and a stream that brings no `Ready` proves that the request
//! did not run.
//!
//! `Refused` and `End` carry the gate's load at that moment. A heartbeat is late by an unknown
//! time; the load that comes with an exchange is as old as the way back, and the holder places
//! its next requests by it.
//!
//! This is wire version 1, which no release has spoken yet; until one has, messages here change
//! without a new version.

use std::time::Duration;

use lovagelatch_domain::{
    AgencyName, AgentAddress, AttemptId, ConfigRevision, GateReport, RefusalReason, ServiceId,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// One header field of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeader {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// The start of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The attempt, by which the answer is matched.
    pub attempt: AttemptId,
    /// The service it is for; the gate refuses any other than its own.
    pub service: ServiceId,
    /// The revision of the sender's view.
    pub revision: ConfigRevision,
    /// The agent that holds the caller's flow.
    pub holder: AgentAddress,
    /// The agency whose share it counts against, when the address names one.
    pub agency: Option<AgencyName>,
    /// Time left until the caller's deadline when this was sent.
    pub time_left: Duration,
    /// The caller's ticket, for a once-only request that goes to its home.
    pub ticket: Option<String>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The header fields that go with it.
    pub headers: SmallVec<[WireHeader; 8]>,
}

/// The start of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHead {
    /// The attempt it answers.
    pub attempt: AttemptId,
    /// The HTTP status.
    pub status: u16,
    /// The header fields that go with it.
    pub headers: SmallVec<[WireHeader; 8]>,
}

/// A message on a relay stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// A request starts.
    Request(RelayRequest),
    /// More of the request's body.
    Body(Vec<u8>),
    /// The request's body is whole.
    BodyEnd,
    /// The caller gave up; what has not started shall not start.
    Cancel(AttemptId),
    /// The request did not run and will not.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// The further attempts that a dependency behind the gate left, if it was one that
        /// refused; the holder makes no more than these.
        attempts_left: Option<u8>,
        /// The gate's load now; `None` from an agent that cannot tell.
        load: Option<GateReport>,
    },
    /// An answer starts.
    Head(RelayHead),
    /// More of the answer's body.
    Chunk(Vec<u8>),
    /// The answer is whole.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// The gate's load now; `None` from an agent that cannot tell.
        load: Option<GateReport>,
    },
    /// The request may have run, but its answer is lost.
    Lost(AttemptId),
    /// The request's head has arrived; it runs once its body is whole.
    Ready(AttemptId),
}
