//! Suspicion of agents and zones, and departures.

use std::time::Duration;

use lovagelatch_capacity::{MemberRig, rig_address, rig_list, rig_text};
use lovagelatch_domain::{AgentAddress, GateReport, Incarnation, Moment, ServiceId, ZoneName};
use lovagelatch_membership::{
    ACCUSATION_TTL, AccusationEvent, AccusationTracker, AccusedSubject, DepartureEvent,
    DepartureTracker, DueAccusation, MemberAction, MemberMessage, MemberNotice, NeighbourMonitor,
    PeerHeartbeat, PlatformCall, TargetStanding, ZoneId,
};

use crate::spread::{SECOND, settled_fleet};

const NOW: Moment = Moment::from_millis(60_000);

fn accusation(accuser: u32, service: u32, serial: u32, holds: bool) -> AccusationEvent {
    AccusationEvent {
        subject: AccusedSubject::Agent(rig_address(9)),
        accuser: rig_address(accuser),
        service: ServiceId(service),
        serial,
        holds,
    }
}

struct AccusationCase {
    name: &'static str,
    accusations: Vec<AccusationEvent>,
    suspected: bool,
}

#[test]
fn suspicion_needs_two_accusers() {
    let cases = [
        AccusationCase {
            name: "none",
            accusations: vec![],
            suspected: false,
        },
        AccusationCase {
            name: "one",
            accusations: vec![accusation(1, 1, 1, true)],
            suspected: false,
        },
        AccusationCase {
            name: "one, often",
            accusations: vec![
                accusation(1, 1, 1, true),
                accusation(1, 1, 2, true),
                accusation(1, 1, 3, true),
            ],
            suspected: false,
        },
        AccusationCase {
            name: "two",
            accusations: vec![accusation(1, 1, 1, true), accusation(2, 1, 1, true)],
            suspected: true,
        },
        AccusationCase {
            name: "two, one withdrawn",
            accusations: vec![
                accusation(1, 1, 1, true),
                accusation(2, 1, 1, true),
                accusation(2, 1, 2, false),
            ],
            suspected: false,
        },
        AccusationCase {
            name: "withdrawn, then the earlier accusation arrives",
            accusations: vec![
                accusation(1, 1, 1, true),
                accusation(2, 1, 2, false),
                accusation(2, 1, 1, true),
            ],
            suspected: false,
        },
    ];
    for case in cases {
        let mut tracker = AccusationTracker::default();
        for event in &case.accusations {
            tracker.record(event, NOW);
        }
        let subject = AccusedSubject::Agent(rig_address(9));
        assert_eq!(
            tracker.is_suspected(subject, NOW),
            case.suspected,
            "{}",
            case.name
        );
        let later = NOW + ACCUSATION_TTL;
        assert!(
            !tracker.is_suspected(subject, later),
            "{} expires",
            case.name
        );
    }
}

#[test]
fn lost_zone_needs_accusers_of_two_services() {
    let subject = AccusedSubject::Zone(ZoneId(5));
    let about_zone = |accuser, service| AccusationEvent {
        subject,
        ..accusation(accuser, service, 1, true)
    };
    for (services, lost) in [([1, 1, 1], false), ([1, 1, 2], true)] {
        let mut tracker = AccusationTracker::default();
        for (accuser, service) in (1..).zip(services) {
            tracker.record(&about_zone(accuser, service), NOW);
        }
        assert_eq!(tracker.is_suspected(subject, NOW), lost, "{services:?}");
    }
}

#[test]
fn refuted_departure_stays_refuted() {
    let event = |refuted| DepartureEvent {
        agent: rig_address(1),
        incarnation: Incarnation(7),
        refuted,
    };
    for order in [[false, true], [true, false]] {
        let mut tracker = DepartureTracker::default();
        for refuted in order {
            tracker.record(event(refuted), NOW);
        }
        assert!(!tracker.is_leaving(rig_address(1)), "{order:?}");
    }
}

fn all_balancers_hold(rig: &MemberRig, agents: &[AgentAddress], standing: TargetStanding) -> bool {
    let balancers = rig.nodes.iter().filter(|node| node.running);
    let mut balancers = balancers.filter(|node| node.member.settings().service.is_none());
    balancers.all(|node| {
        let view = node.member.view();
        let mut services = view.services();
        services.all(|service| {
            let targets = view.targets(service).iter();
            let mut targets = targets.filter(|target| agents.contains(&target.agent));
            targets.all(|target| target.standing == standing)
        })
    })
}

// Guards against new flows to a crashed backend server until it is delisted, and against a
// suspicion that never ends. An agent stops without announcing it and later runs again.
#[test]
fn dead_agent_is_suspected_until_it_is_back() {
    let mut rig = settled_fleet(8, 4, 10);
    let agent = rig.platform.list.targets[5].agent;
    let number = rig.index_of(agent).unwrap();
    rig.nodes[number].running = false;
    let suspected = |rig: &MemberRig| all_balancers_hold(rig, &[agent], TargetStanding::Suspected);
    let known = rig.run_until(8 * SECOND, suspected);
    println!("suspected by all balancers after {known:?}");
    assert!(known.is_some());
    rig.run(20 * SECOND);
    assert!(suspected(&rig), "it is still dead");
    rig.nodes[number].running = true;
    let live = |rig: &MemberRig| all_balancers_hold(rig, &[agent], TargetStanding::Live);
    assert!(rig.run_until(20 * SECOND, live).is_some());
}

