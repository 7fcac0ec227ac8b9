//! Tests of what views contain besides the catalog: removed targets, former services and coverage.

use std::net::SocketAddrV4;

use lovagelatch_catalog::{Catalog, PublishedTarget, TargetName, TargetRow, TargetStart};
use lovagelatch_flows::{
    BalancerStep, DoubtReason, FlowBalancer, FlowStanding, FlowView, RefusalReason, ViewCoverage,
};

use crate::support::{
    at, balancer, builder, catalog, claims, claims_address, flow, opening, route, service, target,
};

fn standing(view: &FlowView, number: u8) -> Option<FlowStanding> {
    let ring = view.service(claims())?;
    let mut targets = ring.targets().iter();
    let found = targets.find(|target| target.agent == crate::support::agent(number))?;
    Some(found.standing)
}

struct ReturnCase {
    name: &'static str,
    /// What the store lists of the target, one second after the other; `None` while it lists none.
    entries: Vec<Option<PublishedTarget>>,
    expected: FlowStanding,
}

// Guards against new flows at a target that is about to stop: a store that comes back from a copy
// lists it as it was before its announcement, also after it is gone.
#[test]
fn a_target_that_announced_its_end_never_serves_again() {
    let serving = target(1, "claims");
    let leaving = PublishedTarget {
        leaving: true,
        ..serving.clone()
    };
    let next_start = PublishedTarget {
        start: TargetStart(9),
        ..serving.clone()
    };
    let cases = [
        ReturnCase {
            name: "its announcement is lost",
            entries: vec![Some(leaving.clone()), Some(serving.clone())],
            expected: FlowStanding::Leaving,
        },
        ReturnCase {
            name: "its announcement and its removal are lost",
            entries: vec![Some(leaving.clone()), None, Some(serving.clone())],
            expected: FlowStanding::Leaving,
        },
        ReturnCase {
            name: "its entry changes again",
            entries: vec![
                Some(leaving.clone()),
                Some(serving.clone()),
                Some(PublishedTarget {
                    slots: 4,
                    ..serving.clone()
                }),
            ],
            expected: FlowStanding::Leaving,
        },
        ReturnCase {
            name: "it was silent for a while",
            entries: vec![Some(serving.clone()), None, Some(serving.clone())],
            expected: FlowStanding::Serving,
        },
        ReturnCase {
            name: "it starts again",
            entries: vec![Some(leaving), Some(next_start)],
            expected: FlowStanding::Serving,
        },
    ];
    for case in cases {
        let mut builder = builder();
        let mut now = at(0);
        for (second, entry) in (0..).zip(case.entries) {
            now = at(1_000 * second);
            let others = [target(2, "claims")].into_iter();
            builder.apply(&catalog(others.chain(entry).collect()), now);
        }
        let view = builder.build(now);
        assert_eq!(standing(&view, 1), Some(case.expected), "{}", case.name);
    }
}

// Guards against new flows at a target that announced its end long ago: its entry is lost with the
// store's copy and written again, and it was taken for one that has only just announced it.
#[test]
fn a_leaving_target_that_is_listed_again_is_no_last_resort() {
    let leaving = PublishedTarget {
        leaving: true,
        ..target(1, "claims")
    };
    let mut builder = builder();
    let balancer = FlowBalancer::new(balancer());
    let entries = [
        (0, Some(leaving.clone())),
        (5_000, None),
        (5_300, Some(leaving)),
    ];
    for (millis, entry) in entries {
        let now = at(millis);
        builder.record_store_failure(now);
        builder.apply(&catalog(entry.into_iter().collect()), now);
    }
    let now = at(5_400);
    let view = builder.build(now);
    let step = balancer.handle_packet(&opening(flow(1)), b"syn", &view, now);
    assert_eq!(step, BalancerStep::Reset(RefusalReason::NoTarget));
}

struct RemovalCase {
    name: &'static str,
    /// How long before the entry vanishes the store failed, in milliseconds.
    failure_before_ms: Option<u64>,
    leaving: bool,
    /// How long after the entry vanished the view is checked, in milliseconds.
    checked_after_ms: u64,
    expected: FlowStanding,
}

