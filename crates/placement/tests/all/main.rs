//! Tests of the decisions under load.

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
