//! New flows where the store lists several targets at one address.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_catalog::{Catalog, PublishedTarget, TargetName};
use lovagelatch_domain::{AgentAddress, ConfigRevision};
use lovagelatch_flows::{
    BalancerStep, FlowBalancer, FlowStanding, FlowTarget, FlowView, RefusalReason,
    SupersededTargets, TargetKey,
};
use quickcheck::quickcheck;

use crate::balancer::sent;
use crate::support::{agent, at, balancer, builder, catalog, flow, opening, service, target};

/// The first target at address 1.
fn former() -> PublishedTarget {
    target(1, "claims")
}

/// A target that starts at address 1 after the first one has crashed.
fn successor() -> PublishedTarget {
    PublishedTarget {
        name: TargetName("i-successor".into()),
        ..former()
    }
}

fn leaving(target: PublishedTarget) -> PublishedTarget {
    PublishedTarget {
        leaving: true,
        ..target
    }
}

struct SharedAddressCase {
    name: &'static str,
    /// The catalogs applied one after the other, one second apart.
    catalogs: Vec<Vec<PublishedTarget>>,
    /// Whether the store fails just before the last of them.
    store_fails: bool,
    /// The agent that gets a new flow a moment after the last catalog; `None` if it is refused.
    expected: Option<u8>,
}

// Guards against new flows at a leaving target because of the entry of a crashed one at its address.
#[test]
fn the_latest_entry_at_an_address_decides_about_new_flows() {
    let case = |name, catalogs: &[&[PublishedTarget]], expected| SharedAddressCase {
        name,
        catalogs: catalogs.iter().map(|targets| targets.to_vec()).collect(),
        store_fails: false,
        expected,
    };
    let (former, successor) = (former(), successor());
    let vault = PublishedTarget {
        service: "vault".parse().expect("a service"),
        ..successor.clone()
    };
    let alone = [former.clone()];
    let both = [former.clone(), successor.clone()];
    let leaves = [former.clone(), leaving(successor.clone())];
    let cases = [
        case("the successor serves", &[&alone, &both], Some(1)),
        case("the successor leaves", &[&alone, &both, &leaves], None),
        case(
            "the successor is leaving when it is first listed",
            &[&alone, &leaves],
            None,
        ),
        case("both are first listed together", &[&leaves], None),
        case(
            "the entry of a leaving target outlives it",
            &[
                &[leaving(former.clone())],
                &[leaving(former.clone()), successor.clone()],
            ],
            Some(1),
        ),
        case(
            "the successor belongs to another service",
            &[&alone, &[former.clone(), vault.clone()]],
            None,
        ),
        case(
            "the former entry is removed",
            &[&alone, &both, &both[1..]],
            Some(1),
        ),
        case(
            "the removed entry of another service comes back",
            &[
                std::slice::from_ref(&vault),
                &[vault.clone(), former.clone()],
                std::slice::from_ref(&former),
                &[vault.clone(), former.clone()],
            ],
            Some(1),
        ),
        SharedAddressCase {
            store_fails: true,
            ..case(
                "the former entry is removed in a store failure",
                &[&alone, &both, &leaves, &leaves[1..]],
                None,
            )
        },
        SharedAddressCase {
            store_fails: true,
            ..case(
                "all entries are removed in a store failure",
                &[&alone, &both, &leaves, &[]],
                None,
            )
        },
    ];
    for case in cases {
        let balancer = FlowBalancer::new(balancer());
        let mut builder = builder();
        let last = case.catalogs.len() - 1;
        let mut now = at(0);
        for (number, targets) in case.catalogs.into_iter().enumerate() {
            now = at(1_000 * number as u64);
            if number == last && case.store_fails {
                builder.record_store_failure(now);
            }
            builder.apply(&catalog(targets), now);
        }
        let now = now + Duration::from_millis(1_500);
        let view = builder.build(now);
        let step = balancer.handle_packet(&opening(flow(1)), b"syn", &view, now);
        let Some(expected) = case.expected else {
            let refused = BalancerStep::Reset(RefusalReason::NoTarget);
            assert_eq!(step, refused, "{}", case.name);
            continue;
        };
        assert_eq!(sent(step).0, agent(expected), "{}", case.name);
    }
}

