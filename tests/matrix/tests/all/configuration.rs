//! Configurations under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::configuration::{CONFIG_FAULTS, CONFIG_STEPS, play_configuration};

const SEEDS: u64 = 2;
const PAIRS: u64 = 50;

// Symptom: a process reverts to an older configuration, takes an invalid one, or stays behind.
// Sequence: one fault before each step of an operator, for one step or for four.
// Cause: any place that takes a lower revision or another content, or that forgets to ask again.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("configuration, one fault");
    report.play_singles(&CONFIG_FAULTS, &CONFIG_STEPS, 0..SEEDS, play_configuration);
    report.assert_sound();
}

// Symptom, cause: as above.
// Sequence: two faults, or the same one twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("configuration, two faults");
    report.play_pairs(&CONFIG_FAULTS, &CONFIG_STEPS, PAIRS, play_configuration);
    report.assert_sound();
}
