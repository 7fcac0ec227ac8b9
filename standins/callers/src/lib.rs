//! Callers, for tests: ordinary HTTP/3 clients that send short requests at a given rate, hold feeds
//! open and record what they observe in a history.
//!
//! ```text
//! arrivals (open loop) --> operation --> exchange --> flow (quinn + h3) --> service address
//!                             |  ^          |
//!                             |  +- retry --+--> history
//! feeds ---- one flow each, held --------------> history
//! ```
//!
//! Arrivals do not wait for responses, and the time of a retry counts from the arrival of its
//! operation. A slow system therefore cannot hide its latency by slowing down its callers
//! (coordinated omission).

mod arrivals;
mod client;
mod context;
mod exchange;
mod feed;
mod flow;
mod operation;
mod plan;
mod pool;
mod response;
mod run;

pub use client::ClientError;
pub use context::CallerCounts;
pub use plan::{AddressPlan, CallerPlan, ServicePlan};
pub use run::{CallerError, run_callers};
