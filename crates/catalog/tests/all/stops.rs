//! Tests of the distribution of stop announcements: at a planned restart, an agent notifies only
//! the balancers that it knows.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_catalog::{
    AgentStop, CatalogAction, CatalogMember, CatalogMessage, MemberSettings, RESTART_GRACE,
};
use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::smallvec;

use crate::support::{Group, address};

/// Silence after which open flows of an agent without a stop announcement are reset.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7_720))
}

fn stop(number: u8, age: Duration) -> AgentStop {
    AgentStop {
        agent: agent(number),
        age,
    }
}

fn announce(group: &mut Group, balancer: u8, stops: &[AgentStop]) {
    let now = group.now;
    group.node(balancer).member.record_stops(stops, now);
}

fn fresh_member(number: u8, now: Moment) -> CatalogMember {
    let settings = MemberSettings {
        gossip: address(number),
        seeds: smallvec![address(1)],
    };
    CatalogMember::new(settings, number.into(), now)
}

fn sent_to(actions: &[CatalogAction], number: u8) -> Vec<CatalogMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        CatalogAction::Send { to, message } if *to == address(number) => Some(message.clone()),
        _ => None,
    });
    messages.collect()
}

/// Returns the number of balancers that got the stop announcement of an agent from another
/// balancer.
fn informed_count(group: &Group, number: u8) -> usize {
    let nodes = group.nodes.values();
    nodes
        .filter(|node| node.stops.iter().any(|stop| stop.agent == agent(number)))
        .count()
}

struct SpreadCase {
    balancers: u8,
    /// Balancers that the agent notifies itself.
    notified: &'static [u8],
    /// Number of agents that stop at once.
    agents: u8,
}

// Guards against balancers that take a planned restart for a failure because only others were
// notified.
#[test]
fn a_stop_is_known_to_all_balancers_before_the_silence_timeout() {
    let cases = [
        SpreadCase {
            balancers: 2,
            notified: &[1],
            agents: 1,
        },
        SpreadCase {
            balancers: 13,
            notified: &[4],
            agents: 40,
        },
        SpreadCase {
            balancers: 60,
            notified: &[3, 9, 27],
            agents: 1,
        },
    ];
    for case in cases {
        let mut group = Group::settled(case.balancers, Duration::from_secs(8));
        let stops: Vec<_> = (1..=case.agents)
            .map(|number| stop(number, Duration::ZERO))
            .collect();
        for &balancer in case.notified {
            announce(&mut group, balancer, &stops);
        }
        group.run(SILENCE_TIMEOUT);
        let others = usize::from(case.balancers) - case.notified.len();
        for number in 1..=case.agents {
            let known = informed_count(&group, number);
            assert_eq!(known, others, "{} balancers", case.balancers);
        }
    }
}

// Guards against a planned restart that some balancer takes for a failure because messages of the
// others were lost. Balancers relay as late as their ticks allow.
#[test]
fn a_stop_is_known_to_all_balancers_although_messages_are_lost() {
    for balancers in [3, 6, 13] {
        for seed in 0..20 {
            let mut group = Group::new(balancers);
            group.ticking = true;
            group.run(Duration::from_secs(8));
            group.lose_datagrams(0.3, seed);
            announce(&mut group, 1, &[stop(1, Duration::ZERO)]);
            group.run(SILENCE_TIMEOUT);
            let known = informed_count(&group, 1);
            let others = usize::from(balancers) - 1;
            assert_eq!(known, others, "{balancers} balancers, seed {seed}");
        }
    }
}

// Guards against a balancer that starts during a restart and does not learn of it.
#[test]
fn a_balancer_that_starts_during_a_restart_learns_of_it() {
    let mut group = Group::settled(4, Duration::from_secs(3));
    announce(&mut group, 2, &[stop(1, Duration::ZERO)]);
    group.run(Duration::from_secs(2));
    group.add(5);
    group.run(Duration::from_millis(300));
    let received = group.node(5).stops.clone();
    assert_eq!(received.len(), 1, "{received:?}");
    assert!(received[0].age >= Duration::from_secs(2), "{received:?}");
}

