//! Open flows whose target is lost.

use std::time::Duration;

use lovagelatch_catalog::{AgentStop, Catalog, RESTART_GRACE};
use lovagelatch_flows::{
    BalancerStep, DueSearch, FlowBalancer, FlowEvent, FlowView, LoadReport, LossReason,
};

use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, builder, catalog, claims_view, data, flow, flow_update, idle_load,
    opening, target,
};

struct LossCase {
    name: &'static str,
    idempotent: bool,
    /// Whether the store still lists the flow's target.
    listed: bool,
    store_failure: bool,
    /// Whether the flow's agent is heard after packets were sent to it.
    heard: bool,
    stops: bool,
    expected: Option<LossReason>,
}

/// Targets beside agents 1 and 2, behind a route with or without idempotent requests.
fn two_targets(idempotent: bool) -> Catalog {
    let mut all = catalog(vec![target(1, "claims"), target(2, "claims")]);
    let mut routes = all.routes.to_vec();
    routes[0].idempotent = idempotent;
    all.routes = routes.into();
    all
}

fn view(case: &LossCase, listed: bool) -> FlowView {
    let all = two_targets(case.idempotent);
    let mut builder = builder();
    builder.apply(&all.clone(), at(0));
    if case.store_failure {
        builder.record_store_failure(at(900));
    }
    if !listed {
        let targets = catalog(vec![target(2, "claims")]).targets;
        builder.apply(&Catalog { targets, ..all }, at(1_000));
    }
    builder.build(at(1_000))
}

/// Opens a flow at agent 1 and sends one of its packets.
fn open_flow(balancer: &FlowBalancer, view: &FlowView) {
    balancer.handle_packet(&opening(flow(1)), b"syn", view, at(0));
    balancer.handle_flow_update(&flow_update(flow(1), agent(1), FlowEvent::Opened), at(1));
    balancer.handle_packet(&data(flow(1)), b"data", view, at(1_000));
}

// Guards against clients that each lose their next request to its deadline, because their target's
// machine died and nothing resets their flows. Also guards against the reset of a live target's
// flow, which breaks a session, or a filing that is still running.
#[test]
fn a_lost_flow_is_reset_and_no_other() {
    let base = LossCase {
        name: "healthy agent and target",
        idempotent: true,
        listed: true,
        store_failure: false,
        heard: true,
        stops: false,
        expected: None,
    };
    let cases = [
        LossCase {
            name: "silent agent, requests may run again",
            heard: false,
            expected: Some(LossReason::AgentSilent),
            ..base
        },
        LossCase {
            name: "silent agent, requests may not run again",
            heard: false,
            idempotent: false,
            ..base
        },
        LossCase {
            name: "silent agent that announced its stop beside a live target",
            heard: false,
            stops: true,
            ..base
        },
        LossCase {
            name: "target gone and agent silent",
            heard: false,
            listed: false,
            idempotent: false,
            expected: Some(LossReason::TargetGone),
            ..base
        },
        LossCase {
            name: "target gone and agent stopping",
            stops: true,
            listed: false,
            idempotent: false,
            expected: Some(LossReason::TargetGone),
            ..base
        },
        LossCase {
            name: "entry gone, agent healthy: cut off from the store",
            listed: false,
            ..base
        },
        LossCase {
            name: "entry gone during a store failure",
            heard: false,
            listed: false,
            store_failure: true,
            idempotent: false,
            ..base
        },
    ];
    for case in cases {
        let balancer = FlowBalancer::new(balancer());
        open_flow(&balancer, &view(&case, true));
        let report = LoadReport {
            leaving: case.stops,
            ..idle_load(agent(1))
        };
        // A stopping agent announces the stop and falls silent.
        if case.heard || case.stops {
            balancer.record_load(&report, at(1_100));
        }
        if case.stops && !case.heard {
            balancer.handle_packet(&data(flow(1)), b"data", &view(&case, true), at(1_200));
        }
        for probed in [1_500, 1_700, 1_900] {
            balancer.due_probes(at(probed));
        }
        balancer.record_load(&idle_load(agent(2)), at(2_000));
        let after = view(&case, case.listed);
        let resets = balancer.lost_flows(&after, at(2_100));
        let reason = resets.first().map(|reset| reset.reason);
        assert_eq!(reason, case.expected, "{}", case.name);
        assert_eq!(
            balancer.lost_flows(&after, at(2_200)),
            [],
            "{}: once",
            case.name
        );
    }
}

