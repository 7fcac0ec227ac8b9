//! Compares placement policies over loads, report lags, deployments and target faults.

use std::path::Path;
use std::time::Duration;

use crate::distribution::{ArrivalPattern, SizeDistribution};
use crate::metrics::RunResult;
use crate::policy::{TestedPolicy, run_all};
use crate::report::{GoalCheck, ReportError, draw_plot, lines_by_policy, write_results};
use crate::scenario::{DEPLOYMENTS, Deployment, Scenario, TargetFault};

const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 1.2, 2.0];
const LAGS: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_secs(1),
    Duration::from_secs(10),
];
const FAULTS: [TargetFault; 4] = [
    TargetFault::Lying,
    TargetFault::Cold,
    TargetFault::Slow,
    TargetFault::Leaving,
];
const REQUESTS: usize = 100_000;
const LARGE_REQUESTS: usize = 300_000;
const WARMUP: Duration = Duration::from_secs(5);

/// The load at which imbalance is checked.
const USUAL_LOAD: f64 = 0.8;
/// The load at which p99 latency is checked.
const HIGH_LOAD: f64 = 0.95;

const MAX_IMBALANCE: f64 = 1.10;

pub(crate) fn run(directory: &Path, seed: u64) -> Result<(), ReportError> {
    let results = run_all(&jobs(seed));
    let goals = check(&results);
    write_results(directory, "placement", &goals, &results)?;
    for (name, lag) in [("lag-1s", 1.0), ("lag-10s", 10.0)] {
        draw_p99(directory, &results, name, lag)?;
    }
    Ok(())
}

fn jobs(seed: u64) -> Vec<(TestedPolicy, Scenario)> {
    let mut scenarios = Vec::new();
    for lag in LAGS {
        for load in LOADS {
            scenarios.push(Scenario::new(DEPLOYMENTS[0], load, lag));
        }
    }
    for deployment in &DEPLOYMENTS[1..] {
        for lag in &LAGS[1..] {
            for load in [USUAL_LOAD, HIGH_LOAD] {
                scenarios.push(Scenario::new(*deployment, load, *lag));
            }
        }
    }
    for fault in FAULTS {
        let scenario = Scenario::new(DEPLOYMENTS[0], USUAL_LOAD, LAGS[1]);
        scenarios.push(scenario.with_fault(fault, WARMUP));
    }
    for (sizes, arrivals) in [
        (SizeDistribution::Pareto, ArrivalPattern::Poisson),
        (SizeDistribution::Lognormal, ArrivalPattern::Bursts),
    ] {
        let scenario = Scenario::new(DEPLOYMENTS[0], USUAL_LOAD, LAGS[1]);
        scenarios.push(scenario.with_load_shape(sizes, arrivals));
    }
    let mut jobs = Vec::new();
    for scenario in scenarios {
        let requests = requests_for(&scenario.deployment);
        let scenario = scenario.with_requests(requests).with_seed(seed);
        let shipped = [TestedPolicy::Shipped, TestedPolicy::ShippedHeartbeatsOnly];
        let all = shipped.into_iter().chain(TestedPolicy::BASELINES);
        jobs.extend(all.map(|policy| (policy, scenario.clone())));
        if scenario.fault == TargetFault::None {
            jobs.push((TestedPolicy::OneQueue, one_queue(&scenario)));
        }
    }
    jobs
}

fn requests_for(deployment: &Deployment) -> usize {
    if deployment.targets > 16 {
        LARGE_REQUESTS
    } else {
        REQUESTS
    }
}

/// Returns the scenario with all slots behind one gate, a bound that no placement without
/// preemption beats by much.
fn one_queue(scenario: &Scenario) -> Scenario {
    let mut scenario = scenario.clone();
    let targets = u16::try_from(scenario.deployment.targets).unwrap_or(u16::MAX);
    scenario.deployment.slots *= targets;
    scenario.deployment.targets = 1;
    scenario.hot_holder = 1.0;
    scenario
}

fn check(results: &[RunResult]) -> Vec<GoalCheck> {
    let mut goals = Vec::new();
    let shipped = results
        .iter()
        .filter(|result| result.policy == TestedPolicy::Shipped.name());
    for result in shipped {
        if is_near(result.load, USUAL_LOAD) {
            goals.extend(check_imbalance(result, results));
        }
        if is_near(result.load, HIGH_LOAD) && result.lag_s >= 1.0 {
            goals.extend(check_p99(result, results));
        }
    }
    goals
}

fn check_imbalance(shipped: &RunResult, results: &[RunResult]) -> Vec<GoalCheck> {
    let baselines = results
        .iter()
        .filter(|other| is_same_case(shipped, other) && is_baseline(other));
    let best = baselines
        .map(|other| other.imbalance)
        .fold(f64::INFINITY, f64::min);
    vec![
        GoalCheck::at_most(
            "imbalance at 0.8 load",
            case_label(shipped),
            shipped.imbalance,
            MAX_IMBALANCE,
        ),
        GoalCheck::at_most(
            "imbalance not above the best baseline's",
            case_label(shipped),
            shipped.imbalance,
            best,
        ),
    ]
}

fn check_p99(shipped: &RunResult, results: &[RunResult]) -> Option<GoalCheck> {
    let name = TestedPolicy::TwoChoices.name();
    let other = results
        .iter()
        .find(|other| other.policy == name && is_same_case(shipped, other))?;
    let bound = other.p99_ms / 2.0;
    let goal = "p99 at 0.95 load at most half of two choices'";
    Some(GoalCheck::at_most(
        goal,
        case_label(shipped),
        shipped.p99_ms,
        bound,
    ))
}

fn is_baseline(result: &RunResult) -> bool {
    TestedPolicy::BASELINES
        .iter()
        .any(|baseline| baseline.name() == result.policy)
}

fn is_same_case(one: &RunResult, other: &RunResult) -> bool {
    one.deployment == other.deployment
        && is_near(one.load, other.load)
        && is_near(one.lag_s, other.lag_s)
        && one.fault == other.fault
        && one.sizes == other.sizes
        && one.arrivals == other.arrivals
}

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-9
}

fn case_label(result: &RunResult) -> String {
    format!(
        "{} load {} lag {} s {:?} {:?} {:?}",
        result.deployment, result.load, result.lag_s, result.fault, result.sizes, result.arrivals
    )
}

fn draw_p99(
    directory: &Path,
    results: &[RunResult],
    name: &str,
    lag: f64,
) -> Result<(), ReportError> {
    let lines = lines_by_policy(
        results,
        |result| {
            result.deployment == DEPLOYMENTS[0].name
                && is_near(result.lag_s, lag)
                && result.fault == TargetFault::None
                && result.sizes == SizeDistribution::Lognormal
                && result.arrivals == ArrivalPattern::Poisson
        },
        |result| (result.load, result.p99_ms),
    );
    draw_plot(
        &directory.join(format!("placement-p99-{name}.svg")),
        &format!("indus-claims, reports that lag {lag} s"),
        ("load", "p99 latency (ms)"),
        &lines,
    )
}