// Guards against live targets that get no new flows for seconds after a store failure: their
// entries expire while the store is down, and for up to two seconds after its recovery it lists
// fewer targets.
#[test]
fn an_entry_that_disappears_around_a_store_failure_is_lapsed() {
    let cases = [
        RemovalCase {
            name: "no store failure",
            failure_before_ms: None,
            leaving: false,
            checked_after_ms: 0,
            expected: FlowStanding::Leaving,
        },
        RemovalCase {
            name: "store failed recently",
            failure_before_ms: Some(3_000),
            leaving: false,
            checked_after_ms: 0,
            expected: FlowStanding::Lapsed,
        },
        RemovalCase {
            name: "still missing two seconds later",
            failure_before_ms: Some(3_000),
            leaving: false,
            checked_after_ms: 2_000,
            expected: FlowStanding::Leaving,
        },
        RemovalCase {
            name: "store failed long ago",
            failure_before_ms: Some(20_000),
            leaving: false,
            checked_after_ms: 0,
            expected: FlowStanding::Leaving,
        },
        RemovalCase {
            name: "target was already leaving",
            failure_before_ms: Some(3_000),
            leaving: true,
            checked_after_ms: 0,
            expected: FlowStanding::Leaving,
        },
    ];
    for case in cases {
        let mut builder = builder();
        let mut second = target(2, "claims");
        second.leaving = case.leaving;
        builder.apply(&catalog(vec![target(1, "claims"), second]), at(0));
        if let Some(before) = case.failure_before_ms {
            builder.record_store_failure(at(30_000 - before));
        }
        builder.apply(&catalog(vec![target(1, "claims")]), at(30_000));
        let view = builder.build(at(30_000 + case.checked_after_ms));
        assert_eq!(standing(&view, 2), Some(case.expected), "{}", case.name);
        assert_eq!(
            standing(&view, 1),
            Some(FlowStanding::Serving),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_view_is_incomplete_for_six_seconds_after_a_store_failure() {
    let mut builder = builder();
    builder.apply(&catalog(vec![target(1, "claims")]), at(0));
    assert!(builder.build(at(0)).is_complete());
    builder.record_store_failure(at(1_000));
    assert!(!builder.build(at(1_000)).is_complete());
    assert!(!builder.build(at(6_900)).is_complete());
    assert!(builder.build(at(7_100)).is_complete());
}

// Guards against lost flows of dead targets that are reported later than two seconds after the
// store recovers.
#[test]
fn a_view_is_complete_two_seconds_after_the_store_recovers() {
    let mut builder = builder();
    builder.apply(&catalog(vec![target(1, "claims")]), at(0));
    builder.record_store_failure(at(1_000));
    builder.set_store_recovered_at(Some(at(1_200)));
    assert!(!builder.is_complete(at(3_199)));
    assert_eq!(builder.next_change(at(1_300)), Some(at(3_200)));
    assert!(builder.is_complete(at(3_200)));
    // The store fails again, which invalidates the first recovery.
    builder.record_store_failure(at(3_300));
    builder.set_store_recovered_at(None);
    assert!(!builder.is_complete(at(5_000)));
    builder.set_store_recovered_at(Some(at(5_500)));
    assert!(!builder.is_complete(at(7_499)));
    assert!(builder.is_complete(at(7_500)));
}

// Guards against a balancer that has just started and resets flows of live targets: the store
// recovers without the entries that expired, and the balancer reads the list before another
// balancer has informed it of the failure.
#[test]
fn a_view_is_incomplete_until_the_process_is_informed() {
    let mut builder = builder();
    builder.set_informed(false);
    builder.apply(&catalog(vec![target(1, "claims")]), at(0));
    assert!(!builder.build(at(0)).is_complete());
    builder.set_informed(true);
    assert!(builder.build(at(0)).is_complete());
}

#[test]
fn a_removed_target_is_retained_for_a_flow_lifetime() {
    let mut builder = builder();
    builder.apply(&catalog(vec![target(1, "claims")]), at(0));
    builder.apply(&catalog(Vec::new()), at(1_000));
    assert_eq!(
        standing(&builder.build(at(60_000)), 1),
        Some(FlowStanding::Leaving)
    );
    assert_eq!(standing(&builder.build(at(62_000)), 1), None);
}

// Guards against flows that go silent after a route is changed to another service: packets of flows
// at the old service may reach a balancer that does not know them, and it must not search only the
// new service.
#[test]
fn a_route_retains_its_former_services() {
    let with_route = |name: &str| Catalog {
        routes: vec![route(claims_address(), &[(name, 1)])].into(),
        ..catalog(vec![target(1, "claims"), target(2, "vault")])
    };
    let mut builder = builder();
    builder.apply(&with_route("claims"), at(0));
    builder.apply(&with_route("vault"), at(1_000));
    let view = builder.build(at(1_000));
    let found = view.route(&flow(1)).expect("the route");
    assert_eq!(
        found.service_for(flow(1).point()),
        Some(service("vault").id())
    );
    let former: Vec<_> = found.former.iter().map(|&(service, _)| service).collect();
    assert_eq!(former, [claims()]);
    let view = builder.build(at(62_000));
    assert!(view.route(&flow(1)).expect("the route").former.is_empty());
}

#[test]
fn new_flows_are_distributed_by_weight() {
    let mut builder = builder();
    let routes = vec![route(
        claims_address(),
        &[("claims", 90), ("vault", 10), ("none", 0)],
    )];
    builder.apply(
        &Catalog {
            routes: routes.into(),
            ..catalog(Vec::new())
        },
        at(0),
    );
    let view = builder.build(at(0));
    let mut counts = [0_u32; 2];
    for port in 0..10_000 {
        let flow = flow(port);
        let chosen = view
            .route(&flow)
            .expect("the route")
            .service_for(flow.point());
        let chosen = chosen.expect("a service");
        counts[usize::from(chosen != claims())] += 1;
        assert_ne!(chosen, service("none").id());
    }
    assert!((8_700..9_300).contains(&counts[0]), "{counts:?}");
}

#[test]
fn an_unknown_address_has_no_route() {
    let view = crate::support::claims_view(1);
    let mut other = flow(1);
    other.service_address = SocketAddrV4::new(*claims_address().ip(), 9);
    assert!(view.route(&other).is_none());
}

#[test]
fn an_agent_with_a_restarted_target_is_not_unlisted() {
    let mut builder = builder();
    builder.apply(&catalog(vec![target(1, "claims")]), at(0));
    let successor = PublishedTarget {
        name: TargetName("i-other".into()),
        ..target(1, "claims")
    };
    builder.apply(&catalog(vec![successor]), at(1_000));
    let view = builder.build(at(1_000));
    assert!(view.unlisted_agents(FlowStanding::Leaving).is_empty());
}

struct RestartCase {
    name: &'static str,
    /// Changes the entry to that of the new start.
    restart: fn(&mut PublishedTarget),
}

// Guards against state of a crashed target that is applied to its restart under the same name: the
// restarted target would get its full share of new flows while it is cold, or both starts would be
// queried for flows of the first one.
#[test]
fn a_restart_under_the_same_name_is_a_different_target() {
    let cases = [
        RestartCase {
            name: "later start time",
            restart: |target| target.start = TargetStart(9_000),
        },
        RestartCase {
            name: "earlier start time: the clock was set back",
            restart: |target| target.start = TargetStart(4_000),
        },
        RestartCase {
            name: "no start time",
            restart: |target| target.start = TargetStart::default(),
        },
        RestartCase {
            name: "different service",
            restart: |target| {
                target.start = TargetStart(9_000);
                target.service = service("vault");
            },
        },
        RestartCase {
            name: "different machine",
            restart: |target| {
                target.start = TargetStart(9_000);
                target.address.set_ip([10, 1, 0, 9].into());
            },
        },
    ];
    for case in cases {
        let first = PublishedTarget {
            start: TargetStart(5_000),
            ..target(1, "claims")
        };
        let mut restarted = PublishedTarget {
            warming_ms: 2_000,
            ..first.clone()
        };
        (case.restart)(&mut restarted);
        let mut builder = builder();
        builder.apply(&catalog(vec![first]), at(0));
        builder.apply(&catalog(vec![restarted.clone()]), at(30_000));
        let view = builder.build(at(30_000));
        let rings = [claims(), service("vault").id()].map(|service| view.service(service));
        let targets = rings.into_iter().flatten().flat_map(|ring| ring.targets());
        let targets: Vec<_> = targets.collect();
        let [only] = targets[..] else {
            panic!("{}: {targets:?}", case.name);
        };
        let service = restarted.service.id();
        assert_eq!(
            (only.service, only.listed),
            (service, true),
            "{}",
            case.name
        );
        assert_eq!(only.warm_at, at(32_000), "{}", case.name);
        assert_eq!(only.agent.0.ip(), restarted.address.ip(), "{}", case.name);
    }
}

fn with_unreadable(mut catalog: Catalog, name: &str) -> Catalog {
    let mut rows = catalog.targets.to_vec();
    rows.retain(|row| &*row.name().0 != name);
    rows.push(TargetRow::Unreadable(TargetName(name.into())));
    rows.sort_by(|a, b| a.name().cmp(b.name()));
    catalog.targets = rows.into();
    catalog
}

struct UnreadableCase {
    name: &'static str,
    /// The catalog before the entry became unreadable; `None` for a process that has just started.
    before: Option<Catalog>,
    /// Milliseconds until the view is complete.
    complete_after_ms: u64,
}

// Guards against lost flows that are not reported for as long as the store holds an unreadable
// entry of another writer.
#[test]
fn an_unreadable_entry_makes_a_view_incomplete_only_for_a_limited_time() {
    let both = || catalog(vec![target(1, "claims"), target(2, "claims")]);
    let cases = [
        UnreadableCase {
            name: "known target: it is queried, so the view is complete",
            before: Some(both()),
            complete_after_ms: 0,
        },
        UnreadableCase {
            name: "unknown target: a live one would have rewritten its entry by then",
            before: None,
            complete_after_ms: 4_000,
        },
    ];
    for case in cases {
        let mut builder = builder();
        if let Some(before) = &case.before {
            builder.apply(before, at(0));
        }
        let unreadable = with_unreadable(both(), "i-2-claims");
        builder.apply(&unreadable, at(10_000));
        let due = at(10_000 + case.complete_after_ms);
        if case.complete_after_ms > 0 {
            let early = at(9_999 + case.complete_after_ms);
            assert!(!builder.is_complete(early), "{}", case.name);
        }
        assert!(builder.is_complete(due), "{}", case.name);
        // The entry persists: applying it again does not restart the timeout.
        builder.apply(&unreadable, at(60_000));
        assert!(builder.is_complete(at(60_000)), "{}", case.name);
        let view = builder.build(at(10_000));
        let ring = view.service(claims()).expect("a service");
        let usable = ring.targets().iter().filter(|target| target.listed);
        assert_eq!(usable.count(), 1, "{}", case.name);
        // The entry becomes readable again.
        builder.apply(&both(), at(70_000));
        let view = builder.build(at(70_000));
        let ring = view.service(claims()).expect("a service");
        assert!(
            ring.targets().iter().all(|target| target.listed),
            "{}",
            case.name
        );
    }
}

// Guards against warm targets that get fewer new flows than their share: targets are replaced one
// after the other, and each change creates a view, which must not restart the warm-up of all
// targets.
#[test]
fn a_change_of_one_target_does_not_restart_the_warm_up_of_others() {
    let mut fresh = target(1, "claims");
    fresh.warming_ms = 5_000;
    let mut builder = builder();
    builder.apply(&catalog(vec![fresh.clone()]), at(0));
    builder.apply(&catalog(vec![fresh, target(2, "claims")]), at(4_000));
    let view = builder.build(at(4_000));
    let ring = view.service(claims()).expect("the service");
    let warm_at: Vec<_> = ring.targets().iter().map(|target| target.warm_at).collect();
    assert!(warm_at.contains(&at(5_000)), "{warm_at:?}");
    assert!(warm_at.contains(&at(4_000)), "{warm_at:?}");
}

// Guards against lost flows that are reported while the store may just have been restored from a
// copy that lacks live targets.
#[test]
fn a_view_is_incomplete_while_the_store_may_just_have_been_restored() {
    let mut builder = builder();
    builder.apply(&catalog(vec![target(1, "claims")]), at(1_000));
    builder.set_restore_possible_until(Some(at(3_000)));
    let doubt = ViewCoverage::Doubtful(DoubtReason::RestorePossible);
    assert_eq!(builder.build(at(2_999)).coverage, doubt);
    assert_eq!(builder.next_change(at(2_999)), Some(at(3_000)));
    assert_eq!(builder.build(at(3_000)).coverage, ViewCoverage::Complete);
    assert_eq!(builder.next_change(at(3_000)), None);
}
