//! `lovagelatch-agent`: the entry point. The library of this package holds the implementation.

use std::process::ExitCode;

use lovagelatch_agent::{command_line, run_agent, run_opaque};
use lovagelatch_operations::{ignore_hangup, run_on_one_thread, run_on_threads};
use lovagelatch_settings::{AgentSettings, OpaqueAgentSettings, SettingsFile, TrafficSettings};
use lovagelatch_telemetry::new_logger;

/// Binary name in logs.
const BINARY: &str = "lovagelatch-agent";

fn main() -> ExitCode {
    ignore_hangup();
    let path = command_line().run().settings;
    let parse =
        |text: &str| TrafficSettings::parse(text, AgentSettings::parse, OpaqueAgentSettings::parse);
    let read = SettingsFile::read(&path).and_then(|file| {
        let settings = file.parse(parse)?;
        Ok((settings, file))
    });
    match read {
        Ok((TrafficSettings::Quic(settings), _)) => {
            let common = &settings.common;
            let log = new_logger(BINARY, &common.name, common.zone.as_str());
            run_on_threads(common.threads, &log, run_agent(settings, log.clone()))
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