// Guards against the reset of an open flow while its target serves it. The flow is offered to one
// target, whose answer does not reach the balancer, and 60 ms later to another one, which answers
// too. The client takes the first, and the second stops as planned seconds later. The answer that
// the balancer heard does not prove where the flow is.
#[test]
fn a_flow_that_may_be_at_another_target_is_not_lost_with_one() {
    let both = catalog(vec![target(1, "claims"), target(2, "claims")]);
    let mut builder = builder();
    builder.apply(&both, at(0));
    let view = builder.build(at(0));
    let balancer = FlowBalancer::new(balancer());
    let step = balancer.handle_packet(&opening(flow(1)), b"syn", &view, at(0));
    let (first, _) = sent(step);
    let second = balancer.due_offers(&view, at(100))[0].to;
    balancer.handle_flow_update(&flow_update(flow(1), second, FlowEvent::Answered), at(101));
    let stopping = LoadReport {
        leaving: true,
        ..idle_load(second)
    };
    balancer.record_load(&stopping, at(1_000));
    let left = both.targets.iter().filter_map(|row| row.target());
    let left = left.filter(|target| *target.address.ip() == *first.0.ip());
    builder.apply(&catalog(left.cloned().collect()), at(1_000));
    let view = builder.build(at(1_000));
    assert_eq!(balancer.lost_flows(&view, at(1_001)), []);
    // From now on packets go to the other target.
    let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(1_002));
    assert_eq!(sent(step).0, first);
    // Once the flow is known to be open at a target, it is lost with that target.
    balancer.handle_flow_update(&flow_update(flow(1), first, FlowEvent::Opened), at(1_003));
    let stopping = LoadReport {
        leaving: true,
        ..idle_load(first)
    };
    balancer.record_load(&stopping, at(2_000));
    builder.apply(&catalog(Vec::new()), at(2_000));
    let view = builder.build(at(2_000));
    assert_eq!(balancer.lost_flows(&view, at(2_001)).len(), 1);
}

// Guards against open flows that are reset at a planned restart. A balancer sends to an agent just
// before it and is not notified of the stop. It probes the agent while it is away for 0.56 s, and
// hears it again 0.93 s after it first sent; a timeout of 0.8 s is too short.
#[test]
fn a_silence_as_long_as_a_planned_restart_ends_no_flow() {
    let view = claims_view(2);
    let balancer = FlowBalancer::new(balancer());
    open_flow(&balancer, &view);
    for probed in [1_200, 1_350, 1_500, 1_650, 1_800, 1_950] {
        balancer.due_probes(at(probed));
        balancer.record_load(&idle_load(agent(2)), at(probed));
        assert_eq!(balancer.lost_flows(&view, at(probed)), [], "at {probed}");
    }
    let resets = balancer.lost_flows(&view, at(2_000));
    assert_eq!(resets.len(), 1, "longer than that it is");
}

