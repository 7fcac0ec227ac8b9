//! Balancer for opaque packets.
//!
//! ```text
//! router --> packet thread --frames--> agents
//!               ^   ^ flow updates, load reports
//!               |   +--- FlowBalancer (sharded, each shard under its own lock)
//!            FlowView (swapped atomically)
//!               ^
//!            control tasks <--gossip--> other balancers
//!                  ^ calls
//!                store
//! ```

mod catalog;
mod coverage;
mod cycle;
mod decision_log;
mod metrics;
mod packets;
mod process;
mod zones;

use std::time::Duration;

pub use cycle::{CycleSteps, PacketCycle, ReadyInput};
pub use process::run_opaque;

/// Converts a duration to whole milliseconds, for logs and status.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
