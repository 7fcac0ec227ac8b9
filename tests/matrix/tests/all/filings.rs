//! Filings under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::requests::{FILING_FAULTS, REQUEST_STEPS, RequestMechanisms, play_filings};

const SEEDS: u64 = 6;
const PAIRS: u64 = 1_000;
const SWITCHED_PAIRS: u64 = 300;

// Symptom: a filing runs twice, or one that ran is told as not run.
// Sequence: one fault before each step, while each filing is tried from several agents.
// Cause: a second place that may run it, or an end that is taken for proof and is none.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("filing, one fault");
    report.play_singles(&FILING_FAULTS, &REQUEST_STEPS, 0..SEEDS, |plan| {
        play_filings(plan, RequestMechanisms::default())
    });
    report.assert_sound();
}

// Symptom, cause: as above.
// Sequence: two faults, or the same one twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("filing, two faults");
    report.play_pairs(&FILING_FAULTS, &REQUEST_STEPS, PAIRS, |plan| {
        play_filings(plan, RequestMechanisms::default())
    });
    report.assert_sound();
}

struct Switched {
    mechanism: &'static str,
    mechanisms: RequestMechanisms,
    promise: &'static str,
}

fn switched() -> [Switched; 5] {
    let on = RequestMechanisms::default();
    let case = |mechanism, mechanisms, promise| Switched {
        mechanism,
        mechanisms,
        promise,
    };
    let no_ledger = RequestMechanisms {
        ledger: false,
        ..on
    };
    let again = RequestMechanisms {
        unknown_is_final: false,
        ..on
    };
    let open_copy = RequestMechanisms {
        closing: false,
        ..on
    };
    let unread = RequestMechanisms {
        unread_is_unknown: false,
        ..on
    };
    let no_ready = RequestMechanisms { ready: false, ..on };
    [
        case("the ledger", no_ledger, "ran_twice"),
        case("unknown is final", again, "ran_twice"),
        case("closing before a handover", open_copy, "ran_twice"),
        case("unread tickets end unknown", unread, "not_run_but_ran"),
        case(
            "ready before the end of the body",
            no_ready,
            "not_run_but_ran",
        ),
    ]
}

// Symptom: the matrix passes whatever the code does.
// Sequence: each mechanism is switched off in turn.
// Cause: a check that cannot fail.
#[test]
fn each_check_notices_its_mechanism() {
    for case in switched() {
        let mut report = MatrixReport::new("filing, one mechanism off");
        report.play_pairs(&FILING_FAULTS, &REQUEST_STEPS, SWITCHED_PAIRS, |plan| {
            play_filings(plan, case.mechanisms)
        });
        report.assert_notices(case.mechanism, case.promise);
    }
}
