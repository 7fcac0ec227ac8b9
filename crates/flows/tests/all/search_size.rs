//! Searches in fleets of different sizes.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_catalog::{PublishedTarget, TargetName};
use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    BalancerStep, DoubtReason, DueSearch, FlowBalancer, FlowView, LoadReport, PeerFrame,
    ViewCoverage,
};

use crate::empty_fleet::EmptyFleet;
use crate::support::{
    AGENT_PORT, at, balancer, builder, catalog, claims, data, flow, service, target, view_of,
};

fn numbered_agent(number: u32) -> AgentAddress {
    let [_, _, high, low] = number.to_be_bytes();
    AgentAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 1, high, low),
        AGENT_PORT,
    ))
}

/// A start of the target beside an agent; each start has its own name.
fn numbered_target(number: u32, start: u32) -> PublishedTarget {
    let [_, _, high, low] = number.to_be_bytes();
    PublishedTarget {
        name: TargetName(format!("i-{number}-{start}").into()),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 8_000),
        ..target(0, "claims")
    }
}

fn fleet(targets: u32, starts: std::ops::Range<u32>) -> Vec<PublishedTarget> {
    let starts = starts.flat_map(|start| (0..targets).map(move |number| (number, start)));
    starts
        .map(|(number, start)| numbered_target(number, start))
        .collect()
}

struct FleetRestartCase {
    name: &'static str,
    targets: u32,
    /// Whether the entries of the former starts are still listed.
    former: bool,
}

// Guards against lost flows that are not reported for four and a half seconds, while each client
// waits for its deadline. All 136 targets restart under other names after a power loss, and for
// three heartbeats the store lists their former starts beside them. A search that counts both finds
// more than 256, and must not silently stop at the flow's candidates.
#[test]
fn a_lost_flow_is_reported_at_any_fleet_size_after_a_restart_of_all() {
    let case = |name, targets, former| FleetRestartCase {
        name,
        targets,
        former,
    };
    let cases = [
        case("a small fleet", 7, true),
        case("hundreds of entries", 136, true),
        case("hundreds of targets", 300, true),
        case("thousands, the former starts gone", 2_000, false),
        case("thousands", 2_000, true),
    ];
    for case in cases {
        let mut builder = builder();
        builder.apply(&catalog(fleet(case.targets, 0..1)), at(0));
        let first = u32::from(!case.former);
        builder.apply(&catalog(fleet(case.targets, first..2)), at(0));
        let view = builder.build(at(0));
        let balancer = FlowBalancer::new(balancer());
        let mut fleet = EmptyFleet::new(&balancer, &view, []);
        let reported = fleet.search(1, 249);
        assert!(reported.is_some(), "{}: not reported", case.name);
        let all: BTreeSet<_> = (0..case.targets).map(numbered_agent).collect();
        let shown: BTreeSet<_> = fleet.shown.keys().copied().collect();
        assert_eq!(
            shown, all,
            "{}: all possible holders are queried",
            case.name
        );
        let twice = fleet.shown.values().filter(|times| **times > 1).count();
        assert_eq!(twice, 0, "{}: no agent is queried twice", case.name);
    }
}

// Guards against a filing in progress that is cut off while its target lives. In a fleet of
// hundreds, all agents but one have reported a flow as absent; that one is cut off, and its target
// is listed. On a route whose requests may run only once, the search must not end before all agents
// have answered.
#[test]
fn one_listed_agent_that_is_silent_keeps_a_flow_of_a_large_fleet() {
    let mut catalog = catalog(fleet(500, 0..1));
    let mut routes = catalog.routes.to_vec();
    routes[0].idempotent = false;
    catalog.routes = routes.into();
    let view = view_of(catalog);
    for number in [0, 1, 250, 499] {
        let balancer = FlowBalancer::new(balancer());
        let mut fleet = EmptyFleet::new(&balancer, &view, [numbered_agent(number)]);
        assert_eq!(fleet.search(1, 1_900), None, "agent {number} is silent");
        assert!(fleet.shown.contains_key(&numbered_agent(number)));
    }
}

// Guards against lost flows that are not reported while no log says why: a search would have to
// query more agents than its budget of bytes allows, and just ends.
#[test]
fn a_search_that_can_never_query_all_holders_is_abandoned_once() {
    let mut builder = builder();
    builder.apply(&catalog(fleet(40_000, 0..1)), at(0));
    let view = builder.build(at(0));
    let balancer = FlowBalancer::new(balancer());
    balancer.handle_packet(&data(flow(1)), b"data", &view, at(0));
    let mut abandoned = Vec::new();
    for millis in 1..1_900 {
        for due in balancer.due_searches(&view, at(millis)) {
            match due {
                DueSearch::Abandoned { holders, .. } => abandoned.push(holders),
                other => panic!("{other:?}"),
            }
        }
        if millis == 500 {
            balancer.handle_packet(&data(flow(1)), b"data", &view, at(millis));
        }
    }
    assert_eq!(abandoned, [40_000]);
}