/// Returns which targets of a view must be marked, by comparing each with all others.
fn expected_marks(view: &FlowView) -> Vec<(TargetKey, bool)> {
    let services = ["claims", "vault"].map(|name| service(name).id());
    let rings = services
        .into_iter()
        .filter_map(|service| view.service(service));
    let targets: Vec<FlowTarget> = rings.flat_map(|ring| ring.targets()).copied().collect();
    let has_entry =
        |target: &FlowTarget| target.listed || target.standing == FlowStanding::Unreadable;
    let order = |target: &FlowTarget| {
        let leaving = target.standing == FlowStanding::Leaving;
        (target.standing_since, leaving, target.warm_at)
    };
    let is_superseded = |target: &FlowTarget| {
        let mut others = targets.iter();
        others.any(|other| {
            other.agent == target.agent
                && has_entry(other)
                && (!has_entry(target) || order(other) > order(target))
        })
    };
    let marks = targets.iter();
    marks
        .map(|target| (target.key, is_superseded(target)))
        .collect()
}

fn marks(view: &FlowView) -> Vec<(TargetKey, bool)> {
    let services = ["claims", "vault"].map(|name| service(name).id());
    let rings = services
        .into_iter()
        .filter_map(|service| view.service(service));
    let targets = rings.flat_map(|ring| ring.targets());
    targets
        .map(|target| (target.key, target.superseded))
        .collect()
}

/// Draws the entry of a target with one of six names at one of four addresses.
fn draw_entry(bits: u32) -> Option<PublishedTarget> {
    let name = if bits & 1 == 0 { "claims" } else { "vault" };
    let number = u8::try_from(bits >> 1 & 3).expect("two bits");
    (bits >> 3 & 3 > 0).then(|| PublishedTarget {
        leaving: bits >> 5 & 3 == 0,
        warming_ms: (bits >> 7 & 1) * 1_000,
        ..target(number + 1, name)
    })
}

// Guards against entries that are passed over without a trace in the log.
#[test]
fn each_superseded_target_is_reported_once() {
    let mut builder = builder();
    builder.apply(&catalog(vec![former()]), at(0));
    assert_eq!(builder.take_superseded(), None);
    builder.apply(&catalog(vec![former(), successor()]), at(1_000));
    let superseded = SupersededTargets {
        agent: agent(1),
        service: service("claims").id(),
        count: 1,
    };
    assert_eq!(builder.take_superseded(), Some(superseded));
    let leaves = vec![former(), leaving(successor())];
    builder.apply(&catalog(leaves), at(2_000));
    assert_eq!(builder.take_superseded(), None);
}

quickcheck! {
    // Guards against a mark that a sequence of small changes leaves wrong.
    fn marks_depend_on_the_view_alone(changes: Vec<u32>) -> bool {
        let mut builder = builder();
        let mut entries: Vec<Option<PublishedTarget>> = vec![None; 6];
        for (number, bits) in changes.into_iter().enumerate() {
            let name = bits as usize % entries.len();
            entries[name] = draw_entry(bits >> 4).map(|target| PublishedTarget {
                name: TargetName(format!("i-{name}").into()),
                ..target
            });
            let now = at(number as u64 * 700);
            if bits >> 28 == 0 {
                builder.record_store_failure(now);
            }
            let listed = entries.iter().flatten().cloned();
            builder.apply(&catalog(listed.collect()), now);
            let view = builder.build(now);
            if marks(&view) != expected_marks(&view) {
                return false;
            }
        }
        true
    }
}

// Guards against former entries in force after a power loss, when all targets are compared at once.
#[test]
fn every_former_entry_is_marked_after_a_power_loss() {
    let entries = |start: &str| -> Vec<PublishedTarget> {
        let numbered = (0..20_000_u32).map(|number| {
            let ip = Ipv4Addr::from(0x0a01_0000 + number);
            PublishedTarget {
                name: TargetName(format!("{start}-{number:05}").into()),
                address: SocketAddrV4::new(ip, 8_000),
                ..former()
            }
        });
        numbered.collect()
    };
    let (former, successors) = (entries("a"), entries("b"));
    let mut builder = builder();
    builder.apply(&catalog(former.clone()), at(0));
    let both = former.into_iter().chain(successors).collect();
    builder.apply(&catalog(both), at(1_000));
    let superseded = builder.take_superseded().expect("marked targets");
    assert_eq!(superseded.count, 20_000);
    let view = builder.build(at(1_000));
    assert_eq!(marks(&view), marks_of_former_starts(&view));
}

