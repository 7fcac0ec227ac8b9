//! Making a table from a view.

use std::sync::Arc;

use lovagelatch_domain::{
    ConfigRevision, InstanceList, InstanceState, ListRevision, TargetId, TargetRecord,
};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{RoutingTable, ViewChange};
use lovagelatch_settings::ServiceText;

use crate::support::{CLAIMS_ADDRESS, MAPS_ADDRESS, OTHER_ADDRESS, agent};

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

/// Symptom: a balancer goes on giving flows to a target that left, or loses a service's name and
/// addresses. Sequence: one target of one service changes. Cause: a table that follows a change
/// otherwise than the view.
#[test]
fn following_a_change_gives_the_table_of_the_view() {
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
            name: "nothing",
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
            name: "no targets any more",
            view: emptied,
            services: 2,
        },
        ChangeCase {
            name: "no text any more",
            view: FleetView::default(),
            services: 2,
        },
    ];
    let table = RoutingTable::from_view(&before, &RoutingTable::default());
    for case in cases {
        let change = ViewChange::between(&before, &case.view);
        assert_eq!(change.services.len(), case.services, "{}", case.name);
        let followed = table.follow(&case.view, &change);
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
