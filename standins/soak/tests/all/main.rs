//! Tests of the soak's parts that need no processes.

mod check;
mod network;
