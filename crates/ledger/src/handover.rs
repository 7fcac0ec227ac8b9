//! What a leaving agent's ledger passes on.

use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, Incarnation};
use serde::{Deserialize, Serialize};

use crate::answer::StoredAnswer;

/// How a request stood when its ledger was handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverState {
    /// It ran; this is its answer.
    Done(StoredAnswer),
    /// It may have run.
    Unknown,
}

/// One request of a ledger that was handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// When its ticket was issued, by the old home's clock.
    pub issued_seconds: u64,
    /// The serial of its ticket.
    pub serial: u64,
    /// How it stood.
    pub state: HandoverState,
}

/// A closed ledger on its way to a peer.
///
/// Invariant: the ledger that made it had closed itself before, so no request missing here was
/// or will be run by that ledger unless its ticket was issued before `horizon`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The agent named by the tickets.
    pub home: AgentAddress,
    /// The start of it named by the tickets.
    pub incarnation: Incarnation,
    /// Tickets issued before this second are forgotten.
    pub horizon: u64,
    /// How long tickets are good for, in seconds.
    pub lifetime_seconds: u64,
    /// Every remembered request.
    pub entries: Vec<HandoverEntry>,
    /// The ledgers it had taken over itself, so that a chain of planned stops loses none.
    pub adopted: Vec<LedgerHandover>,
}

/// The remembered outcome of a request.
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
