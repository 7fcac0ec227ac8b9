//! Flows under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::flows::{FLOW_FAULTS, FLOW_STEPS, FlowMechanisms, run_flows};

const SEEDS: u64 = 6;
const PAIRS: u64 = 1_000;
const SWITCHED_PAIRS: u64 = 200;

// Symptom: a flow breaks, moves to another agent or reaches another service.
// Sequence: one fault before each step of a flow.
// Cause: a decision about an open flow that rests on a view.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("flow, one fault");
    report.play_singles(&FLOW_FAULTS, &FLOW_STEPS, 0..SEEDS, |plan| {
        run_flows(plan, FlowMechanisms::default())
    });
    report.assert_sound();
}

// Symptom, cause: as above.
// Sequence: two faults, or the same one twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("flow, two faults");
    report.play_pairs(&FLOW_FAULTS, &FLOW_STEPS, PAIRS, |plan| {
        run_flows(plan, FlowMechanisms::default())
    });
    report.assert_sound();
}

struct Switched {
    mechanism: &'static str,
    mechanisms: FlowMechanisms,
    promise: &'static str,
}

fn switched() -> [Switched; 5] {
    let on = FlowMechanisms::default();
    let case = |mechanism, mechanisms, promise| Switched {
        mechanism,
        mechanisms,
        promise,
    };
    let no_tokens = FlowMechanisms {
        tokens: false,
        ..on
    };
    let no_two_views = FlowMechanisms {
        two_views: false,
        ..on
    };
    let no_service_check = FlowMechanisms {
        service_check: false,
        ..on
    };
    let no_generation = FlowMechanisms {
        reset_generation: false,
        ..on
    };
    let no_absence = FlowMechanisms {
        absence_tracking: false,
        ..on
    };
    [
        case("routing by token", no_tokens, "cut"),
        case("two views for a reset", no_two_views, "cut"),
        case("service check", no_service_check, "wrong_service"),
        case("generation of a reset", no_generation, "dead_flow_silent"),
        case("knowing who is gone", no_absence, "dead_flow_silent"),
    ]
}

// Symptom: the matrix passes whatever the code does.
// Sequence: each mechanism is switched off in turn.
// Cause: a check that cannot fail.
#[test]
fn each_check_notices_its_mechanism() {
    for case in switched() {
        let mut report = MatrixReport::new("flow, one mechanism off");
        report.play_pairs(&FLOW_FAULTS, &FLOW_STEPS, SWITCHED_PAIRS, |plan| {
            run_flows(plan, case.mechanisms)
        });
        report.assert_notices(case.mechanism, case.promise);
    }
}
