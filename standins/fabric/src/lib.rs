//! A stand-in for the users' network, for tests only.
//!
//! It binds every service address and sends each caller's datagram to a random balancer. It is also
//! the gateway through which the system's processes reach each other and respond to callers. It can
//! delay, drop, duplicate and reorder datagrams, and cut the links between zones.
//!
//! ```text
//! caller --> [service address] --PROXY v2--> any balancer
//! caller <-- [service address] <--PROXY v2-- agent          (direct return)
//! process --PROXY v2--> [gateway, UDP and TCP] --> process
//! ```

mod admin;
mod command;
mod counters;
mod delay;
mod gateway;
mod ingress;
mod link;
mod run;
mod settings;
mod state;
mod streams;

pub use command::{CommandLine, command_line};
pub use counters::FabricCounters;
pub use link::{LinkOutcome, draw_outcome};
pub use run::{FabricError, run_fabric};
pub use settings::{FabricTopology, FaultPlan};
