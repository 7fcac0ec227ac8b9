//! Searches for flows of services that the configuration no longer names, and entries that look
//! like those of such a service but belong to another writer.

use std::collections::BTreeSet;
use std::time::Duration;

use lovagelatch_catalog::{Catalog, TargetName, TargetRow};
use lovagelatch_domain::{AgentAddress, ConfigRevision};
use lovagelatch_flows::{
    BalancerStep, FlowBalancer, FlowEvent, FlowView, FramePurpose, LoadReport, PeerFrame,
};

use crate::balancer::sent;
use crate::empty_fleet::EmptyFleet;
use crate::search::{agents, queried};
use crate::support::{
    agent, at, balancer, builder, catalog, claims_address, data, flow, flow_update, route, service,
    target, view_of,
};

/// Number of targets of `claims`; the former service has one more target after them.
const CLAIMS_TARGETS: u8 = 2;

/// A version of a configuration that leads the route to these services, with weights, and also
/// names `unrouted`.
fn version(version: u64, shares: &[(&str, u32)], unrouted: &[&str]) -> Catalog {
    let claims = (1..=CLAIMS_TARGETS).map(|number| target(number, "claims"));
    let former = target(CLAIMS_TARGETS + 1, "former");
    let unrouted: Vec<_> = unrouted.iter().map(|name| service(name)).collect();
    Catalog {
        version: ConfigRevision(version),
        routes: vec![route(claims_address(), shares)].into(),
        unrouted: unrouted.into(),
        ..catalog(claims.chain([former]).collect())
    }
}

/// Makes the requests of all routes run at most once.
fn once_only(mut catalog: Catalog) -> Catalog {
    let mut routes = catalog.routes.to_vec();
    for route in &mut routes {
        route.idempotent = false;
    }
    catalog.routes = routes.into();
    catalog
}

struct FormerServiceCase {
    name: &'static str,
    /// The versions that the balancer sees, the first one at its start.
    versions: Vec<Catalog>,
}

fn former_service_cases() -> Vec<FormerServiceCase> {
    let to_claims: &[(&str, u32)] = &[("claims", 1)];
    vec![
        FormerServiceCase {
            name: "dropped before the start",
            versions: vec![version(12, to_claims, &[])],
        },
        FormerServiceCase {
            name: "moved before the start and dropped after it",
            versions: vec![
                version(12, to_claims, &["former"]),
                version(13, to_claims, &[]),
            ],
        },
        FormerServiceCase {
            name: "moved and dropped after the start",
            versions: vec![
                version(7, &[("former", 1)], &[]),
                version(12, to_claims, &[]),
            ],
        },
        FormerServiceCase {
            name: "named again and dropped again",
            versions: vec![
                version(12, to_claims, &[]),
                version(13, to_claims, &["former"]),
                version(14, to_claims, &[]),
            ],
        },
        FormerServiceCase {
            name: "kept with a weight of 0",
            versions: vec![version(12, &[("claims", 100), ("former", 0)], &[])],
        },
    ]
}

// Guards against open flows that are reset because the balancer started, or the configuration
// changed again, after the flows' service left the configuration.
#[test]
fn targets_of_services_outside_the_configuration_are_queried() {
    for case in former_service_cases() {
        let mut builder = builder();
        for (version, millis) in case.versions.into_iter().zip((0..).step_by(100)) {
            builder.apply(&once_only(version), at(millis));
        }
        let view = builder.build(at(1_000));
        let balancer = FlowBalancer::new(balancer());
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(1_000));
        assert_eq!(queried(step), agents(3), "{}", case.name);
        for number in 1..=CLAIMS_TARGETS {
            let update = flow_update(flow(1), agent(number), FlowEvent::Absent);
            let reset = balancer.handle_flow_update(&update, at(1_001)).reset;
            assert_eq!(reset, None, "{}", case.name);
        }
        let holder = agent(CLAIMS_TARGETS + 1);
        balancer.handle_flow_update(&flow_update(flow(1), holder, FlowEvent::Opened), at(1_002));
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(1_003));
        let (to, frame) = sent(step);
        assert_eq!(
            (to, frame.purpose),
            (holder, FramePurpose::Known),
            "{}",
            case.name
        );
    }
}

// Guards against open flows of a dropped service that are reset while the agent beside their target
// is restarted: a balancer that started afterwards never heard it.
#[test]
fn a_dropped_service_keeps_its_flows_while_an_agent_restarts() {
    let view = view_of(once_only(version(12, &[("claims", 1)], &[])));
    let balancer = FlowBalancer::new(balancer());
    let holder = agent(CLAIMS_TARGETS + 1);
    let mut fleet = EmptyFleet::new(&balancer, &view, [holder]);
    for port in 1..=3 {
        assert_eq!(fleet.search(port, 1_900), None, "at {} ms", fleet.millis);
    }
}

struct VacantCase {
    name: &'static str,
    idempotent: bool,
    /// Number of targets of `claims`; above 16 agents a search has two phases.
    targets: u8,
    /// After how many milliseconds the first lost flow is reported; `None`: not within the 1.9 s
    /// that a search lasts.
    first: Option<u64>,
}

/// A view with `targets` targets of `claims` and an entry of another writer after them.
fn view_with_foreign(targets: u8, idempotent: bool) -> FlowView {
    let claims = (1..=targets).map(|number| target(number, "claims"));
    let foreign = target(targets + 1, "elsewhere");
    let mut catalog = catalog(claims.chain([foreign]).collect());
    catalog.unrouted = Vec::new().into();
    view_of(if idempotent {
        catalog
    } else {
        once_only(catalog)
    })
}

