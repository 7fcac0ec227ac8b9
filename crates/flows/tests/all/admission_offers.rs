//! New flows of routes with a class: accepted, passed on or reset.

use lovagelatch_flows::{
    AdmissionEvent, AgentStep, FlowEvent, FlowPacket, FramePurpose, OfferRefusal, PacketFlags,
    PacketFrame,
};

use crate::admission_rig::{AdmissionRig, FULL, IDLE, SLOTS, class, ending, limited_class};
use crate::agent::{answer, forwarded, frame, restarted_agent};
use crate::support::{at, data, flow, opening};

fn refusals(rig: &mut AdmissionRig) -> Vec<(OfferRefusal, bool)> {
    let events = std::mem::take(&mut rig.events);
    let refused = events.into_iter().filter_map(|event| match event {
        AdmissionEvent::OfferRefused(offer) => Some((offer.refusal, offer.passed_on)),
        _ => None,
    });
    refused.collect()
}

// Guards against flows that the target resets because it holds as many as it can: their clients
// lose a round trip, and other targets have room.
#[test]
fn offers_beyond_the_flow_limit_go_elsewhere() {
    let mut rig = AdmissionRig::new(Some(limited_class(4)));
    rig.open(flow(1), at(0));
    rig.open(flow(2), at(0));
    // One flow that the target has answered, and one that it was offered.
    rig.offer(flow(3), &[], at(0));
    rig.target_packet(&answer(flow(3)), at(0));
    rig.offer(flow(4), &[], at(0));
    assert_eq!(forwarded(rig.offer(flow(5), &[2], at(1))).0, 2);
    assert_eq!(rig.offer(flow(5), &[], at(1)), AgentStep::Reset);
    assert_eq!(
        refusals(&mut rig),
        [
            (OfferRefusal::FlowLimit, true),
            (OfferRefusal::FlowLimit, false)
        ]
    );
    // The flow that was offered and the one that was answered no longer count after their clients
    // have given up.
    rig.agent.expire_idle(IDLE, at(2_000));
    rig.respond(flow(1), at(2_000));
    assert!(matches!(
        rig.offer(flow(6), &[2], at(2_000)),
        AgentStep::Deliver { .. }
    ));
}

// Guards against a target that stays full of flows that have ended.
#[test]
fn ended_flows_do_not_count_against_the_limit() {
    let reset = PacketFlags {
        rst: true,
        ..PacketFlags::default()
    };
    for by_target in [true, false] {
        let mut rig = AdmissionRig::new(Some(limited_class(1)));
        rig.open(flow(1), at(0));
        assert_eq!(rig.offer(flow(2), &[], at(1)), AgentStep::Reset);
        if by_target {
            rig.target_packet(&ending(flow(1), reset), at(2));
        } else {
            rig.client_packet(&ending(flow(1), reset), at(2));
        }
        assert!(matches!(
            rig.offer(flow(3), &[], at(3)),
            AgentStep::Deliver { .. }
        ));
    }
}

// Guards against an open flow that is reset: a late copy of its first packet arrives while the
// target holds as many flows as it can.
#[test]
fn a_copy_of_the_first_packet_of_an_open_flow_is_never_reset() {
    let mut rig = AdmissionRig::new(Some(limited_class(1)));
    rig.open(flow(1), at(0));
    rig.requests(100..100, at(0));
    for rest in [&[][..], &[2]] {
        let step = rig.offer(flow(1), rest, at(300));
        assert!(matches!(step, AgentStep::Deliver { .. }), "{step:?}");
    }
    // The same at an agent that may not know the flow, and where the balancer says that the packet
    // may be such a copy.
    let mut restarted = AdmissionRig::with_agent(restarted_agent(), Some(limited_class(1)));
    restarted.offer(flow(8), &[], at(0));
    let step = restarted.offer(flow(1), &[], at(1));
    assert!(matches!(step, AgentStep::Deliver { .. }), "{step:?}");
    let copy = PacketFrame {
        zones_revision: 0.into(),
        ..rig.offer_frame(&[])
    };
    let (step, _) = rig.agent.handle_frame(copy, &opening(flow(9)), at(301));
    assert_ne!(step, AgentStep::Reset);
    // The same where another target may have answered: a copy that the client numbered, and an
    // offer after one that was not answered in time.
    let numbered = FlowPacket {
        acknowledged: 1,
        ..opening(flow(9))
    };
    let offer = rig.offer_frame(&[]);
    let (step, _) = rig.agent.handle_frame(offer, &numbered, at(302));
    assert_ne!(step, AgentStep::Reset);
    let further = PacketFrame {
        class: None,
        ..rig.offer_frame(&[])
    };
    let (step, _) = rig.agent.handle_frame(further, &opening(flow(10)), at(303));
    assert_ne!(step, AgentStep::Reset);
}

