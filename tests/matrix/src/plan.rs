//! Plans of faults by step, and the report over their runs.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::fmt::Write as _;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Failures that are reported in full; the others are only counted.
const MAX_REPORTED_FAILURES: usize = 3;

/// Records at the end of a history that a reported failure shows.
const REPORTED_TAIL_RECORDS: usize = 40;

/// Faults with the step before which each is injected, and the seed of all other random choices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan<F, S> {
    /// Pairs of fault and step. A fault may occur twice, at the same step or at two.
    pub faults: Vec<(F, S)>,
    /// Seed of the run.
    pub seed: u64,
}

impl<F: Copy, S: Copy + PartialEq> FaultPlan<F, S> {
    /// The faults to inject before a step.
    pub fn faults_at(&self, step: S) -> impl Iterator<Item = F> + '_ {
        let matching = self.faults.iter().filter(move |(_, at)| *at == step);
        matching.map(|(fault, _)| *fault)
    }
}

/// The history of one run, as far as the report needs it.
pub trait RunHistory {
    /// Number of violations by guarantee; guarantees without violations are absent.
    fn violations(&self) -> BTreeMap<&'static str, usize>;

    /// Number of faults that were injected.
    fn injected_faults(&self) -> usize;

    /// The last `count` records as text.
    fn tail(&self, count: usize) -> String;

    /// See [`MatrixReport::resets_by_wrong_views`].
    fn resets_by_wrong_views(&self) -> usize {
        0
    }

    /// See [`MatrixReport::timeouts_after_leaving`].
    fn timeouts_after_leaving(&self) -> usize {
        0
    }
}

/// Results of the runs of one scenario.
#[derive(Clone, Debug, Default)]
pub struct MatrixReport {
    /// Name of the scenario, such as "flow, one fault".
    pub scenario: &'static str,
    /// Number of runs.
    pub runs: usize,
    /// Number of runs that violated a guarantee.
    pub failed_runs: usize,
    /// Number of runs that violated each guarantee.
    pub violations: BTreeMap<&'static str, usize>,
    /// Number of faults in the plans.
    pub planned_faults: usize,
    /// Number of faults that were injected. Lower than `planned_faults` if runs did not reach the
    /// planned steps.
    pub injected_faults: usize,
    /// Flows reset because two views were wrong about one agent at once; no guarantee covers them.
    pub resets_by_wrong_views: usize,
    /// Flows that timed out because their holder crashed while it was leaving; no guarantee covers
    /// them.
    pub timeouts_after_leaving: usize,
    /// Number of runs and of failed runs, by fault and step.
    pub cells: BTreeMap<(String, String), (usize, usize)>,
    /// Texts of the first failures: scenario, plan, violations and the end of the history.
    pub failures: Vec<String>,
}

impl MatrixReport {
    /// Creates an empty report.
    #[must_use]
    pub fn new(scenario: &'static str) -> Self {
        Self {
            scenario,
            ..Self::default()
        }
    }

    /// Runs every fault at every step with each seed.
    pub fn run_single_faults<F, S, H>(
        &mut self,
        faults: &[F],
        steps: &[S],
        seeds: std::ops::Range<u64>,
        run: impl Fn(&FaultPlan<F, S>) -> H,
    ) where
        F: Copy + Debug,
        S: Copy + Debug + PartialEq,
        H: RunHistory,
    {
        for &fault in faults {
            for &step in steps {
                for seed in seeds.clone() {
                    let plan = FaultPlan {
                        faults: vec![(fault, step)],
                        seed,
                    };
                    self.record(&plan, &run(&plan));
                }
            }
        }
    }

    /// Runs plans of two faults: first each fault paired with itself at random steps, then random
    /// pairs, `count` plans in total. The seed of a plan is its number.
    pub fn run_fault_pairs<F, S, H>(
        &mut self,
        faults: &[F],
        steps: &[S],
        count: u64,
        run: impl Fn(&FaultPlan<F, S>) -> H,
    ) where
        F: Copy + Debug,
        S: Copy + Debug + PartialEq,
        H: RunHistory,
    {
        for seed in 0..count {
            let mut rng = SmallRng::seed_from_u64(seed);
            let doubled = usize::try_from(seed).ok().and_then(|at| faults.get(at));
            let pick = |rng: &mut SmallRng| faults[rng.random_range(0..faults.len())];
            let pair = match doubled {
                Some(&fault) => [fault, fault],
                None => [pick(&mut rng), pick(&mut rng)],
            };
            let placed = pair.map(|fault| (fault, steps[rng.random_range(0..steps.len())]));
            let plan = FaultPlan {
                faults: placed.to_vec(),
                seed,
            };
            self.record(&plan, &run(&plan));
        }
    }

