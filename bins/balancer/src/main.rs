//! `lovagelatch-balancer`: the entry point. The library of this package holds the implementation.

use std::process::ExitCode;

use lovagelatch_balancer::{command_line, run_balancer, run_opaque};
use lovagelatch_operations::{ignore_hangup, run_on_one_thread, run_on_threads};
use lovagelatch_settings::{
    BalancerSettings, OpaqueBalancerSettings, SettingsFile, TrafficSettings,
};
use lovagelatch_telemetry::new_logger;

/// The binary's name in logs.
const BINARY: &str = "lovagelatch-balancer";

fn main() -> ExitCode {
    ignore_hangup();
    let path = command_line().run().settings;
    let parse = |text: &str| {
        TrafficSettings::parse(text, BalancerSettings::parse, OpaqueBalancerSettings::parse)
    };
    let read = SettingsFile::read(&path).and_then(|file| {
        let settings = file.parse(parse)?;
        Ok((settings, file))
    });
    match read {
        Ok((TrafficSettings::Quic(settings), _)) => {
            let common = &settings.common;
            let log = new_logger(BINARY, &common.name, common.zone.as_str());
            run_on_threads(common.threads, &log, run_balancer(settings, log.clone()))
        }
        Ok((TrafficSettings::Opaque(settings), file)) => {
            let common = &settings.common;
            let log = new_logger(BINARY, &common.name, common.zone.as_str());
            run_on_one_thread(&log, run_opaque(settings, file, log.clone()))
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::FAILURE
        }
    }
}
