//! Runs a local deployment with callers and faults, and checks the results.
//!
//! This is a test tool, not a part of the system. It starts every process, acts as operator and
//! platform, injects faults, and at the end checks the histories that callers and backend servers
//! wrote.
//!
//! ```text
//!            platform        fabric
//!               |           /      \
//! callers ------+----------+   balancers (one or more in each zone)
//!               |               |
//!               +------------ agents -- backend servers
//! ```

mod binaries;
mod caller_plan;
mod config_files;
mod config_propagation;
mod credentials;
mod deployment;
mod directory;
mod error;
mod fault;
mod fault_script;
mod http_client;
mod options;
mod output;
mod ports;
mod process;
mod publish;
mod rig;
mod run;
mod shutdown;
mod spawn;
mod target;

use std::process::ExitCode;

/// Exit code of a run with failures, or of one that could not be started.
const FAILED_RUN: u8 = 1;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match options::read() {
        Ok(options) => options,
        Err(code) => return code,
    };
    match run::run(options).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED_RUN),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(FAILED_RUN)
        }
    }
}
