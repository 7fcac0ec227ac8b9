//! An agent and its target.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_flows::{
    AgentSettings, AgentStep, Candidate, FlowAgent, FlowEvent, FlowKey, FlowPacket, FramePurpose,
    PacketFlags, PacketFrame, WarmupSettings,
};
use smallvec::SmallVec;

use crate::support::{agent, at, balancer, claims, data, flow, opening, service};

/// The initial sequence number that the target chooses in these tests.
const TARGET_SEQUENCE: u32 = 5_000;

pub(crate) fn settings(started_with_target: bool) -> AgentSettings {
    AgentSettings {
        own_address: agent(1),
        service: claims(),
        started_with_target,
        flow_lifetime: Duration::from_secs(60),
        warmup: WarmupSettings {
            overshoot: 1.5,
            slack: 5.0,
        },
    }
}

/// An agent that was started with its target, and so knows all of its flows.
pub(crate) fn informed_agent() -> FlowAgent {
    FlowAgent::new(settings(true), at(0))
}

/// An agent that was restarted while its target kept running.
pub(crate) fn restarted_agent() -> FlowAgent {
    FlowAgent::new(settings(false), at(0))
}

pub(crate) fn frame(purpose: FramePurpose, rest: &[u8]) -> PacketFrame {
    let rest = rest.iter().map(|&number| Candidate {
        agent: agent(number),
        service: claims(),
        slots: 3,
        warmup: None,
    });
    PacketFrame {
        service: claims(),
        balancer: balancer(),
        slots: 3,
        warmup: None,
        class: None,
        zones_revision: 1.into(),
        purpose,
        asker: None,
        rest: rest.collect(),
    }
}

pub(crate) fn answer(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        flags: PacketFlags {
            syn: true,
            ack: true,
            ..PacketFlags::default()
        },
        sequence: TARGET_SEQUENCE,
        data_bytes: 0,
        ..data(flow)
    }
}

pub(crate) fn returned(packet: &FlowPacket, tag: u32) -> FlowPacket {
    let flags = PacketFlags {
        returned: true,
        ..packet.flags
    };
    FlowPacket {
        flags,
        tag,
        ..*packet
    }
}

fn response(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        sequence: TARGET_SEQUENCE + 1,
        ..data(flow)
    }
}

pub(crate) fn delivered(step: AgentStep) -> u32 {
    match step {
        AgentStep::Deliver { tag } => tag,
        other => panic!("not delivered: {other:?}"),
    }
}

