//! Histories of callers and backend servers, and the checker that judges them.
//!
//! Callers and backend servers write what they saw as JSON lines, each for itself; nothing of
//! the system under test is asked. After a run the checker lays the histories side by side:
//!
//! ```text
//! callers --CallerRecord--> callers.jsonl --+
//!                                           +--> check_run --> RunReport
//! backend --BackendRecord-> claims-1.jsonl -+       ^
//!                                           RunFacts: what the test itself did and when
//! ```

mod backend;
mod caller;
mod check;
mod clock;
mod content;
mod facts;
mod fairness;
mod feed;
mod file;
mod report;
mod work;

pub use backend::{BackendHistory, BackendRecord};
pub use caller::{
    AnswerFlaw, CallerRecord, FeedFlaw, FlowEnd, RequestEnd, RequestKind, SeenOutcome,
};
pub use check::check_run;
pub use clock::unix_millis;
pub use content::{content_for, content_matches};
pub use facts::{LEAVING_GRACE_MS, RunFacts, TargetLeaving};
pub use feed::FeedOrder;
pub use file::{HistoryError, HistoryWriter, read_history};
pub use report::{LatencySummary, RunReport};
