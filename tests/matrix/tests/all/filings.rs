//! Filings under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::requests::{FILING_FAULTS, REQUEST_STEPS, RequestMechanisms, run_filings};

const SEEDS: u64 = 6;
const PAIRS: u64 = 1_000;
const DISABLED_PAIRS: u64 = 300;

// Guards against filings that run twice, because a second agent may run them, and against filings
// that ran but are reported as not run, because an outcome is wrongly treated as proof. One fault
// is injected before each step, while each filing is submitted through several agents.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("filing, one fault");
    report.run_single_faults(&FILING_FAULTS, &REQUEST_STEPS, 0..SEEDS, |plan| {
        run_filings(plan, RequestMechanisms::default())
    });
    report.assert_no_violations();
}

// Guards against the same failures under two faults, or under one fault twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("filing, two faults");
    report.run_fault_pairs(&FILING_FAULTS, &REQUEST_STEPS, PAIRS, |plan| {
        run_filings(plan, RequestMechanisms::default())
    });
    report.assert_no_violations();
}

struct DisabledMechanism {
    mechanism: &'static str,
    mechanisms: RequestMechanisms,
    guarantee: &'static str,
}

fn disabled_mechanisms() -> [DisabledMechanism; 5] {
    let on = RequestMechanisms::default();
    let case = |mechanism, mechanisms, guarantee| DisabledMechanism {
        mechanism,
        mechanisms,
        guarantee,
    };
    let no_ledger = RequestMechanisms {
        ledger: false,
        ..on
    };
    let retry_unknown = RequestMechanisms {
        unknown_is_final: false,
        ..on
    };
    let no_closing = RequestMechanisms {
        close_before_handover: false,
        ..on
    };
    let unreadable_not_run = RequestMechanisms {
        unreadable_is_unknown: false,
        ..on
    };
    let no_ready = RequestMechanisms {
        await_ready: false,
        ..on
    };
    [
        case("the ledger", no_ledger, "ran_twice"),
        case("unknown is final", retry_unknown, "ran_twice"),
        case("closing before a handover", no_closing, "ran_twice"),
        case(
            "unreadable tickets end unknown",
            unreadable_not_run,
            "not_run_but_ran",
        ),
        case(
            "ready before the end of the body",
            no_ready,
            "not_run_but_ran",
        ),
    ]
}

// Guards against checks that cannot fail: with any one mechanism disabled, the guarantee that
// depends on it must be violated.
#[test]
fn each_disabled_mechanism_is_detected() {
    for case in disabled_mechanisms() {
        let mut report = MatrixReport::new("filing, one mechanism off");
        report.run_fault_pairs(&FILING_FAULTS, &REQUEST_STEPS, DISABLED_PAIRS, |plan| {
            run_filings(plan, case.mechanisms)
        });
        report.assert_violated(case.mechanism, case.guarantee);
    }
}