pub(crate) fn forwarded(step: AgentStep) -> (u8, SmallVec<[Candidate; 5]>) {
    match step {
        AgentStep::Forward { to, frame } => (to.0.ip().octets()[3], frame.rest),
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Opens a flow at the agent's target.
fn open(agent: &mut FlowAgent, flow: FlowKey, now: Moment) {
    let offer = frame(FramePurpose::Offer, &[2]);
    delivered(agent.handle_frame(offer, &opening(flow), now).0);
    let (step, update) = agent.handle_target_packet(&answer(flow), now);
    assert_eq!(step, AgentStep::ToClient);
    let (to, update) = update.expect("an update for the balancer");
    assert_eq!((to, update.event), (balancer(), FlowEvent::Answered));
    let (step, update) = agent.handle_frame(frame(FramePurpose::Known, &[]), &data(flow), now);
    assert_eq!(delivered(step), 0);
    assert_eq!(
        update.expect("an update for the balancer").1.event,
        FlowEvent::Opened
    );
}

/// Offers a flow that another agent could accept as well. Returns whether it was delivered to the
/// target, which then answers.
fn accepts(agent: &mut FlowAgent, port: u16, millis: u64) -> bool {
    let offer = frame(FramePurpose::Offer, &[2]);
    let (step, _) = agent.handle_frame(offer, &opening(flow(port)), at(millis));
    let accepted = matches!(step, AgentStep::Deliver { .. });
    if accepted {
        agent.handle_target_packet(&answer(flow(port)), at(millis));
    }
    accepted
}

#[test]
fn a_flow_opens_and_its_balancer_is_notified_once() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    let (step, update) = agent.handle_frame(frame(FramePurpose::Known, &[]), &data(flow(1)), at(5));
    assert_eq!((delivered(step), update), (0, None));
    let (step, _) = agent.handle_target_packet(&response(flow(1)), at(20));
    assert_eq!(step, AgentStep::ToClient);
    assert_eq!(agent.status(at(20)).load.flows, 1);
}

#[test]
fn a_refused_flow_is_forwarded_to_the_next_target() {
    let mut agent = informed_agent();
    let offer = frame(FramePurpose::Offer, &[2, 3]);
    let tag = delivered(agent.handle_frame(offer, &opening(flow(1)), at(0)).0);
    let (step, _) = agent.handle_target_packet(&returned(&opening(flow(1)), tag), at(1));
    let (to, rest) = forwarded(step);
    assert_eq!((to, rest.len()), (2, 1));
}

#[test]
fn a_flow_refused_by_all_targets_is_reset() {
    let mut agent = informed_agent();
    let offer = frame(FramePurpose::Offer, &[]);
    let tag = delivered(agent.handle_frame(offer, &opening(flow(1)), at(0)).0);
    let (step, _) = agent.handle_target_packet(&returned(&opening(flow(1)), tag), at(1));
    assert_eq!(step, AgentStep::Reset);
}

struct UnavailableCase {
    name: &'static str,
    prepare: fn(&mut FlowAgent),
}

// Guards against a request that waits in a full target's queue while others are idle, or for a
// target that cannot answer. The balancer places it by a report up to 250 ms old; the agent knows
// the current state and must not deliver it.
#[test]
fn a_new_flow_skips_an_unavailable_target() {
    let cases = [
        UnavailableCase {
            name: "twice its slots are in progress",
            prepare: |agent| (10..16).for_each(|port| open(agent, flow(port), at(0))),
        },
        UnavailableCase {
            name: "nothing listens at the target's address",
            prepare: |agent| agent.handle_connection_refused(at(100)),
        },
        UnavailableCase {
            name: "the target left a first packet unanswered",
            prepare: |agent| {
                let offer = frame(FramePurpose::Offer, &[]);
                delivered(agent.handle_frame(offer, &opening(flow(9)), at(0)).0);
            },
        },
        UnavailableCase {
            name: "the agent is stopping",
            prepare: FlowAgent::set_leaving,
        },
    ];
    for case in cases {
        let mut agent = informed_agent();
        (case.prepare)(&mut agent);
        let offer = frame(FramePurpose::Offer, &[2]);
        let (step, _) = agent.handle_frame(offer, &opening(flow(1)), at(150));
        assert_eq!(forwarded(step).0, 2, "{}", case.name);
        // As the last candidate it delivers the packet anyway.
        let offer = frame(FramePurpose::Offer, &[]);
        let (step, _) = agent.handle_frame(offer, &opening(flow(1)), at(150));
        delivered(step);
    }
}

// Guards against a request that is sent to a target that the client never chose. Two targets answer
// a first packet, the client accepts the other target's answer, and its next packet arrives here. A
// flow must not count as open as soon as the target has answered.
#[test]
fn the_client_decides_at_which_target_a_flow_opens() {
    let mut agent = informed_agent();
    let offer = frame(FramePurpose::Offer, &[]);
    delivered(agent.handle_frame(offer, &opening(flow(1)), at(0)).0);
    agent.handle_target_packet(&answer(flow(1)), at(1));
    let other = FlowPacket {
        acknowledged: 777_777,
        ..data(flow(1))
    };
    let (step, _) = agent.handle_frame(frame(FramePurpose::Known, &[2]), &other, at(2));
    assert_eq!(forwarded(step).0, 2);
    let (step, _) = agent.handle_frame(frame(FramePurpose::Known, &[]), &other, at(2));
    assert_eq!(step, AgentStep::Return { to: balancer() });
}

// Guards against open flows that are reset because their agent is asked for them by another service.
#[test]
fn a_held_flow_is_delivered_whatever_service_the_frame_names() {
    let of_vault = |purpose| PacketFrame {
        service: service("vault").id(),
        ..frame(purpose, &[])
    };
    let flow = flow(1);
    let mut agent = informed_agent();
    open(&mut agent, flow, at(0));
    let search = of_vault(FramePurpose::Search);
    let (step, update) = agent.handle_frame(search, &data(flow), at(3));
    assert_eq!(step, AgentStep::Deliver { tag: 0 });
    let (_, update) = update.expect("the balancer is told where the flow is");
    assert_eq!(
        (update.event, update.load.service),
        (FlowEvent::Opened, claims())
    );
    let copy = of_vault(FramePurpose::Offer);
    let (step, _) = agent.handle_frame(copy, &opening(flow), at(4));
    assert!(matches!(step, AgentStep::Deliver { .. }), "{step:?}");
    // After the end of the flow, its first packet opens another one, which its service must allow.
    let end = FlowPacket {
        flags: PacketFlags {
            fin: true,
            ..PacketFlags::default()
        },
        ..response(flow)
    };
    agent.handle_target_packet(&end, at(5));
    let next = of_vault(FramePurpose::Offer);
    let (step, _) = agent.handle_frame(next, &opening(flow), at(6));
    assert_eq!(step, AgentStep::Reset);
}

// Guards against a packet for the claims service that reaches the certificate store. A target ends,
// its address is reused by a target of another service, and a balancer with a stale view sends
// there. The agent must compare the service of the frame with its own.
#[test]
fn an_agent_of_another_service_delivers_nothing() {
    let foreign = |purpose, rest: &[u8]| PacketFrame {
        service: service("vault").id(),
        ..frame(purpose, rest)
    };
    for started_with_target in [true, false] {
        let mut agent = FlowAgent::new(settings(started_with_target), at(0));
        let offer = foreign(FramePurpose::Offer, &[2]);
        let (step, _) = agent.handle_frame(offer, &opening(flow(1)), at(0));
        assert_eq!(forwarded(step).0, 2);
        let offer = foreign(FramePurpose::Offer, &[]);
        let (step, _) = agent.handle_frame(offer, &opening(flow(1)), at(0));
        assert_eq!(step, AgentStep::Reset);
        let search = foreign(FramePurpose::Search, &[]);
        let (step, update) = agent.handle_frame(search, &data(flow(1)), at(0));
        assert!(matches!(step, AgentStep::Drop(_)));
        assert_eq!(update.expect("an update").1.event, FlowEvent::Absent);
        let known = foreign(FramePurpose::Known, &[]);
        let (step, _) = agent.handle_frame(known, &data(flow(1)), at(0));
        assert_eq!(step, AgentStep::Return { to: balancer() });
    }
}

struct LocateCase {
    name: &'static str,
    started_with_target: bool,
    /// Whether the flow was opened at the target.
    open: bool,
    expected: Option<FlowEvent>,
}

// Guards against open flows that a balancer takes for lost, or does not find, because an agent says
// more about a flow than it knows when it is not shown a packet.
#[test]
fn an_agent_tells_whether_its_target_holds_a_flow() {
    let cases = [
        LocateCase {
            name: "held",
            started_with_target: true,
            open: true,
            expected: Some(FlowEvent::Opened),
        },
        LocateCase {
            name: "not held",
            started_with_target: true,
            open: false,
            expected: Some(FlowEvent::Absent),
        },
        LocateCase {
            name: "the target sent a packet of the flow since the agent restarted",
            started_with_target: false,
            open: true,
            expected: Some(FlowEvent::Opened),
        },
        LocateCase {
            name: "the target may hold flows that the agent does not know",
            started_with_target: false,
            open: false,
            expected: None,
        },
    ];
    for case in cases {
        let mut agent = FlowAgent::new(settings(case.started_with_target), at(0));
        if case.open {
            agent.handle_target_packet(&response(flow(1)), at(1));
        }
        let update = agent.handle_locate(flow(1), balancer(), at(2));
        let event = update.map(|update| update.event);
        assert_eq!(event, case.expected, "{}", case.name);
    }
}

// Guards against flows that stall when their agent restarts: it is killed and restarted while its
// target keeps running, and takes its empty flow table to mean that the target has no flows.
#[test]
fn a_restarted_agent_asks_its_target() {
    let mut agent = restarted_agent();
    let search = frame(FramePurpose::Search, &[]);
    let (step, update) = agent.handle_frame(search, &data(flow(1)), at(0));
    assert_ne!(delivered(step), 0);
    assert_eq!(update, None);
    agent.handle_target_packet(&response(flow(1)), at(5));
    let (step, update) =
        agent.handle_frame(frame(FramePurpose::Search, &[]), &data(flow(1)), at(6));
    assert_eq!(delivered(step), 0);
    assert_eq!(
        update.expect("an update for the balancer").1.event,
        FlowEvent::Opened
    );
}

// Guards against packets of a flow that keep reaching targets that do not hold it. A restarted
// agent delivers a packet of an unknown flow to its target, and must remember that the target
// returned one.
#[test]
fn an_unknown_flow_is_delivered_tentatively_only_once() {
    let mut agent = restarted_agent();
    let search = || frame(FramePurpose::Search, &[]);
    let tag = delivered(agent.handle_frame(search(), &data(flow(1)), at(0)).0);
    let (step, update) = agent.handle_target_packet(&returned(&data(flow(1)), tag), at(1));
    assert!(matches!(step, AgentStep::Drop(_)));
    assert_eq!(update.expect("an update").1.event, FlowEvent::Absent);
    let (step, update) = agent.handle_frame(search(), &data(flow(1)), at(2));
    assert!(matches!(step, AgentStep::Drop(_)));
    assert_eq!(update.expect("an update").1.event, FlowEvent::Absent);
    // After a full flow lifetime the agent knows all flows and does not deliver unknown ones.
    let (step, _) = agent.handle_frame(search(), &data(flow(2)), at(61_000));
    assert!(matches!(step, AgentStep::Drop(_)));
}

// Guards against a client that waits for its deadline on a flow whose target crashed and restarted.
// The target returns the client's next packet, and the agent knows that the flow was here, so it
// must send a reset.
#[test]
fn a_flow_that_its_target_lost_is_reset() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    let (step, update) = agent.handle_target_packet(&returned(&data(flow(1)), 0), at(10));
    assert_eq!(step, AgentStep::Reset);
    assert_eq!(
        update.expect("an update for the balancer").1.event,
        FlowEvent::Absent
    );
    assert_eq!(agent.status(at(10)).load.flows, 0);
    // Only once: the agent has removed the flow.
    let (step, _) = agent.handle_target_packet(&returned(&data(flow(1)), 0), at(11));
    assert!(matches!(step, AgentStep::Drop(_)));
}

