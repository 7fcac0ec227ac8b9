//! Whether a warming target should cost its remaining setup time.

use std::path::Path;
use std::time::Duration;

use crate::contest::{Contestant, run_all};
use crate::report::{GoalCheck, ReportError, draw_plot, lines_by_policy, write_results};
use crate::scenario::{DEPLOYMENTS, Scenario, TargetFault};
use crate::tally::RunResult;

const LOADS: [f64; 3] = [0.5, 0.8, 0.95];
const SETUPS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_secs(1),
    Duration::from_secs(5),
    Duration::from_secs(20),
];
const LAGS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];
const REQUESTS: usize = 80_000;

pub(crate) fn run(directory: &Path, seed: u64) -> Result<(), ReportError> {
    let mut jobs = Vec::new();
    for deployment in [DEPLOYMENTS[0], DEPLOYMENTS[3]] {
        for setup in SETUPS {
            for load in LOADS {
                for lag in LAGS {
                    let scenario = Scenario::new(deployment, load, lag)
                        .with_fault(TargetFault::Cold, setup)
                        .with_requests(REQUESTS)
                        .with_seed(seed);
                    jobs.push((Contestant::Ours, scenario.clone()));
                    jobs.push((Contestant::OursWithoutSetup, scenario.clone()));
                    jobs.push((Contestant::TwoChoices, scenario));
                }
            }
        }
    }
    let results = run_all(&jobs);
    let goals = check(&results);
    write_results(directory, "cold-start", &goals, &results)?;
    let lines = lines_by_policy(
        &results,
        |result| {
            result.deployment == DEPLOYMENTS[0].name
                && (result.load - 0.8).abs() < 1e-9
                && result.lag_s >= 1.0
        },
        |result| (result.setup_s, result.p99_ms),
    );
    draw_plot(
        &directory.join("cold-start.svg"),
        "indus-claims at 0.8 load, one target cold a fifth of the time",
        ("setup time (s)", "p99 latency (ms)"),
        &lines,
    )
}

/// Counting setup is kept only where it is better, so each case compares it with ignoring it.
fn check(results: &[RunResult]) -> Vec<GoalCheck> {
    let policy = |name: &'static str| results.iter().filter(move |one| one.policy == name);
    let with = policy(Contestant::Ours.name());
    let without = policy(Contestant::OursWithoutSetup.name());
    with.zip(without)
        .map(|(with, without)| {
            let case = format!(
                "{} setup {} s load {} lag {} s",
                with.deployment, with.setup_s, with.load, with.lag_s
            );
            let goal = "cost (ms) counting setup, at most that of ignoring it";
            GoalCheck::at_most(goal, case, with.cost_ms, without.cost_ms)
        })
        .collect()
}
