//! Views: what a catalog alone cannot tell.

use std::net::SocketAddrV4;

use lovagelatch_catalog::{Catalog, PublishedTarget, TargetName, TargetRow, TargetStart};
use lovagelatch_flows::{FlowStanding, FlowView};

use crate::support::{at, builder, catalog, claims, claims_address, flow, route, service, target};

fn standing(view: &FlowView, number: u8) -> Option<FlowStanding> {
    let ring = view.service(claims())?;
    let mut targets = ring.targets().iter();
    let found = targets.find(|target| target.agent == crate::support::agent(number))?;
    Some(found.standing)
}

struct VanishCase {
    name: &'static str,
    /// Milliseconds before the entry vanishes at which the store had trouble.
    trouble_before: Option<u64>,
    leaving: bool,
    /// Milliseconds after the entry vanished.
    later: u64,
    expected: FlowStanding,
}

// Symptom: half of a service's targets get no new flows for seconds after the store was away.
// Sequence: the store is down; entries of living targets expire; it comes back and lists fewer
// targets for up to two seconds. Cause: an expired entry was taken for a dead target.
#[test]
fn an_entry_that_vanishes_proves_nothing_while_the_store_has_trouble() {
    let cases = [
        VanishCase {
            name: "calm store",
            trouble_before: None,
            leaving: false,
            later: 0,
            expected: FlowStanding::Leaving,
        },
        VanishCase {
            name: "store was away",
            trouble_before: Some(3_000),
            leaving: false,
            later: 0,
            expected: FlowStanding::Lapsed,
        },
        VanishCase {
            name: "still missing two seconds later",
            trouble_before: Some(3_000),
            leaving: false,
            later: 2_000,
            expected: FlowStanding::Leaving,
        },
        VanishCase {
            name: "store was away long ago",
            trouble_before: Some(20_000),
            leaving: false,
            later: 0,
            expected: FlowStanding::Leaving,
        },
        VanishCase {
            name: "it was leaving anyway",
            trouble_before: Some(3_000),
            leaving: true,
            later: 0,
            expected: FlowStanding::Leaving,
        },
    ];
    for case in cases {
        let mut builder = builder();
        let mut second = target(2, "claims");
        second.leaving = case.leaving;
        builder.take(&catalog(vec![target(1, "claims"), second]), at(0));
        if let Some(before) = case.trouble_before {
            builder.note_trouble(at(30_000 - before));
        }
        builder.take(&catalog(vec![target(1, "claims")]), at(30_000));
        let view = builder.build(at(30_000 + case.later));
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
fn a_view_is_complete_only_long_after_trouble() {
    let mut builder = builder();
    builder.take(&catalog(vec![target(1, "claims")]), at(0));
    assert!(builder.build(at(0)).is_complete());
    builder.note_trouble(at(1_000));
    assert!(!builder.build(at(1_000)).is_complete());
    assert!(!builder.build(at(6_900)).is_complete());
    assert!(builder.build(at(7_100)).is_complete());
}

/// Guards against flows of dead targets that are told later than two seconds after the store's return.
#[test]
fn a_view_is_complete_two_seconds_after_the_stores_return() {
    let mut builder = builder();
    builder.take(&catalog(vec![target(1, "claims")]), at(0));
    builder.note_trouble(at(1_000));
    builder.set_returned(Some(at(1_200)));
    assert!(!builder.is_complete(at(3_199)));
    assert_eq!(builder.next_change(at(1_300)), Some(at(3_200)));
    assert!(builder.is_complete(at(3_200)));
    // It went away again: what it answered in between counts no more.
    builder.note_trouble(at(3_300));
    builder.set_returned(None);
    assert!(!builder.is_complete(at(5_000)));
    builder.set_returned(Some(at(5_500)));
    assert!(!builder.is_complete(at(7_499)));
    assert!(builder.is_complete(at(7_500)));
}

// Symptom: a balancer that has just started resets flows whose targets live. Sequence: the store
// comes back without the entries that expired; a balancer starts and reads its list before another
// balancer has told it of the trouble. Cause: what it had not heard was taken not to have been.
#[test]
fn a_process_that_nobody_has_informed_is_sure_of_nothing() {
    let mut builder = builder();
    builder.set_informed(false);
    builder.take(&catalog(vec![target(1, "claims")]), at(0));
    assert!(!builder.build(at(0)).is_complete());
    builder.set_informed(true);
    assert!(builder.build(at(0)).is_complete());
}

#[test]
fn a_target_is_remembered_for_a_flows_lifetime() {
    let mut builder = builder();
    builder.take(&catalog(vec![target(1, "claims")]), at(0));
    builder.take(&catalog(Vec::new()), at(1_000));
    assert_eq!(
        standing(&builder.build(at(60_000)), 1),
        Some(FlowStanding::Leaving)
    );
    assert_eq!(standing(&builder.build(at(62_000)), 1), None);
}

// Symptom: feeds go silent when an operator sends a route to another service. Sequence: the
// route changes; a balancer starts; a packet of a flow at the old service arrives there. Cause:
// it searched the new service alone.
#[test]
fn a_route_remembers_the_services_it_left() {
    let with_route = |name: &str| Catalog {
        routes: vec![route(claims_address(), &[(name, 1)])].into(),
        ..catalog(vec![target(1, "claims"), target(2, "vault")])
    };
    let mut builder = builder();
    builder.take(&with_route("claims"), at(0));
    builder.take(&with_route("vault"), at(1_000));
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
fn weights_share_out_new_flows() {
    let mut builder = builder();
    let routes = vec![route(
        claims_address(),
        &[("claims", 90), ("vault", 10), ("none", 0)],
    )];
    builder.take(
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
fn a_restarted_target_keeps_its_agent() {
    let mut builder = builder();
    builder.take(&catalog(vec![target(1, "claims")]), at(0));
    let successor = PublishedTarget {
        name: TargetName("i-other".into()),
        ..target(1, "claims")
    };
    builder.take(&catalog(vec![successor]), at(1_000));
    let view = builder.build(at(1_000));
    assert!(view.unlisted_agents(FlowStanding::Leaving).is_empty());
}

struct RebirthCase {
    name: &'static str,
    /// What the store says of the new start.
    again: fn(&mut PublishedTarget),
}

// Symptom: a target that has just started gets its full share of new flows and is late with all of
// them, or flows of its former start are asked for at both. Sequence: a target crashes and starts again
// under the name that it had. Cause: what was known of the name was taken for the new start's.
#[test]
fn another_start_under_the_same_name_is_another_target() {
    let cases = [
        RebirthCase {
            name: "it started later",
            again: |target| target.start = TargetStart(9_000),
        },
        RebirthCase {
            name: "its clock was set back",
            again: |target| target.start = TargetStart(4_000),
        },
        RebirthCase {
            name: "it does not say when it started",
            again: |target| target.start = TargetStart::default(),
        },
        RebirthCase {
            name: "it serves another service now",
            again: |target| {
                target.start = TargetStart(9_000);
                target.service = service("vault");
            },
        },
        RebirthCase {
            name: "it is on another machine",
            again: |target| {
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
        let mut again = PublishedTarget {
            warming_ms: 2_000,
            ..first.clone()
        };
        (case.again)(&mut again);
        let mut builder = builder();
        builder.take(&catalog(vec![first]), at(0));
        builder.take(&catalog(vec![again.clone()]), at(30_000));
        let view = builder.build(at(30_000));
        let rings = [claims(), service("vault").id()].map(|service| view.service(service));
        let targets = rings.into_iter().flatten().flat_map(|ring| ring.targets());
        let targets: Vec<_> = targets.collect();
        let [only] = targets[..] else {
            panic!("{}: {targets:?}", case.name);
        };
        let service = again.service.id();
        assert_eq!(
            (only.service, only.listed),
            (service, true),
            "{}",
            case.name
        );
        assert_eq!(only.warm_at, at(32_000), "{}", case.name);
        assert_eq!(only.agent.0.ip(), again.address.ip(), "{}", case.name);
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

struct StrangeCase {
    name: &'static str,
    /// The store's list before the entry turned strange; `None` for a process that starts.
    before: Option<Catalog>,
    /// Milliseconds until the view is complete.
    complete_after: u64,
}

// Symptom: for as long as an entry of another writer stands in the store, no lost flow is told. Cause: a
// view was in doubt while any entry could not be read.
#[test]
fn an_unreadable_entry_leaves_a_doubt_for_a_while_only() {
    let both = || catalog(vec![target(1, "claims"), target(2, "claims")]);
    let cases = [
        StrangeCase {
            name: "the target is known: it is asked, and there is no doubt",
            before: Some(both()),
            complete_after: 0,
        },
        StrangeCase {
            name: "it was never known: a living one writes its entry anew before this",
            before: None,
            complete_after: 4_000,
        },
    ];
    for case in cases {
        let mut builder = builder();
        if let Some(before) = &case.before {
            builder.take(before, at(0));
        }
        let strange = with_unreadable(both(), "i-2-claims");
        builder.take(&strange, at(10_000));
        let due = at(10_000 + case.complete_after);
        if case.complete_after > 0 {
            let early = at(9_999 + case.complete_after);
            assert!(!builder.is_complete(early), "{}", case.name);
        }
        assert!(builder.is_complete(due), "{}", case.name);
        // It stands all day; another process's news do not begin the doubt anew.
        builder.take(&strange, at(60_000));
        assert!(builder.is_complete(at(60_000)), "{}", case.name);
        let view = builder.build(at(10_000));
        let ring = view.service(claims()).expect("a service");
        let usable = ring.targets().iter().filter(|target| target.listed);
        assert_eq!(usable.count(), 1, "{}", case.name);
        // Whole again: as if nothing had been.
        builder.take(&both(), at(70_000));
        let view = builder.build(at(70_000));
        let ring = view.service(claims()).expect("a service");
        assert!(
            ring.targets().iter().all(|target| target.listed),
            "{}",
            case.name
        );
    }
}

// Symptom: targets that started long ago get fewer new flows than their share. Sequence: targets
// are replaced one after the other; each change brings a new view. Cause: with each view the
// warm-up of every target was counted from its beginning again.
#[test]
fn a_warm_up_is_not_begun_again_by_another_targets_change() {
    let mut fresh = target(1, "claims");
    fresh.warming_ms = 5_000;
    let mut builder = builder();
    builder.take(&catalog(vec![fresh.clone()]), at(0));
    builder.take(&catalog(vec![fresh, target(2, "claims")]), at(4_000));
    let view = builder.build(at(4_000));
    let ring = view.service(claims()).expect("the service");
    let warm_at: Vec<_> = ring.targets().iter().map(|target| target.warm_at).collect();
    assert!(warm_at.contains(&at(5_000)), "{warm_at:?}");
    assert!(warm_at.contains(&at(4_000)), "{warm_at:?}");
}