#[test]
fn a_returned_packet_with_an_unknown_tag_is_dropped() {
    let mut agent = informed_agent();
    for tag in [1, 1_024, u32::MAX] {
        let (step, _) = agent.handle_target_packet(&returned(&opening(flow(1)), tag), at(0));
        assert!(matches!(step, AgentStep::Drop(_)), "tag {tag}");
    }
}

struct ProgressCase {
    name: &'static str,
    packets: &'static [fn(FlowKey) -> FlowPacket],
    expected: u16,
}

#[test]
fn requests_in_progress_are_counted_without_reading_them() {
    let cases = [
        ProgressCase {
            name: "a request",
            packets: &[],
            expected: 1,
        },
        ProgressCase {
            name: "its retransmission",
            packets: &[data],
            expected: 1,
        },
        ProgressCase {
            name: "more of its data",
            packets: &[|flow| FlowPacket {
                sequence: 1_101,
                ..data(flow)
            }],
            expected: 1,
        },
        ProgressCase {
            name: "an acknowledgement of the answer",
            packets: &[|flow| FlowPacket {
                data_bytes: 0,
                ..data(flow)
            }],
            expected: 1,
        },
    ];
    for case in cases {
        let mut agent = informed_agent();
        open(&mut agent, flow(1), at(0));
        for packet in case.packets {
            let known = frame(FramePurpose::Known, &[]);
            agent.handle_frame(known, &packet(flow(1)), at(1));
        }
        let load = agent.status(at(2)).load;
        assert_eq!(load.in_progress, case.expected, "{}", case.name);
        agent.handle_target_packet(&response(flow(1)), at(20));
        assert_eq!(agent.status(at(20)).load.in_progress, 0, "{}", case.name);
    }
}

