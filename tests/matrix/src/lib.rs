//! Fault injection matrix: simulated runs with every fault at every step, driving the production
//! decision logic through small fakes.
//!
//! ```text
//! FaultPlan --> fakes (network, callers, backend servers) --> MatrixHistory --> guarantees
//!                 |   production messages and logic: routing, placement, ledger,
//!                 |   membership, keys, wire
//!                 \-- one event queue; time and randomness derive from the seed
//! ```
//!
//! The fakes replace what the binaries add around the decision logic: sockets, timers and the state
//! of work in flight. They make no decision that a production library makes. Each mechanism that
//! upholds a guarantee can be disabled, to verify that the check of that guarantee fails without
//! it.

pub mod configuration;
pub mod flows;
mod guarantee;
mod history;
pub mod leaving;
pub mod opaque;
mod plan;
mod queue;
pub mod requests;

pub use guarantee::{GUARANTEES, LEAVING_GRACE, PROPAGATION_TIMEOUT};
pub use history::{AgentStart, MatrixEvent, MatrixHistory};
pub use plan::{FaultPlan, MatrixReport, RunHistory};
pub use queue::EventQueue;
