//! Layer-4 load balancer: forwards each caller's datagram to the agent that holds its flow.
//!
//! ```text
//! fabric --> packet threads --forward frames--> agents
//!                ^ keys, routing table (swapped atomically)
//!            control tasks <--membership--> other processes, platform
//! ```
//!
//! The QUIC packet path keeps no flow state. Its threads share nothing that is written for each
//! packet: no flow table and no lock. The balancer for opaque packets, which does keep flow state,
//! is the module `opaque`.

mod command;
mod control;
mod decision_log;
mod error_queue;
mod forward;
mod ingress;
mod metrics;
mod opaque;
mod process;
mod processor;
mod refresh;
mod stop;
mod threads;

pub use command::{CommandLine, command_line};
pub use error_queue::{ErrorQueueReader, ReturnedDatagram, enable_error_queue};
pub use forward::{ForwardPath, ForwardState, PacketForwarder};
pub use ingress::{IngressError, PacketIngress, PacketOrigin};
pub use metrics::{PacketCounts, PacketMetrics, PacketOutcome};
pub use opaque::{CycleSteps, PacketCycle, ReadyInput, run_opaque};
pub use process::{BalancerError, run_balancer};
