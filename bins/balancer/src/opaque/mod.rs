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

pub use process::run_opaque;
