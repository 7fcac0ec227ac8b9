//! Requests that wait at the agent until their target has a place.

use std::collections::VecDeque;

use lovagelatch_domain::ConfigRevision;
use lovagelatch_flows::{
    AdmissionEvent, AgentStep, DeliveryReason, FlowKey, FlowPacket, FramePurpose, PacketFlags,
    RequestClass,
};

use crate::admission_rig::{
    AdmissionRig, FULL, IDLE, SLOTS, class, ending, learn_service_time, other_route,
};
use crate::agent::{delivered, frame, restarted_agent, returned};
use crate::support::{at, data, flow};

// Guards against requests that queue at the target in an order that nobody controls, or that are
// lost at the agent.
#[test]
fn requests_beyond_the_capacity_wait_until_a_place_is_free() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    assert_eq!(rig.requests(0..FULL + 2, at(0)), 2);
    let status = rig.agent.status(at(0));
    assert_eq!((status.in_service, status.load.waiting), (FULL, 2));
    for (port, request) in [(0, "delivered"), (FULL, "held")] {
        let explained = rig.agent.explain(&flow(port), at(0)).expect("a known flow");
        assert_eq!(explained.request, request);
    }
    assert!(rig.released().is_empty());
    rig.respond(flow(0), at(20));
    let released = rig.released();
    assert_eq!(released.len(), 1);
    assert_eq!(
        (released[0].flow, released[0].reason, released[0].ahead),
        (flow(FULL), DeliveryReason::PlaceFree, 0)
    );
    assert_eq!(released[0].waited.as_millis(), 20);
    rig.respond(flow(1), at(30));
    assert_eq!(rig.released_ports(), [FULL + 1]);
    assert_eq!(rig.waiting(at(30)), 0);
}

// Guards against a change of behaviour where the operator states no objective.
#[test]
fn without_a_class_nothing_waits() {
    let mut rig = AdmissionRig::new(None);
    assert_eq!(rig.requests(0..100, at(0)), 0);
    let load = rig.agent.status(at(0)).load;
    assert_eq!((load.in_progress, load.waiting), (100, 0));
}

// Guards against a request whose parts reach the target out of order or twice: its first packet
// waits, and later packets pass it, or are taken for further requests.
#[test]
fn all_packets_of_a_waiting_request_wait_with_it() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.requests(0..FULL, at(0));
    rig.open(flow(50), at(0));
    let first = rig.next_data(flow(50), 1_200);
    let more = rig.next_data(flow(50), 1_200);
    let acknowledgement = ending(
        flow(50),
        PacketFlags {
            ack: true,
            ..data(flow(50)).flags
        },
    );
    let fin = PacketFlags {
        fin: true,
        ack: true,
        ..PacketFlags::default()
    };
    for packet in [first, more, first, acknowledgement, ending(flow(50), fin)] {
        assert_eq!(rig.client_packet(&packet, at(1)), AgentStep::Hold);
    }
    assert_eq!(rig.waiting(at(1)), 1);
    rig.respond(flow(0), at(10));
    assert_eq!(rig.released_ports(), [50]);
    // Copies of the released packets are delivered and are no new requests.
    for packet in [first, more] {
        assert_eq!(
            rig.client_packet(&packet, at(210)),
            AgentStep::Deliver { tag: 0 }
        );
    }
    rig.respond(flow(50), at(220));
    let in_service = rig.agent.status(at(220)).in_service;
    assert_eq!(
        rig.client_packet(&more, at(230)),
        AgentStep::Deliver { tag: 0 }
    );
    assert_eq!(rig.agent.status(at(230)).in_service, in_service);
}

struct BoundCase {
    aim_ms: u32,
    /// The longest wait.
    bound_ms: u64,
}

// Guards against requests that are late because of the agent, and against clients that retransmit
// a request that waits: they do so after 200 ms.
#[test]
fn no_request_waits_beyond_its_bound() {
    let cases = [
        BoundCase {
            aim_ms: 100,
            bound_ms: 25,
        },
        BoundCase {
            aim_ms: 400,
            bound_ms: 100,
        },
        BoundCase {
            aim_ms: 60_000,
            bound_ms: 150,
        },
    ];
    for case in cases {
        let mut rig = AdmissionRig::new(Some(class(1, case.aim_ms)));
        assert_eq!(rig.requests(0..FULL + 1, at(0)), 1);
        let deadline = rig.agent.next_admission_deadline().expect("a deadline");
        assert!(deadline <= at(case.bound_ms), "aim of {} ms", case.aim_ms);
        rig.advance(deadline);
        let released = rig.released();
        assert_eq!(released[0].reason, DeliveryReason::BoundExpired);
        assert!(released[0].waited.as_millis() <= u128::from(case.bound_ms));
        assert_eq!(rig.agent.next_admission_deadline(), None);
    }
}

// Guards against requests that wait although they cannot start in time: they are delivered at once,
// so that the target refuses them while there is time for another attempt.
#[test]
fn a_request_that_cannot_start_in_time_does_not_wait() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    for port in 0..100 {
        rig.open(flow(port), at(u64::from(port) * 150));
    }
    let requests = (0..100).map(|port| rig.request(flow(port), at(20_000)));
    let held = requests.filter(|step| *step == AgentStep::Hold).count();
    assert!((1..=20).contains(&held), "{held} requests wait");
    let excess = rig.events.iter().filter(|event| match event {
        AdmissionEvent::Excess(delivery) => delivery.reason == DeliveryReason::BoundTooShort,
        _ => false,
    });
    assert_eq!(excess.count(), 100 - held - usize::from(FULL));
}

