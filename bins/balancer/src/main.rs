//! `lovagelatch-balancer`: see the library of this package.

use std::process::ExitCode;

use lovagelatch_balancer::{command_line, run_balancer};
use lovagelatch_settings::{BalancerSettings, read_settings};
use lovagelatch_telemetry::{error, new_logger};

fn main() -> ExitCode {
    let line = command_line().run();
    let settings = match read_settings(&line.settings, BalancerSettings::parse) {
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
    let log = new_logger(
        "lovagelatch-balancer",
        &common.name,
        &common.zone.to_string(),
    );
    match runtime.block_on(run_balancer(settings.clone(), log.clone())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "balancer cannot run"; "error" => failure.to_string());
            ExitCode::FAILURE
        }
    }
}
