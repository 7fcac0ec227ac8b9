//! Measures what share of their requests agencies complete while a competing agency rushes.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use crate::metrics::{RunResult, round};
use crate::policy::{TestedPolicy, run_all};
use crate::report::{GoalCheck, PlotLine, ReportError, draw_plot, write_results};
use crate::scenario::{AgencyLoad, DEPLOYMENTS, Fairness, Scenario};

const NAMES: [&str; 4] = ["rushing", "ludhiana", "amritsar", "multan"];

/// Each agency's normal load as a share of capacity; its fair share is a quarter.
const USUAL_LOAD: f64 = 0.2;
const RUSHES: [f64; 5] = [1.0, 2.0, 3.0, 5.0, 10.0];
const DEADLINE: Duration = Duration::from_secs(2);
const LAG: Duration = Duration::from_secs(1);
const REQUESTS: usize = 80_000;
const MIN_SHARE_KEPT: f64 = 0.95;

/// The completed requests of each agency in one run.
#[derive(Clone, Debug, Serialize)]
struct FairnessResult {
    deployment: &'static str,
    fairness: Fairness,
    rush: f64,
    /// Lowest ratio of requests done in time to arrived, among the agencies that do not rush.
    worst_fair_kept: f64,
    /// Lowest quotient of that ratio and the same agency's ratio without a rush.
    worst_fair_share: f64,
    rushing_kept: f64,
    /// Share of the rushing agency among all requests done in time.
    rushing_part: f64,
    goodput: f64,
    p99_ms: f64,
    attempts: f64,
    kept: Vec<f64>,
}

pub(crate) fn run(directory: &Path, seed: u64) -> Result<(), ReportError> {
    let jobs = jobs(seed);
    let runs = run_all(&jobs);
    let mut results = Vec::new();
    let mut baseline: Vec<f64> = Vec::new();
    for ((_, scenario), result) in jobs.iter().zip(&runs) {
        if scenario.agencies[0].rush <= 1.0 {
            baseline = completion_ratios(result);
        }
        results.push(summarize(scenario, result, &baseline));
    }
    let goals: Vec<GoalCheck> = results
        .iter()
        .filter(|result| result.fairness == Fairness::PerAgency && result.rush >= 10.0)
        .map(|result| {
            GoalCheck::at_least(
                "fair agency's share under a rival's 10x rush",
                result.deployment.to_owned(),
                result.worst_fair_share,
                MIN_SHARE_KEPT,
            )
        })
        .collect();
    write_results(directory, "fairness", &goals, &results)?;
    draw(directory, &results)
}

fn jobs(seed: u64) -> Vec<(TestedPolicy, Scenario)> {
    let mut jobs = Vec::new();
    for deployment in DEPLOYMENTS {
        for fairness in [Fairness::PerAgency, Fairness::OneQueue] {
            for rush in RUSHES {
                let load = 3.0 * USUAL_LOAD + USUAL_LOAD * rush;
                let scenario = Scenario::new(deployment, load, LAG)
                    .with_agencies(agencies(rush), fairness)
                    .with_deadline(DEADLINE)
                    .with_requests(REQUESTS)
                    .with_seed(seed);
                jobs.push((TestedPolicy::Shipped, scenario));
            }
        }
    }
    jobs
}

fn agencies(rush: f64) -> Vec<AgencyLoad> {
    let agency = |(index, name): (usize, &&'static str)| AgencyLoad {
        name,
        load: USUAL_LOAD,
        rush: if index == 0 { rush } else { 1.0 },
    };
    NAMES.iter().enumerate().map(agency).collect()
}

fn completion_ratios(result: &RunResult) -> Vec<f64> {
    #[allow(clippy::cast_precision_loss)]
    let kept = |done: u64, arrived: u64| done as f64 / arrived.max(1) as f64;
    result
        .classes
        .iter()
        .map(|class| round(kept(class.done, class.arrived)))
        .collect()
}

fn summarize(scenario: &Scenario, result: &RunResult, baseline: &[f64]) -> FairnessResult {
    let kept = completion_ratios(result);
    let worst = kept[1..].iter().copied().fold(f64::INFINITY, f64::min);
    let shares = kept.iter().zip(baseline).skip(1);
    let worst_share = shares
        .map(|(kept, baseline)| kept / baseline.max(1e-9))
        .fold(f64::INFINITY, f64::min);
    let total_done: u64 = result.classes.iter().map(|class| class.done).sum();
    #[allow(clippy::cast_precision_loss)]
    let rushing_share = result.classes[0].done as f64 / total_done.max(1) as f64;
    FairnessResult {
        deployment: result.deployment,
        fairness: scenario.fairness,
        rush: scenario.agencies[0].rush,
        worst_fair_kept: worst,
        worst_fair_share: round(worst_share),
        rushing_kept: kept[0],
        rushing_part: round(rushing_share),
        goodput: result.goodput,
        p99_ms: result.p99_ms,
        attempts: result.attempts,
        kept,
    }
}

fn draw(directory: &Path, results: &[FairnessResult]) -> Result<(), ReportError> {
    let line = |label: &str, fairness: Fairness| PlotLine {
        label: label.to_owned(),
        points: results
            .iter()
            .filter(|one| one.deployment == DEPLOYMENTS[0].name && one.fairness == fairness)
            .map(|one| (one.rush, one.worst_fair_kept.max(1e-3)))
            .collect(),
    };
    draw_plot(
        &directory.join("fairness.svg"),
        "indus-claims: the worst-off fair agency while a rival rushes",
        (
            "rush of the rival (times its usual rate)",
            "done in time / arrived",
        ),
        &[
            line("a queue for each agency", Fairness::PerAgency),
            line("one queue", Fairness::OneQueue),
        ],
    )
}
