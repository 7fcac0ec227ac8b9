//! A balancer of opaque packets.
//!
//! ```text
//! router --> packet thread --frames--> agents
//!               ^   ^ notes, load
//!               |   +--- FlowBalancer (sharded, each shard under its own lock)
//!            FlowView (swapped whole)
//!               ^
//!            control tasks <--gossip--> other balancers
//!                  ^ calls
//!                store
//! ```

mod catalog;
mod count;
mod coverage;
mod notice;
mod packets;
mod process;
mod zones;

use std::time::Duration;

pub use process::run_opaque;

/// Whole milliseconds, for logs and status.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
