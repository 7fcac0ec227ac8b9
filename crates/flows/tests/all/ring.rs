//! Tests of the search candidates of a flow on a service's ring.

use lovagelatch_flows::{FlowKey, SEARCH_CANDIDATES};

use crate::support::{claims, claims_view, flow};

fn candidates(count: u8, flow: &FlowKey) -> Vec<lovagelatch_domain::AgentAddress> {
    let view = claims_view(count);
    let ring = view.service(claims()).expect("the service");
    let found = ring.candidates(flow.point());
    found.iter().map(|target| target.agent).collect()
}

#[test]
fn all_targets_of_a_small_service_are_candidates() {
    for count in 1..=16 {
        let mut found = candidates(count, &flow(1));
        found.sort();
        found.dedup();
        assert_eq!(found.len(), usize::from(count));
    }
}

// Guards against open flows that are not found after a target joins: a balancer that knows of the
// join searches for a flow placed by a balancer that did not, so a join must not change many
// candidates.
#[test]
fn a_join_changes_at_most_one_candidate() {
    for port in 0..200 {
        let flow = flow(port);
        let before = candidates(60, &flow);
        let after = candidates(61, &flow);
        let lost = before.iter().filter(|agent| !after.contains(agent)).count();
        assert_eq!(before.len(), SEARCH_CANDIDATES);
        assert!(lost <= 1, "{lost} candidates of {flow:?} changed");
    }
}
