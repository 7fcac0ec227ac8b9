//! What balancers and agents report to operators about one flow.

use lovagelatch_flows::{FlowBalancer, FlowEvent, ViewCoverage};

use crate::agent::restarted_agent;
use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, claims_view, data, flow, flow_update, idle_load, opening,
};

#[test]
fn a_balancer_explains_where_a_flow_is_and_its_candidates() {
    let view = claims_view(3);
    let decisions = FlowBalancer::new(balancer());
    decisions.record_load(&idle_load(agent(2)), at(0));
    let explanation = decisions.explain(&flow(1), &view, at(30));
    assert_eq!(explanation.service.as_deref(), Some("claims"));
    assert_eq!(
        (explanation.version, explanation.agent, explanation.coverage),
        (1, None, ViewCoverage::Complete)
    );
    assert_eq!((explanation.candidates.len(), explanation.holders), (3, 3));
    let reported = explanation
        .candidates
        .iter()
        .find(|candidate| candidate.agent == agent(2));
    let reported = reported.expect("the candidate with a load report");
    assert_eq!(
        (reported.load_age_ms, reported.in_progress),
        (Some(30), Some(0))
    );
    let others = explanation
        .candidates
        .iter()
        .filter(|candidate| candidate.agent != agent(2));
    assert!(
        others
            .into_iter()
            .all(|candidate| candidate.load_age_ms.is_none())
    );
    let (to, _) = sent(decisions.handle_packet(&opening(flow(1)), b"first", &view, at(31)));
    decisions.handle_flow_update(&flow_update(flow(1), to, FlowEvent::Opened), at(32));
    assert_eq!(decisions.explain(&flow(1), &view, at(33)).agent, Some(to));
}

#[test]
fn an_address_without_a_route_has_no_candidates() {
    let mut stray = flow(1);
    stray.service_address.set_port(9);
    let explanation = FlowBalancer::new(balancer()).explain(&stray, &claims_view(3), at(0));
    assert_eq!((explanation.route, explanation.service), (None, None));
    assert!(explanation.candidates.is_empty());
}

#[test]
fn an_agent_explains_a_flow_of_its_target() {
    let mut decisions = restarted_agent();
    assert_eq!(decisions.explain(&flow(1), at(0)), None);
    // The target sends on a flow that was opened before the agent started.
    decisions.handle_target_packet(&data(flow(1)), at(5));
    let held = decisions.explain(&flow(1), at(25)).expect("held");
    assert_eq!(
        (held.state, held.silent_ms, held.balancer),
        ("open", 20, None)
    );
}
