//! A stand-in for the users' network, for tests only.
//!
//! It binds every service address and hands each caller's datagram to a balancer picked at
//! random. It is also the gateway by which the system's processes reach each other and answer
//! callers, so that it can delay, drop, duplicate, reorder and cut what passes, between zones
//! or everywhere.
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
mod entry;
mod gateway;
mod link;
mod run;
mod settings;
mod state;
mod streams;

pub use command::{CommandLine, command_line};
pub use counters::FabricCounters;
pub use link::{LinkFate, decide_fate};
pub use run::{FabricError, run_fabric};
pub use settings::{FabricTopology, FaultPlan};
