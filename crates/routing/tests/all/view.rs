//! Routing tables built from views.

use std::sync::Arc;

use lovagelatch_domain::{
    AgentAddress, ConfigRevision, InstanceList, InstanceState, ListRevision, ServiceId, TargetId,
    TargetRecord,
};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{
    MAX_SCANNED_TARGETS, RingTarget, RoutingTable, TableBuilder, ViewChange,
};
use lovagelatch_settings::ServiceText;

use crate::support::{CLAIMS_ADDRESS, MAPS_ADDRESS, OTHER_ADDRESS, agent, target};

const TEXT: &str = "\
[service claims]
address = 127.20.0.1:4433 ludhiana
[service maps]
address = 127.20.1.1:4433
";

pub(crate) fn record(number: u16, service: &str, state: InstanceState) -> TargetRecord {
    TargetRecord {
        id: TargetId(u32::from(number)),
        service: service.parse().expect("a name"),
        zone: "lahore-a".parse().expect("a name"),
        agent: agent(number),
        operations: agent(number).0,
        slots: 3,
        state,
    }
}

fn view() -> FleetView {
    let text = Arc::new(ServiceText::parse(TEXT).expect("a text without faults"));
    let list = InstanceList {
        revision: ListRevision(2),
        targets: vec![
            record(1, "claims", InstanceState::Live),
            record(2, "claims", InstanceState::Leaving),
            record(3, "forgotten", InstanceState::Live),
        ],
        balancers: Vec::new(),
    };
    FleetView::new(ConfigRevision(8), text, &list)
}

#[test]
fn a_table_holds_what_its_view_says() {
    let table = RoutingTable::from_view(&view(), &RoutingTable::default());
    assert_eq!(table.revision(), ConfigRevision(8));
    let claims = table.ring_at(CLAIMS_ADDRESS).expect("claims");
    assert_eq!((claims.len(), claims.standing()), (1, TargetStanding::Live));
    assert_eq!(
        table
            .service_name(claims.service())
            .map(|name| name.as_str()),
        Some("claims")
    );
    assert!(table.ring_at(MAPS_ADDRESS).expect("maps").is_empty());
    assert!(table.ring_at(OTHER_ADDRESS).is_none());
    let forgotten = "forgotten".parse::<lovagelatch_domain::ServiceName>();
    let forgotten = forgotten.expect("a name").id();
    assert_eq!(table.ring_of(forgotten).map(|ring| ring.len()), Some(1));
}

#[test]
fn an_unchanged_service_keeps_its_ring() {
    let first = RoutingTable::from_view(&view(), &RoutingTable::default());
    let second = RoutingTable::from_view(&view(), &first);
    let (one, other) = (
        first.ring_at(CLAIMS_ADDRESS),
        second.ring_at(CLAIMS_ADDRESS),
    );
    assert!(std::ptr::eq(one.expect("claims"), other.expect("claims")));
}

/// Guards against a balancer that still places flows on a removed target, or loses a service's name
/// and addresses, after one target of a service changed. An incrementally changed table must equal
/// the table of the whole view.
#[test]
fn a_changed_table_equals_the_table_of_the_view() {
    struct ChangeCase {
        name: &'static str,
        view: FleetView,
        services: usize,
    }
    let before = view();
    let emptied = FleetView::new(
        before.revision(),
        Arc::clone(before.text()),
        &InstanceList::default(),
    );
    let cases = [
        ChangeCase {
            name: "no change",
            view: before.clone(),
            services: 0,
        },
        ChangeCase {
            name: "a standing",
            view: before
                .clone()
                .with_standing(agent(2), TargetStanding::Suspected),
            services: 1,
        },
        ChangeCase {
            name: "all targets removed",
            view: emptied,
            services: 2,
        },
        ChangeCase {
            name: "service text removed",
            view: FleetView::default(),
            services: 2,
        },
    ];
    let table = RoutingTable::from_view(&before, &RoutingTable::default());
    for case in cases {
        let change = ViewChange::between(&before, &case.view);
        assert_eq!(change.services.len(), case.services, "{}", case.name);
        let followed = table.with_change(&case.view, &change);
        let whole = RoutingTable::from_view(&case.view, &RoutingTable::default());
        for address in [CLAIMS_ADDRESS, MAPS_ADDRESS, OTHER_ADDRESS] {
            let (one, other) = (followed.ring_at(address), whole.ring_at(address));
            assert_eq!(one, other, "{}", case.name);
            let name = |table: &RoutingTable| {
                let ring = table.ring_at(address)?;
                table.service_name(ring.service()).cloned()
            };
            assert_eq!(name(&followed), name(&whole), "{}", case.name);
        }
        assert_eq!(followed.revision(), whole.revision(), "{}", case.name);
    }
}

