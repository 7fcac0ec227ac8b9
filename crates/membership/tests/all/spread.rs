//! Spread of configurations, departures and arrivals, with all members in one process.

use std::time::Duration;

use lovagelatch_capacity::{MemberRig, PlatformState, rig_address, rig_list, rig_text};
use lovagelatch_domain::GateReport;
use lovagelatch_membership::TargetStanding;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Control traffic that a node may send and receive, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 2_000.0;

/// Creates a fleet in four zones in which every member holds revision 1 and is ready.
pub(crate) fn settled_fleet(balancers: u32, services: u32, targets: u32) -> MemberRig {
    let list = rig_list(balancers, services, targets, 4);
    let mut rig = MemberRig::new(list, rig_text(services, 4, 0), 1);
    rig.run(8 * SECOND);
    let ready = rig
        .nodes
        .iter()
        .filter(|node| node.member.is_ready())
        .count();
    assert_eq!(ready, rig.running(), "ready members");
    assert_eq!(
        rig.members_at(1),
        rig.running(),
        "members that hold revision 1"
    );
    rig
}

struct SpreadCase {
    balancers: u32,
    services: u32,
    drop: f64,
    limit: Duration,
}

// Guards against an accepted change that is in force late on some nodes or exceeds the budget,
// because heads or pulls are lost or reach too few or too many processes. Ten changes are
// published, one every three seconds, a rate of 29,000 a day.
#[test]
fn configuration_is_in_force_on_all_within_seconds() {
    let cases = [
        SpreadCase {
            balancers: 3,
            services: 2,
            drop: 0.0,
            limit: 2 * SECOND,
        },
        SpreadCase {
            balancers: 40,
            services: 16,
            drop: 0.0,
            limit: 3 * SECOND,
        },
        SpreadCase {
            balancers: 40,
            services: 16,
            drop: 0.1,
            limit: 5 * SECOND,
        },
    ];
    for case in cases {
        let mut rig = settled_fleet(case.balancers, case.services, 10);
        rig.network.drop = case.drop;
        rig.network.duplicate = case.drop;
        rig.network.late = case.drop;
        rig.reset_counts();
        let members = rig.running();
        let mut slowest = Duration::ZERO;
        for change in 1..=10 {
            let revision = rig.publish(rig_text(case.services, 4, change));
            let taken = rig.run_until(9 * SECOND, |rig| rig.members_at(revision) == members);
            let taken = taken.expect("in force on all");
            slowest = slowest.max(taken);
            rig.run((3 * SECOND).saturating_sub(taken));
        }
        let both = &rig.rates()["both"];
        let (p50, p99) = (both[both.len() / 2], both[both.len() * 99 / 100]);
        let max = both[both.len() - 1];
        println!(
            "{members} members, {} lost: slowest {slowest:?}; sent and received \
             p50 {p50:.0} p99 {p99:.0} max {max:.0} B/s",
            case.drop
        );
        assert!(slowest <= case.limit, "{members} members: {slowest:?}");
        assert!(
            max <= MAX_BYTES_PER_SECOND,
            "{members} members: {max:.0} B/s"
        );
    }
}

// Guards against a platform that refuses reads in a large fleet because every member watches it.
// Fleets of 50 and 200 members run for 120 s with changes.
#[test]
fn platform_calls_do_not_grow_with_the_fleet() {
    let calls = [(10, 4), (40, 16)].map(|(balancers, services)| {
        let mut rig = settled_fleet(balancers, services, 10);
        rig.reset_counts();
        for change in 1..=20 {
            rig.publish(rig_text(services, 4, change));
            rig.run(6 * SECOND);
        }
        rig.platform.calls
    });
    println!("calls of 50 and of 200 members in 120 s: {calls:?}");
    assert!(calls[1] * 10 <= calls[0] * 13, "{calls:?}");
}

