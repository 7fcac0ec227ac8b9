//! Starts a whole deployment on this machine, runs callers against it, and judges the run.
//!
//! It is a test tool outside the system: it starts every process, plays the operator and the
//! platform, injects faults, and at the end reads the histories that callers and backend
//! servers wrote.
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
mod config_watch;
mod credentials;
mod deployment;
mod directory;
mod error;
mod fault;
mod fleet_files;
mod http_client;
mod options;
mod ports;
mod process;
mod publish;
mod rig;
mod run;
mod script;
mod spawn;
mod stop;
mod summary;
mod target;

use std::process::ExitCode;

/// Exit code of a run that broke something, or could not be made.
const BROKEN: u8 = 1;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match options::read() {
        Ok(options) => options,
        Err(code) => return code,
    };
    match run::run(options).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(BROKEN)
        }
    }
}
