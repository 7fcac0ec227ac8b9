//! Runs experiments on placement and admission under load.
//!
//! An event loop drives the shipped gates and placements with simulated servers, callers and
//! network. A run is determined by its seed. Each subcommand is one experiment: it prints its
//! table and the goals that it checks, and writes CSV, JSON and SVG files.

mod chain;
mod cold_start;
mod compare;
mod distribution;
mod event;
mod fairness;
mod metrics;
mod overload;
mod placement;
mod policy;
mod report;
mod retries;
mod scenario;
mod simulation;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use bpaf::Bpaf;

use crate::report::ReportError;

/// Measures the decisions under load against common policies.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct ExperimentOptions {
    /// Where the result files go
    #[bpaf(argument("DIR"), fallback(PathBuf::from("docs/experiments")))]
    out: PathBuf,
    /// The seed of all random numbers
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    #[bpaf(external(experiment))]
    experiment: Experiment,
}

#[derive(Clone, Debug, Bpaf)]
enum Experiment {
    /// Which gate a request goes to
    #[bpaf(command)]
    Placement,
    /// What agencies keep while a rival rushes
    #[bpaf(command)]
    Fairness,
    /// Goodput beyond capacity
    #[bpaf(command)]
    Overload,
    /// Attempts while a service is out
    #[bpaf(command)]
    Retries,
    /// Whether setup time counts
    #[bpaf(command("cold-start"))]
    ColdStart,
    /// Two builds by reports of the same days
    #[bpaf(command)]
    Compare {
        /// Where the reports are, each as SITE+DAY+SEED.LABEL.json
        #[bpaf(positional("REPORTS"))]
        reports: PathBuf,
        /// The label of the one build
        #[bpaf(positional("FIRST"))]
        first: String,
        /// The label of the other
        #[bpaf(positional("SECOND"))]
        second: String,
    },
    /// All that need no reports
    #[bpaf(command)]
    All,
}

type RunExperiment = fn(&Path, u64) -> Result<(), ReportError>;

impl Experiment {
    fn steps(&self) -> Vec<(&'static str, RunExperiment)> {
        let all: [(&'static str, RunExperiment); 5] = [
            ("placement", placement::run),
            ("fairness", fairness::run),
            ("overload", overload::run),
            ("retries", retries::run),
            ("cold-start", cold_start::run),
        ];
        match self {
            Self::Placement => vec![all[0]],
            Self::Fairness => vec![all[1]],
            Self::Overload => vec![all[2]],
            Self::Retries => vec![all[3]],
            Self::ColdStart => vec![all[4]],
            Self::Compare { .. } => Vec::new(),
            Self::All => all.to_vec(),
        }
    }
}

fn main() -> ExitCode {
    let options = experiment_options().run();
    if let Experiment::Compare {
        reports,
        first,
        second,
    } = &options.experiment
    {
        let labels = [first.as_str(), second.as_str()];
        return match compare::run(reports, labels, &options.out, options.seed) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("compare: {error}");
                ExitCode::FAILURE
            }
        };
    }
    for (name, run) in options.experiment.steps() {
        let started = Instant::now();
        if let Err(error) = run(&options.out, options.seed) {
            eprintln!("{name}: {error}");
            return ExitCode::FAILURE;
        }
        eprintln!("{name}: {:.1} s", started.elapsed().as_secs_f64());
    }
    ExitCode::SUCCESS
}
