//! Searches for flows that a balancer does not know.

use std::collections::BTreeSet;

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    BalancerStep, DueSearch, FlowBalancer, FlowEvent, FlowReset, FlowView, FramePurpose,
    LoadReport, LossReason, PeerFrame, SearchFrames, SearchResult, write_frame,
};
use smallvec::smallvec;

use crate::balancer::sent;
use crate::empty_fleet::delegated_agents;
use crate::support::{
    agent, at, balancer, builder, catalog, claims, claims_view, data, flow, flow_update, idle_load,
    opening, target, view_of,
};

pub(crate) fn queried(step: BalancerStep) -> BTreeSet<AgentAddress> {
    let BalancerStep::Search(frames) = step else {
        panic!("not searched: {step:?}");
    };
    shown(&frames)
}

/// All agents that are shown the packet of a search, by the balancer or by a delegate.
fn shown(frames: &SearchFrames) -> BTreeSet<AgentAddress> {
    let mut agents = BTreeSet::new();
    for (to, frame) in frames {
        assert!(agents.insert(*to), "{to} is shown the packet twice");
        match frame {
            PeerFrame::Packet(frame) => assert_eq!(frame.purpose, FramePurpose::Search),
            PeerFrame::Errand(search) => {
                for other in delegated_agents(*to, search) {
                    assert!(agents.insert(other), "{other} is shown the packet twice");
                }
            }
            _ => panic!("not a frame of a search: {frame:?}"),
        }
    }
    agents
}

pub(crate) fn agents(count: u8) -> BTreeSet<AgentAddress> {
    (1..=count).map(agent).collect()
}

#[test]
fn all_possible_holders_are_queried_at_once() {
    let view = claims_view(7);
    let balancer = FlowBalancer::new(balancer());
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(0));
    assert_eq!(queried(step), agents(7));
    balancer.handle_flow_update(&flow_update(flow(1), agent(3), FlowEvent::Opened), at(2));
    let (to, frame) = sent(balancer.handle_packet(&data(flow(1)), b"data", &view, at(3)));
    assert_eq!((to, frame.purpose), (agent(3), FramePurpose::Known));
}

#[test]
fn an_agent_that_sent_a_packet_back_is_not_asked_again() {
    let view = claims_view(3);
    let balancer = FlowBalancer::new(balancer());
    let step = balancer.handle_returned_packet(&data(flow(1)), b"data", agent(2), &view, at(0));
    assert_eq!(queried(step), BTreeSet::from([agent(1), agent(3)]));
}

fn query_all(balancer: &FlowBalancer, view: &FlowView) {
    let step = balancer.handle_packet(&data(flow(1)), b"data", view, at(0));
    queried(step);
}

/// Two agents report the flow as absent, which proves nothing yet.
fn two_report_absent(balancer: &FlowBalancer, millis: u64) {
    for number in [1, 2] {
        let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
        assert_eq!(balancer.handle_flow_update(&update, at(millis)).reset, None);
    }
}

// Guards against clients that each lose one request to its deadline. Targets restart after a power
// loss, clients keep sending on flows that are gone, and the searches for these flows end without a
// result.
#[test]
fn a_flow_that_nobody_holds_is_reset() {
    let view = claims_view(3);
    let balancer = FlowBalancer::new(balancer());
    query_all(&balancer, &view);
    two_report_absent(&balancer, 1);
    let update = flow_update(flow(1), agent(3), FlowEvent::Absent);
    let reset = FlowReset {
        flow: flow(1),
        acknowledged: data(flow(1)).acknowledged,
        reason: LossReason::Unheld,
    };
    assert_eq!(
        balancer.handle_flow_update(&update, at(2)).reset,
        Some(reset)
    );
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(3));
    assert_eq!(step, BalancerStep::Lost);
}

struct DoubtCase {
    name: &'static str,
    view: FlowView,
    /// Agents that report the flow as absent.
    absent: &'static [u8],
}

