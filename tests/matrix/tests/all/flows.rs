//! QUIC flows under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::flows::{FLOW_FAULTS, FLOW_STEPS, FlowMechanisms, run_flows};

const SEEDS: u64 = 6;
const PAIRS: u64 = 1_000;
const DISABLED_PAIRS: u64 = 200;

// Guards against an open flow that breaks, moves to another agent or reaches another service,
// because a decision about it depends on a view alone. One fault is injected before each step.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("flow, one fault");
    report.run_single_faults(&FLOW_FAULTS, &FLOW_STEPS, 0..SEEDS, |plan| {
        run_flows(plan, FlowMechanisms::default())
    });
    report.assert_no_violations();
}

// Guards against the same failures under two faults, or under one fault twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("flow, two faults");
    report.run_fault_pairs(&FLOW_FAULTS, &FLOW_STEPS, PAIRS, |plan| {
        run_flows(plan, FlowMechanisms::default())
    });
    report.assert_no_violations();
}

struct DisabledMechanism {
    mechanism: &'static str,
    mechanisms: FlowMechanisms,
    guarantee: &'static str,
}

fn disabled_mechanisms() -> [DisabledMechanism; 5] {
    let on = FlowMechanisms::default();
    let case = |mechanism, mechanisms, guarantee| DisabledMechanism {
        mechanism,
        mechanisms,
        guarantee,
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
    let no_reset_generation = FlowMechanisms {
        reset_generation: false,
        ..on
    };
    let no_absence_tracking = FlowMechanisms {
        absence_tracking: false,
        ..on
    };
    [
        case("routing by token", no_tokens, "cut"),
        case("two views for a reset", no_two_views, "cut"),
        case("service check", no_service_check, "wrong_service"),
        case(
            "key generation of a reset",
            no_reset_generation,
            "dead_flow_silent",
        ),
        case("absence tracking", no_absence_tracking, "dead_flow_silent"),
    ]
}

// Guards against checks that cannot fail: with any one mechanism disabled, the guarantee that
// depends on it must be violated.
#[test]
fn each_disabled_mechanism_is_detected() {
    for case in disabled_mechanisms() {
        let mut report = MatrixReport::new("flow, one mechanism off");
        report.run_fault_pairs(&FLOW_FAULTS, &FLOW_STEPS, DISABLED_PAIRS, |plan| {
            run_flows(plan, case.mechanisms)
        });
        report.assert_violated(case.mechanism, case.guarantee);
    }
}
