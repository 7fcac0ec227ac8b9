//! `lovagelatch-fabric`: see the library of this package.

use std::process::ExitCode;

use lovagelatch_fabric::{command_line, run_fabric};

fn main() -> ExitCode {
    match run_fabric(&command_line().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}