// Guards against new flows to a leaving backend server until the list shows it: the departure is
// known only from the list, or reaches too few processes. An agent starts to leave while the
// platform's list lags by more than 30 s.
#[test]
fn departure_is_known_within_three_seconds() {
    for drop in [0.0, 0.1] {
        let mut rig = settled_fleet(40, 16, 10);
        rig.network.drop = drop;
        let target = rig.platform.list.targets[17].clone();
        let number = rig.index_of(target.agent).unwrap();
        let now = rig.now;
        rig.nodes[number].member.set_leaving(now);
        let known = rig.run_until(30 * SECOND, |rig| {
            let concerned = rig.nodes.iter().filter(|node| {
                let service = node.member.settings().service;
                service.is_none() || service == Some(target.service.id())
            });
            let mut held =
                concerned.flat_map(|node| node.member.view().targets(target.service.id()).iter());
            held.all(|held| held.id != target.id || held.standing == TargetStanding::Leaving)
        });
        println!("departure known after {known:?} with {drop} lost");
        assert!(known.is_some_and(|known| known < 3 * SECOND), "{known:?}");
    }
}

// Guards against a replaced process that gets no new flows for a quarter of an hour, because the
// departure of its predecessor is attributed to it. An agent leaves and a successor starts at its
// address; the list does not change.
#[test]
fn successor_at_the_same_address_is_live() {
    let mut rig = settled_fleet(4, 2, 7);
    let target = rig.platform.list.targets[3].clone();
    let number = rig.index_of(target.agent).unwrap();
    let now = rig.now;
    rig.nodes[number].member.set_leaving(now);
    rig.run(3 * SECOND);
    rig.add_member(target.agent, target.zone.clone(), Some(target.service.id()));
    let live = rig.run_until(10 * SECOND, |rig| {
        rig.nodes.iter().all(|node| {
            let view = node.member.view();
            let mut targets = view.targets(target.service.id()).iter();
            targets.all(|held| held.standing == TargetStanding::Live)
        })
    });
    assert!(live.is_some());
}

// Guards against a service without targets during a planned replacement, because departures are
// announced while successors are known only from the list. All targets are replaced one after the
// other within the lag of the list.
#[test]
fn successors_are_known_before_the_list_names_them() {
    let mut rig = settled_fleet(8, 4, 10);
    let targets: Vec<_> = rig.platform.list.targets[..10].to_vec();
    let service = targets[0].service.id();
    for (number, target) in (5_000..).zip(&targets) {
        let old = rig.index_of(target.agent).unwrap();
        let now = rig.now;
        rig.nodes[old].member.set_leaving(now);
        let fresh = rig.add_member(rig_address(number), target.zone.clone(), Some(service));
        let report = GateReport {
            slots: 3,
            ..GateReport::default()
        };
        rig.nodes[fresh].member.set_report(report);
        rig.run(2 * SECOND);
        rig.nodes[old].running = false;
    }
    let live = |rig: &MemberRig, wanted: usize| {
        let balancers = rig
            .nodes
            .iter()
            .filter(|node| node.member.settings().service.is_none());
        let mut counts = balancers.map(|node| {
            let targets = node.member.view().targets(service).iter();
            let live = targets.filter(|held| held.standing == TargetStanding::Live);
            live.count()
        });
        counts.all(|count| count == wanted)
    };
    assert!(live(&rig, 10), "successors are live on all balancers");
    // The list catches up: it contains the successors, and no target occurs twice.
    for (number, target) in (5_000..).zip(&mut rig.platform.list.targets[..10]) {
        target.agent = rig_address(number);
        target.id.0 += 5_000;
    }
    rig.platform.list.revision.0 += 1;
    rig.run(5 * SECOND);
    assert!(live(&rig, 10), "listed now");
    rig.run(70 * SECOND);
    assert!(live(&rig, 10), "announcements have ended");
}

// Guards against an instance that is never listed but remains a target, because its announcement
// does not expire. An agent announces itself, stops silently, and is never listed.
#[test]
fn announcement_ends_without_the_list() {
    let mut rig = settled_fleet(4, 2, 7);
    let target = rig.platform.list.targets[0].clone();
    let service = target.service.id();
    let fresh = rig.add_member(rig_address(5_000), target.zone, Some(service));
    let report = GateReport {
        slots: 3,
        ..GateReport::default()
    };
    rig.nodes[fresh].member.set_report(report);
    rig.run(5 * SECOND);
    let targets = |rig: &MemberRig| rig.nodes[0].member.view().targets(service).len();
    assert_eq!(targets(&rig), 8, "announced");
    rig.nodes[fresh].running = false;
    rig.run(70 * SECOND);
    assert_eq!(targets(&rig), 7, "ended");
}

