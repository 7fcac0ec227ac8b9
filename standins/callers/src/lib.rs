//! Callers, for tests: ordinary HTTP/3 clients that ask for short requests at a given rate,
//! hold feeds open, and write down what they saw.
//!
//! ```text
//! arrivals (open loop) --> operation --> exchange --> flow (quinn + h3) --> service address
//!                             |  ^          |
//!                             |  +- retry --+--> history
//! feeds ---- one flow each, held --------------> history
//! ```
//!
//! Arrivals do not wait for answers, and a retry counts from when its request was first
//! wanted, so a slow system cannot hide behind callers that ask less of it.

mod arrivals;
mod client;
mod context;
mod exchange;
mod feed;
mod flow;
mod judge;
mod operation;
mod plan;
mod pool;
mod run;

pub use client::ClientError;
pub use context::CallerCounts;
pub use plan::{AddressPlan, CallerPlan, ServicePlan};
pub use run::{CallerError, run_callers};
