//! Load pattern: a route is bound to regions, and its targets stand in two or three of them, the idle ones abroad.

use lovagelatch_catalog::{Catalog, PublishedTarget};
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_flows::{
    BalancerStep, DueSearch, FlowBalancer, FlowEvent, FlowViewBuilder, LoadReport, PeerFrame,
    RefusalReason,
};

use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, builder_with_regions, catalog, claims_address, data, flow, flow_update,
    idle_load, opening, route, target,
};

/// The balancer's zone, hall-a, is in lahore.
const TWO: [(&str, &str); 2] = [("hall-a", "lahore"), ("hall-b", "karachi")];
const THREE: [(&str, &str); 3] = [
    ("hall-a", "lahore"),
    ("hall-b", "karachi"),
    ("hall-c", "quetta"),
];

const FLOWS: u16 = 100;

/// A target in a zone: those beside agents 1, 4, 7 in hall-a, 2, 5, 8 in hall-b, 3, 6, 9 in hall-c.
fn placed(number: u8) -> PublishedTarget {
    let zone = ["hall-c", "hall-a", "hall-b"][usize::from(number % 3)];
    PublishedTarget {
        zone: zone.parse().expect("a zone"),
        ..target(number, "claims")
    }
}

fn bound(count: u8, homes: &[&str]) -> Catalog {
    let mut catalog = catalog((1..=count).map(placed).collect());
    let mut bound = route(claims_address(), &[("claims", 1)]);
    let homes = homes.iter().map(|home| home.parse().expect("a region"));
    bound.homes = homes.collect();
    catalog.routes = vec![bound].into();
    catalog
}

fn zone_of(agent: AgentAddress) -> u8 {
    agent.0.ip().octets()[3] % 3
}

struct HomeCase {
    name: &'static str,
    regions: &'static [(&'static str, &'static str)],
    homes: &'static [&'static str],
    /// The remainders of the agents' numbers that may get flows; none: refused at once.
    open: &'static [u8],
}

// Symptom: requests are served abroad. Cause: the regions of a route were read nowhere.
#[test]
fn a_route_that_is_bound_to_regions_goes_to_their_targets_alone() {
    let cases = [
        HomeCase {
            name: "bound to nothing",
            regions: &THREE,
            homes: &[],
            open: &[0, 1, 2],
        },
        HomeCase {
            name: "its client's region, of two",
            regions: &TWO,
            homes: &["lahore"],
            open: &[1],
        },
        HomeCase {
            name: "another region, of two",
            regions: &TWO,
            homes: &["karachi"],
            open: &[2],
        },
        HomeCase {
            name: "two of three",
            regions: &THREE,
            homes: &["quetta", "karachi"],
            open: &[0, 2],
        },
        HomeCase {
            name: "a region that no zone is in",
            regions: &THREE,
            homes: &["peshawar"],
            open: &[],
        },
        HomeCase {
            name: "no region is known of any zone",
            regions: &[],
            homes: &["lahore"],
            open: &[],
        },
    ];
    for case in cases {
        let mut views = builder_with_regions(case.regions);
        views.take(&bound(30, case.homes), at(0));
        let view = views.build(at(0));
        let decisions = FlowBalancer::new(balancer());
        // Those at home are busy, those abroad idle.
        for number in (1..=30).filter(|number| case.open.contains(&(number % 3))) {
            let report = LoadReport {
                in_progress: 20,
                ..idle_load(agent(number))
            };
            decisions.record_load(&report, at(0));
        }
        for port in 0..FLOWS {
            let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
            if case.open.is_empty() {
                let refused = BalancerStep::Reset(RefusalReason::NoTarget);
                assert_eq!(step, refused, "{}", case.name);
                continue;
            }
            let (to, frame) = sent(step);
            let rest = frame.rest.iter().map(|next| next.agent);
            for agent in rest.chain([to]) {
                assert!(
                    case.open.contains(&zone_of(agent)),
                    "{}: {agent}",
                    case.name
                );
            }
        }
        for due in decisions.due_offers(&view, at(100)) {
            assert!(case.open.contains(&zone_of(due.to)), "{}", case.name);
        }
    }
}