// Guards against the reset of a client's open feed while its target lives. A balancer whose view
// lacks that target queries all others; a search that could not have found the flow does not prove
// that it is lost.
#[test]
fn a_flow_is_reset_only_when_nobody_else_can_hold_it() {
    let mut troubled = builder();
    troubled.apply(
        &catalog(vec![target(1, "claims"), target(2, "claims")]),
        at(0),
    );
    troubled.record_store_failure(at(0));
    let mut just_vanished = builder();
    just_vanished.apply(
        &catalog((1..=3).map(|n| target(n, "claims")).collect()),
        at(0),
    );
    just_vanished.apply(
        &catalog((1..=2).map(|n| target(n, "claims")).collect()),
        at(0),
    );
    let cases = [
        DoubtCase {
            name: "one agent has not answered",
            view: claims_view(3),
            absent: &[1, 2],
        },
        DoubtCase {
            name: "the store had a failure: targets may be missing from the view",
            view: troubled.build(at(0)),
            absent: &[1, 2],
        },
        DoubtCase {
            name: "a target vanished a moment ago",
            view: just_vanished.build(at(0)),
            absent: &[1, 2],
        },
        DoubtCase {
            name: "another service has not answered: the route may have come from there",
            view: view_of(catalog(vec![
                target(1, "claims"),
                target(2, "claims"),
                target(3, "vault"),
            ])),
            absent: &[1, 2],
        },
    ];
    for case in cases {
        let balancer = FlowBalancer::new(balancer());
        query_all(&balancer, &case.view);
        for &number in case.absent {
            let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
            assert_eq!(
                balancer.handle_flow_update(&update, at(1)).reset,
                None,
                "{}",
                case.name
            );
        }
    }
}

// Guards against small balancers that are busy with searches for seconds while new flows wait.
// After a power loss seventy clients send on flows that are gone; if each packet is shown to all 54
// agents, each of them answers, and again for every packet.
#[test]
fn a_medium_fleet_is_queried_in_two_phases() {
    let view = claims_view(40);
    let balancer = FlowBalancer::new(balancer());
    let send = |millis| balancer.handle_packet(&data(flow(1)), b"data", &view, at(millis));
    let first = queried(send(0));
    assert_eq!(first.len(), 16);
    let mut absent = first.iter().copied();
    let reports_absent = |agent, millis| {
        let update = flow_update(flow(1), agent, FlowEvent::Absent);
        balancer.handle_flow_update(&update, at(millis)).reset
    };
    assert_eq!(reports_absent(absent.next().expect("one"), 1), None);
    // Another packet goes only to agents that have not answered.
    assert_eq!(queried(send(100)).len(), 15);
    assert!(absent.all(|agent| reports_absent(agent, 101).is_none()));
    let rest = queried(send(600));
    assert_eq!(rest.len(), 24);
    assert!(rest.is_disjoint(&first));
    let last = rest.last().copied().expect("one");
    for agent in rest.into_iter().filter(|agent| *agent != last) {
        assert_eq!(reports_absent(agent, 601), None);
    }
    assert!(reports_absent(last, 602).is_some());
}

// Guards against packets that do not reach their flow's target for seconds. Targets are replaced,
// so the flow's target is no longer among its sixteen candidates, one of which is dead; then the
// flow moves to another balancer. The other holders must not be queried only after all candidates
// have answered, nor only for packets with data.
#[test]
fn a_dead_candidate_does_not_hold_up_the_second_step() {
    let view = claims_view(40);
    let balancer = FlowBalancer::new(balancer());
    let mut acknowledgement = data(flow(1));
    acknowledgement.data_bytes = 0;
    let send = |millis| balancer.handle_packet(&acknowledgement, b"ack", &view, at(millis));
    let first = queried(send(0));
    let dead = first.first().copied().expect("one");
    for agent in first.iter().copied().filter(|agent| *agent != dead) {
        balancer.handle_flow_update(&flow_update(flow(1), agent, FlowEvent::Absent), at(1));
    }
    assert_eq!(queried(send(100)), BTreeSet::from([dead]));
    let second = queried(send(200));
    assert_eq!(second.len(), 24 + 1);
    // The flow's target is among them.
    let holder = second.into_iter().find(|agent| *agent != dead);
    let holder = holder.expect("one");
    balancer.handle_flow_update(&flow_update(flow(1), holder, FlowEvent::Opened), at(201));
    assert_eq!(sent(send(202)).0, holder);
}