    fn record<F, S, H>(&mut self, plan: &FaultPlan<F, S>, history: &H)
    where
        F: Debug,
        S: Debug,
        H: RunHistory,
    {
        let violations = history.violations();
        self.planned_faults += plan.faults.len();
        self.injected_faults += history.injected_faults();
        self.resets_by_wrong_views += history.resets_by_wrong_views();
        self.timeouts_after_leaving += history.timeouts_after_leaving();
        let failed = usize::from(!violations.is_empty());
        self.runs += 1;
        self.failed_runs += failed;
        for (fault, step) in &plan.faults {
            let cell = (format!("{fault:?}"), format!("{step:?}"));
            let cell = self.cells.entry(cell).or_default();
            cell.0 += 1;
            cell.1 += failed;
        }
        for (&guarantee, &count) in &violations {
            *self.violations.entry(guarantee).or_default() += usize::from(count > 0);
        }
        if failed > 0 && self.failures.len() < MAX_REPORTED_FAILURES {
            let tail = history.tail(REPORTED_TAIL_RECORDS);
            let scenario = self.scenario;
            self.failures.push(format!(
                "scenario {scenario}, {plan:?}: {violations:?}\n{tail}"
            ));
        }
    }

    /// Formats the numbers of failed runs and of runs as a table with a line per fault and a column
    /// per step.
    #[must_use]
    pub fn table(&self) -> String {
        let mut steps: Vec<&String> = self.cells.keys().map(|(_, step)| step).collect();
        steps.sort_unstable();
        steps.dedup();
        let mut faults: Vec<&String> = self.cells.keys().map(|(fault, _)| fault).collect();
        faults.dedup();
        let mut text = format!("{}: {} runs", self.scenario, self.runs);
        let _ = write!(
            text,
            ", {} of {} faults injected",
            self.injected_faults, self.planned_faults
        );
        let _ = writeln!(text, ", {} failed {:?}", self.failed_runs, self.violations);
        if self.resets_by_wrong_views > 0 {
            let _ = writeln!(
                text,
                "  reset by two wrong views: {}",
                self.resets_by_wrong_views
            );
        }
        if self.timeouts_after_leaving > 0 {
            let count = self.timeouts_after_leaving;
            let _ = writeln!(
                text,
                "  timed out after their holder crashed while leaving: {count}"
            );
        }
        for fault in faults {
            let _ = write!(text, "  {fault:<22}");
            for step in &steps {
                let cell = (fault.clone(), (*step).clone());
                if let Some((runs, failed)) = self.cells.get(&cell) {
                    let _ = write!(text, " {step}:{failed}/{runs}");
                }
            }
            text.push('\n');
        }
        text
    }

    /// Prints in how many runs the lack of a disabled mechanism was detected, and fails if the
    /// guarantee that depends on the mechanism was upheld without it.
    ///
    /// # Panics
    ///
    /// If no run violated the guarantee.
    pub fn assert_violated(&self, mechanism: &str, guarantee: &str) {
        println!(
            "{mechanism} disabled: {} of {} runs failed, {:?}",
            self.failed_runs, self.runs, self.violations
        );
        let detected = self.violations.contains_key(guarantee);
        assert!(
            detected,
            "{guarantee} holds although {mechanism} is disabled"
        );
    }

    /// Prints the table, and fails with the first failures if a run violated a guarantee.
    ///
    /// # Panics
    ///
    /// If a run violated a guarantee.
    pub fn assert_no_violations(&self) {
        println!("{}", self.table());
        let failures = self.failures.join("\n");
        assert!(self.failed_runs == 0, "{}\n{failures}", self.table());
    }
}
