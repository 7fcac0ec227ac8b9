//! New flows at a balancer.

use std::collections::BTreeSet;
use std::num::NonZeroU32;

use lovagelatch_catalog::{PublishedTarget, RequestPolicy};
use lovagelatch_domain::{AgentAddress, ConfigRevision};
use lovagelatch_flows::{
    BalancerStep, FlowBalancer, FlowEvent, FlowView, FramePurpose, LoadReport, PacketFrame,
    RefusalReason,
};

use crate::support::{
    agent, at, balancer, builder, catalog, claims_address, claims_view, data, flow, flow_update,
    idle_load, opening, route, service, target, view_of,
};

pub(crate) fn sent(step: BalancerStep) -> (AgentAddress, PacketFrame) {
    match step {
        BalancerStep::Send { to, frame, .. } => (to, frame),
        other => panic!("not sent: {other:?}"),
    }
}

// Guards against a connection that no client uses. An agent refuses a new flow and resets it at its
// client; a balancer that is not notified offers the flow to the next target 60 ms after the first
// offer.
#[test]
fn a_refused_flow_is_not_offered_again() {
    let view = claims_view(7);
    let balancer = FlowBalancer::new(balancer());
    let step = balancer.handle_packet(&opening(flow(1)), b"first", &view, at(0));
    assert!(matches!(step, BalancerStep::Send { .. }));
    // The offer may have been forwarded to another agent.
    balancer.handle_flow_update(&flow_update(flow(1), agent(7), FlowEvent::Refused), at(3));
    assert_eq!(balancer.due_offers(&view, at(100)), []);
}

#[test]
fn a_flow_stays_where_it_opened() {
    let view = claims_view(7);
    let balancer = FlowBalancer::new(balancer());
    for port in 0..100 {
        let flow = flow(port);
        let (to, frame) = sent(balancer.handle_packet(&opening(flow), b"syn", &view, at(0)));
        assert_eq!(frame.purpose, FramePurpose::Offer);
        assert!(!frame.rest.iter().any(|next| next.agent == to));
        balancer.handle_flow_update(&flow_update(flow, to, FlowEvent::Answered), at(1));
        balancer.handle_flow_update(&flow_update(flow, to, FlowEvent::Opened), at(2));
        let (known, frame) = sent(balancer.handle_packet(&data(flow), b"data", &view, at(3)));
        assert_eq!((known, frame.purpose), (to, FramePurpose::Known));
        assert!(frame.rest.is_empty());
    }
}

// Guards against agents that order requests by an older configuration, and against the cost of a
// class in every frame: only offers carry it.
#[test]
fn an_offer_carries_the_class_of_its_route() {
    let policy = |priority| RequestPolicy {
        priority,
        aim_ms: 150,
        timeout_ms: 1_000,
    };
    let balancer = FlowBalancer::new(balancer());
    let mut builder = builder();
    let mut catalog = catalog(vec![target(1, "claims")]);
    for (version, priority) in [(7, 2), (9, 1)] {
        let mut route = route(claims_address(), &[("claims", 1)]);
        route.policy = Some(policy(priority));
        route.shares[0].max_flows = NonZeroU32::new(2_000);
        catalog.version = ConfigRevision(version);
        catalog.routes = vec![route].into();
        builder.apply(&catalog, at(version));
        let view = builder.build(at(version));
        let flow = flow(priority.into());
        let step = balancer.handle_packet(&opening(flow), b"syn", &view, at(version));
        let class = sent(step).1.class.expect("a class");
        assert_eq!(class.version, ConfigRevision(version));
        assert_eq!((class.priority, class.aim_ms), (priority, 150));
        assert_eq!(class.max_flows.map(NonZeroU32::get), Some(2_000));
        balancer.handle_flow_update(&flow_update(flow, agent(1), FlowEvent::Opened), at(version));
        let step = balancer.handle_packet(&data(flow), b"data", &view, at(version));
        assert_eq!(sent(step).1.class, None);
    }
}

#[test]
fn what_cannot_be_served_is_refused_at_once() {
    let balancer = FlowBalancer::new(balancer());
    let mut elsewhere = flow(1);
    elsewhere.service_address.set_port(9);
    let step = balancer.handle_packet(&opening(elsewhere), b"syn", &claims_view(1), at(0));
    assert_eq!(step, BalancerStep::Reset(RefusalReason::NoRoute));
    let without_targets = view_of(catalog(Vec::new()));
    let step = balancer.handle_packet(&opening(flow(1)), b"syn", &without_targets, at(0));
    assert_eq!(step, BalancerStep::Reset(RefusalReason::NoTarget));
}