/// Returns the marks by which only the targets count that were first seen at 1 s.
fn marks_of_former_starts(view: &FlowView) -> Vec<(TargetKey, bool)> {
    let ring = view.service(service("claims").id()).expect("a ring");
    let targets = ring.targets().iter();
    targets
        .map(|target| (target.key, target.standing_since < at(1_000)))
        .collect()
}

// Guards against new flows at a leaving target through the entry of its dead predecessor: a store
// that comes back from a copy lists that one, and no longer the leaving target.
#[test]
fn a_former_entry_in_a_copy_sends_no_flows_to_a_leaving_successor() {
    let balancer = FlowBalancer::new(balancer());
    let mut builder = builder();
    let lists = [vec![leaving(successor())], vec![former()]];
    for (second, list) in (0..).zip(lists) {
        let now = at(5_000 * second);
        builder.record_store_failure(now);
        builder.set_store_recovered_at(Some(now));
        builder.apply(&catalog(list), now);
    }
    let now = at(5_100);
    let view = builder.build(now);
    let step = balancer.handle_packet(&opening(flow(1)), b"syn", &view, now);
    assert_eq!(step, BalancerStep::Reset(RefusalReason::NoTarget));
}

struct VanishedCase {
    name: &'static str,
    /// Whether the store failed before it listed the former entry alone.
    store_fails: bool,
    /// The lists after that, with the time of each in milliseconds.
    later: Vec<(u64, Vec<PublishedTarget>)>,
    /// The time of the new flow in milliseconds.
    opens_at: u64,
    /// The agent that gets the new flow; `None` if it is refused.
    expected: Option<u8>,
}

// Guards against new flows at a leaving target when its entry is written again after a restore, and
// against an address that gets none although the leaving target has ended.
#[test]
fn an_address_of_a_vanished_leaving_target_gets_flows_once_it_has_ended() {
    let case = |name, opens_at, expected, later: &[(u64, &[PublishedTarget])]| VanishedCase {
        name,
        store_fails: true,
        later: later
            .iter()
            .map(|&(millis, targets)| (millis, targets.to_vec()))
            .collect(),
        opens_at,
        expected,
    };
    let third = PublishedTarget {
        name: TargetName("i-third".into()),
        ..former()
    };
    let returned = [former(), leaving(successor())];
    let replaced = [former(), leaving(successor()), third.clone()];
    let cases = [
        case("its entry is missing", 6_900, None, &[]),
        case("its entry was not restored in time", 7_000, Some(1), &[]),
        case(
            "its entry has just been restored",
            5_810,
            None,
            &[(5_800, &returned)],
        ),
        case("its entry is restored", 9_000, None, &[(5_800, &returned)]),
        case(
            "another target starts while its restored entry remains",
            9_000,
            Some(1),
            &[(5_800, &returned), (8_500, &replaced)],
        ),
        case(
            "another target starts after its restored entry is removed",
            9_000,
            Some(1),
            &[
                (5_800, &returned),
                (8_000, &[]),
                (8_500, std::slice::from_ref(&third)),
            ],
        ),
        VanishedCase {
            store_fails: false,
            ..case("the store did not fail", 5_010, Some(1), &[])
        },
    ];
    for case in cases {
        let balancer = FlowBalancer::new(balancer());
        let mut builder = builder();
        builder.apply(&catalog(vec![leaving(successor())]), at(0));
        if case.store_fails {
            builder.record_store_failure(at(5_000));
            builder.set_store_recovered_at(Some(at(5_000)));
        }
        builder.apply(&catalog(vec![former()]), at(5_000));
        for (millis, targets) in case.later {
            builder.apply(&catalog(targets), at(millis));
        }
        let now = at(case.opens_at);
        let view = builder.build(now);
        let step = balancer.handle_packet(&opening(flow(1)), b"syn", &view, now);
        let Some(expected) = case.expected else {
            let refused = BalancerStep::Reset(RefusalReason::NoTarget);
            assert_eq!(step, refused, "{}", case.name);
            continue;
        };
        assert_eq!(sent(step).0, agent(expected), "{}", case.name);
    }
}