/// The agents that are shown an unknown flow's packet, with those who ask for others.
fn shown(decisions: &FlowBalancer, views: &mut FlowViewBuilder, port: u16, now: Moment) -> Vec<u8> {
    let view = views.build(now);
    let step = decisions.handle_packet(&data(flow(port)), b"data", &view, now);
    let BalancerStep::Search(frames) = step else {
        panic!("not searched for: {step:?}");
    };
    let mut zones: Vec<u8> = frames
        .iter()
        .flat_map(|(to, frame)| {
            let others = match frame {
                PeerFrame::Errand(errand) => errand.others.clone(),
                _ => Vec::new(),
            };
            let others = others.into_iter().flat_map(|group| group.instances);
            let others = others.map(|instance| instance.octets()[3] % 3);
            others.chain([zone_of(*to)]).collect::<Vec<_>>()
        })
        .collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Whether a flow that all who were shown its packet deny is told to be lost.
fn is_lost(decisions: &FlowBalancer, views: &mut FlowViewBuilder, port: u16, now: Moment) -> bool {
    let view = views.build(now);
    let denied = (1..=9).map(|number| flow_update(flow(port), agent(number), FlowEvent::Absent));
    let told = denied.filter_map(|note| decisions.handle_flow_update(&note, now).reset);
    let told = told.count();
    let due = decisions.due_searches(&view, now + std::time::Duration::from_millis(30));
    told > 0 || due.iter().any(|due| matches!(due, DueSearch::Lost(_)))
}

// Symptom: a filing is seen abroad. Sequence: a balancer that has just started does not know its flow, and
// shows the packet to everybody. A packet is shown only where the route's flows may be, or in the region to
// which its client came. What is not asked proves nothing, until flows can be there no more.
#[test]
fn a_packet_of_an_unknown_flow_is_shown_where_it_may_be_and_no_further() {
    let decisions = FlowBalancer::new(balancer());
    let mut views = builder_with_regions(&THREE);
    views.take(&bound(9, &["karachi"]), at(0));
    // The own region and the home.
    assert_eq!(shown(&decisions, &mut views, 1, at(0)), [1, 2]);
    assert!(!is_lost(&decisions, &mut views, 1, at(5)));
    // A flow's lifetime later it can be nowhere else.
    assert_eq!(shown(&decisions, &mut views, 2, at(61_000)), [1, 2]);
    assert!(is_lost(&decisions, &mut views, 2, at(61_005)));
    // The operator moves the route: flows may still be where it led.
    views.take(&bound(9, &["quetta"]), at(70_000));
    assert_eq!(shown(&decisions, &mut views, 3, at(70_000)), [0, 1, 2]);
    assert!(is_lost(&decisions, &mut views, 3, at(70_005)));
    assert_eq!(shown(&decisions, &mut views, 4, at(131_000)), [0, 1]);
    assert!(is_lost(&decisions, &mut views, 4, at(131_005)));
    // Bound to nothing any more, and bound again: flows may be anywhere.
    views.take(&bound(9, &[]), at(140_000));
    assert_eq!(shown(&decisions, &mut views, 5, at(140_000)), [0, 1, 2]);
    views.take(&bound(9, &["quetta"]), at(150_000));
    assert_eq!(shown(&decisions, &mut views, 6, at(150_000)), [0, 1, 2]);
    assert_eq!(shown(&decisions, &mut views, 7, at(211_000)), [0, 1]);
}

#[test]
fn zones_without_a_region_are_told_once() {
    let mut views = builder_with_regions(&TWO);
    views.take(&bound(9, &[]), at(0));
    let told = views.take_without_region();
    assert_eq!(
        told.iter().map(|zone| zone.as_str()).collect::<Vec<_>>(),
        ["hall-c"]
    );
    views.take(&bound(9, &[]), at(10));
    assert!(views.take_without_region().is_empty());
}