// Guards against control traffic of the whole fleet that rises for minutes after the loss of a
// zone, because every agent is accused by every neighbour. All processes of one of eight zones stop
// at once.
#[test]
fn lost_zone_is_one_event() {
    let list = rig_list(16, 24, 10, 8);
    let mut rig = MemberRig::new(list, rig_text(24, 2, 0), 3);
    rig.run(10 * SECOND);
    let zone: ZoneName = "zone-5".parse().unwrap();
    let targets = rig.platform.list.targets.iter();
    let lost = targets.filter(|target| target.zone == zone);
    let lost: Vec<AgentAddress> = lost.map(|target| target.agent).collect();
    for node in &mut rig.nodes {
        node.running = node.zone != zone;
    }
    rig.reset_counts();
    let known = rig.run_until(10 * SECOND, |rig| {
        all_balancers_hold(rig, &lost, TargetStanding::Suspected)
    });
    rig.run(10 * SECOND);
    let both = &rig.rates()["both"];
    let max = both[both.len() - 1];
    println!(
        "zone of {} known lost after {known:?}; at most {max:.0} B/s",
        lost.len()
    );
    assert!(known.is_some());
    assert!(max < 2_000.0, "{max}");
    let notices = rig.nodes[0].notices.iter();
    let single =
        notices.filter(|(_, notice)| matches!(notice, MemberNotice::SuspicionChanged { .. }));
    assert_eq!(single.count(), 0, "suspicions of single agents");
}

struct SilenceCase {
    name: &'static str,
    /// Neighbours that keep sending heartbeats.
    heard: &'static [u32],
    accused: &'static [u32],
}

// Guards against an isolated process that accuses all its neighbours. Three neighbours send
// heartbeats, then only some of them continue for ten seconds; silence of all of them must not
// count as their failure.
#[test]
fn silence_of_all_neighbours_accuses_nobody() {
    let cases = [
        SilenceCase {
            name: "none silent",
            heard: &[1, 2, 3],
            accused: &[],
        },
        SilenceCase {
            name: "one silent",
            heard: &[1, 2],
            accused: &[3],
        },
        SilenceCase {
            name: "two silent",
            heard: &[2],
            accused: &[1, 3],
        },
        SilenceCase {
            name: "all silent",
            heard: &[],
            accused: &[],
        },
    ];
    let zone_name: ZoneName = "zone-0".parse().unwrap();
    let zone = ZoneId::new(&zone_name);
    for case in cases {
        let mut monitor = NeighbourMonitor::default();
        let neighbours = [1, 2, 3].map(|number| (rig_address(number), zone, zone_name.clone()));
        monitor.set_neighbours(neighbours.into_iter(), NOW);
        let mut accused = Vec::new();
        for tick in 0..100 {
            let now = NOW + Duration::from_millis(100) * tick;
            for number in 1..=3 {
                if tick == 0 || case.heard.contains(&number) {
                    monitor.record_heartbeat(heartbeat(number), now);
                }
            }
            monitor.due_peer_probes(now);
            monitor.due_zone_probes(now);
            // Other processes of the zone reply to the probe.
            monitor.record_zone_alive(zone);
            accused.extend(monitor.due_accusations(now));
        }
        accused.dedup();
        let expected: Vec<_> = case
            .accused
            .iter()
            .map(|&number| DueAccusation {
                subject: AccusedSubject::Agent(rig_address(number)),
                holds: true,
            })
            .collect();
        let unexpected = accused
            .iter()
            .filter(|accusation| !expected.contains(accusation))
            .count();
        assert_eq!(unexpected, 0, "{}: {accused:?}", case.name);
        assert!(
            expected
                .iter()
                .all(|accusation| accused.contains(accusation)),
            "{}",
            case.name
        );
    }
}

fn heartbeat(number: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: rig_address(number),
        incarnation: Incarnation(1),
        report: GateReport::default(),
    }
}

// Guards against a process that acts on an old view after a pause, because it does not detect the
// gap or does not resynchronize. It is stopped for 20 s, so its first tick is late.
#[test]
fn first_tick_after_a_pause_asks_again() {
    let mut rig = settled_fleet(4, 2, 7);
    let now = rig.now + 20 * SECOND;
    let member = &mut rig.nodes[6].member;
    member.take_actions();
    member.advance(now);
    let actions = member.take_actions();
    let has = |wanted: fn(&MemberAction) -> bool| actions.iter().any(wanted);
    assert!(has(|action| matches!(
        action,
        MemberAction::Notice(MemberNotice::Paused(_))
    )));
    assert!(has(|action| matches!(
        action,
        MemberAction::Platform(PlatformCall::ReadConfig)
    )));
    let asks_a_peer = |action: &MemberAction| match action {
        MemberAction::Send { message, .. } => matches!(message, MemberMessage::Ask(_)),
        action => matches!(action, MemberAction::Pull { .. }),
    };
    assert!(has(asks_a_peer));
}

// Guards against an agent that accuses its whole service after its own network failed, because it
// takes its isolation for the failure of the others. One agent is cut off from all others for 20 s.
#[test]
fn isolated_agent_accuses_nobody() {
    let mut rig = settled_fleet(4, 2, 7);
    let number = rig.nodes.len() - 1;
    let alone: ZoneName = "alone".parse().unwrap();
    rig.nodes[number].zone = alone.clone();
    for other in 0..4 {
        let other: ZoneName = format!("zone-{other}").parse().unwrap();
        rig.cuts.push((alone.clone(), other.clone()));
        rig.cuts.push((other, alone.clone()));
    }
    rig.run(20 * SECOND);
    rig.cuts.clear();
    rig.run(Duration::from_millis(1_500));
    let own = rig.nodes[number].member.settings().control;
    for node in &rig.nodes {
        let status = node.member.status(rig.now);
        assert!(
            status.suspected.iter().all(|&agent| agent == own),
            "{status:?}"
        );
    }
}
