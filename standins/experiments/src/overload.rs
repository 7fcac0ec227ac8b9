//! Measures goodput at loads above capacity.

use std::path::Path;
use std::time::Duration;

use crate::distribution::{ArrivalPattern, SizeDistribution};
use crate::metrics::RunResult;
use crate::policy::{TestedPolicy, run_all};
use crate::report::{GoalCheck, ReportError, draw_plot, lines_by_policy, write_results};
use crate::scenario::{DEPLOYMENTS, Scenario};

const LOADS: [f64; 5] = [0.8, 1.0, 1.2, 1.5, 2.0];
const DEADLINES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];
const LAG: Duration = Duration::from_secs(1);
const REQUESTS: usize = 80_000;
const MIN_GOODPUT_RATIO: f64 = 0.9;

pub(crate) fn run(directory: &Path, seed: u64) -> Result<(), ReportError> {
    let results = run_all(&jobs(seed));
    let goals = check(&results);
    write_results(directory, "overload", &goals, &results)?;
    let lines = lines_by_policy(
        &results,
        |result| {
            result.deployment == DEPLOYMENTS[0].name
                && result.deadline_s < 2.0
                && result.sizes == SizeDistribution::Lognormal
                && result.arrivals == ArrivalPattern::Poisson
        },
        |result| (result.load, result.goodput),
    );
    draw_plot(
        &directory.join("overload-goodput.svg"),
        "indus-claims, callers wait 1 s",
        ("load", "done in time (requests/s)"),
        &lines,
    )
}

fn jobs(seed: u64) -> Vec<(TestedPolicy, Scenario)> {
    let mut jobs = Vec::new();
    let load_shapes = [
        (SizeDistribution::Lognormal, ArrivalPattern::Poisson),
        (SizeDistribution::Pareto, ArrivalPattern::Bursts),
    ];
    for deployment in &DEPLOYMENTS[..4] {
        for deadline in DEADLINES {
            for (sizes, arrivals) in load_shapes {
                for load in LOADS {
                    let scenario = Scenario::new(*deployment, load, LAG)
                        .with_deadline(deadline)
                        .with_load_shape(sizes, arrivals)
                        .with_requests(REQUESTS)
                        .with_seed(seed);
                    jobs.push((TestedPolicy::Shipped, scenario.clone()));
                    jobs.push((TestedPolicy::TwoChoices, scenario));
                }
            }
        }
    }
    jobs
}

fn check(results: &[RunResult]) -> Vec<GoalCheck> {
    let mut goals = Vec::new();
    let shipped = || {
        results
            .iter()
            .filter(|result| result.policy == TestedPolicy::Shipped.name())
    };
    for double in shipped().filter(|result| result.load >= 2.0) {
        let single = shipped().find(|result| {
            result.deployment == double.deployment
                && (result.load - 1.0).abs() < 1e-9
                && (result.deadline_s - double.deadline_s).abs() < 1e-9
                && result.sizes == double.sizes
        });
        let Some(single) = single else {
            continue;
        };
        let case = format!(
            "{} deadline {} s {:?} {:?}",
            double.deployment, double.deadline_s, double.sizes, double.arrivals
        );
        let share = crate::metrics::round(double.goodput / single.goodput.max(1e-9));
        let goal = "goodput at 2x over goodput at 1x";
        goals.push(GoalCheck::at_least(goal, case, share, MIN_GOODPUT_RATIO));
    }
    goals
}