#[test]
fn targets_long_gone_do_not_make_a_fleet_large() {
    let mut builder = builder();
    builder.apply(
        &catalog((0..=250).map(|n| target(n, "claims")).collect()),
        at(0),
    );
    let left: Vec<_> = (0..30).map(|n| target(n, "claims")).collect();
    builder.apply(&catalog(left), at(0));
    let view = builder.build(at(10_000));
    let balancer = FlowBalancer::new(balancer());
    let send = |millis| balancer.handle_packet(&data(flow(1)), b"data", &view, at(millis));
    let first = queried(send(10_000));
    let second = queried(send(10_200));
    let listed: BTreeSet<_> = (0..30).map(agent).collect();
    assert!(
        listed
            .iter()
            .all(|agent| first.contains(agent) || second.contains(agent))
    );
}

/// The bytes that these frames take, including the headers below them.
fn sent_bytes(frames: &SearchFrames, packet: &[u8]) -> usize {
    let lengths = frames.iter().map(|(_, frame)| {
        let mut bytes = Vec::new();
        write_frame(frame, packet, &mut bytes);
        bytes.len() + 28
    });
    lengths.sum()
}

// Guards against a link of 11 Mbit/s that is saturated after a power loss: clients send on hundreds
// of flows that are gone, answers come late, everything is sent again, and the balancer is late for
// ten seconds. Limiting the number of queries whatever their size does not prevent this.
#[test]
fn searches_have_a_budget_of_bytes() {
    let view = claims_view(40);
    let packet = [0; 350];
    let balancer = FlowBalancer::new(balancer());
    let mut sent = 0;
    for port in 0..1_000 {
        let step = balancer.handle_packet(&data(flow(port)), &packet, &view, at(0));
        let BalancerStep::Search(frames) = step else {
            panic!("not searched: {step:?}");
        };
        sent += sent_bytes(&frames, &packet);
        for agent in shown(&frames) {
            balancer.handle_flow_update(&flow_update(flow(port), agent, FlowEvent::Absent), at(1));
        }
    }
    // Each flow's candidates are queried, in one datagram where more would exceed the budget.
    assert!((100_000..650_000).contains(&sent), "{sent} bytes");
    // All other holders are queried only within the budget.
    let widened_bytes = |millis| -> usize {
        let due = balancer.due_searches(&view, at(millis)).into_iter();
        let query_count = due.map(|due| match due {
            DueSearch::Query { bytes, frames, .. } => sent_bytes(&frames, &bytes),
            DueSearch::Lost(_) | DueSearch::Abandoned { .. } => 0,
        });
        query_count.sum()
    };
    assert_eq!(widened_bytes(1), 0);
    let second: usize = (2..1_002).map(widened_bytes).sum();
    assert!((100_000..210_000).contains(&second), "{second} bytes");
}

// Guards against agents that get a thousand searches per second: a balancer stops, and a client in
// the middle of a download sends dozens of acknowledgements through another one, each of which
// starts a search.
#[test]
fn acknowledgements_do_not_repeat_a_search() {
    let view = claims_view(3);
    let balancer = FlowBalancer::new(balancer());
    let mut acknowledgement = data(flow(1));
    acknowledgement.data_bytes = 0;
    queried(balancer.handle_packet(&acknowledgement, b"ack", &view, at(0)));
    let step = balancer.handle_packet(&acknowledgement, b"ack", &view, at(5));
    assert_eq!(step, BalancerStep::Drop);
    // Data must reach its target whatever else is in flight.
    queried(balancer.handle_packet(&data(flow(1)), b"data", &view, at(6)));
    // A search whose answers were lost is repeated.
    queried(balancer.handle_packet(&acknowledgement, b"ack", &view, at(100)));
}

/// Returns the frames of the only query, which shows the packet that the search began with.
fn single_query_frames(due: Vec<DueSearch>) -> SearchFrames {
    let [DueSearch::Query { bytes, frames, .. }] = &due[..] else {
        panic!("not a single query: {due:?}");
    };
    assert_eq!(&bytes[..], b"data");
    frames.clone()
}

fn single_query_agents(due: Vec<DueSearch>) -> BTreeSet<AgentAddress> {
    shown(&single_query_frames(due))
}

