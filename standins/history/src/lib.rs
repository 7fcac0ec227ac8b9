//! Histories of callers and backend servers, and the checker that compares them.
//!
//! Each caller and each backend server records what it observes as JSON lines. The system under
//! test is not queried. After a run, the checker compares the histories:
//!
//! ```text
//! callers --CallerRecord--> callers.jsonl --+
//!                                           +--> check_run --> RunReport
//! backend --BackendRecord-> claims-1.jsonl -+       ^
//!                                           RunFacts: what the test driver did and when
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
    CallerRecord, FeedFlaw, FlowEnd, ObservedOutcome, RequestEnd, RequestKind, ResponseFlaw,
};
pub use check::check_run;
pub use clock::unix_millis;
pub use content::{content_for, content_matches};
pub use facts::{LEAVING_GRACE_MS, RunFacts, TargetLeaving};
pub use feed::FeedOrder;
pub use file::{HistoryError, HistoryWriter, read_history};
pub use report::{LatencySummary, RunReport};
