//! New flows before targets that have more to do than they can do in time.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_flows::{
    AgentSettings, AgentStep, Candidate, FlowAgent, FlowEvent, FlowPacket, FramePurpose,
    PacketFlags, PacketFrame,
};
use smallvec::SmallVec;

use crate::support::{agent, at, balancer, claims, data, flow, opening};

/// Milliseconds for which a request keeps one of the target's three slots.
const WORK: u64 = 20;

fn offer(objective_ms: u32, rest: &[u8]) -> PacketFrame {
    let rest: SmallVec<_> = rest
        .iter()
        .map(|&number| Candidate {
            agent: agent(number),
            service: claims(),
            slots: 3,
        })
        .collect();
    PacketFrame {
        service: claims(),
        balancer: balancer(),
        slots: 3,
        objective_ms,
        purpose: FramePurpose::Offer,
        asker: None,
        rest,
    }
}

fn from_target(port: u16, syn: bool) -> FlowPacket {
    FlowPacket {
        flags: PacketFlags {
            syn,
            ack: true,
            ..PacketFlags::default()
        },
        sequence: u32::from(!syn),
        acknowledged: 0,
        ..data(flow(port))
    }
}

/// Takes a flow; its client has not sent its request yet.
fn take(decisions: &mut FlowAgent, port: u16, now: Moment) {
    let (step, _) = decisions.take_frame(offer(0, &[]), &opening(flow(port)), now);
    assert!(matches!(step, AgentStep::Deliver { .. }), "{step:?}");
    decisions.take_target_packet(&from_target(port, true), now);
}

fn ask(decisions: &mut FlowAgent, port: u16, now: Moment) {
    let known = PacketFrame {
        purpose: FramePurpose::Known,
        ..offer(0, &[])
    };
    let request = FlowPacket {
        acknowledged: 1,
        ..data(flow(port))
    };
    decisions.take_frame(known, &request, now);
}

/// An agent whose target has answered one request in [`WORK`] ms.
fn new_agent() -> FlowAgent {
    let settings = AgentSettings {
        own: agent(1),
        service: claims(),
        sees_all: true,
        flow_lifetime: Duration::from_secs(60),
    };
    let mut decisions = FlowAgent::new(settings, at(0));
    take(&mut decisions, 1, at(0));
    ask(&mut decisions, 1, at(1));
    decisions.take_target_packet(&from_target(1, false), at(1 + WORK));
    decisions
}

struct OverloadCase {
    name: &'static str,
    objective_ms: u32,
    /// Requests that the target has in progress.
    requests: u16,
    /// Flows that were taken just now and whose clients have not asked yet.
    awaited: u16,
    /// Milliseconds after that.
    later: u64,
    refused: bool,
}

// Symptom: for seconds after a power loss four of five requests are answered late or never.
// Sequence: all clients ask again at once; targets that have just started are slow; each takes
// twenty requests for three slots. Cause: whoever was asked last took every flow, however long
// its request would wait.
#[test]
fn a_flow_that_would_be_answered_too_late_is_refused_at_once() {
    let case = |name, requests, awaited, refused| OverloadCase {
        name,
        objective_ms: 100,
        requests,
        awaited,
        later: 1,
        refused,
    };
    let cases = [
        case("idle", 0, 0, false),
        case("busy, and answered within half the objective", 6, 0, false),
        case("the eleventh would take 80 ms", 10, 0, false),
        case("the thirteenth would take 87 ms", 12, 0, true),
        case("as many were taken and will ask in a moment", 0, 12, true),
        case("both together", 6, 6, true),
        OverloadCase {
            later: 101,
            ..case("those that were taken stayed idle", 0, 12, false)
        },
        OverloadCase {
            objective_ms: 0,
            ..case("nothing is said of an objective", 30, 0, false)
        },
    ];
    for case in cases {
        let mut decisions = new_agent();
        for port in 10..10 + case.requests {
            take(&mut decisions, port, at(100));
            ask(&mut decisions, port, at(101));
        }
        for port in 100..100 + case.awaited {
            take(&mut decisions, port, at(102));
        }
        let now = at(102 + case.later);
        let frame = offer(case.objective_ms, &[]);
        let (step, note) = decisions.take_frame(frame, &opening(flow(2)), now);
        assert_eq!(step == AgentStep::Reset, case.refused, "{}", case.name);
        let told = note.map(|(to, note)| (to, note.event));
        let expected = case.refused.then_some((balancer(), FlowEvent::Refused));
        assert_eq!(told, expected, "{}", case.name);
    }
}

#[test]
fn a_flow_is_passed_on_before_it_is_refused() {
    let mut decisions = new_agent();
    for port in 10..30 {
        take(&mut decisions, port, at(100));
        ask(&mut decisions, port, at(101));
    }
    let (step, _) = decisions.take_frame(offer(100, &[2]), &opening(flow(2)), at(102));
    let AgentStep::Pass { to, frame } = step else {
        panic!("not passed on: {step:?}");
    };
    assert_eq!((to, frame.objective_ms), (agent(2), 100));
}

#[test]
fn nothing_is_refused_before_anything_is_known_of_the_work() {
    let settings = AgentSettings {
        own: agent(1),
        service: claims(),
        sees_all: true,
        flow_lifetime: Duration::from_secs(60),
    };
    let mut decisions = FlowAgent::new(settings, at(0));
    for port in 10..40 {
        take(&mut decisions, port, at(0));
    }
    let (step, _) = decisions.take_frame(offer(100, &[]), &opening(flow(2)), at(1));
    assert!(matches!(step, AgentStep::Deliver { .. }));
}