// Guards against a service that refuses a tenth of its requests for seconds while another service
// of the same route idles. The route sends three quarters of its flows to the service with two
// targets, all clients open flows at once after a power loss, and only targets of the selected
// service are tried.
#[test]
fn the_last_to_be_tried_is_a_target_of_the_routes_other_service() {
    let both = |targets| {
        let mut catalog = catalog(targets);
        catalog.routes = vec![route(claims_address(), &[("claims", 3), ("vault", 1)])].into();
        view_of(catalog)
    };
    let targets = [
        target(1, "claims"),
        target(2, "claims"),
        target(3, "vault"),
        target(4, "vault"),
    ];
    let balancer = FlowBalancer::new(balancer());
    let view = both(targets.to_vec());
    let mut drawn = BTreeSet::new();
    for port in 0..100 {
        let step = balancer.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        let (_, frame) = sent(step);
        let (last, rest) = frame.rest.split_last().expect("others to try");
        assert!(rest.iter().all(|next| next.service == frame.service));
        assert_ne!(last.service, frame.service);
        drawn.insert(frame.service);
    }
    assert_eq!(drawn.len(), 2);
    // A service without targets is no reason to refuse the flow.
    let view = both(targets[2..].to_vec());
    for port in 100..200 {
        let step = balancer.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        assert_eq!(sent(step).1.service, service("vault").id());
    }
}

// Guards against a flow that is refused although it has just opened: its route is removed, a late
// retransmission of its first packet arrives, and the route is looked up before the flow.
#[test]
fn a_late_copy_is_not_refused_when_its_route_is_gone() {
    let balancer = FlowBalancer::new(balancer());
    let (to, _) = sent(balancer.handle_packet(&opening(flow(1)), b"syn", &claims_view(3), at(0)));
    balancer.handle_flow_update(&flow_update(flow(1), to, FlowEvent::Answered), at(1));
    let mut dropped = catalog((1..=3).map(|n| target(n, "claims")).collect());
    dropped.routes = Vec::new().into();
    let dropped = view_of(dropped);
    let step = balancer.handle_packet(&opening(flow(1)), b"syn", &dropped, at(200));
    assert_eq!(sent(step).0, to);
    let step = balancer.handle_packet(&opening(flow(2)), b"syn", &dropped, at(200));
    assert_eq!(step, BalancerStep::Reset(RefusalReason::NoRoute));
}

// Guards against clients that are refused three times within milliseconds after a power loss and
// give up. Routers send packets to a balancer that has just started; if it has no configuration
// yet, that must not count as a configuration without routes.
#[test]
fn without_a_configuration_nothing_is_refused() {
    let balancer = FlowBalancer::new(balancer());
    let view = FlowView::default();
    for packet in [opening(flow(1)), data(flow(1))] {
        let step = balancer.handle_packet(&packet, b"bytes", &view, at(0));
        assert_eq!(step, BalancerStep::Hold);
    }
}

// Guards against a client that waits 200 ms for its own retransmission: a machine dies, the
// balancer offers it a flow, and nothing else notices the missing answer.
#[test]
fn an_unanswered_offer_goes_to_the_next_target() {
    let view = claims_view(3);
    let balancer = FlowBalancer::new(balancer());
    let (first, _) = sent(balancer.handle_packet(&opening(flow(1)), b"syn", &view, at(0)));
    assert_eq!(balancer.due_offers(&view, at(10)), []);
    let due = balancer.next_due().expect("an offer waits");
    let again = balancer.due_offers(&view, due);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].silent, first);
    assert_ne!(again[0].to, first);
    assert_eq!(&again[0].bytes[..], b"syn");
    // The second target answers, so no offer is due.
    balancer.handle_flow_update(&flow_update(flow(1), again[0].to, FlowEvent::Answered), due);
    assert_eq!(balancer.next_due(), None);
}

#[test]
fn an_answered_offer_is_not_made_again() {
    let view = claims_view(3);
    let balancer = FlowBalancer::new(balancer());
    let (first, _) = sent(balancer.handle_packet(&opening(flow(1)), b"syn", &view, at(0)));
    balancer.handle_flow_update(&flow_update(flow(1), first, FlowEvent::Answered), at(5));
    assert_eq!(balancer.due_offers(&view, at(1_000)), []);
    // The client retransmits: the same target answers again.
    let (to, _) = sent(balancer.handle_packet(&opening(flow(1)), b"syn", &view, at(200)));
    assert_eq!(to, first);
}

// Guards against a request that goes to a target that never accepted it. Two targets answer the
// first packet; the client takes the answer of the first one offered, the balancer that of the
// other. The agents must check the balancer's guess.
#[test]
fn packets_of_a_flow_offered_twice_name_both_agents() {
    let view = claims_view(3);
    let balancer = FlowBalancer::new(balancer());
    let (first, _) = sent(balancer.handle_packet(&opening(flow(1)), b"syn", &view, at(0)));
    let second = balancer.due_offers(&view, at(100))[0].to;
    balancer.handle_flow_update(&flow_update(flow(1), second, FlowEvent::Answered), at(101));
    balancer.handle_flow_update(&flow_update(flow(1), first, FlowEvent::Answered), at(102));
    let (to, frame) = sent(balancer.handle_packet(&data(flow(1)), b"data", &view, at(103)));
    assert_eq!(to, second);
    let rest: Vec<_> = frame.rest.iter().map(|next| next.agent).collect();
    assert_eq!(rest, [first]);
    balancer.handle_flow_update(&flow_update(flow(1), first, FlowEvent::Opened), at(104));
    let (to, frame) = sent(balancer.handle_packet(&data(flow(1)), b"data", &view, at(105)));
    assert_eq!(to, first);
    assert!(frame.rest.is_empty());
}