// Guards against clients in a fleet of forty targets that learn of a lost flow 200 or 600 ms late
// after a power loss, and some not before their deadlines. The candidates all report the flow as
// absent within some milliseconds, but the client retransmits only 200 ms later; the other holders
// must be queried without waiting for that packet.
#[test]
fn other_holders_are_queried_once_all_candidates_report_absent() {
    let view = claims_view(40);
    let balancer = FlowBalancer::new(balancer());
    let first = queried(balancer.handle_packet(&data(flow(1)), b"data", &view, at(0)));
    for &agent in &first {
        assert_eq!(balancer.due_searches(&view, at(1)), []);
        balancer.handle_flow_update(&flow_update(flow(1), agent, FlowEvent::Absent), at(1));
    }
    assert_eq!(balancer.next_due(), Some(at(1)));
    let second = single_query_agents(balancer.due_searches(&view, at(1)));
    assert_eq!(second.len(), 24);
    assert!(second.is_disjoint(&first));
    let resets: Vec<_> = second
        .iter()
        .filter_map(|&agent| {
            let update = flow_update(flow(1), agent, FlowEvent::Absent);
            balancer.handle_flow_update(&update, at(3)).reset
        })
        .collect();
    assert_eq!(resets.len(), 1);
}

// Guards against a link of 11 Mbit/s that drops datagrams for seconds after a power loss while new
// flows wait: a hundred clients send on flows that are gone, the balancer shows each packet to 54
// agents itself, and each of these answers.
#[test]
fn an_agent_that_was_just_heard_asks_the_others() {
    let view = claims_view(40);
    let balancer = FlowBalancer::new(balancer());
    balancer.record_load(&idle_load(agent(7)), at(0));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(10));
    let BalancerStep::Search(frames) = &step else {
        panic!("not searched: {step:?}");
    };
    let is_candidate = shown(frames).contains(&agent(7));
    assert_eq!(shown(frames).len(), 16);
    assert_eq!(frames.len(), if is_candidate { 1 } else { 16 });
    // The rest of all forty are queried through an agent that was heard: two frames in all.
    for agent in shown(frames) {
        balancer.handle_flow_update(&flow_update(flow(1), agent, FlowEvent::Absent), at(11));
    }
    for number in 1..=40 {
        balancer.record_load(&idle_load(agent(number)), at(11));
    }
    let frames = single_query_frames(balancer.due_searches(&view, at(11)));
    assert_eq!(shown(&frames).len(), 24);
    let [(delegate, PeerFrame::Errand(_))] = frames[..] else {
        panic!("not a single delegated search: {frames:?}");
    };
    let result = |silent| SearchResult {
        flow: flow(1),
        delegate,
        silent,
    };
    // The delegate's own answer is still needed.
    assert_eq!(
        balancer.handle_search_result(&result(smallvec![]), at(13)),
        None
    );
    let absent = flow_update(flow(1), delegate, FlowEvent::Absent);
    assert!(balancer.handle_flow_update(&absent, at(13)).reset.is_some());
}

/// A balancer that has used up its budget for direct queries. Each search ends at once, because its
/// client opens a new flow from the same port, so none is in flight.
fn balancer_without_direct_budget(view: &FlowView) -> FlowBalancer {
    let balancer = FlowBalancer::new(balancer());
    for port in 100..400 {
        balancer.handle_packet(&data(flow(port)), &[0; 350], view, at(9));
        balancer.handle_packet(&opening(flow(port)), b"syn", view, at(9));
    }
    balancer
}

fn delegate_of(step: BalancerStep) -> AgentAddress {
    let BalancerStep::Search(frames) = &step else {
        panic!("not searched: {step:?}");
    };
    let [(delegate, PeerFrame::Errand(_))] = frames[..] else {
        panic!("not a single delegated search: {frames:?}");
    };
    delegate
}

