//! `lovagelatch-agent`: see the library of this package.

use std::process::ExitCode;

use lovagelatch_agent::{command_line, run_agent};
use lovagelatch_settings::{AgentSettings, read_settings};
use lovagelatch_telemetry::{error, new_logger};

fn main() -> ExitCode {
    let line = command_line().run();
    let settings = match read_settings(&line.settings, AgentSettings::parse) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.common.threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(failure) => {
            eprintln!("threads of the runtime: {failure}");
            return ExitCode::FAILURE;
        }
    };
    let common = &settings.common;
    let log = new_logger("lovagelatch-agent", &common.name, common.zone.as_str());
    let outcome = runtime.block_on(run_agent(settings.clone(), log.clone()));
    // Work that outlived the drain limit must not hold the process up.
    runtime.shutdown_background();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "agent cannot run"; "error" => failure.to_string());
            ExitCode::FAILURE
        }
    }
}
