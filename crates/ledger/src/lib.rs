//! The ledger of once-only requests, which decides whether an attempt of a ticketed request may
//! run.
//!
//! A ticket names its home: the agent, and the incarnation of that agent, whose ledger alone
//! decides. The ledger grants the right to run at most once per ticket, lets further attempts wait
//! for the running one, and replays the stored answer afterwards.
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
//! Three rules prevent a second run even if messages are lost, repeated, reordered or delayed:
//!
//! * `Unknown` never returns to *never seen*.
//! * Only the incarnation that issued a ticket ever runs it. A ledger that took over from a leaving
//!   one answers for the known requests and refuses all others as never run. The old ledger closes
//!   before its handover is sent, so the others can no longer run, and several peers may safely
//!   have the same handover.
//! * Expiry is decided by a *horizon* that only grows and is part of a handover. A clock that is set
//!   back, or a successor with a slow clock, therefore does not make an expired ticket valid again.

mod adopted;
mod answer;
mod handover;
mod ledger;
mod settings;
mod table;

pub use answer::{AnswerHeader, StoredAnswer};
pub use handover::{HandoverEntry, HandoverState, LedgerHandover};
pub use ledger::{LedgerOutcome, LedgerVerdict, RequestLedger};
pub use settings::LedgerSettings;
