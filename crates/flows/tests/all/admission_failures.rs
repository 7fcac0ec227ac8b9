//! Requests that wait while a process fails, a target misbehaves or a limit is reached.

use lovagelatch_domain::ConfigRevision;
use lovagelatch_flows::{AdmissionEvent, AgentStep, DeliveryReason, FramePurpose, RequestClass};

use crate::admission_rig::{
    AdmissionRig, FULL, IDLE, SLOTS, class, learn_service_time, other_route,
};
use crate::agent::{delivered, frame, restarted_agent};
use crate::support::{at, flow};

// Guards against a request that is lost because its agent died while it waited. Nothing ran; the
// client's copy is found by a search, and the restarted agent hands it to the target.
#[test]
fn a_request_survives_an_agent_that_dies_while_it_waits() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.requests(0..FULL, at(0));
    rig.open(flow(50), at(0));
    let request = rig.next_data(flow(50), 100);
    assert_eq!(rig.client_packet(&request, at(1)), AgentStep::Hold);
    let mut restarted = restarted_agent();
    let search = frame(FramePurpose::Search, &[]);
    delivered(restarted.handle_frame(search, &request, at(200)).0);
}

// Guards against requests that are lost, or held for longer than either class allows, when the
// operator changes the priority and the objective of their route.
#[test]
fn a_class_that_changes_applies_to_later_requests() {
    let mut rig = AdmissionRig::new(Some(class(2, 400)));
    rig.requests(0..FULL, at(0));
    for port in [50, 51, 52] {
        rig.open(flow(port), at(0));
    }
    assert_eq!(rig.request(flow(50), at(0)), AgentStep::Hold);
    let newer = RequestClass {
        version: ConfigRevision(8),
        ..class(0, 200)
    };
    rig.class = Some(newer);
    rig.open(flow(60), at(1));
    // A balancer with an older configuration still sends the older class.
    rig.class = Some(class(2, 400));
    rig.open(flow(61), at(1));
    assert_eq!(rig.request(flow(51), at(1)), AgentStep::Hold);
    rig.advance(at(51));
    let released = rig.released();
    assert_eq!((released[0].flow, released[0].priority), (flow(51), 0));
    rig.advance(at(100));
    assert_eq!(rig.released_ports(), [50]);
}

// Guards against a table of classes that grows with each route of a large configuration, and against
// a waiting request that is lost when its route's class is evicted.
#[test]
fn the_table_of_classes_is_bounded() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    assert_eq!(rig.requests(0..FULL + 1, at(0)), 1);
    for number in 0..100 {
        let mut other = other_route(1_000 + number);
        other.service_address.set_port(number);
        rig.class = Some(RequestClass {
            version: ConfigRevision(8),
            ..class(1, 400)
        });
        rig.offer(other, &[2], at(1));
    }
    rig.advance(at(100));
    assert_eq!(rig.released_ports(), [FULL]);
}

// Guards against a target that takes requests and never answers: requests wait for it in vain, each
// for the whole bound, and those given to it count for ever.
#[test]
fn requests_to_a_target_that_never_answers_stop_counting() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.requests(0..FULL + 1, at(0));
    rig.advance(at(100));
    assert_eq!(rig.released_ports(), [FULL]);
    assert_eq!(rig.agent.status(at(100)).in_service, FULL + 1);
    rig.agent.expire_idle(IDLE, at(4_200));
    rig.advance(at(4_200));
    let status = rig.agent.status(at(4_200));
    assert_eq!((status.in_service, status.load.in_progress), (0, 0));
}

// Guards against requests that wait in vain at a target that has become much slower than learned:
// each is released when its bound expires, whatever was expected.
#[test]
fn a_target_slower_than_learned_delays_requests_only_by_the_bound() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    learn_service_time(&mut rig, flow(300), 4, 0);
    let held = rig.requests(0..60, at(1_000));
    assert!(held > 10, "{held} requests wait");
    rig.advance(at(1_050));
    assert!(rig.released().is_empty());
    rig.advance(at(1_100));
    assert_eq!(rig.released().len(), held);
}

