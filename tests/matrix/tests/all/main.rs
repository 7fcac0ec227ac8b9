//! Runs the fault matrix and tests its checks.

mod checks;
mod configuration;
mod filings;
mod flows;
mod leaving;
mod opaque;
mod requests;