// Guards against requests that count double and fare no better than others under overload, and
// against a route that gets nothing while a more urgent one is overloaded.
#[test]
fn urgent_requests_are_released_first_and_others_keep_a_share() {
    let mut rig = AdmissionRig::new(Some(class(2, 2_000)));
    let mut served: VecDeque<_> = (0..FULL).map(flow).collect();
    rig.requests(0..FULL, at(0));
    for port in 100..105 {
        rig.open(flow(port), at(0));
    }
    rig.class = Some(class(1, 2_000));
    (100..105).for_each(|port| rig.open(other_route(port), at(0)));
    for port in 100..105 {
        assert_eq!(rig.request(flow(port), at(1)), AgentStep::Hold);
        assert_eq!(rig.request(other_route(port), at(1)), AgentStep::Hold);
    }
    // Each answered flow sends its next request at once, so both routes always have requests.
    let (mut urgent, mut total) = (0, 0);
    for round in 0..200 {
        let now = at(2 + 2 * round);
        let answered = served.pop_front().expect("a request in service");
        rig.respond(answered, now);
        for one in rig.released() {
            assert_eq!(one.reason, DeliveryReason::PlaceFree);
            urgent += u32::from(one.priority == 1);
            total += 1;
            served.push_back(one.flow);
        }
        assert_eq!(rig.request(answered, now), AgentStep::Hold);
    }
    assert_eq!(total, 200);
    assert!((140..=180).contains(&urgent), "{urgent} of {total}");
}

struct EndCase {
    name: &'static str,
    end: fn(&mut AdmissionRig, FlowKey),
}

// Guards against packets that stay at the agent after their flow has ended, and against a request
// that is released after that.
#[test]
fn a_flow_that_ends_leaves_the_queue() {
    let cases = [
        EndCase {
            name: "the target closes it",
            end: |rig, flow| {
                let flags = PacketFlags {
                    fin: true,
                    ..PacketFlags::default()
                };
                rig.target_packet(&ending(flow, flags), at(5));
            },
        },
        EndCase {
            name: "the target resets it",
            end: |rig, flow| {
                let flags = PacketFlags {
                    rst: true,
                    ..PacketFlags::default()
                };
                rig.target_packet(&ending(flow, flags), at(5));
            },
        },
        EndCase {
            name: "the target returns a packet",
            end: |rig, flow| {
                rig.target_packet(&returned(&data(flow), 0), at(5));
            },
        },
        EndCase {
            name: "the client resets it",
            end: |rig, flow| {
                let flags = PacketFlags {
                    rst: true,
                    ..PacketFlags::default()
                };
                let step = rig.client_packet(&ending(flow, flags), at(5));
                assert_eq!(step, AgentStep::Deliver { tag: 0 });
            },
        },
    ];
    for case in cases {
        let mut rig = AdmissionRig::new(Some(class(1, 400)));
        assert_eq!(rig.requests(0..FULL + 1, at(0)), 1);
        (case.end)(&mut rig, flow(FULL));
        let released = rig.released();
        assert_eq!(released.len(), 1, "{}", case.name);
        assert_eq!(
            released[0].reason,
            DeliveryReason::FlowEnded,
            "{}",
            case.name
        );
        assert_eq!(rig.waiting(at(5)), 0, "{}", case.name);
        rig.respond(flow(0), at(10));
        rig.advance(at(500));
        assert!(rig.released().is_empty(), "{}", case.name);
    }
}

// Guards against requests that a planned restart of their agent loses.
#[test]
fn a_stopping_agent_releases_what_it_holds() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.requests(0..FULL + 2, at(0));
    rig.agent.set_leaving();
    rig.advance(at(1));
    assert_eq!(rig.released_ports(), [FULL, FULL + 1]);
    rig.open(flow(90), at(2));
    assert_eq!(rig.request(flow(90), at(2)), AgentStep::Deliver { tag: 0 });
}

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

// Guards against a request that counts as answered because the target repeats the end of an earlier
// answer.
#[test]
fn a_repeated_answer_frees_no_place() {
    let mut rig = AdmissionRig::new(Some(class(1, 400)));
    rig.open(flow(0), at(0));
    rig.request(flow(0), at(0));
    rig.respond(flow(0), at(10));
    rig.request(flow(0), at(20));
    let repeated = FlowPacket {
        sequence: 5_001,
        ..data(flow(0))
    };
    rig.target_packet(&repeated, at(30));
    assert_eq!(rig.agent.status(at(30)).in_service, 1);
    rig.respond(flow(0), at(40));
    assert_eq!(rig.agent.status(at(40)).in_service, 0);
}

// Guards against an agent that runs out of its 64 MB because it holds packets.
#[test]
fn held_packets_are_bounded() {
    let mut rig = AdmissionRig::new(Some(class(1, 60_000)));
    learn_service_time(&mut rig, flow(9_000), 1, 0);
    // More requests than can wait: the next ones are delivered.
    let held = rig.requests(0..700, at(1_000));
    assert!(held <= 256, "{held} requests wait");
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