// Guards against a target that refuses a tenth of its requests for the rest of the day while the
// other one is idle. After a power loss it runs a tenth of a second before the other; two hundred
// clients open long flows in that time, and it answers each first packet immediately. If a flow
// counts only from its first request, the agent accepts all of them.
#[test]
fn flows_that_are_about_to_open_count_as_requests() {
    let mut agent = informed_agent();
    let accepted = (1..=200)
        .filter(|port| accepts(&mut agent, *port, 0))
        .count();
    // Twice its three slots.
    assert_eq!(accepted, 6);
    // Their clients never opened them: they had accepted another target's answer.
    agent.expire_idle(Duration::from_secs(60), at(600));
    assert_eq!(agent.status(at(600)).load.in_progress, 0);
    // A flow that opens counts as one request, and as none once that is answered.
    open(&mut agent, flow(300), at(600));
    assert_eq!(agent.status(at(600)).load.in_progress, 1);
    agent.handle_target_packet(&response(flow(300)), at(620));
    assert_eq!(agent.status(at(620)).load.in_progress, 0);
}

/// The reset that a target sends if it accepts flows but runs no requests.
fn reset(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        flags: PacketFlags {
            ack: true,
            rst: true,
            ..PacketFlags::default()
        },
        data_bytes: 0,
        ..response(flow)
    }
}

