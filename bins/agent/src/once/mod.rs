//! Once-only requests: tickets, and the ledger of the requests whose home is this agent.
//!
//! A *filing* is a once-only request, identified by its ticket. All its attempts go to the agent
//! that the ticket names, the *home*. Only the home runs it, through its own gate or a peer's, and
//! keeps the record. If the home is unreachable, the outcome is unknown, even if this attempt was
//! never sent: an earlier attempt with the same ticket may have run there, and "not run" describes
//! the filing, not one attempt.

mod filing;
mod ledger;
mod ticket;

pub(crate) use ledger::OnceLedger;
pub(crate) use ticket::{TICKET_PATH, ticket_response};