// Guards against the reset of a live target's open flow. A balancer is paused for seconds with a
// client's first packet unread, and the client's retransmission opens the flow through another
// balancer. The paused balancer resumes and offers its copy to a second target, which answers; then
// that target's machine goes silent, and the client's packets come to this balancer. An answer to a
// first packet does not prove that the flow is held there.
#[test]
fn an_answered_flow_is_searched_for_when_its_target_is_lost() {
    struct AnsweredCase {
        name: &'static str,
        /// Whether a packet of the open flow came before the silence was detected.
        data_before: bool,
        /// Whether the store still lists the silent target.
        listed: bool,
    }
    let cases = [
        AnsweredCase {
            name: "only the first packet came",
            data_before: false,
            listed: true,
        },
        AnsweredCase {
            name: "a packet of the open flow came too",
            data_before: true,
            listed: true,
        },
        AnsweredCase {
            name: "the target's entry is gone",
            data_before: true,
            listed: false,
        },
    ];
    for case in cases {
        let both = catalog(vec![target(1, "claims"), target(2, "claims")]);
        let mut builder = builder();
        builder.apply(&both, at(0));
        let view = builder.build(at(0));
        let balancer = FlowBalancer::new(balancer());
        let step = balancer.handle_packet(&opening(flow(1)), b"syn", &view, at(0));
        let (silent, _) = sent(step);
        balancer.handle_flow_update(&flow_update(flow(1), silent, FlowEvent::Answered), at(1));
        let living = [agent(1), agent(2)].into_iter().find(|a| *a != silent);
        let living = living.expect("two agents");
        if case.data_before {
            balancer.handle_packet(&data(flow(1)), b"data", &view, at(900));
        }
        // A flow that is known to be open there reveals the silence, and is lost.
        balancer.handle_flow_update(&flow_update(flow(2), silent, FlowEvent::Opened), at(2));
        balancer.handle_packet(&data(flow(2)), b"data", &view, at(900));
        for probed in [1_300, 1_500, 1_700, 1_900, 2_100] {
            balancer.due_probes(at(probed));
            balancer.record_load(&idle_load(living), at(probed));
        }
        if !case.listed {
            let left = both.targets.iter().filter_map(|row| row.target());
            let left = left.filter(|target| *target.address.ip() == *living.0.ip());
            builder.apply(&catalog(left.cloned().collect()), at(2_100));
        }
        let view = builder.build(at(2_150));
        let resets = balancer.lost_flows(&view, at(2_200));
        let lost: Vec<_> = resets.iter().map(|reset| reset.flow).collect();
        assert_eq!(lost, [flow(2)], "{}", case.name);
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(2_300));
        assert!(
            matches!(step, BalancerStep::Search(_)),
            "{}: {step:?}",
            case.name
        );
    }
}

// Guards against resets of open flows whose agent is restarted as planned, by a balancer that the
// agent did not notify of its stop.
#[test]
fn a_restart_that_another_balancer_heard_of_ends_no_flow() {
    struct RestartCase {
        name: &'static str,
        /// When another balancer relays the stop, and how old the stop is then, in milliseconds.
        relayed_stop: Option<(u64, u64)>,
        /// When the agent is heard again, in milliseconds; `None` for never.
        back: Option<u64>,
        /// When the silence ends, in milliseconds.
        end: u64,
        expected: usize,
    }
    let restart = u64::try_from(RESTART_GRACE.as_millis()).expect("some seconds");
    let cases = [
        RestartCase {
            name: "nobody heard of a stop",
            relayed_stop: None,
            back: None,
            end: 3_000,
            expected: 1,
        },
        RestartCase {
            name: "another balancer heard of it",
            relayed_stop: Some((1_200, 400)),
            back: None,
            end: 5_000,
            expected: 0,
        },
        RestartCase {
            name: "the successor never comes",
            relayed_stop: Some((1_200, 400)),
            back: None,
            end: 800 + restart,
            expected: 1,
        },
        RestartCase {
            name: "the successor falls silent without an announcement",
            relayed_stop: Some((1_200, 400)),
            back: Some(2_000),
            end: 5_000,
            expected: 1,
        },
        RestartCase {
            name: "the stop is relayed after the successor has started",
            relayed_stop: Some((2_100, 1_300)),
            back: Some(2_000),
            end: 5_000,
            expected: 1,
        },
    ];
    for case in cases {
        let view = claims_view(2);
        let balancer = FlowBalancer::new(balancer());
        open_flow(&balancer, &view);
        let mut lost = 0;
        for now in (1_100..=case.end).step_by(50) {
            if case.back == Some(now) {
                balancer.record_load(&idle_load(agent(1)), at(now));
                balancer.handle_packet(&data(flow(1)), b"data", &view, at(now));
            }
            if let Some((_, age)) = case.relayed_stop.filter(|(at, _)| *at == now) {
                let stop = AgentStop {
                    agent: agent(1),
                    age: Duration::from_millis(age),
                };
                balancer.record_stops(&[stop], at(now));
            }
            balancer.due_probes(at(now));
            balancer.record_load(&idle_load(agent(2)), at(now));
            lost += balancer.lost_flows(&view, at(now)).len();
        }
        assert_eq!(lost, case.expected, "{}", case.name);
    }
}

