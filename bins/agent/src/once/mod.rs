//! Once-only requests: tickets, and the ledger of those whose home is this agent.
//!
//! Every attempt of a filing goes to the agent that its ticket names, the *home*. The home
//! alone runs it, through its own gate or a peer's; the record stays at the home. A home that
//! cannot be reached makes the outcome unknown, also when this very attempt was never handed
//! over: an earlier attempt with the same ticket may have run there, and "not run" is said of
//! the filing, not of one try.

mod filing;
mod ledger;
mod ticket;

pub(crate) use ledger::OnceLedger;
pub(crate) use ticket::{TICKET_PATH, ticket_answer};
