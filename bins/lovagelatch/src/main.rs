//! The operators' command line tool: checks a service text, plans a change, queries instances
//! for their status, explains a decision, and manages the key file.
//!
//! Exit codes, for scripts: 0 for success; 1 for a negative result (a text has faults, a plan is
//! risky, an instance lags); 2 if the command could not be executed.

mod check;
mod client;
mod command;
mod explain;
mod failure;
mod keys;
mod output;
mod plan;
mod status;
mod status_opaque;

use std::process::ExitCode;

use command::{OperatorCommand, operator_command};
use failure::CommandError;
use output::CommandOutcome;

fn main() -> ExitCode {
    let command = operator_command().run();
    match run(&command) {
        Ok(CommandOutcome::Passed) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Failed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("lovagelatch: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: &OperatorCommand) -> Result<CommandOutcome, CommandError> {
    match command {
        OperatorCommand::Check { json, text } => check::run(text, *json),
        OperatorCommand::Plan {
            json,
            allow_high,
            old,
            new,
        } => plan::run(old, new, *json, *allow_high),
        OperatorCommand::Status {
            json,
            platform,
            instances,
        } => status::run(*platform, instances, *json),
        OperatorCommand::Explain(command) => explain::run(command),
        OperatorCommand::Keys(command) => keys::run(command),
    }
}
