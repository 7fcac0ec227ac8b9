//! What operators are told of one flow.

use lovagelatch_flows::{FlowBalancer, FlowEvent, ViewCoverage};

use crate::agent::restarted_agent;
use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, claims_view, data, flow, flow_update, idle_load, opening,
};

#[test]
fn a_balancer_tells_where_a_flow_is_and_who_may_hold_it() {
    let view = claims_view(3);
    let decisions = FlowBalancer::new(balancer());
    decisions.record_load(&idle_load(agent(2)), at(0));
    let outlook = decisions.explain(&flow(1), &view, at(30));
    assert_eq!(outlook.service.as_deref(), Some("claims"));
    assert_eq!(
        (outlook.version, outlook.agent, outlook.coverage),
        (1, None, ViewCoverage::Complete)
    );
    assert_eq!((outlook.candidates.len(), outlook.holders), (3, 3));
    let heard = outlook.candidates.iter().find(|one| one.agent == agent(2));
    let heard = heard.expect("the second one");
    assert_eq!((heard.load_age_ms, heard.in_progress), (Some(30), Some(0)));
    let others = outlook
        .candidates
        .iter()
        .filter(|one| one.agent != agent(2));
    assert!(others.into_iter().all(|one| one.load_age_ms.is_none()));
    let (to, _) = sent(decisions.handle_packet(&opening(flow(1)), b"first", &view, at(31)));
    decisions.handle_flow_update(&flow_update(flow(1), to, FlowEvent::Opened), at(32));
    assert_eq!(decisions.explain(&flow(1), &view, at(33)).agent, Some(to));
}

#[test]
fn an_address_without_a_route_has_no_outlook() {
    let mut stray = flow(1);
    stray.service_address.set_port(9);
    let outlook = FlowBalancer::new(balancer()).explain(&stray, &claims_view(3), at(0));
    assert_eq!((outlook.route, outlook.service), (None, None));
    assert!(outlook.candidates.is_empty());
}

#[test]
fn an_agent_tells_what_its_target_holds() {
    let mut decisions = restarted_agent();
    assert_eq!(decisions.explain(&flow(1), at(0)), None);
    // The target sends on a flow that opened before the agent was started.
    decisions.handle_target_packet(&data(flow(1)), at(5));
    let held = decisions.explain(&flow(1), at(25)).expect("held");
    assert_eq!(
        (held.state, held.silent_ms, held.balancer),
        ("open", 20, None)
    );
}
