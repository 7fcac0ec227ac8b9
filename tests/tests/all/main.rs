//! Tests of whole deployments of real processes, which the launcher starts and checks.
//!
//! Each test runs a full-size deployment for a few seconds under light load, and only one runs at a
//! time, so that the result does not depend on the load of the machine. No test here measures
//! performance.

mod certificates;
mod faults;
mod launcher;
mod operator;
mod quiet;
mod soak;
mod starting;
mod stopping;
mod usage;
