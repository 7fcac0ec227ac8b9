//! `lovagelatch-soak`: command line of the fault soak. See the library of this package.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use lovagelatch_soak::{SoakFault, SoakSettings, run_soak};

/// Injects random faults into a fleet of the real programs and checks the guarantees meanwhile.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// The first seed
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Number of seeds to run, one after the other
    #[bpaf(argument("NUMBER"), fallback(1))]
    seeds: u64,
    /// Minutes for which faults are injected, for each seed
    #[bpaf(argument("MINUTES"), fallback(0.5))]
    minutes: f64,
    /// Number of processes, balancers and agents together
    #[bpaf(argument("NUMBER"), fallback(12))]
    processes: u8,
    /// Also restart targets under their names, and write store entries that belong to no target
    further: bool,
    /// Start processes with SIGHUP ignored, as a supervisor must if it may send SIGHUP at any time
    hangup_ignored: bool,
    /// Limit what targets can serve, set policies for the routes, and add faults of load; implied if
    /// `--only` names one of these
    hard_load: bool,
    /// Inject only this fault, such as `StopAgent`; may be given more than once
    #[bpaf(argument("FAULT"))]
    only: Vec<SoakFault>,
    /// Milliseconds from an agent's exit until it is started again
    #[bpaf(argument("MS"), fallback(300))]
    agent_restart_ms: u64,
    /// Milliseconds between two requests of a client
    #[bpaf(argument("MS"), fallback(40))]
    request_pause_ms: u64,
    /// Keep the settings and logs of sound runs too
    keep_logs: bool,
    /// Directory for settings and logs; those of sound runs are removed unless `--keep-logs` is given
    #[bpaf(argument("DIR"), fallback(std::env::temp_dir().join("lovagelatch-soak")))]
    keep: PathBuf,
}

fn main() -> ExitCode {
    let line = command_line().run();
    let executable = std::env::current_exe().unwrap_or_default();
    let programs = executable.parent().map(PathBuf::from).unwrap_or_default();
    let mut sound = true;
    for seed in line.seed..line.seed + line.seeds {
        let directory = line
            .keep
            .join(format!("seed-{seed}-{}", std::process::id()));
        let settings = SoakSettings {
            seed,
            fault_duration: Duration::from_secs_f64(line.minutes.max(0.01) * 60.0),
            processes: line.processes,
            extra_faults: line.further,
            ignore_hangup: line.hangup_ignored,
            hard_load: line.hard_load || line.only.iter().any(|fault| fault.needs_hard_load()),
            only: line.only.clone(),
            agent_restart: Duration::from_millis(line.agent_restart_ms),
            request_pause: Duration::from_millis(line.request_pause_ms),
            programs: programs.clone(),
            directory: directory.clone(),
        };
        match run_soak(&settings) {
            Ok(report) => {
                let verdict = if report.is_sound() { "sound" } else { "BROKEN" };
                println!(
                    "seed {seed}: {verdict}, {} strikes, {} served, {} failed, {} own ends, \
                     {} lost clients, {} store calls, {} findings",
                    report.injected_faults,
                    report.served,
                    report.failed,
                    report.unexpected_exits,
                    report.panicked_clients,
                    report.store_calls,
                    report.findings.len()
                );
                if settings.hard_load {
                    println!(
                        "  seed {seed}: {} rejected, {} flows over the limit, longest transit {} ms",
                        report.load.rejected,
                        report.load.over_limit,
                        report.load.longest_transit.as_millis()
                    );
                }
                for (guarantee, findings) in report.findings_by_guarantee() {
                    println!("  seed {seed}: {guarantee}: {} findings", findings.len());
                    for finding in findings.iter().take(10) {
                        println!(
                            "  seed {seed}: {guarantee} at {} ms: {:?}",
                            finding.at_ms, finding.event
                        );
                    }
                }
                if report.is_sound() && !line.keep_logs {
                    // A failure to remove it leaves only a directory of logs behind.
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
