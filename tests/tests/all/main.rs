//! Whole deployments of real processes, started and judged by the launcher.
//!
//! Each test runs a deployment at its users' sizes for a few seconds with modest load, one at
//! a time, so that the verdict does not depend on how busy the machine is: nothing here looks
//! at speed.

mod certificates;
mod faults;
mod launcher;
mod operator;
mod quiet;
mod soak;
mod starting;
mod stopping;
mod usage;
