//! The policies under comparison, and running many scenarios side by side.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use lovagelatch_placement::PeerPlacement;
use lovagelatch_placement::baseline::{LeastLoad, RandomChoice, RoundRobin, TwoChoices};

use crate::scenario::Scenario;
use crate::tally::RunResult;
use crate::world::run;

/// Runs at once; the machine is shared.
const THREADS: usize = 4;

/// A policy under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contestant {
    Ours,
    /// Ours, blind to setup times.
    OursWithoutSetup,
    /// Ours, without the reports that come with answers.
    OursHeartbeatsOnly,
    /// Ours with all slots behind one gate; not a baseline but a bound.
    OneQueue,
    RoundRobin,
    Random,
    LeastLoad,
    TwoChoices,
}

impl Contestant {
    pub(crate) const BASELINES: [Self; 4] = [
        Self::RoundRobin,
        Self::Random,
        Self::LeastLoad,
        Self::TwoChoices,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Ours => "lovagelatch",
            Self::OursWithoutSetup => "lovagelatch-no-setup",
            Self::OursHeartbeatsOnly => "lovagelatch-heartbeats-only",
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
            Self::Ours | Self::OneQueue => run(scenario, name, PeerPlacement::new),
            Self::OursWithoutSetup => run(scenario, name, |settings| {
                PeerPlacement::new(settings.with_counts_warmup(false))
            }),
            Self::OursHeartbeatsOnly => {
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

/// Runs every pair; results keep the order of the pairs.
pub(crate) fn run_all(jobs: &[(Contestant, Scenario)]) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(jobs.len()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((contestant, scenario)) = jobs.get(index) else {
                        return;
                    };
                    let result = contestant.run(scenario);
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
