//! Searches while some agents do not answer.
//!
//! Right after a power loss, hundreds of clients send on flows that are gone, while some machines
//! are away for a while or for good. Which agents are silent is learned once, not by each search.

use lovagelatch_flows::{BalancerStep, FlowBalancer, FlowEvent, FlowView, LoadReport, LossReason};

use crate::empty_fleet::EmptyFleet;
use crate::support::{
    agent, at, balancer, builder, catalog, claims_view, data, flow, flow_update, idle_load, target,
    view_of,
};

struct SilenceCase {
    name: &'static str,
    /// Number of targets; above 16 a search has two phases.
    targets: u8,
    /// Whether the store lists the silent agent's target.
    listed: bool,
    idempotent: bool,
    /// Whether the silent agent has announced its stop.
    stops: bool,
    /// After how many milliseconds the first lost flow, and the later ones, are reported; `None`:
    /// not within the 1.9 s that a search lasts.
    first: Option<u64>,
    later: Option<u64>,
}

fn view_with_silent(case: &SilenceCase) -> FlowView {
    let targets = |count| (1..=count).map(|number| target(number, "claims")).collect();
    let catalog_of = |count| {
        let mut catalog = catalog(targets(count));
        let mut routes = catalog.routes.to_vec();
        routes[0].idempotent = case.idempotent;
        catalog.routes = routes.into();
        catalog
    };
    if case.listed {
        return view_of(catalog_of(case.targets));
    }
    let mut builder = builder();
    builder.apply(&catalog_of(case.targets), at(0));
    builder.apply(&catalog_of(case.targets - 1), at(0));
    builder.build(at(0))
}

// Guards against lost flows that are not reported for 1.2 s, and then 150 ms late for three more
// seconds. Some machines never come back after a power loss; the store lists their targets for
// three heartbeats, then they are known to be gone. Searches must not wait for listed silent agents
// to which nothing can be delivered, and the second phase must use what is known of a silence.
#[test]
fn a_silent_agent_holds_up_the_first_search_only() {
    let gone = SilenceCase {
        name: "off the list",
        targets: 12,
        listed: false,
        idempotent: true,
        stops: false,
        first: Some(410),
        later: Some(3),
    };
    let away = SilenceCase {
        name: "listed, requests may be run again",
        listed: true,
        first: Some(1_200),
        ..gone
    };
    let cases = [
        SilenceCase { ..gone },
        SilenceCase {
            name: "off the list, two phases",
            targets: 40,
            first: Some(430),
            ..gone
        },
        SilenceCase {
            name: "off the list, requests may be run once",
            idempotent: false,
            ..gone
        },
        SilenceCase { ..away },
        SilenceCase {
            name: "listed, two phases",
            targets: 40,
            first: Some(1_200),
            ..away
        },
        SilenceCase {
            name: "listed, requests may be run once: a filing is never cut off on suspicion",
            idempotent: false,
            first: None,
            later: None,
            ..away
        },
        SilenceCase {
            name: "listed, and announced its stop: its successor is starting",
            stops: true,
            first: None,
            later: None,
            ..away
        },
    ];
    for case in cases {
        let view = view_with_silent(&case);
        let balancer = FlowBalancer::new(balancer());
        let silent = agent(case.targets);
        if case.stops {
            let report = LoadReport {
                leaving: true,
                ..idle_load(silent)
            };
            balancer.record_load(&report, at(0));
        }
        let mut fleet = EmptyFleet::new(&balancer, &view, [silent]);
        let expected = [case.first, case.later, case.later];
        for (port, limit) in (1..).zip(expected) {
            let reported = fleet.search(port, 1_900);
            let within = limit.map(|limit| reported.is_some_and(|(after, _)| after <= limit));
            assert!(
                within.unwrap_or(reported.is_none()),
                "{}: {reported:?}",
                case.name
            );
            let reason = reported.map(|(_, reason)| reason);
            let proved = if case.listed {
                LossReason::AgentSilent
            } else {
                LossReason::Unheld
            };
            assert!(
                reason.is_none_or(|reason| reason == proved),
                "{}",
                case.name
            );
        }
    }
}

// Guards against the reset of an open feed while its target lives. Its agent is restarted as
// planned and is away for 0.8 s, and a balancer that has never heard it searches for the feed. A
// silence must not count as lasting before a restart could have ended.
#[test]
fn an_agent_that_is_started_again_is_asked_again() {
    for away in [300, 600, 900] {
        let view = claims_view(12);
        let balancer = FlowBalancer::new(balancer());
        let silent = agent(7);
        let mut fleet = EmptyFleet::new(&balancer, &view, [silent]);
        assert_eq!(fleet.search(1, away), None, "away for {away} ms");
        let query_count = fleet.query_count(silent);
        // The agent answers the next probe, and is queried without another packet of the client.
        balancer.record_load(&idle_load(silent), at(fleet.millis));
        let mut requeried = None;
        for _ in 0..300 {
            assert_eq!(fleet.step(1), None);
            if fleet.query_count(silent) > query_count {
                requeried = Some(fleet.millis);
                break;
            }
        }
        assert!(requeried.is_some(), "away for {away} ms: not queried again");
        balancer.handle_flow_update(
            &flow_update(flow(1), silent, FlowEvent::Opened),
            at(fleet.millis),
        );
        assert_eq!(balancer.agent_of(&flow(1)), Some(silent));
    }
}

#[test]
fn a_silent_agent_is_not_queried_repeatedly() {
    let view = claims_view(12);
    let balancer = FlowBalancer::new(balancer());
    let mut fleet = EmptyFleet::new(&balancer, &view, [agent(7)]);
    fleet.search(1, 900);
    assert_eq!(fleet.query_count(agent(7)), 2);
}

// Guards against 150 ms more for the first request on each open flow, for five seconds. All
// processes were killed beside live targets, and some agents had stopped with their targets just
// before. A flow's target is no longer among its candidates, but such a silent agent is; the second
// phase must not wait for it as long as for a late answer.
#[test]
fn the_second_step_waits_as_long_as_the_others_took() {
    for (took, silent, limit) in [
        (1, 1, 20),
        (10, 1, 40),
        (1, 4, 20),
        (1, 5, 150),
        (1, 16, 150),
    ] {
        let view = claims_view(40);
        let balancer = FlowBalancer::new(balancer());
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(0));
        let BalancerStep::Search(frames) = step else {
            panic!("not searched: {step:?}");
        };
        assert_eq!(frames.len(), 16);
        for (to, _) in &frames[silent..] {
            balancer.handle_flow_update(&flow_update(flow(1), *to, FlowEvent::Absent), at(took));
        }
        let mut next = 0;
        while balancer.due_searches(&view, at(next)).is_empty() {
            next += 1;
        }
        assert_eq!(next, limit, "{silent} silent, the others took {took} ms");
    }
}
