//! The compared placement policies, and a runner for many scenarios in parallel.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use lovagelatch_placement::PeerPlacement;
use lovagelatch_placement::baseline::{LeastLoad, RandomChoice, RoundRobin, TwoChoices};

use crate::metrics::RunResult;
use crate::scenario::Scenario;
use crate::simulation::run;

/// Scenarios that run in parallel; limited because the machine is shared.
const THREADS: usize = 4;

/// A placement policy under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TestedPolicy {
    /// The policy that the agents use.
    Shipped,
    /// The shipped policy, ignoring warm-up times.
    ShippedWithoutWarmup,
    /// The shipped policy, without the reports that responses carry.
    ShippedHeartbeatsOnly,
    /// The shipped policy with all slots behind one gate: a bound, not a baseline.
    OneQueue,
    RoundRobin,
    Random,
    LeastLoad,
    TwoChoices,
}

impl TestedPolicy {
    pub(crate) const BASELINES: [Self; 4] = [
        Self::RoundRobin,
        Self::Random,
        Self::LeastLoad,
        Self::TwoChoices,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Shipped => "lovagelatch",
            Self::ShippedWithoutWarmup => "lovagelatch-no-setup",
            Self::ShippedHeartbeatsOnly => "lovagelatch-heartbeats-only",
            Self::OneQueue => "one-queue-bound",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastLoad => "least-load",
            Self::TwoChoices => "two-choices",
        }
    }

    pub(crate) fn run(self, scenario: &Scenario) -> RunResult {
        let name = self.name();
        match self {
            Self::Shipped | Self::OneQueue => run(scenario, name, PeerPlacement::new),
            Self::ShippedWithoutWarmup => run(scenario, name, |settings| {
                PeerPlacement::new(settings.with_counts_warmup(false))
            }),
            Self::ShippedHeartbeatsOnly => {
                let mut scenario = scenario.clone();
                scenario.answer_reports = false;
                run(&scenario, name, PeerPlacement::new)
            }
            Self::RoundRobin => run(scenario, name, |s| RoundRobin::new(s.own_address, s.seed)),
            Self::Random => run(scenario, name, |s| RandomChoice::new(s.own_address, s.seed)),
            Self::LeastLoad => run(scenario, name, |s| LeastLoad::new(s.own_address, s.seed)),
            Self::TwoChoices => run(scenario, name, |s| TwoChoices::new(s.own_address, s.seed)),
        }
    }
}

/// Runs every pair and returns the results in the order of the pairs.
pub(crate) fn run_all(jobs: &[(TestedPolicy, Scenario)]) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(jobs.len()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((policy, scenario)) = jobs.get(index) else {
                        return;
                    };
                    let result = policy.run(scenario);
                    if let Ok(mut results) = results.lock() {
                        results.push((index, result));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
