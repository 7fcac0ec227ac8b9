//! Runs without faults.

use crate::launcher::run_and_check;

fn check_without_faults(deployment: &str) {
    let report = run_and_check(&[deployment, "--seconds", "4"]);
    assert_eq!(report.flows_broken, 0, "{report:#?}");
    assert_eq!(report.unknown, 0, "{report:#?}");
    assert_eq!(report.requests, report.done + report.not_run, "{report:#?}");
    assert!(report.config_in_force_ms.is_some(), "{report:#?}");
    assert_eq!(report.imbalance.len(), 2, "{report:#?}");
}

#[test]
fn indus_keeps_every_promise() {
    check_without_faults("indus");
}

#[test]
fn desai_keeps_every_promise() {
    check_without_faults("desai");
}
