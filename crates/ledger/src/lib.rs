//! The once-only ledger: whether an attempt of a ticketed request may run.
//!
//! A ticket names the agent (and the start of that agent) whose ledger alone decides. The
//! ledger hands out the right to run at most once per ticket, lets further attempts wait for
//! the one that runs, and replays the stored answer afterwards.
//!
//! ```text
//!              offer                finish(Done)
//!  never seen -------> Running ------------------> Done ---+
//!      ^                 |  |  finish(Unknown)             | horizon passes
//!      |  finish(NotRun) |  +--------------> Unknown ------+--> Expired
//!      +-----------------+                      ^
//!                             hand_over while it runs
//! ```
//!
//! Three rules keep a second run out whatever is lost, repeated, reordered or delayed:
//!
//! * `Unknown` never goes back to *never seen*.
//! * Only the incarnation that issued a ticket ever runs it. A ledger that took over from a
//!   leaving one answers what is known and refuses the rest as never run: the old one closed
//!   itself before its handover left, so nobody can run them any more, and it does no harm when
//!   several peers hold the same handover.
//! * Expiry is judged by a *horizon* that only grows and travels with a handover, so a clock
//!   that is set back or a successor whose clock is slow does not resurrect a forgotten ticket.

mod adopted;
mod answer;
mod handover;
mod ledger;
mod settings;
mod table;

pub use answer::{AnswerHeader, StoredAnswer};
pub use handover::{HandoverEntry, HandoverState, LedgerHandover};
pub use ledger::{LedgerEnd, LedgerVerdict, RequestLedger};
pub use settings::LedgerSettings;