// Guards against a tenth of all filings that fail while six of forty-two targets go down and up in
// turn. A target that is down accepts a flow and resets it when the request arrives; it has nothing
// in progress, so the next flows go there too unless the agent tracks how requests end.
#[test]
fn new_flows_skip_a_target_that_resets_its_requests() {
    let mut agent = informed_agent();
    let fails = |agent: &mut FlowAgent, port, millis| {
        open(agent, flow(port), at(millis));
        agent.handle_target_packet(&reset(flow(port)), at(millis));
    };
    fails(&mut agent, 1, 0);
    assert!(accepts(&mut agent, 2, 1), "one reset is not enough");
    agent.expire_idle(Duration::from_secs(60), at(600));
    fails(&mut agent, 3, 600);
    assert!(agent.status(at(600)).load.failing);
    assert!(!accepts(&mut agent, 4, 601));
    // As the last candidate it is used anyway: suspicion must not leave a service without targets.
    let last = frame(FramePurpose::Offer, &[]);
    delivered(agent.handle_frame(last, &opening(flow(5)), at(602)).0);
    agent.handle_target_packet(&answer(flow(5)), at(602));
    // After the backoff one flow at a time is admitted, and its outcome decides about the next.
    agent.expire_idle(Duration::from_secs(60), at(1_200));
    assert!(accepts(&mut agent, 6, 1_200));
    assert!(!accepts(&mut agent, 7, 1_200));
    agent.handle_frame(frame(FramePurpose::Known, &[]), &data(flow(6)), at(1_202));
    agent.handle_target_packet(&response(flow(6)), at(1_220));
    assert!(!agent.status(at(1_220)).load.failing);
    assert!(accepts(&mut agent, 8, 1_221) && accepts(&mut agent, 9, 1_221));
}

// Guards against an idle target that is skipped indefinitely: clients give up without closing their
// flows while requests are in progress, and a request without an answer counts until its flow
// expires.
#[test]
fn an_abandoned_request_counts_until_its_timeout() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    agent.expire_idle(Duration::from_secs(60), at(3_000));
    assert_eq!(agent.status(at(3_000)).load.in_progress, 1);
    agent.expire_idle(Duration::from_secs(60), at(5_000));
    assert_eq!(agent.status(at(5_000)).load.in_progress, 0);
}

#[test]
fn recently_active_balancers_receive_load_reports() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    let (subscribers, load) = agent.load_report(at(1_000));
    assert_eq!(subscribers, [balancer()]);
    assert_eq!(load.flows, 1);
    assert!(agent.load_report(at(10_000)).0.is_empty());
}

#[test]
fn load_reports_rotate_through_all_balancers() {
    let mut agent = informed_agent();
    let balancers = 20;
    for number in 0..balancers {
        let mut known = frame(FramePurpose::Search, &[]);
        known.balancer = crate::support::agent(100 + number);
        agent.handle_frame(known, &data(flow(1)), at(0));
    }
    let mut notified = std::collections::BTreeSet::new();
    for round in 0..3 {
        let (subscribers, _) = agent.load_report(at(250 * (round + 1)));
        assert_eq!(subscribers.len(), 8);
        notified.extend(subscribers);
    }
    assert_eq!(notified.len(), usize::from(balancers));
    let load = agent.handle_probe(balancer(), at(1_000));
    assert_eq!(load.agent, crate::support::agent(1));
}

