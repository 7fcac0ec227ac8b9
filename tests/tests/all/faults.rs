//! Runs with a fault.

use crate::launcher::run_and_check;

/// Guards against feeds that end or certificate downloads that are truncated while every backend
/// server and its agent is replaced in turn. The old agents are asked to stop while they still hold
/// feeds and downloads. Possible causes are an agent that stops without waiting for work in flight,
/// and packets of open flows that are routed by a view that no longer contains their agent.
#[test]
fn replacing_every_target_breaks_no_flow() {
    let report = run_and_check(&["indus", "--seconds", "10", "--fault", "replace-targets@1"]);
    assert_eq!(report.flows_broken, 0, "{report:#?}");
    assert_eq!(report.unknown, 0, "{report:#?}");
}

/// Guards against a filing that runs twice, or is reported as not run although it ran, when a
/// backend server and its agent are killed with requests in flight and callers retry their filings
/// with the same tickets. Possible causes are another agent that runs a filing whose home is gone,
/// or that guesses its outcome.
#[test]
fn killing_a_target_doubles_and_misreports_nothing() {
    run_and_check(&["desai", "--seconds", "6", "--fault", "kill-target@2"]);
}