#[test]
fn silent_agents_of_a_delegated_search_are_queried_by_the_balancer() {
    let view = claims_view(12);
    let balancer = balancer_without_direct_budget(&view);
    balancer.record_load(&idle_load(agent(7)), at(9));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(10));
    assert_eq!(delegate_of(step.clone()), agent(7));
    assert_eq!(queried(step), agents(12));
    let absent = flow_update(flow(1), agent(7), FlowEvent::Absent);
    assert_eq!(balancer.handle_flow_update(&absent, at(12)).reset, None);
    let result = SearchResult {
        flow: flow(1),
        delegate: agent(7),
        silent: smallvec![agent(3)],
    };
    assert_eq!(balancer.handle_search_result(&result, at(70)), None);
    let second_query = balancer
        .due_searches(&view, at(160))
        .into_iter()
        .find(|due| matches!(due, DueSearch::Query { flow: queried, .. } if *queried == flow(1)));
    let frames = single_query_frames(second_query.into_iter().collect());
    assert!(matches!(frames[..], [(to, PeerFrame::Packet(_))] if to == agent(3)));
    // The result of another delegated search says nothing about them.
    let stray = SearchResult {
        delegate: agent(9),
        silent: smallvec![],
        ..result
    };
    assert_eq!(balancer.handle_search_result(&stray, at(161)), None);
    let last = flow_update(flow(1), agent(3), FlowEvent::Absent);
    assert!(balancer.handle_flow_update(&last, at(162)).reset.is_some());
}

#[test]
fn a_delegate_that_returns_no_result_is_avoided_next_time() {
    let view = claims_view(12);
    let balancer = balancer_without_direct_budget(&view);
    balancer.record_load(&idle_load(agent(7)), at(9));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(10));
    assert_eq!(delegate_of(step), agent(7));
    let again = balancer.handle_packet(&data(flow(1)), b"data", &view, at(100));
    assert_ne!(delegate_of(again.clone()), agent(7));
    assert_eq!(queried(again), agents(12));
}

#[test]
fn a_search_goes_on_without_another_packet_when_a_candidate_is_silent() {
    let view = claims_view(40);
    let balancer = FlowBalancer::new(balancer());
    let first = queried(balancer.handle_packet(&data(flow(1)), b"data", &view, at(0)));
    assert_eq!(balancer.due_searches(&view, at(149)), []);
    // Agents that did not answer are queried again, since a datagram may be lost.
    let second = single_query_agents(balancer.due_searches(&view, at(150)));
    assert_eq!(second.len(), 40);
    assert!(second.is_superset(&first));
    let third = single_query_agents(balancer.due_searches(&view, at(300)));
    assert_eq!(third, second);
}

struct SilenceCase {
    name: &'static str,
    /// How many of three targets the store still lists.
    listed: u8,
    lost: bool,
}

// Guards against lost flows that are not reset for three seconds. A target leaves and its entry is
// removed, and after a power loss all flows are searched for. All agents but the one that left
// report them as absent, and a search must not wait for a machine that is gone.
#[test]
fn only_a_target_that_the_store_lists_holds_up_the_end_of_a_search() {
    let cases = [
        SilenceCase {
            name: "the silent one has left the list",
            listed: 2,
            lost: true,
        },
        SilenceCase {
            name: "the silent one is listed: it may be cut off, and hold the flow",
            listed: 3,
            lost: false,
        },
    ];
    for case in cases {
        let mut builder = builder();
        let targets = |count| catalog((1..=count).map(|n| target(n, "claims")).collect());
        builder.apply(&targets(3), at(0));
        builder.apply(&targets(case.listed), at(0));
        let view = builder.build(at(0));
        let balancer = FlowBalancer::new(balancer());
        query_all(&balancer, &view);
        for number in [1, 2] {
            let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
            assert_eq!(
                balancer.handle_flow_update(&update, at(1)).reset,
                None,
                "{}",
                case.name
            );
        }
        let again = single_query_agents(balancer.due_searches(&view, at(150)));
        assert_eq!(again, BTreeSet::from([agent(3)]), "{}", case.name);
        assert_eq!(balancer.due_searches(&view, at(399)), [], "{}", case.name);
        let due = balancer.due_searches(&view, at(400));
        let lost = matches!(due[..], [DueSearch::Lost(_)]);
        assert_eq!(lost, case.lost, "{}: {due:?}", case.name);
    }
}

