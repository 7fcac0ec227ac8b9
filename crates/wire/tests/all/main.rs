//! Tests of the messages between the system's own processes.

mod forward;
mod frame;
mod relay;
mod support;
