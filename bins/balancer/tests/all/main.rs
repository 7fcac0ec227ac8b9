//! Tests of the balancer: its packet path in this process, and the real binary.

mod forwarding;
mod process;
mod refused;
mod rotation;
mod support;
mod upgrade;
