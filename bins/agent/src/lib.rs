//! The agent: the process that runs beside each backend server.
//!
//! It terminates the callers' QUIC flows that balancers forward to it, limits concurrent requests
//! to its backend server's slots, relays requests to peers' gates, and is the home of the
//! once-only requests whose tickets it issued.
//!
//! ```text
//! balancers --UDP--> packet (QUIC) --> flow (HTTP/3) --> request
//!                                                          |
//!                               once-only: once (ledger) --+
//!                                                          v
//!                                    dispatch --> gate --> backend (HTTP/1.1)
//!                                            \--> relay --> a peer's gate
//! ```
//!
//! Every request ends with one of three outcomes: a response, a proof that it did not run, or
//! unknown. Wherever a task may be dropped (the caller disconnected, a deadline passed), a guard
//! cancels the request and releases its slot or its place in the queue.

mod agent;
mod assembly;
mod backend;
mod clock;
mod command;
mod control;
mod dispatch;
mod drain;
mod exchange;
mod feed;
mod flow;
mod gate;
mod gateway;
mod gauges;
mod handover;
mod headers;
mod in_flight;
mod log_limiter;
mod maintenance;
mod metrics;
mod once;
mod opaque;
mod packet;
mod path;
mod placement;
mod process;
mod relay;
mod reply;
mod request;

pub use command::{CommandLine, command_line};
pub use opaque::run_opaque;
pub use packet::TlsError;
pub use process::{AgentError, ControlSockets, RunningAgent, run_agent};
