//! Runs a deployment from the start of its processes to the evaluation of the histories.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_callers::CallerCounts;
use lovagelatch_history::{
    BackendHistory, RunFacts, RunReport, check_run, read_history, unix_millis,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::binaries::ProgramDirectory;
use crate::caller_plan::{caller_plan, endpoints_json};
use crate::config_propagation::publish_and_measure;
use crate::deployment::Deployment;
use crate::directory::{RunDirectory, file_error};
use crate::error::LocalError;
use crate::fault_script::run_fault;
use crate::options::LocalOptions;
use crate::output::{ProgressPrinter, RunTolerance, print_report, violations};
use crate::process::LocalProcess;
use crate::rig::LocalRig;
use crate::shutdown::stop_all;

/// How long callers may wait for responses and retries after the last arrival.
const CALLERS_TIMEOUT: Duration = Duration::from_secs(75);

/// How long faults may continue after the callers have finished.
const FAULTS_TIMEOUT: Duration = Duration::from_secs(20);

/// How often processes are checked for unexpected exits.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// When a run without a configuration fault publishes a harmless change, as a share of its length.
/// With it every run measures the propagation time of a configuration.
const CONFIG_CHANGE_AT: f64 = 0.4;

type SharedRig = Arc<Mutex<LocalRig>>;

/// Runs a deployment. Returns true if its results have no failure beyond what its faults allow.
pub(crate) async fn run(options: LocalOptions) -> Result<bool, LocalError> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(LocalError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(LocalError::Signals)?;
    let stopped = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    let programs = ProgramDirectory::prepare(!options.no_build)?;
    let directory = RunDirectory::create(options.logs.as_deref())?;
    let deployment = Deployment::new(options.deployment);
    tokio::pin!(stopped);
    let started = tokio::select! {
        started = start(deployment, directory, programs, &options) => started?,
        () = &mut stopped => return Err(LocalError::Interrupted),
    };
    let rig = Arc::new(Mutex::new(started));
    if options.hold {
        println!("{}", endpoints_json(&*rig.lock().await));
        stopped.await;
        stop_all(&mut *rig.lock().await).await;
        return Ok(true);
    }
    let ran = tokio::select! {
        ran = run_callers(&rig, &options) => ran,
        () = &mut stopped => Err(LocalError::Interrupted),
    };
    let killed = stop_all(&mut *rig.lock().await).await;
    let facts = ran?;
    let mut rig = rig.lock().await;
    for name in killed {
        rig.findings
            .push(format!("{name} did not stop in time after SIGTERM"));
    }
    evaluate_run(&mut rig, &facts, &options)
}

async fn start(
    deployment: Deployment,
    directory: RunDirectory,
    programs: ProgramDirectory,
    options: &LocalOptions,
) -> Result<LocalRig, LocalError> {
    let progress = ProgressPrinter::new(options.quiet);
    let mut rig = LocalRig::start(deployment, directory, programs, options.seed).await?;
    let started = rig.start_all().await;
    if started.is_err() {
        rig.directory.keep();
        eprintln!("logs: {}", rig.directory.logs.display());
    }
    started?;
    let (targets, balancers) = (rig.targets.len(), rig.balancers.len());
    progress.print(&format!(
        "{} is up: {balancers} balancers, {targets} targets",
        deployment.name
    ));
    Ok(rig)
}

/// Runs callers and faults, and returns the times of the run that the evaluation needs.
async fn run_callers(rig: &SharedRig, options: &LocalOptions) -> Result<RunFacts, LocalError> {
    let progress = ProgressPrinter::new(options.quiet);
    let mut facts = RunFacts {
        started_ms: unix_millis(),
        ..RunFacts::default()
    };
    let (mut callers, lines) = {
        let rig = rig.lock().await;
        let plan = serde_json::to_string(&caller_plan(&rig, options))?;
        let path = rig.directory.write("plan.json", &plan)?;
        let program = rig.programs.program("lovagelatch-callers");
        let arguments = ["--plan".to_owned(), path.display().to_string()];
        LocalProcess::spawn("callers", &program, &arguments, &rig.directory.logs)?
    };
    let mut faults = start_faults(rig, options, progress);
    let read_progress = async {
        let mut lines = lines;
        while let Ok(Some(line)) = lines.next_line().await {
            if let Ok(counts) = serde_json::from_str::<CallerCounts>(&line) {
                progress.print_counts(&counts);
            }
        }
    };
    let checks = async {
        loop {
            sleep(CHECK_INTERVAL).await;
            for end in rig.lock().await.check_processes() {
                eprintln!("{end}");
            }
        }
    };
    let callers_timeout = Duration::from_secs_f64(options.seconds) + CALLERS_TIMEOUT;
    let ended = tokio::select! {
        ended = timeout(callers_timeout, read_progress) => ended.is_ok(),
        () = checks => true,
    };
    if !ended {
        let finding = format!("callers did not end within {} s", callers_timeout.as_secs());
        rig.lock().await.findings.push(finding);
        callers.kill();
    }
    facts.ended_ms = unix_millis();
    reap_callers(rig, &mut callers).await;
    finish_faults(rig, &mut faults).await;
    let rig = rig.lock().await;
    facts.leaving.clone_from(&rig.leaving);
    facts.unplanned_since_ms = first_unplanned_fault(options, facts.started_ms);
    let times: Option<Vec<f64>> = rig.config_durations.iter().copied().collect();
    facts.config_in_force_ms = times.and_then(|times| times.into_iter().reduce(f64::max));
    Ok(facts)
}

async fn reap_callers(rig: &SharedRig, callers: &mut LocalProcess) {
    let mut status = callers.exit_status();
    for _ in 0..50 {
        if status.is_some() {
            break;
        }
        sleep(CHECK_INTERVAL / 10).await;
        status = callers.exit_status();
    }
    if !status.is_some_and(|status| status.success()) {
        let finding = format!("callers ended badly ({status:?}): {}", callers.log_tail());
        rig.lock().await.findings.push(finding);
        callers.kill();
    }
}

fn start_faults(
    rig: &SharedRig,
    options: &LocalOptions,
    progress: ProgressPrinter,
) -> JoinSet<Result<(), LocalError>> {
    let mut faults = JoinSet::new();
    for fault in &options.fault {
        let rig = Arc::clone(rig);
        let (name, wait) = (fault.name, Duration::from_secs_f64(fault.second));
        faults.spawn(async move {
            sleep(wait).await;
            run_fault(name, rig, progress).await
        });
    }
    if !options.fault.iter().any(|fault| fault.name.is_config()) {
        let rig = Arc::clone(rig);
        let wait = Duration::from_secs_f64(options.seconds * CONFIG_CHANGE_AT);
        faults.spawn(async move {
            sleep(wait).await;
            let revision = publish_and_measure(&rig).await?;
            progress.print(&format!(
                "revision {revision}, a harmless change, is in force"
            ));
            Ok(())
        });
    }
    faults
}

/// Waits for faults that outlast the callers, and records those that failed or did not finish.
async fn finish_faults(rig: &SharedRig, faults: &mut JoinSet<Result<(), LocalError>>) {
    let all_finished = async {
        while let Some(ended) = faults.join_next().await {
            if let Ok(Err(error)) = ended {
                let finding = format!("a fault failed: {error}");
                rig.lock().await.findings.push(finding);
            }
        }
    };
    if timeout(FAULTS_TIMEOUT, all_finished).await.is_err() {
        let finding = format!("{} faults were not over in time", faults.len());
        rig.lock().await.findings.push(finding);
    }
    faults.shutdown().await;
}

fn first_unplanned_fault(options: &LocalOptions, started_ms: f64) -> Option<f64> {
    let unplanned = options
        .fault
        .iter()
        .filter(|fault| !fault.name.is_planned());
    let seconds = unplanned.map(|fault| fault.second).reduce(f64::min)?;
    Some(started_ms + seconds * 1_000.0)
}

/// Reads the histories, and prints the report and the failures.
fn evaluate_run(
    rig: &mut LocalRig,
    facts: &RunFacts,
    options: &LocalOptions,
) -> Result<bool, LocalError> {
    let callers = read_history(&rig.directory.logs.join("callers.jsonl"))?;
    let mut backends = Vec::new();
    for target in &rig.targets {
        backends.extend(BackendHistory::new(read_history(&target.history)?));
    }
    let report = check_run(&callers, &backends, facts);
    print_report(&report);
    if let Some(path) = &options.report {
        write_report(&report, path)?;
    }
    let unplanned = facts.unplanned_since_ms.is_some();
    let mut failures = violations(&report, RunTolerance { unplanned });
    failures.append(&mut rig.findings);
    for line in &failures {
        println!("BROKEN: {line}");
    }
    if !failures.is_empty() {
        rig.directory.keep();
    }
    if !failures.is_empty() || options.logs.is_some() {
        println!("logs and histories: {}", rig.directory.logs.display());
    }
    Ok(failures.is_empty())
}

fn write_report(report: &RunReport, path: &std::path::Path) -> Result<(), LocalError> {
    let text = serde_json::to_string_pretty(report)?;
    std::fs::write(path, text).map_err(|error| file_error(path, error))
}
