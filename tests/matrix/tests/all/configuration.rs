//! Configurations under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::configuration::{CONFIG_FAULTS, CONFIG_STEPS, run_configuration};

const SEEDS: u64 = 2;
const PAIRS: u64 = 50;

// Guards against processes that revert to an older configuration, apply an invalid one or stay
// behind, because code accepts a lower revision or different content, or does not retry a query.
// One fault is injected before each step of an operator and lasts for one step or four.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("configuration, one fault");
    report.run_single_faults(&CONFIG_FAULTS, &CONFIG_STEPS, 0..SEEDS, run_configuration);
    report.assert_no_violations();
}

// Guards against the same failures under two faults, or under one fault twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("configuration, two faults");
    report.run_fault_pairs(&CONFIG_FAULTS, &CONFIG_STEPS, PAIRS, run_configuration);
    report.assert_no_violations();
}