// Guards against lost flows that are each reported 401 ms late for three seconds, so that a request
// in its last retry misses its deadline. All flows are searched for after a power loss, a target
// that has just left is silent, and each search queries it twice and waits again.
#[test]
fn a_silence_is_waited_for_once() {
    let targets = |count| catalog((1..=count).map(|n| target(n, "claims")).collect());
    let mut builder = builder();
    builder.apply(&targets(3), at(0));
    builder.apply(&targets(2), at(0));
    let view = builder.build(at(0));
    let balancer = FlowBalancer::new(balancer());
    query_all(&balancer, &view);
    two_report_absent(&balancer, 1);
    for probed in [250, 400] {
        assert_eq!(balancer.due_probes(at(probed)), [agent(3)]);
    }
    let lost = |port, millis| {
        let send = data(flow(port));
        queried(balancer.handle_packet(&send, b"data", &view, at(millis)));
        let updates = [1, 2].map(|number| {
            let update = flow_update(flow(port), agent(number), FlowEvent::Absent);
            balancer.handle_flow_update(&update, at(millis + 1)).reset
        });
        updates[1].is_some()
    };
    assert!(!lost(2, 390), "it has not been silent for long enough");
    assert!(lost(3, 410));
    // It was only slow: any message of it ends its silence.
    balancer.record_load(&idle_load(agent(3)), at(500));
    assert!(!lost(4, 510));
}

// Guards against the same delay where the agent beside the target has announced its stop. A
// stopping agent may be about to restart beside a live target, so its silence is proof only if
// the target is no longer listed.
#[test]
fn an_agent_that_stopped_after_its_target_left_is_not_waited_for() {
    let targets = |count| catalog((1..=count).map(|n| target(n, "claims")).collect());
    for (listed, ends) in [(2, true), (3, false)] {
        let mut builder = builder();
        builder.apply(&targets(3), at(0));
        builder.apply(&targets(listed), at(0));
        let view = builder.build(at(0));
        let balancer = FlowBalancer::new(balancer());
        let stops = LoadReport {
            leaving: true,
            ..idle_load(agent(3))
        };
        balancer.record_load(&stops, at(0));
        query_all(&balancer, &view);
        let updates = [1, 2].map(|number| {
            let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
            balancer.handle_flow_update(&update, at(1)).reset
        });
        assert_eq!(updates[1].is_some(), ends, "{listed} listed");
    }
}

// Guards against the reset of an open flow while its target lives. The store recovers, and two
// seconds later views are complete. A target's entry vanishes within six seconds of the failure,
// which proves nothing for two more; its agent stops, to restart beside it. A search must not take
// a lapsed target for one that has been off the list for long.
#[test]
fn the_silence_of_a_lapsed_target_proves_nothing() {
    let targets = |count| catalog((1..=count).map(|n| target(n, "claims")).collect());
    for stops in [true, false] {
        let mut builder = builder();
        builder.apply(&targets(3), at(0));
        builder.record_store_failure(at(0));
        builder.set_store_recovered_at(Some(at(100)));
        builder.apply(&targets(2), at(3_200));
        let view = builder.build(at(3_200));
        assert!(view.is_complete());
        let balancer = FlowBalancer::new(balancer());
        let report = LoadReport {
            leaving: stops,
            ..idle_load(agent(3))
        };
        balancer.record_load(&report, at(3_200));
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(3_201));
        assert_eq!(queried(step), agents(3));
        two_report_absent(&balancer, 3_202);
        for millis in [3_351, 3_601, 4_000] {
            let due = balancer.due_searches(&view, at(millis));
            let lost = due.iter().any(|due| matches!(due, DueSearch::Lost(_)));
            assert!(!lost, "stops {stops}: {due:?}");
        }
    }
}

#[test]
fn a_vanished_target_that_answers_keeps_its_flow() {
    let mut builder = builder();
    builder.apply(
        &catalog(vec![target(1, "claims"), target(2, "claims")]),
        at(0),
    );
    builder.apply(&catalog(vec![target(1, "claims")]), at(0));
    let view = builder.build(at(0));
    let balancer = FlowBalancer::new(balancer());
    query_all(&balancer, &view);
    balancer.handle_flow_update(&flow_update(flow(1), agent(1), FlowEvent::Absent), at(1));
    single_query_agents(balancer.due_searches(&view, at(150)));
    balancer.handle_flow_update(&flow_update(flow(1), agent(2), FlowEvent::Opened), at(152));
    assert_eq!(balancer.due_searches(&view, at(400)), []);
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(401));
    assert_eq!(sent(step).0, agent(2));
}

