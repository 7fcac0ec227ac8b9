//! Routes that are restricted to regions, with targets in two or three regions. The targets outside
//! the allowed regions are idle.

use std::collections::BTreeSet;

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

/// The balancer is in zone hall-a, which is in region lahore.
const TWO_REGIONS: [(&str, &str); 2] = [("hall-a", "lahore"), ("hall-b", "karachi")];
const THREE_REGIONS: [(&str, &str); 3] = [
    ("hall-a", "lahore"),
    ("hall-b", "karachi"),
    ("hall-c", "quetta"),
];

const FLOWS: u16 = 100;

/// Returns a target: those beside agents 1, 4, 7 are in hall-a, 2, 5, 8 in hall-b, 3, 6, 9 in
/// hall-c.
fn target_in_zone(number: u8) -> PublishedTarget {
    let zone = ["hall-c", "hall-a", "hall-b"][usize::from(number % 3)];
    PublishedTarget {
        zone: zone.parse().expect("a zone"),
        ..target(number, "claims")
    }
}

/// Returns a catalog with one route that is restricted to these regions.
fn restricted(count: u8, homes: &[&str]) -> Catalog {
    let mut catalog = catalog((1..=count).map(target_in_zone).collect());
    let mut restricted = route(claims_address(), &[("claims", 1)]);
    let homes = homes.iter().map(|home| home.parse().expect("a region"));
    restricted.homes = homes.collect();
    catalog.routes = vec![restricted].into();
    catalog
}

fn zone_of(agent: AgentAddress) -> u8 {
    agent.0.ip().octets()[3] % 3
}

struct RegionCase {
    name: &'static str,
    regions: &'static [(&'static str, &'static str)],
    homes: &'static [&'static str],
    /// The zone numbers that may get flows; if empty, flows are refused at once.
    open: &'static [u8],
}