// Guards against lost flows that are not reported for as long as another writer's entry is in the
// store. It reads like a target's, of a service that no configuration names, at an address where
// nothing listens. That nobody is there is learned once, and soon confirmed later.
#[test]
fn an_address_without_an_agent_does_not_hold_up_searches_for_long() {
    let cases = [
        VacantCase {
            name: "requests may be run again",
            idempotent: true,
            targets: 3,
            first: Some(1_200),
        },
        VacantCase {
            name: "requests may be run once",
            idempotent: false,
            targets: 3,
            first: None,
        },
        VacantCase {
            name: "requests may be run once, two phases",
            idempotent: false,
            targets: 40,
            first: None,
        },
    ];
    for case in cases {
        let view = view_with_foreign(case.targets, case.idempotent);
        let balancer = FlowBalancer::new(balancer());
        let vacant = agent(case.targets + 1);
        let mut fleet = EmptyFleet::new(&balancer, &view, [vacant]);
        let reported = fleet.search(1, 1_900).map(|(after, _)| after);
        let expected = case.first.is_none() == reported.is_none();
        assert!(
            expected && reported <= case.first,
            "{}: {reported:?}",
            case.name
        );
        while fleet.millis < 6_000 {
            fleet.step(1);
        }
        let queries = fleet.query_count(vacant);
        for port in 2..=4 {
            let (after, _) = fleet.search(port, 1_900).expect("reported");
            assert!(after <= 3, "{}: reported after {after} ms", case.name);
        }
        assert_eq!(fleet.query_count(vacant), queries, "{}", case.name);
        // The silence is forgotten with the other state of idle agents; that nobody was there is
        // not.
        let idle = Duration::from_secs(15);
        while fleet.millis < 40_000 {
            fleet.step(1);
            balancer.expire_idle(idle, at(fleet.millis));
        }
        let (after, _) = fleet.search(5, 1_900).expect("reported");
        assert!(after <= 450, "{}: reported after {after} ms", case.name);
    }
}

// Guards against open flows that are reset because their agent was once taken for absent.
#[test]
fn an_agent_that_appears_at_a_vacant_address_is_awaited_again() {
    let view = view_with_foreign(3, false);
    let balancer = FlowBalancer::new(balancer());
    let holder = agent(4);
    let mut fleet = EmptyFleet::new(&balancer, &view, [holder]);
    assert_eq!(fleet.search(1, 6_500), None);
    assert!(fleet.search(2, 10).is_some());
    let report = LoadReport::idle(holder, service("elsewhere").id());
    balancer.record_load(&report, at(fleet.millis));
    assert_eq!(fleet.search(3, 1_900), None);
}

// Guards against a search that names the service of another writer's entry to an agent that started
// after its target: such an agent denies the flows of other services.
#[test]
fn a_search_names_the_configured_service_of_an_agent() {
    let mut catalog = catalog(vec![target(1, "claims")]);
    catalog.unrouted = Vec::new().into();
    let before = view_of(catalog.clone());
    let mut foreign = target(1, "elsewhere");
    foreign.name = TargetName("a-1".into());
    let mut rows = catalog.targets.to_vec();
    rows.insert(0, TargetRow::Published(foreign));
    catalog.targets = rows.into();
    for view in [before, view_of(catalog)] {
        let balancer = FlowBalancer::new(balancer());
        let step = balancer.handle_packet(&data(flow(1)), b"data", &view, at(0));
        let BalancerStep::Search(frames) = step else {
            panic!("not searched: {step:?}");
        };
        let services: BTreeSet<_> = frames
            .iter()
            .map(|(to, frame)| match frame {
                PeerFrame::Packet(frame) => (*to, frame.service),
                _ => panic!("not a packet: {frame:?}"),
            })
            .collect();
        let expected: BTreeSet<(AgentAddress, _)> = [(agent(1), service("claims").id())].into();
        assert_eq!(services, expected);
    }
}

struct ServiceCase {
    name: &'static str,
    /// Number of targets of `claims`; above 16 agents a search has two phases.
    targets: u8,
}

// Guards against open flows that are reset because two entries outside the configuration name an
// agent's address, the search names the other one's service, and the agent, which started after its
// target, denies the flows of that service without asking its target.
#[test]
fn an_agent_is_queried_in_the_name_of_its_own_service() {
    let cases = [
        ServiceCase {
            name: "all at once",
            targets: 2,
        },
        ServiceCase {
            name: "two phases",
            targets: 30,
        },
    ];
    for case in cases {
        let holder = agent(case.targets + 1);
        let claims = (1..=case.targets).map(|number| target(number, "claims"));
        let entries = ["former", "elsewhere"].map(|name| target(case.targets + 1, name));
        let mut catalog = catalog(claims.chain(entries).collect());
        catalog.unrouted = Vec::new().into();
        let view = view_of(once_only(catalog));
        for own in ["former", "elsewhere"] {
            let own = service(own).id();
            let balancer = FlowBalancer::new(balancer());
            let mut fleet = EmptyFleet::new(&balancer, &view, []).with_service(holder, own);
            let reported = fleet.search(1, 1_900);
            assert!(reported.is_some(), "{}: not reported", case.name);
            let last = fleet.last_service(holder);
            assert_eq!(last, Some(own), "{}: {own:?}", case.name);
        }
    }
}
