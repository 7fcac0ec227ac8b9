//! Starts the callers.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lovagelatch_callers::{CallerCounts, CallerPlan, run_callers};

/// Callers for tests: HTTP/3 clients that ask, hold feeds and write down what they saw
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// What to do, as JSON
    #[bpaf(argument("FILE"))]
    plan: PathBuf,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let path = command_line().run().plan;
    let text = std::fs::read(&path).map_err(|error| error.to_string());
    let plan = text.and_then(|text| {
        serde_json::from_slice::<CallerPlan>(&text).map_err(|error| error.to_string())
    });
    let plan = match plan {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    match run_callers(plan, tell).await {
        Ok(counts) => {
            tell(&counts);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints counts as one JSON line.
fn tell(counts: &CallerCounts) {
    if let Ok(line) = serde_json::to_string(counts) {
        println!("{line}");
    }
}