/// Builds services with too many targets to be scanned for each flow.
fn large_services(count: u16) -> RoutingTable {
    let previous = RoutingTable::default();
    let targets = u16::try_from(MAX_SCANNED_TARGETS).expect("a small bound") * 2 + 6;
    let mut builder = TableBuilder::new(ConfigRevision(1), &previous);
    for service in 0..count {
        let first = service * targets;
        let targets: Vec<RingTarget> = (first..first + targets)
            .map(|number| target(number, 3, TargetStanding::Live))
            .collect();
        builder = builder.with_service(ServiceId(service.into()), [], &targets);
    }
    builder.build()
}

fn pick(table: &RoutingTable, service: u32, key: u64) -> Option<AgentAddress> {
    table.ring_of(ServiceId(service))?.pick(key)
}

/// Guards against a balancer whose memory grows with each service that ever received a flow.
/// Bucket tables must be dropped when a service is idle and must stay within their budget.
#[test]
fn bucket_tables_are_kept_for_services_in_use_and_within_the_budget() {
    const TABLE_BYTES: usize = 4_096;
    let table = large_services(3);
    assert!(table.refresh_buckets(usize::MAX).is_none(), "no flow yet");
    let winners: Vec<_> = (0..3).map(|service| pick(&table, service, 9)).collect();
    assert!(table.refresh_buckets(0).is_none(), "no budget");
    for service in 0..3 {
        assert!(pick(&table, service, 9).is_some());
    }
    let mut refreshed = table
        .refresh_buckets(2 * TABLE_BYTES)
        .expect("room for two bucket tables");
    assert_eq!(refreshed.bucket_bytes(), 2 * TABLE_BYTES);
    for (service, winner) in (0..).zip(winners) {
        assert_eq!(pick(&refreshed, service, 9), winner);
    }
    for _ in 0..100 {
        refreshed = refreshed
            .refresh_buckets(2 * TABLE_BYTES)
            .unwrap_or(refreshed);
    }
    assert_eq!(refreshed.bucket_bytes(), 0, "idle services");
}

/// Guards against slow placement of a large service's new flows for a second after each change of
/// its targets. The bucket table must be rebuilt together with the change.
#[test]
fn a_change_keeps_the_bucket_table_of_a_service_in_use() {
    let table = large_services(1);
    assert!(pick(&table, 0, 9).is_some());
    let refreshed = table.refresh_buckets(usize::MAX).expect("a bucket table");
    let fewer: Vec<RingTarget> = (0..30)
        .map(|n| target(n, 3, TargetStanding::Live))
        .collect();
    let changed = TableBuilder::new(ConfigRevision(2), &refreshed)
        .with_service(ServiceId(0), [], &fewer[1..])
        .build();
    assert_eq!(changed.bucket_bytes(), 4_096);
}

/// An agent has the targets of few services but the service of every address.
#[test]
fn a_table_of_some_services_holds_their_targets_and_all_addresses() {
    let view = view();
    let claims = view.service_at(CLAIMS_ADDRESS).expect("claims");
    let maps = view.service_at(MAPS_ADDRESS).expect("maps");
    let table = RoutingTable::from_view_for(&[claims], &view, &RoutingTable::default());
    assert_eq!(
        table.ring_at(CLAIMS_ADDRESS).map(|ring| ring.len()),
        Some(1)
    );
    assert_eq!(table.service_at(MAPS_ADDRESS), Some(maps));
    assert!(table.ring_of(maps).is_none());
    assert_eq!(table.revision(), view.revision());
    let all = RoutingTable::from_view(&view, &RoutingTable::default());
    assert_eq!(table.ring_of(claims), all.ring_of(claims));
}

/// Guards against a flow that is refused although its agent serves it, or that reaches an instance
/// of another service, after an instance moves from claims to maps and back. The agent directory
/// must match the lists.
#[test]
fn an_instance_that_moves_is_listed_once() {
    let [claims, maps] = [ServiceId(1), ServiceId(2)];
    let one = [target(5, 3, TargetStanding::Live)];
    let mut table = RoutingTable::default();
    for (of_claims, of_maps) in [(true, false), (false, true), (true, true), (false, false)] {
        let targets = |listed: bool| if listed { &one[..] } else { &[] };
        table = TableBuilder::new(ConfigRevision(1), &table)
            .with_service(claims, [], targets(of_claims))
            .with_service(maps, [], targets(of_maps))
            .build();
        let found = [claims, maps].map(|service| table.is_reassigned(agent(5), service));
        assert_eq!(found, [!of_claims && of_maps, of_claims && !of_maps]);
    }
}
