//! Tests of the soak's parts that need no processes.

mod check;
mod load_check;
mod network;
