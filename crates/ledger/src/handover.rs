//! The message with which a leaving agent hands its ledger over to a peer.

use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, Incarnation};
use serde::{Deserialize, Serialize};

use crate::answer::StoredAnswer;

/// The state of a request when its ledger was handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverState {
    /// The request ran and had this answer.
    Done(StoredAnswer),
    /// The request may have run.
    Unknown,
}

/// A request of a ledger that was handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// When the ticket was issued, in seconds by the old home's clock.
    pub issued_seconds: u64,
    /// The serial number of the ticket.
    pub serial: u64,
    /// The state of the request at the handover.
    pub state: HandoverState,
}

/// The content of a closed ledger, sent to a peer.
///
/// Invariant: the sending ledger closed before it created the handover. A request that is missing
/// here has not run and will never run, unless its ticket was issued before `horizon`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The agent that the tickets name.
    pub home: AgentAddress,
    /// The incarnation of that agent that the tickets name.
    pub incarnation: Incarnation,
    /// Tickets issued before this second have expired.
    pub horizon: u64,
    /// The lifetime of tickets in seconds.
    pub lifetime_seconds: u64,
    /// All requests in the ledger.
    pub entries: Vec<HandoverEntry>,
    /// The ledgers that the sender had taken over itself, so that a chain of planned stops loses
    /// none.
    pub adopted: Vec<LedgerHandover>,
}

/// The final state of a request.
#[derive(Clone, Debug)]
pub(crate) enum FinalState {
    Done(Arc<StoredAnswer>),
    Unknown,
}

impl From<HandoverState> for FinalState {
    fn from(state: HandoverState) -> Self {
        match state {
            HandoverState::Done(answer) => Self::Done(Arc::new(answer)),
            HandoverState::Unknown => Self::Unknown,
        }
    }
}
