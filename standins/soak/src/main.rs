//! `lovagelatch-soak`: see the library of this package.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use lovagelatch_soak::{SoakFault, SoakSettings, run_soak};

/// Breaks a fleet of the real programs at random and checks the promises while it runs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// The first seed
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// How many seeds to run, one after the other
    #[bpaf(argument("NUMBER"), fallback(1))]
    seeds: u64,
    /// Minutes for which faults strike, for each seed
    #[bpaf(argument("MINUTES"), fallback(0.5))]
    minutes: f64,
    /// Processes of the system
    #[bpaf(argument("NUMBER"), fallback(12))]
    processes: u8,
    /// Also targets that start again under their names, and entries of other writers
    further: bool,
    /// Start processes with SIGHUP ignored, as a supervisor must that may signal them at any time
    hangup_ignored: bool,
    /// Strike with this fault, and those named likewise, alone; as `StopAgent`
    #[bpaf(argument("FAULT"))]
    only: Vec<SoakFault>,
    /// Milliseconds from an agent's end until it starts again
    #[bpaf(argument("MS"), fallback(300))]
    agent_restart_ms: u64,
    /// Where to keep settings and logs; those of sound runs are removed
    #[bpaf(argument("DIR"), fallback(std::env::temp_dir().join("lovagelatch-soak")))]
    keep: PathBuf,
}

fn main() -> ExitCode {
    let line = command_line().run();
    let own = std::env::current_exe().unwrap_or_default();
    let programs = own.parent().map(PathBuf::from).unwrap_or_default();
    let mut sound = true;
    for seed in line.seed..line.seed + line.seeds {
        let directory = line
            .keep
            .join(format!("seed-{seed}-{}", std::process::id()));
        let settings = SoakSettings {
            seed,
            span: Duration::from_secs_f64(line.minutes.max(0.01) * 60.0),
            processes: line.processes,
            further: line.further,
            ignores_hangup: line.hangup_ignored,
            only: line.only.clone(),
            agent_restart: Duration::from_millis(line.agent_restart_ms),
            programs: programs.clone(),
            directory: directory.clone(),
        };
        match run_soak(&settings) {
            Ok(report) => {
                let word = if report.is_sound() { "sound" } else { "BROKEN" };
                println!(
                    "seed {seed}: {word}, {} strikes, {} served, {} failed, {} own ends, \
                     {} lost clients, {} store calls, {} findings",
                    report.strikes,
                    report.served,
                    report.failed,
                    report.own_ends,
                    report.lost_clients,
                    report.store_calls,
                    report.findings.len()
                );
                for finding in report.findings.iter().take(10) {
                    println!(
                        "  seed {seed}: {} at {} ms: {:?}",
                        finding.promise, finding.at, finding.event
                    );
                }
                if report.is_sound() {
                    // What stays behind is only a directory of logs.
                    let _removed = std::fs::remove_dir_all(&directory);
                }
                sound &= report.is_sound();
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                sound = false;
            }
        }
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
