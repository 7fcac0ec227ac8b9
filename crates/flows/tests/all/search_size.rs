//! Searches in fleets of any size.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_catalog::{PublishedTarget, TargetName};
use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    BalancerStep, DueSearch, FlowBalancer, FlowView, LoadReport, PeerFrame, ViewCoverage, ViewDoubt,
};

use crate::empty_fleet::EmptyFleet;
use crate::support::{
    AGENT_PORT, at, balancer, builder, catalog, claims, data, flow, target, view_of,
};

fn numbered_agent(number: u32) -> AgentAddress {
    let [_, _, high, low] = number.to_be_bytes();
    AgentAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 1, high, low),
        AGENT_PORT,
    ))
}

/// A start of the target beside an agent; each has a name of its own.
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

struct RebornCase {
    name: &'static str,
    targets: u32,
    /// Whether the entries of the former starts still stand.
    former: bool,
}

// Symptom: for four and a half seconds after a loss of power no lost flow is told, and each client
// waits for its deadline. Sequence: all 136 targets start anew under other names; for three
// heartbeats the store lists their former starts beside them. Cause: a search counted both, found
// more than 256, and went no further than the flow's candidates, without a word.
#[test]
fn a_lost_flow_is_told_at_any_size_after_a_rebirth_of_all() {
    let case = |name, targets, former| RebornCase {
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
        builder.take(&catalog(fleet(case.targets, 0..1)), at(0));
        let first = u32::from(!case.former);
        builder.take(&catalog(fleet(case.targets, first..2)), at(0));
        let view = builder.build(at(0));
        let decisions = FlowBalancer::new(balancer());
        let mut fleet = EmptyFleet::new(&decisions, &view, []);
        let told = fleet.search(1, 249);
        assert!(told.is_some(), "{}: not told", case.name);
        let all: BTreeSet<_> = (0..case.targets).map(numbered_agent).collect();
        let shown: BTreeSet<_> = fleet.shown.keys().copied().collect();
        assert_eq!(
            shown, all,
            "{}: everybody who may hold it is asked",
            case.name
        );
        let twice = fleet.shown.values().filter(|times| **times > 1).count();
        assert_eq!(twice, 0, "{}: nobody is asked twice", case.name);
    }
}

// Symptom: a filing in progress is cut off while its target lives. Sequence: a fleet of hundreds; all
// agents but one have said that they do not hold the flow; that one is cut off, and its target listed.
// Cause (of the mutation that this test is for): a large fleet's search that ends before everybody has
// answered, on a route whose requests may run once.
#[test]
fn one_listed_agent_that_is_silent_keeps_a_flow_of_a_large_fleet() {
    let mut catalog = catalog(fleet(500, 0..1));
    let mut routes = catalog.routes.to_vec();
    routes[0].idempotent = false;
    catalog.routes = routes.into();
    let view = view_of(catalog);
    for number in [0, 1, 250, 499] {
        let decisions = FlowBalancer::new(balancer());
        let mut fleet = EmptyFleet::new(&decisions, &view, [numbered_agent(number)]);
        assert_eq!(fleet.search(1, 1_900), None, "agent {number} is silent");
        assert!(fleet.shown.contains_key(&numbered_agent(number)));
    }
}

// Symptom: at a size nobody tried, lost flows are not told, and no log says why. Sequence: a search would
// have to ask more agents than its budget of bytes allows. Cause: it ended in silence.
#[test]
fn a_search_that_can_never_ask_everybody_says_so_once() {
    let mut builder = builder();
    builder.take(&catalog(fleet(40_000, 0..1)), at(0));
    let view = builder.build(at(0));
    let decisions = FlowBalancer::new(balancer());
    decisions.take_packet(&data(flow(1)), b"data", &view, at(0));
    let mut said = Vec::new();
    for millis in 1..1_900 {
        for due in decisions.due_searches(&view, at(millis)) {
            match due {
                DueSearch::Abandoned { holders, .. } => said.push(holders),
                other => panic!("{other:?}"),
            }
        }
        if millis == 500 {
            decisions.take_packet(&data(flow(1)), b"data", &view, at(millis));
        }
    }
    assert_eq!(said, [40_000]);
}

struct LinkCase {
    name: &'static str,
    /// Bytes a second.
    link: u64,
    /// Bytes of searches in the first second at most.
    most: usize,
}

// Symptom: after a loss of power a balancer behind a link of 2.9 Mbit/s answers nobody for seconds.
// Sequence: hundreds of clients send on flows that are gone; each is searched for; the searches fill
// the link. Cause: what they may send was drawn from a link of 11 Mbit/s.
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
            name: "10 Gbit/s: then the processor binds",
            link: 1_250_000_000,
            most: 410_000,
        },
    ];
    let mut builder = builder();
    builder.take(&catalog(fleet(136, 0..1)), at(0));
    let view = builder.build(at(0));
    for case in cases {
        let decisions = FlowBalancer::new(balancer()).with_link(case.link);
        // Only what a search may choose to send: its candidates are asked whatever the budget says.
        let mut chosen = 0;
        for port in 0..400 {
            let step = decisions.take_packet(&data(flow(port)), &[0; 350], &view, at(0));
            let BalancerStep::Search(frames) = step else {
                panic!("not searched: {step:?}");
            };
            let direct = frames
                .iter()
                .all(|(_, frame)| matches!(frame, PeerFrame::Packet(_)));
            chosen += if direct { frames.len() * 410 } else { 0 };
        }
        for millis in 1..1_000 {
            for due in decisions.due_searches(&view, at(millis)) {
                let DueSearch::Ask { frames, .. } = due else {
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
fn a_view_says_why_it_proves_nothing() {
    let mut builder = builder();
    builder.take(&catalog(fleet(3, 0..1)), at(0));
    let coverage = |builder: &mut lovagelatch_flows::FlowViewBuilder, millis| {
        let view = builder.build(at(millis));
        assert_eq!(view.is_complete(), view.coverage == ViewCoverage::Complete);
        view.coverage
    };
    assert_eq!(coverage(&mut builder, 0), ViewCoverage::Complete);
    builder.note_trouble(at(10));
    let doubt = ViewCoverage::Doubtful(ViewDoubt::StoreTrouble);
    assert_eq!(coverage(&mut builder, 20), doubt);
    builder.set_informed(false);
    let doubt = ViewCoverage::Doubtful(ViewDoubt::NotInformed);
    assert_eq!(coverage(&mut builder, 30), doubt);
    assert_eq!(FlowView::default().coverage, doubt);
}

#[test]
fn agents_of_large_fleets_have_names_of_their_own() {
    let agents: BTreeSet<_> = (0..2_000).map(numbered_agent).collect();
    assert_eq!(agents.len(), 2_000);
    assert_eq!(
        LoadReport::idle(numbered_agent(7), claims()).service,
        claims()
    );
}
