//! Which gate a request goes to: loads, lags, deployments and faulty targets.

use std::path::Path;
use std::time::Duration;

use crate::contest::{Contestant, run_all};
use crate::law::{ArrivalLaw, SizeLaw};
use crate::report::{GoalCheck, ReportError, draw_plot, lines_by_policy, write_results};
use crate::scenario::{DEPLOYMENTS, Deployment, Scenario, TargetFault};
use crate::tally::RunResult;

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
const SETUP: Duration = Duration::from_secs(5);

/// The load at which imbalance has a goal, and the one at which the slowest percent has.
const USUAL_LOAD: f64 = 0.8;
const HIGH_LOAD: f64 = 0.95;

const MOST_IMBALANCE: f64 = 1.10;

pub(crate) fn run(directory: &Path, seed: u64) -> Result<(), ReportError> {
    let results = run_all(&jobs(seed));
    let goals = check(&results);
    write_results(directory, "placement", &goals, &results)?;
    for (name, lag) in [("lag-1s", 1.0), ("lag-10s", 10.0)] {
        draw_p99(directory, &results, name, lag)?;
    }
    Ok(())
}

fn jobs(seed: u64) -> Vec<(Contestant, Scenario)> {
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
        scenarios.push(scenario.with_fault(fault, SETUP));
    }
    for (sizes, arrivals) in [
        (SizeLaw::Pareto, ArrivalLaw::Poisson),
        (SizeLaw::Lognormal, ArrivalLaw::Bursts),
    ] {
        let scenario = Scenario::new(DEPLOYMENTS[0], USUAL_LOAD, LAGS[1]);
        scenarios.push(scenario.with_laws(sizes, arrivals));
    }
    let mut jobs = Vec::new();
    for scenario in scenarios {
        let requests = requests_of(&scenario.deployment);
        let scenario = scenario.with_requests(requests).with_seed(seed);
        let ours = [Contestant::Ours, Contestant::OursHeartbeatsOnly];
        let all = ours.into_iter().chain(Contestant::BASELINES);
        jobs.extend(all.map(|contestant| (contestant, scenario.clone())));
        if scenario.fault == TargetFault::None {
            jobs.push((Contestant::OneQueue, one_queue(&scenario)));
        }
    }
    jobs
}

fn requests_of(deployment: &Deployment) -> usize {
    if deployment.targets > 16 {
        LARGE_REQUESTS
    } else {
        REQUESTS
    }
}

/// All slots behind one gate: what no placement without preemption can beat by much.
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
    let ours = results
        .iter()
        .filter(|result| result.policy == Contestant::Ours.name());
    for result in ours {
        if is_near(result.load, USUAL_LOAD) {
            goals.extend(check_imbalance(result, results));
        }
        if is_near(result.load, HIGH_LOAD) && result.lag_s >= 1.0 {
            goals.extend(check_p99(result, results));
        }
    }
    goals
}

fn check_imbalance(ours: &RunResult, results: &[RunResult]) -> Vec<GoalCheck> {
    let baselines = results
        .iter()
        .filter(|other| is_same_case(ours, other) && is_baseline(other));
    let best = baselines
        .map(|other| other.imbalance)
        .fold(f64::INFINITY, f64::min);
    vec![
        GoalCheck::at_most(
            "imbalance at 0.8 load",
            case_of(ours),
            ours.imbalance,
            MOST_IMBALANCE,
        ),
        GoalCheck::at_most(
            "imbalance not above the best baseline's",
            case_of(ours),
            ours.imbalance,
            best,
        ),
    ]
}

fn check_p99(ours: &RunResult, results: &[RunResult]) -> Option<GoalCheck> {
    let name = Contestant::TwoChoices.name();
    let other = results
        .iter()
        .find(|other| other.policy == name && is_same_case(ours, other))?;
    let bound = other.p99_ms / 2.0;
    let goal = "p99 at 0.95 load at most half of two choices'";
    Some(GoalCheck::at_most(goal, case_of(ours), ours.p99_ms, bound))
}

fn is_baseline(result: &RunResult) -> bool {
    Contestant::BASELINES
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

fn case_of(result: &RunResult) -> String {
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
                && result.sizes == SizeLaw::Lognormal
                && result.arrivals == ArrivalLaw::Poisson
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