// Guards against resets of open flows by a balancer that started during a restart of their agent,
// so that nothing could notify it of the stop.
#[test]
fn a_fresh_balancer_waits_for_agents_that_it_has_never_heard() {
    struct FreshCase {
        name: &'static str,
        /// Since when the balancer knows of every stop, in milliseconds.
        since: u64,
        /// Whether it heard the agent before the silence.
        heard: bool,
        /// When the flow is reported lost, in milliseconds.
        expected: u64,
    }
    let restart = u64::try_from(RESTART_GRACE.as_millis()).expect("some seconds");
    let cases = [
        FreshCase {
            name: "started with the silence",
            since: 10_000,
            heard: false,
            expected: 10_000 + restart,
        },
        FreshCase {
            name: "informed by a long-running balancer",
            since: 1_000,
            heard: false,
            expected: 11_000,
        },
        FreshCase {
            name: "heard the agent itself",
            since: 9_000,
            heard: true,
            expected: 11_000,
        },
    ];
    for case in cases {
        let view = claims_view(2);
        let balancer = FlowBalancer::new(balancer());
        balancer.set_stops_known_since(at(case.since));
        if case.heard {
            balancer.record_load(&idle_load(agent(1)), at(9_500));
        }
        let mut reported = None;
        for now in (10_000..=17_000).step_by(50) {
            balancer.due_probes(at(now));
            balancer.record_load(&idle_load(agent(2)), at(now));
            // The client retransmits, and agent 2 does not hold the flow.
            let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(now));
            let absent = flow_update(flow(1), agent(2), FlowEvent::Absent);
            let outcome = balancer.handle_flow_update(&absent, at(now));
            let due = balancer.due_searches(&view, at(now));
            let ended = due.iter().any(|due| matches!(due, DueSearch::Lost(_)));
            if ended || outcome.reset.is_some() || step == BalancerStep::Lost {
                reported.get_or_insert(now);
            }
        }
        let reported = reported.expect("reported eventually");
        // A search checks again every 250 ms and restarts every two seconds.
        let late = case.expected..=case.expected + 500;
        assert!(late.contains(&reported), "{}: {reported}", case.name);
    }
}

// Guards against stops that never expire, because balancers relay stops that they only know from
// other balancers.
#[test]
fn only_directly_announced_stops_are_relayed() {
    let balancer = FlowBalancer::new(balancer());
    let stopping = LoadReport {
        leaving: true,
        ..idle_load(agent(1))
    };
    let second_hand = AgentStop {
        agent: agent(2),
        age: Duration::ZERO,
    };
    balancer.record_load(&stopping, at(0));
    balancer.record_stops(&[second_hand], at(0));
    let stops = balancer.stops_to_relay(at(100));
    let agents: Vec<_> = stops.iter().map(|stop| stop.agent).collect();
    assert_eq!(agents, [agent(1)]);
    balancer.record_load(&idle_load(agent(1)), at(900));
    assert_eq!(balancer.stops_to_relay(at(1_000)), [], "it is back");
}

