//! Searches in views that may lack a target that was listed a moment ago.

use std::collections::BTreeSet;

use lovagelatch_domain::Moment;
use lovagelatch_flows::{
    DueSearch, FlowBalancer, FlowEvent, FlowView, FlowViewBuilder, LossReason,
};

use crate::balancer::sent;
use crate::search::queried;
use crate::support::{agent, at, balancer, builder, catalog, data, flow, flow_update, target};

/// A builder whose catalog has `count` targets and was compared with the store at `verified_at`.
fn builder_verified_at(count: u8, verified_at: Moment) -> FlowViewBuilder {
    let mut builder = builder();
    list_targets(&mut builder, count, verified_at);
    builder
}

fn list_targets(builder: &mut FlowViewBuilder, count: u8, verified_at: Moment) {
    builder.set_verified_at(verified_at);
    let targets = (1..=count).map(|number| target(number, "claims"));
    builder.apply(&catalog(targets.collect()), verified_at);
}

/// Searches for a flow at 100 ms; all `count` agents report it as absent.
fn search_in_vain(balancer: &FlowBalancer, view: &FlowView, count: u8) {
    queried(balancer.handle_packet(&data(flow(1)), b"data", view, at(100)));
    for number in 1..=count {
        let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
        let outcome = balancer.handle_flow_update(&update, at(101));
        assert_eq!(outcome.reset, None, "agent {number}");
    }
}

// Guards against open flows that are reset where balancers are replaced during a release: another
// balancer heard of a new target first and placed the flow there, and this one asks everybody else.
#[test]
fn a_flow_at_a_target_that_only_others_have_heard_of_is_found() {
    let mut builder = builder_verified_at(3, at(50));
    let balancer = FlowBalancer::new(balancer());
    let view = builder.build(at(100));
    search_in_vain(&balancer, &view, 3);
    assert_eq!(balancer.due_searches(&view, at(101)), []);
    assert_eq!(balancer.take_verification_request(), Some(at(100)));
    for millis in (110..300).step_by(10) {
        assert_eq!(balancer.due_searches(&view, at(millis)), []);
    }
    list_targets(&mut builder, 4, at(290));
    let view = builder.build(at(300));
    let due = balancer.due_searches(&view, at(310));
    let [DueSearch::Query { frames, .. }] = &due[..] else {
        panic!("not queried: {due:?}");
    };
    let asked: BTreeSet<_> = frames.iter().map(|(to, _)| *to).collect();
    assert_eq!(asked, BTreeSet::from([agent(4)]));
    balancer.handle_flow_update(&flow_update(flow(1), agent(4), FlowEvent::Opened), at(312));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(313));
    assert_eq!(sent(step).0, agent(4));
}

// Guards against a lost flow that is told late, or not at all while its client retransmits.
#[test]
fn a_lost_flow_is_reset_once_the_view_is_verified() {
    let mut builder = builder_verified_at(3, at(50));
    let balancer = FlowBalancer::new(balancer());
    let view = builder.build(at(100));
    search_in_vain(&balancer, &view, 3);
    let _retransmitted = balancer.handle_packet(&data(flow(1)), b"data", &view, at(290));
    assert_eq!(balancer.due_searches(&view, at(295)), []);
    // After the first packet, but before its copy.
    builder.set_verified_at(at(101));
    let view = builder.build(at(300));
    let due = balancer.due_searches(&view, at(310));
    let [DueSearch::Lost(reset)] = &due[..] else {
        panic!("not lost: {due:?}");
    };
    assert_eq!((reset.flow, reset.reason), (flow(1), LossReason::Unheld));
    assert_eq!(balancer.take_verification_request(), Some(at(100)));
    assert_eq!(balancer.take_verification_request(), None);
}

struct RequestCase {
    name: &'static str,
    verified_at: Moment,
    store_failed: bool,
    /// The request that the search makes.
    request: Option<Moment>,
}

// Guards against reads of the store that prove nothing.
#[test]
fn a_verification_is_requested_only_if_it_can_end_a_search() {
    let cases = [
        RequestCase {
            name: "the view is older than the packet",
            verified_at: at(99),
            store_failed: false,
            request: Some(at(100)),
        },
        RequestCase {
            name: "entries of live targets may have lapsed",
            verified_at: at(99),
            store_failed: true,
            request: None,
        },
    ];
    for case in cases {
        let mut builder = builder_verified_at(3, case.verified_at);
        if case.store_failed {
            builder.record_store_failure(at(99));
        }
        let balancer = FlowBalancer::new(balancer());
        let view = builder.build(at(100));
        queried(balancer.handle_packet(&data(flow(1)), b"data", &view, at(100)));
        assert_eq!(balancer.take_verification_request(), None, "{}", case.name);
        for number in 1..=3 {
            let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
            balancer.handle_flow_update(&update, at(101));
        }
        assert_eq!(balancer.due_searches(&view, at(102)), [], "{}", case.name);
        let request = balancer.take_verification_request();
        assert_eq!(request, case.request, "{}", case.name);
    }
}
