//! Relays between two availability zones that cannot reach each other while a third one reaches
//! both, with flows open between the two.

use lovagelatch_catalog::PublishedTarget;
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_flows::{
    BalancerStep, FlowBalancer, FlowEvent, FlowView, FramePurpose, PacketFrame, PeerFrame,
    is_relayable, read_frame, write_relay_frame,
};

use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, catalog, claims, data, flow, flow_update, idle_load, opening, target,
    view_of,
};

/// Targets beside agents 1 to 9: 3, 6, 9 in hall-a, the balancer's own zone; 1, 4, 7 in hall-b; 2,
/// 5, 8 in hall-c.
fn three_zones() -> FlowView {
    let placed = |number: u8| PublishedTarget {
        zone: ["hall-a", "hall-b", "hall-c"][usize::from(number % 3)]
            .parse()
            .expect("a zone"),
        ..target(number, "claims")
    };
    view_of(catalog((1..=9).map(placed).collect()))
}

fn zone_of(agent: AgentAddress) -> u8 {
    agent.0.ip().octets()[3] % 3
}

/// A balancer that has a flow open at agent 1 and last hears the agents in `heard` at `last_heard`.
fn with_flow(view: &FlowView, heard: &[u8], last_heard: Moment) -> FlowBalancer {
    let balancer = FlowBalancer::new(balancer());
    balancer.handle_packet(&opening(flow(1)), b"syn", view, at(0));
    balancer.handle_flow_update(&flow_update(flow(1), agent(1), FlowEvent::Answered), at(1));
    balancer.handle_flow_update(&flow_update(flow(1), agent(1), FlowEvent::Opened), at(2));
    for &number in heard {
        balancer.record_load(&idle_load(agent(number)), last_heard);
    }
    balancer
}

fn relay_of(step: BalancerStep) -> Option<AgentAddress> {
    match step {
        BalancerStep::Send { relay, .. } => relay,
        other => panic!("not sent: {other:?}"),
    }
}

// Guards against a filing that waits for as long as two zones are cut off from each other, and then
// fails. A flow opens, the cut separates its balancer's zone from its target's, and the client
// sends its request; the balancer needs a second path to the agent.
#[test]
fn a_packet_for_a_silent_agent_goes_through_a_third_zone_as_well() {
    let view = three_zones();
    let balancer = with_flow(&view, &[2, 3, 4, 5, 6, 7, 8, 9], at(380));
    // No copy is sent while the agent is responsive or its silence is short.
    for millis in [3, 150, 290] {
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(millis));
        assert_eq!(relay_of(step), None, "{millis} ms");
    }
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(400));
    let (to, frame) = sent(step.clone());
    assert_eq!((to, frame.purpose), (agent(1), FramePurpose::Known));
    assert_eq!(zone_of(relay_of(step).expect("a relay")), 2);
    // The zones reach each other again.
    balancer.record_load(&idle_load(agent(1)), at(500));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(510));
    assert_eq!(relay_of(step), None);
}

struct RelayCase {
    name: &'static str,
    hears: &'static [u8],
}

#[test]
fn only_an_agent_of_a_third_zone_that_is_heard_relays() {
    let cases = [
        RelayCase {
            name: "nobody is heard",
            hears: &[],
        },
        RelayCase {
            name: "its own zone and the silent one",
            hears: &[3, 4, 6, 7, 9],
        },
    ];
    let view = three_zones();
    for case in cases {
        let balancer = with_flow(&view, case.hears, at(380));
        balancer.handle_packet(&data(flow(1)), b"data", &view, at(3));
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(400));
        assert_eq!(relay_of(step), None, "{}", case.name);
    }
    // The agents that were heard before have gone silent.
    let balancer = with_flow(&view, &[2, 5, 8], at(100));
    balancer.handle_packet(&data(flow(1)), b"data", &view, at(3));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(800));
    assert_eq!(relay_of(step), None);
}

// Guards against packets that circulate between agents, and against flows that open without having
// been placed by a balancer, because a relay does not check what it forwards.
#[test]
fn only_packets_of_known_flows_are_relayed_and_only_once() {
    let known = PacketFrame::new(FramePurpose::Known, claims(), balancer());
    let mut relayed = Vec::new();
    let frame = PeerFrame::Packet(known.clone());
    write_relay_frame(agent(1), &frame, b"data", &mut relayed);
    let Ok((PeerFrame::Relay { to }, inner)) = read_frame(&relayed) else {
        panic!("not a relayed frame");
    };
    assert_eq!(to, agent(1));
    assert!(is_relayable(inner));
    assert_eq!(read_frame(inner), Ok((frame, &b"data"[..])));
    assert!(!is_relayable(&relayed), "a relayed frame in another");
    assert!(!is_relayable(b""));
    for purpose in [FramePurpose::Offer, FramePurpose::Search] {
        let frame = PeerFrame::Packet(PacketFrame {
            purpose,
            ..known.clone()
        });
        write_relay_frame(agent(1), &frame, b"data", &mut relayed);
        let Ok((_, inner)) = read_frame(&relayed) else {
            panic!("not a frame");
        };
        assert!(!is_relayable(inner), "{purpose:?}");
    }
}
