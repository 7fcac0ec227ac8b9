//! Leaving under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::leaving::{
    LEAVING_FAULTS, LEAVING_STEPS, LeavingFault, LeavingMechanisms, LeavingStep, play_leaving,
};

const SEEDS: u64 = 2;
const PAIRS: u64 = 50;
const SWITCHED_SEEDS: u64 = 4;

// Symptom: a leaving instance is given new flows or requests.
// Sequence: one fault before, at or after its first notice; the list names it to the end.
// Cause: a view or a report that is believed although it is old.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("leaving, one fault");
    report.play_singles(&LEAVING_FAULTS, &LEAVING_STEPS, 0..SEEDS, |plan| {
        play_leaving(plan, LeavingMechanisms::default())
    });
    report.assert_sound();
}

// Symptom, cause: as above.
// Sequence: two faults, or the same one twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("leaving, two faults");
    report.play_pairs(&LEAVING_FAULTS, &LEAVING_STEPS, PAIRS, |plan| {
        play_leaving(plan, LeavingMechanisms::default())
    });
    report.assert_sound();
}

// Symptom: the matrix passes whatever the code does.
// Sequence: a mechanism is switched off, while a balancer sleeps through the first notice or the
// leaving agent's zone is not heard. Handing on is needed where the word did not arrive, and
// enough there.
// Cause: a check that cannot fail.
#[test]
fn each_check_notices_its_mechanism() {
    let on = LeavingMechanisms::default();
    let no_hand_on = LeavingMechanisms {
        hand_on: false,
        ..on
    };
    let no_word = LeavingMechanisms {
        word: false,
        ..no_hand_on
    };
    let no_gate = LeavingMechanisms { gate: false, ..on };
    let cases = [
        ("handing flows on", no_hand_on),
        ("handing on and the first notice", no_word),
        ("refusal of a leaving gate", no_gate),
    ];
    let faults = [LeavingFault::BalancerSleeps, LeavingFault::ZoneUnheard];
    for (mechanism, mechanisms) in cases {
        let mut report = MatrixReport::new("leaving, one mechanism off");
        report.play_singles(
            &faults,
            &[LeavingStep::FirstWord],
            0..SWITCHED_SEEDS,
            |plan| play_leaving(plan, mechanisms),
        );
        report.assert_notices(mechanism, "new_work_after_leaving");
    }
}
