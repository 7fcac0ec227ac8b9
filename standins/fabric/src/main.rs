//! `lovagelatch-fabric`: runs the network stand-in.

use std::process::ExitCode;

use lovagelatch_fabric::{command_line, run_fabric};

fn main() -> ExitCode {
    match run_fabric(&command_line().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
