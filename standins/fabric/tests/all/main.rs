//! Tests of the network stand-in.

mod link;
mod network;
mod support;
