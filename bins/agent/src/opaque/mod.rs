//! An agent for opaque packets.
//!
//! ```text
//! balancers, agents --frames--> packet thread --> backend server
//!        callers <-------------- (FlowAgent) <--------+
//! ```

mod decision_log;
mod metrics;
mod packets;
mod process;

pub use process::run_opaque;
