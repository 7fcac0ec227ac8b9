//! Requests under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::requests::{
    REQUEST_FAULTS, REQUEST_STEPS, RequestMechanisms, run_requests,
};

const SEEDS: u64 = 6;
const PAIRS: u64 = 1_000;
const DISABLED_SEEDS: u64 = 2;

// Guards against requests that ran but are reported as not run, and against responses that are
// crossed, truncated or from another service, because an event is wrongly treated as proof. One
// fault is injected before each step.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("request, one fault");
    report.run_single_faults(&REQUEST_FAULTS, &REQUEST_STEPS, 0..SEEDS, |plan| {
        run_requests(plan, RequestMechanisms::default())
    });
    report.assert_no_violations();
}

// Guards against the same failures under two faults, or under one fault twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("request, two faults");
    report.run_fault_pairs(&REQUEST_FAULTS, &REQUEST_STEPS, PAIRS, |plan| {
        run_requests(plan, RequestMechanisms::default())
    });
    report.assert_no_violations();
}

struct DisabledMechanism {
    mechanism: &'static str,
    mechanisms: RequestMechanisms,
    guarantee: &'static str,
}

fn disabled_mechanisms() -> [DisabledMechanism; 6] {
    let on = RequestMechanisms::default();
    let case = |mechanism, mechanisms, guarantee| DisabledMechanism {
        mechanism,
        mechanisms,
        guarantee,
    };
    let no_ready = RequestMechanisms {
        await_ready: false,
        ..on
    };
    let no_confirmed_cancel = RequestMechanisms {
        confirmed_cancel: false,
        ..on
    };
    let any_server_cancel = RequestMechanisms {
        same_server_cancel: false,
        ..on
    };
    let no_matching = RequestMechanisms {
        attempt_matching: false,
        ..on
    };
    let no_complete_responses = RequestMechanisms {
        complete_responses: false,
        ..on
    };
    let no_service_check = RequestMechanisms {
        service_check: false,
        ..on
    };
    [
        case(
            "ready before the end of the body",
            no_ready,
            "not_run_but_ran",
        ),
        case(
            "confirmed cancellation",
            no_confirmed_cancel,
            "not_run_but_ran",
        ),
        case(
            "cancellation by the same server",
            any_server_cancel,
            "ran_again",
        ),
        case("matching by attempt", no_matching, "crossed"),
        case("end of a response", no_complete_responses, "cut"),
        case("service check of a gate", no_service_check, "wrong_service"),
    ]
}

// Guards against checks that cannot fail: with any one mechanism disabled, the guarantee that
// depends on it must be violated.
#[test]
fn each_disabled_mechanism_is_detected() {
    for case in disabled_mechanisms() {
        let mut report = MatrixReport::new("request, one mechanism off");
        report.run_single_faults(&REQUEST_FAULTS, &REQUEST_STEPS, 0..DISABLED_SEEDS, |plan| {
            run_requests(plan, case.mechanisms)
        });
        report.assert_violated(case.mechanism, case.guarantee);
    }
}
