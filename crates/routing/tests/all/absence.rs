//! Which agents are gone for good.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, ConfigRevision, InstanceList, InstanceState, ListRevision, Moment, ServiceName,
};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{AbsenceTracker, RoutingTable, SUSPICION_LIMIT, ViewChange};

use crate::support::agent;
use crate::view::record;

const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// What one view says of agent 1: its standing, or nothing when it is not listed.
type Sight = Option<TargetStanding>;

struct AbsenceCase {
    name: &'static str,
    /// Views with the second at which each arrived.
    sights: Vec<(u64, Sight)>,
    asked_at: u64,
    gone: bool,
}

fn view(sight: Sight) -> FleetView {
    let mut list = InstanceList {
        revision: ListRevision(1),
        targets: vec![record(2, "claims", InstanceState::Live)],
        balancers: Vec::new(),
    };
    if sight.is_some() {
        list.targets.push(record(1, "claims", InstanceState::Live));
    }
    let view = FleetView::new(ConfigRevision(1), Arc::default(), &list);
    match sight {
        Some(standing) => view.with_standing(agent(1), standing),
        None => view,
    }
}

fn cases() -> Vec<AbsenceCase> {
    use TargetStanding::{Leaving, Live, Suspected};
    let case = |name, sights: &[(u64, Sight)], asked_at, gone| AbsenceCase {
        name,
        sights: sights.to_vec(),
        asked_at,
        gone,
    };
    vec![
        case("never seen", &[(0, None)], 100, false),
        case(
            "paused: suspected for a moment",
            &[
                (0, Some(Suspected)),
                (15, Some(Live)),
                (17, Some(Suspected)),
            ],
            30,
            false,
        ),
        case(
            "killed: suspected for long, and still listed",
            &[(0, Some(Suspected)), (5, Some(Suspected))],
            16,
            true,
        ),
        case(
            "killed: suspected, then off the list",
            &[(0, Some(Live)), (2, Some(Suspected)), (30, None)],
            30,
            true,
        ),
        case(
            "drained: off the list while it still ends its flows",
            &[(0, Some(Live)), (1, Some(Leaving)), (5, None)],
            34,
            false,
        ),
        case(
            "drained: off the list for longer than any drain",
            &[(0, Some(Live)), (1, Some(Leaving)), (5, None)],
            36,
            true,
        ),
        case(
            "a successor at the same address",
            &[(0, Some(Suspected)), (5, None), (9, Some(Live))],
            90,
            false,
        ),
        case(
            "gone twice",
            &[(0, Some(Suspected)), (5, None), (9, Some(Live)), (20, None)],
            40,
            false,
        ),
        case(
            "forgotten after an hour",
            &[(0, Some(Suspected)), (5, None), (4_000, None)],
            4_000,
            false,
        ),
    ]
}

/// Symptom: all feeds of a zone are reset while it is cut off for a minute. Sequence: a partition
/// separates a zone; its agents are suspected, but its balancers still reach them. Cause: a cut
/// zone taken for dead instances.
#[test]
fn a_zone_that_is_cut_off_is_not_gone() {
    let mut tracker = AbsenceTracker::new(DRAIN_LIMIT);
    let cut =
        view(Some(TargetStanding::Suspected)).with_standing(agent(2), TargetStanding::Suspected);
    let start = FleetView::default();
    tracker.note(
        &start,
        &cut,
        &ViewChange::between(&start, &cut),
        Moment::ZERO,
    );
    assert_eq!(tracker.gone(Moment::from_millis(60_000)).count(), 0);
}

#[test]
fn a_suspicion_must_outlast_one_accusation() {
    assert!(SUSPICION_LIMIT > lovagelatch_membership::ACCUSATION_TTL);
}

/// Symptom: feeds of a draining agent are reset, or callers of a dead one wait for their idle
/// timeout. Sequence: an instance leaves the list, before or after its agent ended. Cause: the
/// list taken for proof that an agent is dead, or no proof of death at all.
#[test]
fn only_the_dead_are_gone() {
    for case in cases() {
        let mut tracker = AbsenceTracker::new(DRAIN_LIMIT);
        let mut held = FleetView::default();
        for (second, sight) in case.sights {
            let next = view(sight);
            let change = ViewChange::between(&held, &next);
            tracker.note(&held, &next, &change, Moment::from_millis(second * 1_000));
            held = next;
        }
        let gone: Vec<AgentAddress> = tracker
            .gone(Moment::from_millis(case.asked_at * 1_000))
            .collect();
        assert_eq!(gone.contains(&agent(1)), case.gone, "{}", case.name);
        assert!(!gone.contains(&agent(2)), "{}", case.name);
    }
}

/// Symptom: callers of a dead agent hear nothing until their idle timeout, though the list has
/// long given its address to another service. Sequence: an instance is lost; one of another
/// service starts at its address; its agent refuses the former flows as of a wrong service.
/// Cause: whoever was listed again, for any service, was taken for a successor that resets.
#[test]
fn an_address_that_another_service_has_is_gone_for_the_former_one() {
    let listed = |service: &str| {
        let list = InstanceList {
            revision: ListRevision(1),
            targets: vec![
                record(1, service, InstanceState::Live),
                record(2, "claims", InstanceState::Live),
                record(3, "maps", InstanceState::Live),
            ],
            balancers: Vec::new(),
        };
        FleetView::new(ConfigRevision(1), Arc::default(), &list)
    };
    let [claims, maps] = ["claims", "maps"].map(|name| {
        let name: ServiceName = name.parse().expect("a valid name");
        name.id()
    });
    let mut tracker = AbsenceTracker::new(DRAIN_LIMIT);
    let mut held = FleetView::default();
    let mut table = RoutingTable::default();
    // Which service the list gives the address of agent 1, and for which it is gone then.
    let steps = [
        ("claims", [false, false]),
        ("maps", [true, false]),
        ("claims", [false, true]),
    ];
    for (second, (service, gone)) in (0..).zip(steps) {
        let next = listed(service);
        let change = ViewChange::between(&held, &next);
        let now = Moment::from_millis(second * 1_000);
        tracker.note(&held, &next, &change, now);
        table = table.follow(&next, &change).with_gone(tracker.gone(now));
        held = next;
        let found = [claims, maps].map(|service| table.is_gone(agent(1), service));
        assert_eq!(found, gone, "listed for {service}");
        assert!(!table.is_gone(agent(2), claims) && !table.is_gone(agent(3), maps));
    }
}
