//! Tests of the membership library.

mod config;
mod decoders;
mod election;
mod faults;
mod joining;
mod liveness;
mod rumors;
mod spread;
mod table;
