//! Requests that wait at the agent until their target has a place.

use std::collections::VecDeque;

use lovagelatch_flows::{
    AdmissionEvent, AgentStep, DeliveryReason, FlowKey, FlowPacket, PacketFlags,
};

use crate::admission_rig::{AdmissionRig, FULL, class, ending, other_route};
use crate::agent::returned;
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
