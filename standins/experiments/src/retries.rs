//! Measures attempts during an outage of a service, and its recovery.

use std::path::Path;
use std::time::Duration;

use crate::chain::{ChainResult, RetryRule, run_chain};
use crate::metrics::RunResult;
use crate::policy::{TestedPolicy, run_all};
use crate::report::{GoalCheck, PlotLine, ReportError, draw_plot, write_results};
use crate::scenario::{DEPLOYMENTS, Scenario, TargetFault};

const LAG: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(2);
const LOAD: f64 = 0.8;
const REQUESTS: usize = 60_000;
const DEPTHS: [usize; 4] = [1, 2, 3, 4];
const MAX_MEAN_ATTEMPTS: f64 = 1.1;

pub(crate) fn run(directory: &Path, seed: u64) -> Result<(), ReportError> {
    let mut jobs = Vec::new();
    for deployment in &DEPLOYMENTS[..4] {
        for fault in [TargetFault::Outage, TargetFault::Recovery] {
            let scenario = Scenario::new(*deployment, LOAD, LAG)
                .with_deadline(DEADLINE)
                .with_fault(fault, Duration::ZERO)
                .with_requests(REQUESTS)
                .with_seed(seed);
            jobs.push((TestedPolicy::Shipped, scenario));
        }
    }
    let runs = run_all(&jobs);
    let chains: Vec<ChainResult> = RetryRule::ALL
        .iter()
        .flat_map(|rule| DEPTHS.map(|depth| run_chain(*rule, depth, seed)))
        .collect();
    let goals = check(&runs, &chains);
    write_results(directory, "retries-gates", &goals, &runs)?;
    write_results(directory, "retries-chain", &[], &chains)?;
    draw(directory, &chains)
}

fn check(runs: &[RunResult], chains: &[ChainResult]) -> Vec<GoalCheck> {
    let goal = "attempts per request under a full outage";
    let mut goals: Vec<GoalCheck> = runs
        .iter()
        .filter(|run| run.fault == TargetFault::Outage)
        .map(|run| {
            GoalCheck::at_most(
                goal,
                run.deployment.to_owned(),
                run.attempts,
                MAX_MEAN_ATTEMPTS,
            )
        })
        .collect();
    let with_allowance = chains
        .iter()
        .filter(|chain| chain.rule == RetryRule::BudgetAndAllowance);
    goals.extend(with_allowance.map(|chain| {
        let case = format!("chain of {} links", chain.depth);
        GoalCheck::at_most(goal, case, chain.attempts_at_last, MAX_MEAN_ATTEMPTS)
    }));
    goals
}

fn draw(directory: &Path, chains: &[ChainResult]) -> Result<(), ReportError> {
    let lines: Vec<PlotLine> = RetryRule::ALL
        .iter()
        .map(|rule| PlotLine {
            label: format!("{rule:?}"),
            points: chains
                .iter()
                .filter(|chain| chain.rule == *rule)
                .map(|chain| (chain.depth as f64, chain.attempts_at_last))
                .collect(),
        })
        .collect();
    draw_plot(
        &directory.join("retries-chain.svg"),
        "the last service of a chain is out",
        (
            "links that may retry",
            "attempts at the last service per request",
        ),
        &lines,
    )
}
