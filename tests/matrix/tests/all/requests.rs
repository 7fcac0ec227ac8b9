//! Requests under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::requests::{
    REQUEST_FAULTS, REQUEST_STEPS, RequestMechanisms, play_requests,
};

const SEEDS: u64 = 6;
const PAIRS: u64 = 1_000;
const SWITCHED_SEEDS: u64 = 2;

// Symptom: a request that ran is told as not run; an answer is crossed, cut or of another
// service.
// Sequence: one fault before each step of a request.
// Cause: a step that is taken for proof and is none.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("request, one fault");
    report.play_singles(&REQUEST_FAULTS, &REQUEST_STEPS, 0..SEEDS, |plan| {
        play_requests(plan, RequestMechanisms::default())
    });
    report.assert_sound();
}

// Symptom, cause: as above.
// Sequence: two faults, or the same one twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("request, two faults");
    report.play_pairs(&REQUEST_FAULTS, &REQUEST_STEPS, PAIRS, |plan| {
        play_requests(plan, RequestMechanisms::default())
    });
    report.assert_sound();
}

struct Switched {
    mechanism: &'static str,
    mechanisms: RequestMechanisms,
    promise: &'static str,
}

fn switched() -> [Switched; 6] {
    let on = RequestMechanisms::default();
    let case = |mechanism, mechanisms, promise| Switched {
        mechanism,
        mechanisms,
        promise,
    };
    let no_ready = RequestMechanisms { ready: false, ..on };
    let no_proof = RequestMechanisms {
        cancel_proof: false,
        ..on
    };
    let any_server = RequestMechanisms {
        same_server: false,
        ..on
    };
    let no_matching = RequestMechanisms {
        matching: false,
        ..on
    };
    let no_end = RequestMechanisms {
        whole_answers: false,
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
        case("confirmed cancellation", no_proof, "not_run_but_ran"),
        case("cancellation by the same server", any_server, "ran_again"),
        case("matching by attempt", no_matching, "crossed"),
        case("the end of an answer", no_end, "cut"),
        case("service check of a gate", no_service_check, "wrong_service"),
    ]
}

// Symptom: the matrix passes whatever the code does.
// Sequence: each mechanism is switched off in turn.
// Cause: a check that cannot fail.
#[test]
fn each_check_notices_its_mechanism() {
    for case in switched() {
        let mut report = MatrixReport::new("request, one mechanism off");
        report.play_singles(&REQUEST_FAULTS, &REQUEST_STEPS, 0..SWITCHED_SEEDS, |plan| {
            play_requests(plan, case.mechanisms)
        });
        report.assert_notices(case.mechanism, case.promise);
    }
}
