//! Tests of the membership library.

mod config;
mod decoders;
mod faults;
mod liveness;
mod lot;
mod spread;
mod table;
