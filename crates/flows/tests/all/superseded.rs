//! New flows where the store lists several targets at one address.

use std::time::Duration;

use lovagelatch_catalog::{PublishedTarget, TargetName};
use lovagelatch_flows::{BalancerStep, FlowBalancer, RefusalReason};

use crate::balancer::sent;
use crate::support::{agent, at, balancer, builder, catalog, flow, opening, target};

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
            &[&alone, &[former.clone(), vault]],
            None,
        ),
        case(
            "the former entry is removed",
            &[&alone, &both, &both[1..]],
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
