//! Tests of admission control and placement.

mod budget;
mod fairness;
mod gate;
mod health;
mod invariants;
mod limit;
mod placement;
mod policy;
mod subset;
mod support;
