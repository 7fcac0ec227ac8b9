//! Detection of agents that are gone for good.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, ConfigRevision, InstanceList, InstanceState, ListRevision, Moment, ServiceName,
};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{AbsenceTracker, RoutingTable, SUSPICION_TIMEOUT, ViewChange};

use crate::support::agent;
use crate::view::record;

const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The standing of agent 1 in a view, or `None` when it is not listed.
type ListedStanding = Option<TargetStanding>;

struct AbsenceCase {
    name: &'static str,
    /// The agent's standing in successive views, each with the second of its arrival.
    standings: Vec<(u64, ListedStanding)>,
    checked_at: u64,
    gone: bool,
}

fn view(listed: ListedStanding) -> FleetView {
    let mut list = InstanceList {
        revision: ListRevision(1),
        targets: vec![record(2, "claims", InstanceState::Live)],
        balancers: Vec::new(),
    };
    if listed.is_some() {
        list.targets.push(record(1, "claims", InstanceState::Live));
    }
    let view = FleetView::new(ConfigRevision(1), Arc::default(), &list);
    match listed {
        Some(standing) => view.with_standing(agent(1), standing),
        None => view,
    }
}

fn cases() -> Vec<AbsenceCase> {
    use TargetStanding::{Leaving, Live, Suspected};
    let case = |name, standings: &[(u64, ListedStanding)], checked_at, gone| AbsenceCase {
        name,
        standings: standings.to_vec(),
        checked_at,
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
            "drained: off the list while its flows still end",
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

/// Guards against a reset of all feeds of a zone that is partitioned for a minute. All its agents
/// are suspected, but its balancers still reach them, so they must not count as dead.
#[test]
fn a_partitioned_zone_is_not_gone() {
    let mut tracker = AbsenceTracker::new(DRAIN_TIMEOUT);
    let cut =
        view(Some(TargetStanding::Suspected)).with_standing(agent(2), TargetStanding::Suspected);
    let start = FleetView::default();
    tracker.record(
        &start,
        &cut,
        &ViewChange::between(&start, &cut),
        Moment::ZERO,
    );
    assert_eq!(tracker.gone(Moment::from_millis(60_000)).count(), 0);
}

#[test]
fn a_suspicion_must_outlast_one_accusation() {
    assert!(SUSPICION_TIMEOUT > lovagelatch_membership::ACCUSATION_TTL);
}

/// Guards against feeds of a draining agent that are reset, and against callers of a dead agent
/// that wait for their idle timeout. An instance may leave the list before or after its agent ends,
/// so the list alone proves nothing.
#[test]
fn only_dead_agents_are_gone() {
    for case in cases() {
        let mut tracker = AbsenceTracker::new(DRAIN_TIMEOUT);
        let mut previous = FleetView::default();
        for (second, listed) in case.standings {
            let next = view(listed);
            let change = ViewChange::between(&previous, &next);
            tracker.record(
                &previous,
                &next,
                &change,
                Moment::from_millis(second * 1_000),
            );
            previous = next;
        }
        let gone: Vec<AgentAddress> = tracker
            .gone(Moment::from_millis(case.checked_at * 1_000))
            .collect();
        assert_eq!(gone.contains(&agent(1)), case.gone, "{}", case.name);
        assert!(!gone.contains(&agent(2)), "{}", case.name);
    }
}

/// Guards against callers of a dead agent that get no answer until their idle timeout although its
/// address is already listed for another service. An instance is lost and one of another service
/// starts at its address; the new agent drops packets of the former flows as belonging to a wrong
/// service. Only an agent of the same service counts as a successor that resets flows.
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
    let mut tracker = AbsenceTracker::new(DRAIN_TIMEOUT);
    let mut previous = FleetView::default();
    let mut table = RoutingTable::default();
    // The service that the address of agent 1 is listed for, and whether the agent is then gone for
    // claims and for maps.
    let steps = [
        ("claims", [false, false]),
        ("maps", [true, false]),
        ("claims", [false, true]),
    ];
    for (second, (service, gone)) in (0..).zip(steps) {
        let next = listed(service);
        let change = ViewChange::between(&previous, &next);
        let now = Moment::from_millis(second * 1_000);
        tracker.record(&previous, &next, &change, now);
        table = table
            .with_change(&next, &change)
            .with_gone(tracker.gone(now));
        previous = next;
        let found = [claims, maps].map(|service| table.is_gone(agent(1), service));
        assert_eq!(found, gone, "listed for {service}");
        assert!(!table.is_gone(agent(2), claims) && !table.is_gone(agent(3), maps));
    }
}