// Guards against requests that are served outside the regions that their route is restricted to.
#[test]
fn flows_go_only_to_targets_in_the_regions_of_their_route() {
    let cases = [
        RegionCase {
            name: "unrestricted",
            regions: &THREE_REGIONS,
            homes: &[],
            open: &[0, 1, 2],
        },
        RegionCase {
            name: "the balancer's region, of two",
            regions: &TWO_REGIONS,
            homes: &["lahore"],
            open: &[1],
        },
        RegionCase {
            name: "another region, of two",
            regions: &TWO_REGIONS,
            homes: &["karachi"],
            open: &[2],
        },
        RegionCase {
            name: "two of three",
            regions: &THREE_REGIONS,
            homes: &["quetta", "karachi"],
            open: &[0, 2],
        },
        RegionCase {
            name: "a region that no zone is in",
            regions: &THREE_REGIONS,
            homes: &["peshawar"],
            open: &[],
        },
        RegionCase {
            name: "no zone has a region",
            regions: &[],
            homes: &["lahore"],
            open: &[],
        },
    ];
    for case in cases {
        let mut builder = builder_with_regions(case.regions);
        builder.apply(&restricted(30, case.homes), at(0));
        let view = builder.build(at(0));
        let decisions = FlowBalancer::new(balancer());
        // Targets in the allowed regions are busy, all others are idle.
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

/// Returns the zone numbers of the agents that receive a packet of an unknown flow, directly or by
/// a delegated search.
fn queried_zones(
    decisions: &FlowBalancer,
    builder: &mut FlowViewBuilder,
    port: u16,
    now: Moment,
) -> Vec<u8> {
    let view = builder.build(now);
    let step = decisions.handle_packet(&data(flow(port)), b"data", &view, now);
    let BalancerStep::Search(frames) = step else {
        panic!("no search was started: {step:?}");
    };
    let mut zones: Vec<u8> = frames
        .iter()
        .filter(|(_, frame)| frame.carries_packet())
        .flat_map(|(to, frame)| {
            let others = match frame {
                PeerFrame::Errand(search) => search.others.clone(),
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

/// Returns whether a flow is declared lost when every queried agent reports it as absent.
fn is_declared_lost(
    decisions: &FlowBalancer,
    builder: &mut FlowViewBuilder,
    port: u16,
    now: Moment,
) -> bool {
    let view = builder.build(now);
    let absent = (1..=9).map(|number| flow_update(flow(port), agent(number), FlowEvent::Absent));
    let resets = absent.filter_map(|update| decisions.handle_flow_update(&update, now).reset);
    let resets = resets.count();
    let due = decisions.due_searches(&view, now + std::time::Duration::from_millis(30));
    resets > 0 || due.iter().any(|due| matches!(due, DueSearch::Lost(_)))
}

// Guards against packets that leave their route's regions: a balancer that has just started does
// not know a flow and searches for it. The packet may only go to regions that may hold the flow,
// and to the balancer's own region. The flow is not declared lost while regions that were not
// queried may hold it.
#[test]
fn a_search_stays_in_the_regions_that_may_hold_the_flow() {
    let decisions = FlowBalancer::new(balancer());
    let mut builder = builder_with_regions(&THREE_REGIONS);
    builder.apply(&restricted(9, &["karachi"]), at(0));
    // The balancer's own region and the allowed region.
    assert_eq!(queried_zones(&decisions, &mut builder, 1, at(0)), [1, 2]);
    assert!(!is_declared_lost(&decisions, &mut builder, 1, at(5)));
    // After a flow lifetime, no other region can hold the flow.
    assert_eq!(
        queried_zones(&decisions, &mut builder, 2, at(61_000)),
        [1, 2]
    );
    assert!(is_declared_lost(&decisions, &mut builder, 2, at(61_005)));
    // The operator moves the route: flows may still be in its former region.
    builder.apply(&restricted(9, &["quetta"]), at(70_000));
    assert_eq!(
        queried_zones(&decisions, &mut builder, 3, at(70_000)),
        [0, 1, 2]
    );
    assert!(is_declared_lost(&decisions, &mut builder, 3, at(70_005)));
    assert_eq!(
        queried_zones(&decisions, &mut builder, 4, at(131_000)),
        [0, 1]
    );
    assert!(is_declared_lost(&decisions, &mut builder, 4, at(131_005)));
    // The route becomes unrestricted, then restricted again: flows may be in any region.
    builder.apply(&restricted(9, &[]), at(140_000));
    assert_eq!(
        queried_zones(&decisions, &mut builder, 5, at(140_000)),
        [0, 1, 2]
    );
    builder.apply(&restricted(9, &["quetta"]), at(150_000));
    assert_eq!(
        queried_zones(&decisions, &mut builder, 6, at(150_000)),
        [0, 1, 2]
    );
    assert_eq!(
        queried_zones(&decisions, &mut builder, 7, at(211_000)),
        [0, 1]
    );
}

// Guards against balancers that are busy with searches whose result cannot change: a region that
// must not be queried may hold the flow, and each search goes through all targets again every 25 ms.
#[test]
fn a_search_that_must_not_query_a_holder_waits_for_the_next_packet() {
    let decisions = FlowBalancer::new(balancer());
    let mut builder = builder_with_regions(&THREE_REGIONS);
    builder.apply(&restricted(9, &["karachi"]), at(0));
    queried_zones(&decisions, &mut builder, 1, at(0));
    assert!(!is_declared_lost(&decisions, &mut builder, 1, at(5)));
    let view = builder.build(at(200));
    assert_eq!(decisions.due_searches(&view, at(200)), []);
    assert_eq!(decisions.next_due(), None);
    // The client's next packet begins the search again.
    let zones = queried_zones(&decisions, &mut builder, 1, at(7_000));
    assert_eq!(zones, [1, 2]);
}

// Guards against open flows that are silent for up to a flow lifetime through each balancer that
// starts after their route was bound to another region. Agents outside the route's regions must not
// be shown the packet, but may be asked for the flow.
#[test]
fn a_flow_in_a_former_region_is_found_without_its_packet() {
    for targets in [9, 30] {
        let decisions = FlowBalancer::new(balancer());
        let mut builder = builder_with_regions(&THREE_REGIONS);
        builder.apply(&restricted(targets, &["karachi"]), at(0));
        let view = builder.build(at(0));
        let step = decisions.handle_packet(&data(flow(1)), b"data", &view, at(0));
        let BalancerStep::Search(mut frames) = step else {
            panic!("not searched: {step:?}");
        };
        for millis in 1..200 {
            for due in decisions.due_searches(&view, at(millis)) {
                if let DueSearch::Query { frames: due, .. } = due {
                    frames.extend(due);
                }
            }
        }
        let excluded = (1..=targets)
            .map(agent)
            .filter(|agent| zone_of(*agent) == 0);
        let excluded: BTreeSet<_> = excluded.collect();
        let located = frames.iter().filter(|(_, frame)| !frame.carries_packet());
        let located: Vec<_> = located.map(|(to, _)| *to).collect();
        assert_eq!(located.len(), excluded.len(), "each is asked once");
        assert_eq!(BTreeSet::from_iter(located), excluded);
        let holder = *excluded.first().expect("an agent");
        decisions.handle_flow_update(&flow_update(flow(1), holder, FlowEvent::Opened), at(201));
        let step = decisions.handle_packet(&data(flow(1)), b"data", &view, at(202));
        assert_eq!(sent(step).0, holder);
        // After a flow lifetime, no other region can hold a flow.
        let view = builder.build(at(61_000));
        let step = decisions.handle_packet(&data(flow(2)), b"data", &view, at(61_000));
        let BalancerStep::Search(frames) = step else {
            panic!("not searched: {step:?}");
        };
        assert!(frames.iter().all(|(_, frame)| frame.carries_packet()));
    }
}

#[test]
fn zones_without_a_region_are_reported_once() {
    let mut builder = builder_with_regions(&TWO_REGIONS);
    builder.apply(&restricted(9, &[]), at(0));
    let zones = builder.take_zones_without_region();
    assert_eq!(
        zones.iter().map(|zone| zone.as_str()).collect::<Vec<_>>(),
        ["hall-c"]
    );
    builder.apply(&restricted(9, &[]), at(10));
    assert!(builder.take_zones_without_region().is_empty());
}