// Guards against open flows that are reset at a planned restart of their agents in a fleet of 59
// balancers. A stopping agent has time for two rounds. If it notifies only eight balancers in each,
// a balancer that was not notified hears nothing for a while and takes that for a failure.
#[test]
fn a_stopping_agent_notifies_all_balancers_in_each_round() {
    let mut agent = informed_agent();
    let balancers: std::collections::BTreeSet<_> = (100..=220).map(crate::support::agent).collect();
    for &one in &balancers {
        let mut known = frame(FramePurpose::Search, &[]);
        known.balancer = one;
        agent.handle_frame(known, &data(flow(1)), at(0));
    }
    assert_eq!(agent.load_report(at(250)).0.len(), 8);
    agent.set_leaving();
    for round in [300, 550] {
        let (notified, load) = agent.load_report(at(round));
        assert!(load.leaving);
        let notified: std::collections::BTreeSet<_> = notified.into_iter().collect();
        assert_eq!(notified, balancers, "at {round}");
    }
}

/// An agent that heard these balancers, each with its time in milliseconds.
fn agent_of_balancers(heard: &[(u8, u64)]) -> FlowAgent {
    let mut one = informed_agent();
    for &(number, millis) in heard {
        let mut known = frame(FramePurpose::Search, &[]);
        known.balancer = agent(number);
        one.handle_frame(known, &data(flow(1)), at(millis));
        one.load_report(at(millis));
    }
    one
}

// Guards against open flows that are reset at a planned restart because they were idle before it:
// their balancers were not notified, and took the agent's silence for a failure.
#[test]
fn a_stopping_agent_notifies_balancers_whose_flows_are_idle() {
    struct IdleCase {
        name: &'static str,
        /// The balancers that were heard, and when.
        heard: &'static [(u8, u64)],
        stops_at: u64,
        expected: &'static [u8],
    }
    let cases = [
        IdleCase {
            name: "all flows idle",
            heard: &[(101, 0), (102, 1_000)],
            stops_at: 14_000,
            expected: &[101, 102],
        },
        IdleCase {
            name: "some flows idle",
            heard: &[(101, 0), (102, 13_000)],
            stops_at: 14_000,
            expected: &[101, 102],
        },
        IdleCase {
            name: "idle and active again",
            heard: &[(101, 0), (102, 13_000), (101, 13_500)],
            stops_at: 14_000,
            expected: &[101, 102],
        },
        IdleCase {
            name: "idle for almost the lifetime of a flow",
            heard: &[(101, 0)],
            stops_at: 59_000,
            expected: &[101],
        },
        IdleCase {
            name: "silent for longer than a flow may live",
            heard: &[(101, 0), (102, 30_000)],
            stops_at: 61_000,
            expected: &[102],
        },
    ];
    for case in cases {
        let mut one = agent_of_balancers(case.heard);
        one.set_leaving();
        for round in [0, 250] {
            let (notified, load) = one.load_report(at(case.stops_at + round));
            let expected: Vec<_> = case.expected.iter().copied().map(agent).collect();
            assert_eq!(notified, expected, "{} in round {round}", case.name);
            assert!(load.leaving, "{}", case.name);
        }
    }
}

// Guards against an agent that remembers balancers without bound, and against one that notifies
// those that sent frames long ago rather than those that are likely to run.
#[test]
fn a_stopping_agent_notifies_the_most_recent_of_many_idle_balancers() {
    let heard: Vec<_> = (0..200)
        .map(|number| (number, u64::from(number) * 100))
        .collect();
    let mut one = agent_of_balancers(&heard);
    one.set_leaving();
    let (notified, _) = one.load_report(at(30_000));
    let expected: Vec<_> = (136..200).map(agent).collect();
    assert_eq!(notified, expected);
}

// Guards against an open flow that is reset under load while its target serves it. The target's
// answer takes longer than 200 ms, so the client sends a copy of its first packet; the flow opens;
// the copy arrives, and the target repeats its answer; the client's next packet acknowledges far
// more than that answer. The copy must not be taken for a new flow, nor the next packet for part of
// a flow at another target.
#[test]
fn a_late_copy_of_the_first_packet_changes_nothing() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    let copy = FlowPacket {
        acknowledged: 1,
        ..opening(flow(1))
    };
    for rest in [&[][..], &[2]] {
        let offer = frame(FramePurpose::Offer, rest);
        delivered(agent.handle_frame(offer, &copy, at(10)).0);
        let (step, update) = agent.handle_target_packet(&answer(flow(1)), at(11));
        assert_eq!((step, update), (AgentStep::ToClient, None));
        let later = FlowPacket {
            acknowledged: TARGET_SEQUENCE + 40_000,
            sequence: 2_000,
            ..data(flow(1))
        };
        let known = frame(FramePurpose::Known, &[]);
        assert_eq!(delivered(agent.handle_frame(known, &later, at(12)).0), 0);
        let search = frame(FramePurpose::Search, &[]);
        assert_eq!(delivered(agent.handle_frame(search, &later, at(13)).0), 0);
    }
    assert_eq!(agent.status(at(13)).load.flows, 1);
    // The same if the target returns the copy.
    let offer = frame(FramePurpose::Offer, &[2]);
    let tag = delivered(agent.handle_frame(offer, &copy, at(20)).0);
    agent.handle_target_packet(&returned(&copy, tag), at(21));
    let known = frame(FramePurpose::Known, &[]);
    assert_eq!(
        delivered(agent.handle_frame(known, &data(flow(1)), at(22)).0),
        0
    );
}

