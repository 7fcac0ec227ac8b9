//! Tests that applying catalog changes gives the same view as applying the whole catalog.

use std::time::Duration;

use lovagelatch_catalog::{
    CatalogTables, PublishedConfig, PublishedRoute, StoreAnswer, StoreEvent, TargetName,
    TargetStart,
};
use lovagelatch_domain::{ConfigRevision, StoreEra};
use lovagelatch_flows::{FlowStanding, FlowView};
use quickcheck::{Arbitrary, Gen, quickcheck};

use crate::support::{at, builder, claims, claims_address, flow, route, service, target};

/// An event between two views.
#[derive(Clone, Copy, Debug)]
enum ViewStep {
    Listed {
        number: u8,
        vault: bool,
        leaving: bool,
        start: u64,
    },
    Unreadable {
        number: u8,
    },
    Removed {
        number: u8,
    },
    Routed {
        to_vault: bool,
        both: bool,
    },
    Unrouted,
    StoreFailure,
    Time {
        seconds: u8,
    },
}

impl Arbitrary for ViewStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = u8::arbitrary(source) % 6 + 1;
        match u8::arbitrary(source) % 10 {
            0..=3 => Self::Listed {
                number,
                vault: u8::arbitrary(source) % 4 == 0,
                leaving: u8::arbitrary(source) % 4 == 0,
                start: u64::arbitrary(source) % 3,
            },
            4 => Self::Unreadable { number },
            5 => Self::Removed { number },
            6 => Self::Routed {
                to_vault: bool::arbitrary(source),
                both: bool::arbitrary(source),
            },
            7 => Self::Unrouted,
            8 => Self::StoreFailure,
            _ => Self::Time {
                seconds: u8::arbitrary(source) % 40,
            },
        }
    }
}

fn event_of(step: ViewStep, version: u64) -> Option<StoreEvent> {
    let config = |routes: Vec<PublishedRoute>| {
        StoreEvent::Config(PublishedConfig {
            version: ConfigRevision(version),
            idle_timeout: Duration::from_secs(15),
            routes,
            unrouted: vec![service("claims"), service("vault")],
            unusable: Vec::new(),
        })
    };
    match step {
        ViewStep::Unreadable { number } => Some(StoreEvent::Unreadable {
            key: format!("servers/i-{number}"),
            reason: "not understood".to_owned(),
            target: Some(TargetName(format!("i-{number}").into())),
        }),
        ViewStep::Listed {
            number,
            vault,
            leaving,
            start,
        } => {
            let mut row = target(number, if vault { "vault" } else { "claims" });
            // The name does not depend on the service, so that targets move between services.
            row.name = TargetName(format!("i-{number}").into());
            row.leaving = leaving;
            row.start = TargetStart(start);
            Some(StoreEvent::Target(row))
        }
        ViewStep::Removed { number } => Some(StoreEvent::TargetRemoved(TargetName(
            format!("i-{number}").into(),
        ))),
        ViewStep::Routed { to_vault, both } => {
            let shares: &[(&str, u32)] = match (to_vault, both) {
                (_, true) => &[("claims", 1), ("vault", 2)],
                (true, _) => &[("vault", 1)],
                (false, _) => &[("claims", 1)],
            };
            Some(config(vec![route(claims_address(), shares)]))
        }
        ViewStep::Unrouted => Some(config(Vec::new())),
        ViewStep::StoreFailure | ViewStep::Time { .. } => None,
    }
}

fn differ(one: &FlowView, other: &FlowView) -> bool {
    let services = [claims(), service("vault").id()];
    let rings = services.iter().any(|&service| {
        let targets = |view: &FlowView| view.service(service).map(|ring| ring.targets().to_vec());
        targets(one) != targets(other)
    });
    let standings = [FlowStanding::Lapsed, FlowStanding::Leaving];
    let unlisted = standings.iter().any(|&standing| {
        let agents = |view: &FlowView| {
            let mut agents = view.unlisted_agents(standing);
            agents.sort();
            agents
        };
        agents(one) != agents(other)
    });
    let route = one.route(&flow(1)) != other.route(&flow(1));
    let complete = one.is_complete() != other.is_complete();
    rings || unlisted || route || complete || one.version != other.version
}

quickcheck! {
    fn applying_changes_equals_applying_the_whole_catalog(steps: Vec<ViewStep>) -> bool {
        let mut tables = CatalogTables::default();
        let (mut incremental, mut whole) = (builder(), builder());
        let (mut revision, mut seconds) = (0, 1);
        for step in steps {
            let now = at(seconds * 1_000);
            match step {
                ViewStep::StoreFailure => {
                    incremental.record_store_failure(now);
                    whole.record_store_failure(now);
                }
                ViewStep::Time { seconds: elapsed } => seconds += u64::from(elapsed),
                _ => {
                    revision += 1;
                    let events = event_of(step, revision).into_iter();
                    let events = events.map(|event| (revision, event)).collect();
                    tables.apply_events(StoreAnswer { era: StoreEra::default(), events, revision });
                    let changes = tables.take_changes();
                    incremental.apply_changes(tables.catalog(), &changes, now);
                    whole.apply(tables.catalog(), now);
                }
            }
            if differ(&incremental.build(now), &whole.build(now)) {
                return false;
            }
        }
        true
    }
}

#[test]
fn a_target_added_and_removed_between_two_views_is_not_listed() {
    let mut tables = CatalogTables::default();
    let mut incremental = builder();
    for (revision, step) in [
        (
            1,
            ViewStep::Routed {
                to_vault: false,
                both: false,
            },
        ),
        (
            2,
            ViewStep::Listed {
                number: 1,
                vault: false,
                leaving: false,
                start: 0,
            },
        ),
        (3, ViewStep::Removed { number: 1 }),
    ] {
        let events = event_of(step, revision).into_iter();
        let events = events.map(|event| (revision, event)).collect();
        tables.apply_events(StoreAnswer {
            era: StoreEra::default(),
            events,
            revision,
        });
    }
    let changes = tables.take_changes();
    incremental.apply_changes(tables.catalog(), &changes, at(0));
    let view = incremental.build(at(0));
    let targets = view
        .service(claims())
        .map_or(&[][..], |ring| ring.targets());
    assert!(targets.iter().all(|target| !target.listed));
}
