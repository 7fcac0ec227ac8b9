//! Leaving instances under every fault at every step.

use lovagelatch_matrix::MatrixReport;
use lovagelatch_matrix::leaving::{
    LEAVING_FAULTS, LEAVING_STEPS, LeavingFault, LeavingMechanisms, LeavingStep, run_leaving,
};

const SEEDS: u64 = 2;
const PAIRS: u64 = 50;
const DISABLED_SEEDS: u64 = 4;

// Guards against new flows or requests on a leaving instance, because a stale view or report is
// trusted. One fault is injected before, at or after the instance's first announcement; the list of
// instances contains it until the end.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("leaving, one fault");
    report.run_single_faults(&LEAVING_FAULTS, &LEAVING_STEPS, 0..SEEDS, |plan| {
        run_leaving(plan, LeavingMechanisms::default())
    });
    report.assert_no_violations();
}

// Guards against the same failures under two faults, or under one fault twice.
#[test]
fn two_faults_at_once() {
    let mut report = MatrixReport::new("leaving, two faults");
    report.run_fault_pairs(&LEAVING_FAULTS, &LEAVING_STEPS, PAIRS, |plan| {
        run_leaving(plan, LeavingMechanisms::default())
    });
    report.assert_no_violations();
}

// Guards against checks that cannot fail: mechanisms are disabled while a balancer is paused during
// the first announcement or nothing from the leaving agent's zone is received. Where the
// announcement did not arrive, forwarding is necessary and sufficient.
#[test]
fn each_disabled_mechanism_is_detected() {
    let on = LeavingMechanisms::default();
    let no_forwarding = LeavingMechanisms {
        forward: false,
        ..on
    };
    let no_announcement = LeavingMechanisms {
        announcement: false,
        ..no_forwarding
    };
    let no_gate = LeavingMechanisms { gate: false, ..on };
    let cases = [
        ("forwarding of flows", no_forwarding),
        ("forwarding and the first announcement", no_announcement),
        ("refusal of a leaving gate", no_gate),
    ];
    let faults = [
        LeavingFault::BalancerPaused,
        LeavingFault::ZonePartitionedOneWay,
    ];
    for (mechanism, mechanisms) in cases {
        let mut report = MatrixReport::new("leaving, one mechanism off");
        report.run_single_faults(
            &faults,
            &[LeavingStep::Announcement],
            0..DISABLED_SEEDS,
            |plan| run_leaving(plan, mechanisms),
        );
        report.assert_violated(mechanism, "new_work_after_leaving");
    }
}
