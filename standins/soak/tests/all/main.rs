//! Tests of the soak's own parts, without processes.

mod check;
mod network;
