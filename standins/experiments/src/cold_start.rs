//! Checks whether the cost of a warming target should include its remaining warm-up time.

use std::path::Path;
use std::time::Duration;

use crate::metrics::RunResult;
use crate::policy::{TestedPolicy, run_all};
use crate::report::{GoalCheck, ReportError, draw_plot, lines_by_policy, write_results};
use crate::scenario::{DEPLOYMENTS, Scenario, TargetFault};

const LOADS: [f64; 3] = [0.5, 0.8, 0.95];
const WARMUPS: [Duration; 4] = [
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
        for warmup in WARMUPS {
            for load in LOADS {
                for lag in LAGS {
                    let scenario = Scenario::new(deployment, load, lag)
                        .with_fault(TargetFault::Cold, warmup)
                        .with_requests(REQUESTS)
                        .with_seed(seed);
                    jobs.push((TestedPolicy::Shipped, scenario.clone()));
                    jobs.push((TestedPolicy::ShippedWithoutWarmup, scenario.clone()));
                    jobs.push((TestedPolicy::TwoChoices, scenario));
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

/// Compares counting the warm-up with ignoring it in each case: it is counted only if that costs
/// less.
fn check(results: &[RunResult]) -> Vec<GoalCheck> {
    let policy = |name: &'static str| results.iter().filter(move |one| one.policy == name);
    let with = policy(TestedPolicy::Shipped.name());
    let without = policy(TestedPolicy::ShippedWithoutWarmup.name());
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