struct ResumeCase {
    name: &'static str,
    /// How many targets the complete view lists; two were queried before.
    listed: u8,
}

// Guards against clients that learn only with their third or fourth retransmission that a flow is
// lost, or not before their deadlines. A balancer that has just started queries all holders, which
// report the flow as absent within two milliseconds; a little later it learns that the store had no
// failure, and the search must resume in the complete view.
#[test]
fn a_search_ends_when_the_view_turns_out_to_be_complete() {
    let cases = [
        ResumeCase {
            name: "nobody else is listed",
            listed: 2,
        },
        ResumeCase {
            name: "one more is listed meanwhile: it is queried first",
            listed: 3,
        },
    ];
    for case in cases {
        let targets = |count| catalog((1..=count).map(|n| target(n, "claims")).collect());
        let mut builder = builder();
        builder.set_informed(false);
        builder.apply(&targets(2), at(0));
        let view = builder.build(at(0));
        let balancer = FlowBalancer::new(balancer());
        query_all(&balancer, &view);
        two_report_absent(&balancer, 1);
        let doubtful = balancer.due_searches(&view, at(40));
        assert_eq!(doubtful, [], "{}", case.name);
        builder.apply(&targets(case.listed), at(50));
        builder.set_informed(true);
        let view = builder.build(at(50));
        let due = balancer.next_due().expect("a step");
        assert!(due <= at(75), "{}: {due:?}", case.name);
        let mut next = balancer.due_searches(&view, due);
        if case.listed > 2 {
            assert_eq!(single_query_agents(next), BTreeSet::from([agent(3)]));
            let update = flow_update(flow(1), agent(3), FlowEvent::Absent);
            let reset = balancer.handle_flow_update(&update, due).reset;
            next = reset.map(DueSearch::Lost).into_iter().collect();
        }
        let lost = matches!(next[..], [DueSearch::Lost(_)]);
        assert!(lost, "{}: {next:?}", case.name);
    }
}

// Guards against an open flow whose packets reach no target for two seconds. A balancer that has
// just started reads a list that lacks the flow's target, and all others report the flow as absent.
// The target is listed a moment later, and the client sends again. The inconclusive search must not
// be continued with the agents that have not answered, of which there are none.
#[test]
fn a_search_that_proved_nothing_begins_again_with_the_next_packet() {
    let mut builder = builder();
    builder.record_store_failure(at(0));
    builder.apply(
        &catalog(vec![target(1, "claims"), target(2, "claims")]),
        at(0),
    );
    let view = builder.build(at(0));
    let balancer = FlowBalancer::new(balancer());
    query_all(&balancer, &view);
    two_report_absent(&balancer, 1);
    // Not with each acknowledgement of a download.
    let early = balancer.handle_packet(&data(flow(1)), b"data", &view, at(50));
    assert_eq!(early, BalancerStep::Drop);
    let all = (1..=3).map(|number| target(number, "claims")).collect();
    builder.apply(&catalog(all), at(100));
    let view = builder.build(at(100));
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(200));
    assert_eq!(
        queried(step),
        BTreeSet::from([agent(3)]),
        "only the new target is queried, the others have reported the flow as absent"
    );
}

// Guards against open flows that are reset because a search names the service of a former target.
#[test]
fn a_search_names_the_service_of_the_latest_entry() {
    for _ in 0..20 {
        let mut builder = builder();
        builder.apply(&catalog(vec![target(1, "vault")]), at(0));
        let both = vec![target(1, "vault"), target(1, "claims")];
        builder.apply(&catalog(both), at(1_000));
        let view = builder.build(at(1_000));
        let balancer = FlowBalancer::new(balancer());
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(1_000));
        let BalancerStep::Search(frames) = step else {
            panic!("not searched: {step:?}");
        };
        let [(to, PeerFrame::Packet(frame))] = &frames[..] else {
            panic!("not one query: {frames:?}");
        };
        assert_eq!((*to, frame.service), (agent(1), claims()));
    }
}
