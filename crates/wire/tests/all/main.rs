//! Tests of the messages between the processes of the fleet.

mod forward;
mod frame;
mod relay;
mod support;