// Guards against requests that wait in vain during a long overload, and against an agent that lets
// none wait after it has ended.
#[test]
fn the_expected_wait_is_corrected_while_bounds_expire() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    for port in 0..60 {
        rig.open(flow(port), at(u64::from(port) * 150));
    }
    let held = |rig: &mut AdmissionRig, ports: std::ops::Range<u16>, millis| {
        let held = ports.filter(|&port| rig.request(flow(port), at(millis)) == AgentStep::Hold);
        held.count()
    };
    let mut now = 10_000;
    assert_eq!(held(&mut rig, 0..FULL, now), 0);
    // The target answers nothing for a while.
    let mut held_count = 0;
    for port in 20..50 {
        held_count += held(&mut rig, port..port + 1, now);
        now += 100;
        rig.advance(at(now));
    }
    assert!((1..20).contains(&held_count), "{held_count} of 30 waited");
    for port in (0..FULL).chain(20..50) {
        rig.respond(flow(port), at(now));
    }
    for _ in 0..200 {
        now += 30;
        rig.request(flow(0), at(now));
        rig.respond(flow(0), at(now + 10));
    }
    let held_count = held(&mut rig, 0..FULL + 20, now + 30);
    assert!(held_count >= 15, "{held_count} of 20 wait");
}

// Guards against an agent that runs out of its 64 MB because it holds packets.
#[test]
fn held_packets_are_bounded() {
    let mut rig = AdmissionRig::new(Some(class(1, 60_000)));
    for round in 0..5 {
        learn_service_time(&mut rig, flow(9_000 + round), 1, u64::from(round) * 150);
    }
    // More requests than can wait: the next ones are delivered.
    for port in 0..700 {
        rig.open(flow(port), at(1_000));
    }
    let held = (0..700).filter(|&port| rig.request(flow(port), at(1_000)) == AgentStep::Hold);
    assert_eq!(held.count(), 256);
    // Many packets of one request: at some point all of them are delivered, in their order.
    let mut rig = AdmissionRig::new(Some(class(1, 60_000)));
    assert_eq!(rig.requests(0..FULL + 1, at(0)), 1);
    let mut held_bytes = 0;
    loop {
        let packet = rig.next_data(flow(FULL), 1_200);
        if rig.client_packet(&packet, at(1)) != AgentStep::Hold {
            break;
        }
        held_bytes += 1_200;
        assert!(held_bytes <= 512 * 1_024, "{held_bytes} bytes are held");
    }
    let released = rig.released();
    assert_eq!(released[0].reason, DeliveryReason::QueueFull);
    let packet = rig.next_data(flow(FULL), 1_200);
    assert_eq!(
        rig.client_packet(&packet, at(2)),
        AgentStep::Deliver { tag: 0 }
    );
}

// Guards against an agent that gives its target too few requests for the rest of its life, or holds
// them in vain, because the target once rejected requests that it had slots for.
#[test]
fn a_target_that_rejects_below_its_slots_is_still_given_requests() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    for round in 0..50_u64 {
        let port = u16::try_from(round).expect("small");
        rig.open(flow(port), at(round * 10));
        assert_eq!(
            rig.request(flow(port), at(round * 10)),
            AgentStep::Deliver { tag: 0 }
        );
        rig.respond(flow(port), at(round * 10));
    }
    assert!(rig.agent.status(at(500)).full >= SLOTS);
    assert_eq!(rig.requests(100..100 + SLOTS, at(600)), 0);
}

// Guards against an agent that gives its target more than it accepts, so that the target and not
// the agent chooses which requests are rejected; and against a limit that stays after the load.
#[test]
fn the_capacity_is_learned_from_rejections() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.requests(0..FULL, at(0));
    // All are answered in order, except for the last one, which is rejected at once.
    rig.respond(flow(FULL - 1), at(1));
    assert_eq!(rig.agent.status(at(1)).full, FULL - 1);
    let changed = |event: &AdmissionEvent| matches!(event, AdmissionEvent::CapacityChanged { .. });
    assert!(
        !rig.events.iter().any(changed),
        "the change is below a third"
    );
    for port in 0..FULL - 1 {
        rig.respond(flow(port), at(20));
    }
    rig.advance(at(2_000));
    assert_eq!(rig.agent.status(at(2_000)).full, FULL);
}