// Guards against agents that exit although no balancer has relayed their stop, because the one that
// confirmed it had recorded an earlier stop, or ended before it relayed this one.
#[test]
fn a_stop_is_confirmed_once_it_was_relayed() {
    struct ConfirmCase {
        name: &'static str,
        /// When the agent announces that it stops, in milliseconds.
        announced: &'static [u64],
        relayed: u64,
        /// The last report, and whether it announces a stop.
        last: (u64, bool),
        expected: bool,
    }
    let base = ConfirmCase {
        name: "relayed",
        announced: &[0],
        relayed: 100,
        last: (250, true),
        expected: true,
    };
    let cases = [
        ConfirmCase {
            name: "not relayed yet",
            relayed: 300,
            expected: false,
            ..base
        },
        ConfirmCase {
            name: "announced several times",
            announced: &[0, 250, 500, 750],
            last: (1_000, true),
            ..base
        },
        ConfirmCase {
            name: "the agent is back",
            last: (250, false),
            expected: false,
            ..base
        },
        ConfirmCase {
            name: "another stop, after a restart without a report",
            announced: &[0, 250],
            last: (2_000, true),
            expected: false,
            ..base
        },
        base,
    ];
    for case in cases {
        let balancer = FlowBalancer::new(balancer());
        let report = |leaving| LoadReport {
            leaving,
            ..idle_load(agent(1))
        };
        for now in 0..=case.last.0 {
            if case.announced.contains(&now) {
                balancer.record_load(&report(true), at(now));
            }
            if now == case.relayed {
                assert_eq!(balancer.stops_to_relay(at(now)).len(), 1);
            }
        }
        let last = report(case.last.1);
        balancer.record_load(&last, at(case.last.0));
        assert_eq!(
            balancer.confirms_stop(&last),
            case.expected,
            "{}",
            case.name
        );
    }
}

// Guards against clients that wait for dead targets for longer than two seconds after the store has
// recovered.
#[test]
fn a_dead_targets_flows_are_reported_two_seconds_after_the_store_recovers() {
    struct ReturnCase {
        name: &'static str,
        /// When the target's entry is found to be gone, in milliseconds after the store's recovery.
        vanished: u64,
        idempotent: bool,
    }
    let cases = [
        ReturnCase {
            name: "gone when the store recovers",
            vanished: 0,
            idempotent: false,
        },
        ReturnCase {
            name: "gone a little later",
            vanished: 250,
            idempotent: true,
        },
        ReturnCase {
            name: "gone at the last moment",
            vanished: 1_900,
            idempotent: false,
        },
    ];
    for case in cases {
        let all = two_targets(case.idempotent);
        let mut builder = builder();
        builder.apply(&all.clone(), at(0));
        let balancer = FlowBalancer::new(balancer());
        open_flow(&balancer, &builder.build(at(0)));
        builder.record_store_failure(at(10_000));
        builder.set_store_recovered_at(Some(at(10_000)));
        let targets = catalog(vec![target(2, "claims")]).targets;
        builder.apply(&Catalog { targets, ..all }, at(10_000 + case.vanished));
        // Further packets of the flow, and of one that this balancer does not know, reach no
        // target.
        let view = builder.build(at(11_000));
        balancer.handle_packet(&data(flow(1)), b"data", &view, at(11_000));
        balancer.handle_packet(&data(flow(2)), b"data", &view, at(11_000));
        balancer.handle_flow_update(
            &flow_update(flow(2), agent(2), FlowEvent::Absent),
            at(11_001),
        );
        let mut lost = Vec::new();
        for now in (11_050..=12_050).step_by(50) {
            balancer.due_probes(at(now));
            balancer.record_load(&idle_load(agent(2)), at(now));
            let view = builder.build(at(now));
            let known = balancer.lost_flows(&view, at(now)).into_iter();
            let searched = balancer.due_searches(&view, at(now)).into_iter();
            let searched = searched.filter_map(|due| match due {
                DueSearch::Lost(reset) => Some(reset),
                DueSearch::Query { .. } | DueSearch::Abandoned { .. } => None,
            });
            lost.extend(known.chain(searched).map(|reset| (reset.flow, now)));
        }
        lost.sort_unstable();
        let flows: Vec<_> = lost.iter().map(|(flow, _)| *flow).collect();
        assert_eq!(flows, [flow(1), flow(2)], "{}", case.name);
        // With idempotent requests the agent's silence alone is enough, so these are reported
        // earlier.
        if !case.idempotent {
            let reported: Vec<_> = lost.iter().map(|(_, at)| *at).collect();
            // A search that is no longer held up takes one more step.
            assert_eq!(reported, [12_000, 12_050], "{}", case.name);
        }
    }
}