// Guards against new flows to an instance that was removed from the list, because it announces
// itself like a starting agent. A listed agent continues to run after it was delisted.
#[test]
fn delisted_agent_does_not_announce_itself() {
    let mut rig = settled_fleet(4, 2, 7);
    let gone = rig.platform.list.targets.remove(3);
    rig.platform.list.revision.0 += 1;
    let number = rig.index_of(gone.agent).unwrap();
    let report = GateReport {
        slots: 3,
        ..GateReport::default()
    };
    rig.nodes[number].member.set_report(report);
    rig.run(30 * SECOND);
    let mut views = rig.nodes.iter().map(|node| node.member.view());
    assert!(views.all(|view| {
        let mut targets = view.targets(gone.service.id()).iter();
        targets.all(|held| held.agent != gone.agent)
    }));
}

/// Members started in each case.
const JOINS: u32 = 6;

#[derive(Clone, Copy)]
struct JoinCase {
    platform: PlatformState,
    peers_run: bool,
    revision: Option<u64>,
}

// Guards against a starting balancer that serves an old configuration, or none although its peers
// have one, because it relies on a single source. The fleet holds revision 3; the platform is down
// or stale, or the peers are stopped, when a balancer restarts.
#[test]
fn fresh_member_takes_the_highest_of_platform_and_peers() {
    let cases = [
        JoinCase {
            platform: PlatformState::Up,
            peers_run: true,
            revision: Some(3),
        },
        JoinCase {
            platform: PlatformState::Stale(1),
            peers_run: true,
            revision: Some(3),
        },
        JoinCase {
            platform: PlatformState::Down,
            peers_run: true,
            revision: Some(3),
        },
        JoinCase {
            platform: PlatformState::Up,
            peers_run: false,
            revision: Some(3),
        },
        JoinCase {
            platform: PlatformState::Down,
            peers_run: false,
            revision: None,
        },
    ];
    for case in cases {
        let mut rig = settled_fleet(4, 2, 7);
        rig.publish(rig_text(2, 4, 1));
        rig.publish(rig_text(2, 4, 2));
        rig.run(5 * SECOND);
        assert_eq!(rig.members_at(3), rig.running());
        rig.set_platform(case.platform);
        for node in &mut rig.nodes {
            node.running = case.peers_run;
        }
        let zone = rig.platform.list.balancers[0].zone.clone();
        // Several starts, because heads of peers may arrive before or after the answer of the
        // platform.
        for start in 0..JOINS {
            rig.run(Duration::from_millis(130) * start);
            let fresh = rig.add_member(rig_address(0), zone.clone(), None);
            // The revision it holds when it becomes ready.
            rig.run_until(5 * SECOND, |rig| rig.nodes[fresh].member.is_ready());
            let member = &rig.nodes[fresh].member;
            let ready = member.is_ready().then(|| member.view().revision().0);
            let JoinCase {
                platform,
                peers_run,
                revision,
            } = case;
            assert_eq!(
                ready, revision,
                "{platform:?}, peers {peers_run}, start {start}"
            );
        }
        rig.run(5 * SECOND);
        if case.peers_run {
            assert_eq!(rig.members_at(3), rig.running(), "{:?}", case.platform);
        }
    }
}

// Guards against a departure that is known late because many agents announce themselves at once.
#[test]
fn departure_is_known_within_three_seconds_while_agents_start() {
    for started in [40, 160, 400] {
        let mut rig = settled_fleet(40, 16, 10);
        let target = rig.platform.list.targets[17].clone();
        for number in 0..started {
            let service = rig.platform.list.targets[number as usize % 160]
                .service
                .id();
            let zone = "zone-1".parse().expect("a zone");
            rig.add_member(rig_address(10_000 + number), zone, Some(service));
        }
        let listed = rig.nodes.len() - started as usize;
        rig.run(2 * SECOND);
        let number = rig.index_of(target.agent).expect("a member");
        let now = rig.now;
        rig.nodes[number].member.set_leaving(now);
        let known = rig.run_until(30 * SECOND, |rig| {
            let concerned = rig.nodes[..listed].iter().filter(|node| {
                let service = node.member.settings().service;
                service.is_none() || service == Some(target.service.id())
            });
            let mut held =
                concerned.flat_map(|node| node.member.view().targets(target.service.id()).iter());
            held.all(|held| held.id != target.id || held.standing == TargetStanding::Leaving)
        });
        println!("departure known after {known:?} while {started} agents start");
        assert!(known.is_some_and(|known| known < 3 * SECOND), "{known:?}");
    }
}
