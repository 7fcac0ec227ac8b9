//! An agent for opaque packets.
//!
//! ```text
//! balancers, agents --frames--> packet thread --> backend server
//!        callers <-------------- (FlowAgent) <--------+
//! ```

mod admission;
mod decision_log;
mod held_packets;
mod metrics;
mod packets;
mod process;

pub use process::run_opaque;
