//! `lovagelatch-callers`: runs the callers of a plan.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use lovagelatch_callers::{CallerCounts, CallerPlan, run_callers};
use thiserror::Error;

/// Exit code for a plan that could not be read.
const INVALID_PLAN: u8 = 2;

/// Callers for tests: HTTP/3 clients that send requests, hold feeds and record what they observe
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// The plan of the run, as JSON
    #[bpaf(argument("FILE"))]
    plan: PathBuf,
}

/// Why a plan could not be read.
#[derive(Debug, Error)]
enum PlanError {
    #[error("{0}")]
    File(#[from] std::io::Error),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

fn read_plan(path: &Path) -> Result<CallerPlan, PlanError> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let path = command_line().run().plan;
    let plan = match read_plan(&path) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(INVALID_PLAN);
        }
    };
    match run_callers(plan, report).await {
        Ok(counts) => {
            report(&counts);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the counters as one JSON line.
fn report(counts: &CallerCounts) {
    if let Ok(line) = serde_json::to_string(counts) {
        println!("{line}");
    }
}