#[test]
fn a_reused_port_is_a_new_flow() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    let fin = FlowPacket {
        flags: PacketFlags {
            fin: true,
            ack: true,
            ..PacketFlags::default()
        },
        ..response(flow(1))
    };
    agent.handle_target_packet(&fin, at(10));
    let offer = frame(FramePurpose::Offer, &[2]);
    delivered(agent.handle_frame(offer, &opening(flow(1)), at(1_000)).0);
    let sequence = TARGET_SEQUENCE + 900_000;
    let other = FlowPacket {
        sequence,
        ..answer(flow(1))
    };
    let (_, update) = agent.handle_target_packet(&other, at(1_001));
    assert_eq!(
        update.expect("an update about a new flow").1.event,
        FlowEvent::Answered
    );
    let known = frame(FramePurpose::Known, &[]);
    let (step, _) = agent.handle_frame(known, &data(flow(1)), at(1_002));
    assert_eq!(step, AgentStep::Return { to: balancer() });
    let first = FlowPacket {
        acknowledged: sequence + 1,
        ..data(flow(1))
    };
    let (step, update) = agent.handle_frame(frame(FramePurpose::Known, &[]), &first, at(1_003));
    assert_eq!(delivered(step), 0);
    assert_eq!(
        update.expect("an update when it opens").1.event,
        FlowEvent::Opened
    );
    assert_eq!(agent.status(at(1_003)).load.flows, 1);
}

// Guards against long flows whose every packet is sent to all agents after a rolling restart of
// balancers. A balancer is notified where a flow is, restarts at the same address and loses that
// state; it searches, and the holder delivers the packet. The holder must not skip the update
// because it has notified a balancer at this address before.
#[test]
fn a_searching_balancer_is_notified_again() {
    let mut agent = informed_agent();
    open(&mut agent, flow(1), at(0));
    let search = || frame(FramePurpose::Search, &[]);
    for millis in [100, 200] {
        let (step, update) = agent.handle_frame(search(), &data(flow(1)), at(millis));
        delivered(step);
        let notified = update.map(|(to, update)| (to, update.event));
        assert_eq!(notified, Some((balancer(), FlowEvent::Opened)));
    }
    let (_, update) = agent.handle_frame(frame(FramePurpose::Known, &[]), &data(flow(1)), at(300));
    assert_eq!(update, None);
}

// Guards against a rush in which many flows lose 60 ms each, once a second, while a target is down.
// Nothing listens at the target's address, and the end of the backoff does not prove that it is
// back: one flow at a time retries it until it is heard.
#[test]
fn one_flow_at_a_time_retries_a_target_that_was_down() {
    let mut agent = informed_agent();
    agent.handle_connection_refused(at(0));
    let delivered_count = |agent: &mut FlowAgent, ports: std::ops::Range<u16>, millis| {
        let delivered = ports.filter(|&port| {
            let offer = frame(FramePurpose::Offer, &[2]);
            let (step, _) = agent.handle_frame(offer, &opening(flow(port)), at(millis));
            matches!(step, AgentStep::Deliver { .. })
        });
        delivered.count()
    };
    assert_eq!(delivered_count(&mut agent, 0..20, 500), 0);
    assert_eq!(delivered_count(&mut agent, 20..40, 1_000), 1);
    assert_eq!(delivered_count(&mut agent, 40..60, 1_050), 0);
    // The target answers, so all flows may use it again.
    agent.handle_target_packet(&answer(flow(20)), at(1_060));
    assert!(accepts(&mut agent, 90, 1_061));
    assert!(accepts(&mut agent, 91, 1_061));
}