// Guards against flows that are not found, or are reset while their target lives, because another
// writer's entries are more than a search may query.
#[test]
fn a_search_finds_flows_beside_any_number_of_entries_outside_the_configuration() {
    let foreign = fleet(40_000, 1..2).into_iter().map(|mut entry| {
        entry.service = service("elsewhere");
        entry
    });
    let own = fleet(40, 0..1);
    let mut catalog = catalog(own.into_iter().chain(foreign.skip(40)).collect());
    catalog.unrouted = Vec::new().into();
    let view = view_of(catalog);
    let balancer = FlowBalancer::new(balancer());
    let foreign = (40..40_000).map(numbered_agent);
    let mut fleet = EmptyFleet::new(&balancer, &view, foreign);
    assert_eq!(fleet.search(1, 1_900), None);
    let all: BTreeSet<_> = (0..40).map(numbered_agent).collect();
    let shown: BTreeSet<_> = fleet.shown.keys().copied().collect();
    assert_eq!(shown, all);
    let twice = fleet.shown.values().filter(|times| **times > 1).count();
    assert_eq!(twice, 0, "no agent is queried twice");
}

struct LinkCase {
    name: &'static str,
    /// Bytes per second.
    link: u64,
    /// Limit on the bytes of searches in the first second.
    most: usize,
}

// Guards against searches that saturate a link of 2.9 Mbit/s, so that the balancer answers nobody
// for seconds. Hundreds of clients send on flows that are gone after a power loss, each flow is
// searched for, and the budget assumes a link of 11 Mbit/s.
#[test]
fn searches_fill_a_part_of_the_link_that_there_is() {
    let cases = [
        LinkCase {
            name: "2.9 Mbit/s",
            link: 362_500,
            most: 110_000,
        },
        LinkCase {
            name: "11 Mbit/s",
            link: 1_375_000,
            most: 410_000,
        },
        LinkCase {
            name: "10 Gbit/s: the processor is the limit",
            link: 1_250_000_000,
            most: 410_000,
        },
    ];
    let mut builder = builder();
    builder.apply(&catalog(fleet(136, 0..1)), at(0));
    let view = builder.build(at(0));
    for case in cases {
        let balancer = FlowBalancer::new(balancer()).with_link(case.link);
        // Count only what depends on the budget: candidates are queried whatever it says.
        let mut chosen = 0;
        for port in 0..400 {
            let step = balancer.handle_packet(&data(flow(port)), &[0; 350], &view, at(0));
            let BalancerStep::Search(frames) = step else {
                panic!("not searched: {step:?}");
            };
            let direct = frames
                .iter()
                .all(|(_, frame)| matches!(frame, PeerFrame::Packet(_)));
            chosen += if direct { frames.len() * 410 } else { 0 };
        }
        for millis in 1..1_000 {
            for due in balancer.due_searches(&view, at(millis)) {
                let DueSearch::Query { frames, .. } = due else {
                    continue;
                };
                chosen += frames.len() * 410;
            }
        }
        assert!(chosen <= case.most, "{}: {chosen} bytes", case.name);
        assert!(chosen >= case.most / 4, "{}: {chosen} bytes", case.name);
    }
}

#[test]
fn a_view_reports_why_it_is_incomplete() {
    let mut builder = builder();
    builder.apply(&catalog(fleet(3, 0..1)), at(0));
    let coverage = |builder: &mut lovagelatch_flows::FlowViewBuilder, millis| {
        let view = builder.build(at(millis));
        assert_eq!(view.is_complete(), view.coverage == ViewCoverage::Complete);
        view.coverage
    };
    assert_eq!(coverage(&mut builder, 0), ViewCoverage::Complete);
    builder.record_store_failure(at(10));
    let doubt = ViewCoverage::Doubtful(DoubtReason::StoreTrouble);
    assert_eq!(coverage(&mut builder, 20), doubt);
    builder.set_informed(false);
    let doubt = ViewCoverage::Doubtful(DoubtReason::NotInformed);
    assert_eq!(coverage(&mut builder, 30), doubt);
    assert_eq!(FlowView::default().coverage, doubt);
}

#[test]
fn agents_of_large_fleets_have_unique_names() {
    let agents: BTreeSet<_> = (0..2_000).map(numbered_agent).collect();
    assert_eq!(agents.len(), 2_000);
    assert_eq!(
        LoadReport::idle(numbered_agent(7), claims()).service,
        claims()
    );
}