struct AvoidCase {
    name: &'static str,
    report: fn(&mut LoadReport),
}

#[test]
fn a_target_in_trouble_is_passed_over() {
    let cases = [
        AvoidCase {
            name: "its agent stops",
            report: |load| load.leaving = true,
        },
        AvoidCase {
            name: "it does not answer",
            report: |load| load.responsive = false,
        },
    ];
    for case in cases {
        let view = claims_view(3);
        let balancer = FlowBalancer::new(balancer());
        let mut report = idle_load(agent(1));
        (case.report)(&mut report);
        balancer.record_load(&report, at(0));
        for port in 0..200 {
            let step = balancer.handle_packet(&opening(flow(port)), b"syn", &view, at(1));
            assert_ne!(sent(step).0, agent(1), "{}", case.name);
        }
    }
}

// Guards against requests that are sent to the only target seconds after it announced its stop,
// because the last resort has no time limit.
#[test]
fn a_leaving_target_is_a_last_resort_for_a_moment_only() {
    let leaving = |number| {
        let mut target = target(number, "claims");
        target.leaving = true;
        target
    };
    let balancer = FlowBalancer::new(balancer());
    let one_left = view_of(catalog(vec![leaving(1), target(2, "claims")]));
    for port in 0..100 {
        let step = balancer.handle_packet(&opening(flow(port)), b"syn", &one_left, at(0));
        let (to, frame) = sent(step);
        assert_eq!(to, agent(2));
        assert!(frame.rest.iter().all(|next| next.agent != agent(1)));
    }
    let none_left = view_of(catalog(vec![leaving(1), leaving(2)]));
    let step = balancer.handle_packet(&opening(flow(200)), b"syn", &none_left, at(0));
    sent(step);
    let step = balancer.handle_packet(&opening(flow(201)), b"syn", &none_left, at(1_000));
    assert_eq!(step, BalancerStep::Reset(RefusalReason::NoTarget));
}

struct ReassignedCase {
    name: &'static str,
    /// Targets besides the one whose agent reports another service.
    others: Vec<PublishedTarget>,
    /// When that target is first listed, in milliseconds; its agent reports at 100 ms.
    listed_ms: u64,
    /// When the flows arrive, in milliseconds.
    arrives_ms: u64,
    /// The agent that gets all flows; `None` if they are refused.
    expected: Option<u8>,
}

// Guards against an outdated store entry whose agent refuses all flows that a leaving target accepts.
#[test]
fn a_target_whose_agent_reports_another_service_gets_no_new_flows() {
    let leaving = PublishedTarget {
        leaving: true,
        ..target(2, "claims")
    };
    let case = |name, others: &[PublishedTarget], expected| ReassignedCase {
        name,
        others: others.to_vec(),
        listed_ms: 0,
        arrives_ms: 200,
        expected,
    };
    let cases = [
        case("another target serves", &[target(2, "claims")], Some(2)),
        case("another target is leaving", &[leaving], Some(2)),
        case("no other target", &[], None),
        ReassignedCase {
            listed_ms: 150,
            ..case("the entry is newer than the report", &[], Some(1))
        },
        ReassignedCase {
            arrives_ms: 2_200,
            ..case("the report is old", &[], Some(1))
        },
    ];
    for case in cases {
        let balancer = FlowBalancer::new(balancer());
        let report = LoadReport::idle(agent(1), service("vault").id());
        balancer.record_load(&report, at(100));
        let mut builder = builder();
        let targets = case.others.into_iter().chain([target(1, "claims")]);
        builder.apply(&catalog(targets.collect()), at(case.listed_ms));
        let view = builder.build(at(case.arrives_ms));
        for port in 0..100 {
            let now = at(case.arrives_ms);
            let step = balancer.handle_packet(&opening(flow(port)), b"syn", &view, now);
            let Some(expected) = case.expected else {
                let refused = BalancerStep::Reset(RefusalReason::NoTarget);
                assert_eq!(step, refused, "{}", case.name);
                continue;
            };
            let (to, frame) = sent(step);
            assert_eq!(to, agent(expected), "{}", case.name);
            assert!(frame.rest.is_empty(), "{}", case.name);
        }
    }
}

#[test]
fn new_flows_spread_over_equal_targets() {
    let view = claims_view(7);
    let balancer = FlowBalancer::new(balancer());
    let mut counts = [0_u32; 8];
    for port in 0..7_000 {
        if port % 10 == 0 {
            for number in 1..=7 {
                balancer.record_load(&idle_load(agent(number)), at(0));
            }
        }
        let step = balancer.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        counts[usize::from(sent(step).0.0.ip().octets()[3])] += 1;
    }
    let (least, most) = (counts[1..].iter().min(), counts[1..].iter().max());
    assert!(least > Some(&800) && most < Some(&1_200), "{counts:?}");
}