// Guards against new flows whose requests wait at a busy target while other candidates are idle, and
// against flows that open only to be too late.
#[test]
fn offers_that_cannot_be_served_in_time_go_elsewhere() {
    let mut rig = AdmissionRig::new(Some(class(1, 100)));
    // The tests' target counts as busy with twice its slots.
    assert_eq!(rig.requests(0..2 * SLOTS - 1, at(0)), 0);
    assert!(matches!(
        rig.offer(flow(50), &[2], at(1)),
        AgentStep::Deliver { .. }
    ));
    rig.requests(100..101, at(1));
    assert_eq!(forwarded(rig.offer(flow(51), &[2], at(2))).0, 2);
    assert_eq!(refusals(&mut rig), [(OfferRefusal::Busy, true)]);
    for number in 0..40 {
        rig.offer(flow(200 + number), &[], at(2));
    }
    let offer = rig.offer_frame(&[]);
    let (step, update) = rig.agent.handle_frame(offer, &opening(flow(52)), at(3));
    assert_eq!(step, AgentStep::Reset);
    assert_eq!(update.expect("an update").1.event, FlowEvent::Refused);
}

// Guards against a target that counts as busy while it is idle: flows that are offered to it open at
// another target, or not at all. When that held for each target of a service, every new flow was
// passed along the whole list of candidates.
#[test]
fn flows_that_do_not_open_soon_stop_counting() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    let accepted = (0..200).filter(|&port| {
        let step = rig.offer(flow(port), &[2], at(0));
        rig.agent.handle_target_packet(&answer(flow(port)), at(0));
        matches!(step, AgentStep::Deliver { .. })
    });
    // When all clients of a fleet return at once, the first target must not accept them all.
    let accepted = accepted.count();
    assert!((usize::from(FULL)..50).contains(&accepted), "{accepted}");
    assert!(matches!(
        rig.offer(flow(300), &[2], at(50)),
        AgentStep::Forward { .. }
    ));
    assert!(matches!(
        rig.offer(flow(301), &[2], at(120)),
        AgentStep::Deliver { .. }
    ));
    assert_eq!(rig.agent.status(at(120)).load.in_progress, 1);
}

// Guards against the same where the agent learns that the client accepted another target's answer.
#[test]
fn a_flow_that_opens_elsewhere_stops_counting_at_once() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.offer(flow(1), &[2], at(0));
    rig.target_packet(&answer(flow(1)), at(1));
    assert_eq!(rig.agent.status(at(1)).load.in_progress, 1);
    let elsewhere = FlowPacket {
        acknowledged: 777_777,
        ..data(flow(1))
    };
    let known = frame(FramePurpose::Known, &[2]);
    assert_eq!(
        forwarded(rig.agent.handle_frame(known, &elsewhere, at(2)).0).0,
        2
    );
    assert_eq!(rig.agent.status(at(2)).load.in_progress, 0);
    // Its later expiry changes nothing.
    rig.advance(at(200));
    assert_eq!(rig.agent.status(at(200)).load.in_progress, 0);
}

// Guards against a balancer that sends more flows to an agent whose requests wait: they are not yet
// in progress at its target.
#[test]
fn waiting_requests_make_an_agent_busier() {
    let load = |waiting| {
        let mut rig = AdmissionRig::new(Some(class(1, 400)));
        rig.requests(0..FULL + waiting, at(0));
        rig.agent.status(at(50)).load
    };
    let (without, with) = (load(0), load(3));
    assert_eq!((without.waiting, with.waiting), (0, 3));
    assert_eq!(without.in_progress, with.in_progress);
    assert!(with.average_milli > without.average_milli);
}