// Guards against a new balancer that assumes that it knows of every stop because no peer reported
// one.
#[test]
fn stops_are_known_since_the_start_of_the_balancer_or_of_a_reporting_peer() {
    struct CoverCase {
        name: &'static str,
        /// How long the others have run when it starts.
        others_ran: Duration,
        /// Whether it knows of all stops before its start.
        expected: bool,
    }
    let cases = [
        CoverCase {
            name: "all start together",
            others_ran: Duration::ZERO,
            expected: false,
        },
        CoverCase {
            name: "the others have run for longer than a restart takes",
            others_ran: RESTART_GRACE * 2,
            expected: true,
        },
    ];
    for case in cases {
        let mut group = Group::new(4);
        group.run(case.others_ran);
        group.add(5);
        let start = group.now;
        group.run(Duration::from_millis(400));
        let since = group.node(5).member.stops_known_since();
        assert_eq!(since < start, case.expected, "{}", case.name);
    }
}

// Guards against a new balancer that takes a partial report of stops for a complete one.
#[test]
fn an_update_covers_no_stop_that_it_does_not_list() {
    struct PartCase {
        name: &'static str,
        /// Number of agents that stop, one every 10 ms.
        agents: u8,
        /// Whether the update is the reply to a balancer that has just started.
        replies: bool,
        /// Whether it covers the stops before those that it lists.
        expected: bool,
    }
    let cases = [
        PartCase {
            name: "relayed",
            agents: 1,
            replies: false,
            expected: false,
        },
        PartCase {
            name: "all of them",
            agents: 40,
            replies: true,
            expected: true,
        },
        PartCase {
            name: "more than fit a message",
            agents: 200,
            replies: true,
            expected: false,
        },
    ];
    for case in cases {
        let mut group = Group::settled(2, RESTART_GRACE * 2);
        for number in 1..=case.agents {
            announce(&mut group, 1, &[stop(number, Duration::ZERO)]);
            group.now = group.now + Duration::from_millis(10);
        }
        let now = group.now;
        let one = &mut group.node(1).member;
        let actions = if case.replies {
            let mut fresh = fresh_member(3, now);
            let discovery = sent_to(&fresh.advance(now), 1).remove(0);
            one.accept(discovery, now)
        } else {
            one.advance(now)
        };
        let sent = sent_to(&actions, if case.replies { 3 } else { 2 });
        let update = sent.iter().find_map(|message| match message {
            CatalogMessage::Stops(update) => Some(update),
            _ => None,
        });
        let covers = update.expect("an update").covers;
        assert_eq!(covers >= RESTART_GRACE, case.expected, "{}", case.name);
    }
}

// Guards against an announcement that is relayed forever, and against a late one that hides a
// failure.
#[test]
fn a_stop_is_relayed_once_and_not_after_the_restart_grace() {
    struct LateCase {
        name: &'static str,
        /// Age of the announcement when it is recorded.
        age: Duration,
        /// Whether the same announcement is repeated, a little older.
        repeated: bool,
        expected: usize,
    }
    let cases = [
        LateCase {
            name: "new",
            age: Duration::ZERO,
            repeated: false,
            expected: 1,
        },
        LateCase {
            name: "repeated while the agent stops",
            age: Duration::ZERO,
            repeated: true,
            expected: 1,
        },
        LateCase {
            name: "as old as a restart may take",
            age: RESTART_GRACE,
            repeated: false,
            expected: 0,
        },
    ];
    for case in cases {
        let mut group = Group::settled(3, Duration::from_secs(3));
        announce(&mut group, 1, &[stop(1, case.age)]);
        if case.repeated {
            group.run(Duration::from_millis(250));
            announce(&mut group, 1, &[stop(1, Duration::ZERO)]);
        }
        group.run(RESTART_GRACE * 2);
        let received = group.node(2).stops.len();
        assert_eq!(received, case.expected, "{}", case.name);
    }
}