// Guards against a view that keeps an address without flows because nothing publishes a new one.
#[test]
fn the_end_of_a_withheld_address_is_due() {
    let mut builder = builder();
    builder.apply(&catalog(vec![leaving(successor())]), at(0));
    builder.record_store_failure(at(5_000));
    builder.set_store_recovered_at(Some(at(5_000)));
    builder.apply(&catalog(vec![former()]), at(5_000));
    assert_eq!(builder.next_expiry(), Some(at(7_000)));
    builder.build(at(7_000));
    assert_eq!(builder.next_expiry(), None);
}

// Guards against searches for the flows of a leaving target that ask for the service of a former
// target at its address, whose agent reports them as absent.
#[test]
fn a_restored_leaving_target_supersedes_the_entries_listed_meanwhile() {
    let former = PublishedTarget {
        service: "vault".parse().expect("a service"),
        ..former()
    };
    let mut builder = builder();
    builder.apply(&catalog(vec![leaving(successor())]), at(0));
    builder.record_store_failure(at(5_000));
    builder.apply(&catalog(vec![former.clone()]), at(5_000));
    builder.apply(&catalog(vec![former, leaving(successor())]), at(5_800));
    let view = builder.build(at(5_800));
    let is_superseded = |name: &str| {
        let ring = view.service(service(name).id()).expect("a ring");
        ring.targets()[0].superseded
    };
    assert!(is_superseded("vault"));
    assert!(!is_superseded("claims"));
}

/// Applies catalogs one second apart, in which the configuration names only these services, and
/// returns the agent that gets a new flow after the last one; `None` if it is refused.
fn placed_after(steps: &[(&[PublishedTarget], &[&str])]) -> Option<AgentAddress> {
    let balancer = FlowBalancer::new(balancer());
    let mut builder = builder();
    let mut now = at(0);
    for (number, (targets, services)) in (0..).zip(steps) {
        now = at(1_000 * number);
        let named = services.iter().map(|name| service(name));
        let next = Catalog {
            version: ConfigRevision(number + 1),
            unrouted: named.collect::<Vec<_>>().into(),
            ..catalog(targets.to_vec())
        };
        builder.apply(&next, now);
    }
    let view = builder.build(now);
    match balancer.handle_packet(&opening(flow(1)), b"syn", &view, now) {
        BalancerStep::Send { to, .. } => Some(to),
        BalancerStep::Reset(RefusalReason::NoTarget) => None,
        step => panic!("unexpected: {step:?}"),
    }
}

struct ForeignCase {
    name: &'static str,
    /// The targets of each catalog, and the services that its configuration names beside `claims`.
    steps: Vec<(Vec<PublishedTarget>, Vec<&'static str>)>,
    /// Whether a new flow of `claims` goes to the target at address 1.
    placed: bool,
}

// Guards against a service whose every new flow is refused because another writer keeps entries at
// the addresses of its targets, of a service that the configuration does not name.
#[test]
fn an_entry_outside_the_configuration_supersedes_none_in_it() {
    let foreign = PublishedTarget {
        service: service("metrics"),
        ..successor()
    };
    let (own, both) = (vec![former()], vec![former(), foreign.clone()]);
    let cases = [
        ForeignCase {
            name: "the foreign entry comes later",
            steps: vec![(own.clone(), vec![]), (both.clone(), vec![])],
            placed: true,
        },
        ForeignCase {
            name: "the foreign entry comes first",
            steps: vec![(vec![foreign], vec![]), (both.clone(), vec![])],
            placed: true,
        },
        ForeignCase {
            name: "both are there at the start",
            steps: vec![(both.clone(), vec![])],
            placed: true,
        },
        ForeignCase {
            name: "the service of the later entry is in the configuration",
            steps: vec![
                (own.clone(), vec!["metrics"]),
                (both.clone(), vec!["metrics"]),
            ],
            placed: false,
        },
        ForeignCase {
            name: "a configuration comes to name the service",
            steps: vec![
                (own.clone(), vec![]),
                (both.clone(), vec![]),
                (both.clone(), vec!["metrics"]),
            ],
            placed: false,
        },
    ];
    for case in cases {
        let steps: Vec<_> = case
            .steps
            .iter()
            .map(|(targets, services)| (&targets[..], &services[..]))
            .collect();
        let expected = case.placed.then(|| agent(1));
        assert_eq!(placed_after(&steps), expected, "{}", case.name);
    }
}
