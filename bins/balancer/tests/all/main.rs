//! Tests of the balancer: the packet path in the test process, and the real binary.

mod forwarding;
mod packet_cycle;
mod process;
mod refused;
mod rotation;
mod support;
mod upgrade;
